//! A server of the platform: announces itself to members and answers requests.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// A server answers its callers within this time, or they call the next daemon.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// How a server announces itself.
pub struct Announcer {
    pub id: String,
    pub service: String,
    pub version: String,
    /// Start time in Unix milliseconds, if it tells one.
    pub born: Option<u64>,
    pub addr: SocketAddr,
    pub slots: u32,
    pub sequence: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    /// Until when its link to the members is cut.
    cut_until: Mutex<Option<Instant>>,
    /// When the last regular heartbeat was sent.
    beat_at: Mutex<Option<Instant>>,
    /// Members, the one that it calls first at the front.
    members: Mutex<VecDeque<SocketAddr>>,
}

impl Announcer {
    pub fn new(
        id: &str,
        service: &str,
        addr: SocketAddr,
        slots: u32,
        members: &[SocketAddr],
    ) -> Self {
        Announcer {
            id: id.to_owned(),
            service: service.to_owned(),
            version: "v1".to_owned(),
            born: None,
            addr,
            slots,
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            cut_until: Mutex::new(None),
            beat_at: Mutex::new(None),
            members: Mutex::new(members.iter().copied().collect()),
        }
    }

    /// Cuts the link to all members: nothing that is sent meanwhile arrives, and no answer comes.
    pub fn cut(&self, length: Duration) {
        *self.cut_until.lock().unwrap() = Some(Instant::now() + length);
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether it said that it leaves.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// One call to one member after the other, a second each at most; true if one acknowledged.
    fn call(&self, method: &str, body: &str) -> bool {
        let members: Vec<SocketAddr> = self.members.lock().unwrap().iter().copied().collect();
        for member in members {
            if self.cut_until.lock().unwrap().is_some_and(|until| Instant::now() < until) {
                std::thread::sleep(ACK_TIMEOUT);
            } else {
                let json = [("Content-Type", "application/json")];
                let path = format!("/instances/{}", self.id);
                let answer = http::call(member, method, &path, &json, body.as_bytes(), ACK_TIMEOUT);
                if let Ok(answer) = answer
                    && (200..300).contains(&answer.status())
                {
                    self.follow(&String::from_utf8_lossy(&answer.body));
                    return true;
                }
            }
            let mut members = self.members.lock().unwrap();
            members.rotate_left(1);
        }
        false
    }

    /// Calls the address first that the acknowledgement names.
    fn follow(&self, answer: &str) {
        let named =
            answer.split("\"heartbeat-addr\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let mut members = self.members.lock().unwrap();
        if let Some(named) = named.and_then(|named| named.parse().ok())
            && let Some(at) = members.iter().position(|member| *member == named)
        {
            members.rotate_left(at);
        }
    }

    /// Sends one heartbeat; true if it was acknowledged.
    pub fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_draining() { "draining" } else { "ready" };
        let born = self.born.map_or(String::new(), |born| format!(",\"born\":{born}"));
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{state}\",\"cold-left-ms\":0,\"sequence\":{sequence}{born}}}",
            self.service, self.addr, self.version, self.slots
        );
        self.call("PUT", &body)
    }

    /// Sends the heartbeat that is due.
    pub fn regular_beat(&self) -> bool {
        *self.beat_at.lock().unwrap() = Some(Instant::now());
        self.beat()
    }

    /// Waits until `delay` after the next regular heartbeat.
    pub fn wait_after_beat(&self, delay: Duration) {
        let before = *self.beat_at.lock().unwrap();
        while *self.beat_at.lock().unwrap() == before {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(delay);
    }

    /// Tells that it is gone; true if that was acknowledged.
    pub fn leave(&self) -> bool {
        self.call("DELETE", "")
    }
}

/// Binds a free port of the host.
pub fn bind(host: std::net::IpAddr) -> Result<(TcpListener, SocketAddr), String> {
    let listener =
        TcpListener::bind(SocketAddr::new(host, 0)).map_err(|error| error.to_string())?;
    let addr = listener.local_addr().map_err(|error| error.to_string())?;
    Ok((listener, addr))
}
