//! Callers that keep their connections for as long as they last, and check every answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;

use crate::ledger::{Ended, Kind, LeavingTold, Ledger, Seen};
use crate::target::{EVENTS, LEAVING, RAN_AT, event};

/// Longest time that a caller waits.
pub const PATIENCE: Duration = Duration::from_secs(4);
/// Beyond its own patience a caller gives a gateway this long for the final answer.
const BEYOND: Duration = Duration::from_secs(2);

/// Part of the requests that name headers which only the system sets.
const FORGING: f64 = 0.2;
/// Those headers.
pub const SYSTEM_HEADERS: [&str; 9] = [
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-expect-version",
    "x-expect-instance",
    "x-request-priority",
    "x-tenant",
];
/// What callers put there.
pub const FORGED: &str = "forged";

/// One caller.
pub struct Caller {
    pub number: usize,
    /// Gateways with their addresses.
    pub fronts: Vec<(usize, SocketAddr)>,
    pub ledger: Ledger,
    pub seed: u64,
}

impl Caller {
    /// Asks again and again until it is aborted.
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut asked = 0;
        loop {
            let (gateway, front) = self.fronts[rng.random_range(0..self.fronts.len())];
            let Some(mut connection) = open(front).await else {
                tokio::time::sleep(Duration::from_millis(30)).await;
                continue;
            };
            while connection.ready().await.is_ok() {
                asked += 1;
                let id = format!("c{}-{asked}", self.number);
                if !self.ask(&mut connection, gateway, id, &mut rng).await {
                    break;
                }
                let pause = rng.random_range(2..60);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Asks once; false when the connection is not to be used again.
    async fn ask(
        &self,
        connection: &mut SendRequest<Full<Bytes>>,
        gateway: usize,
        id: String,
        rng: &mut StdRng,
    ) -> bool {
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let mut request = Request::post(format!("{}x", kind.path()))
            .header("host", "h.example")
            .header("x-request-id", &id)
            .header("x-credential", "key-a")
            .header("x-deadline-ms", PATIENCE.as_millis() as u64);
        if rng.random_bool(FORGING) {
            for name in SYSTEM_HEADERS {
                request = request.header(name, FORGED);
            }
        }
        let request = request
            .body(Full::new(Bytes::from(vec![b'x'; rng.random_range(0..2_000)])))
            .expect("a sound request");
        self.ledger.book().sent_ids.insert(id.clone());
        let sent = self.ledger.now();
        let asking = self.exchange(connection, request, gateway, &id, kind);
        let asked = tokio::time::timeout(PATIENCE + BEYOND, asking).await;
        let (ended, goes_on) = match asked {
            Ok(Ok((status, goes_on))) => (Ended::Status(status), goes_on),
            Ok(Err(_)) => (Ended::Cut, false),
            Err(_) => (Ended::Cut, false),
        };
        let seen = Seen { id, kind, gateway, sent, ended };
        self.ledger.book().seen.push(seen);
        goes_on
    }

    async fn exchange(
        &self,
        connection: &mut SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
        gateway: usize,
        id: &str,
        kind: Kind,
    ) -> Result<(u16, bool), hyper::Error> {
        let response = connection.send_request(request).await?;
        let status = response.status().as_u16();
        let closes = response.headers().get("connection").is_some_and(|value| value == "close");
        let head = Head::of(&response);
        if let Some(target) = head.leaves.clone() {
            let at = self.ledger.now();
            self.ledger.book().leaving_told.push(LeavingTold { target, gateway, at });
        }
        let body = response.into_body().collect().await?.to_bytes();
        self.check(id, kind, status, &head, &body);
        Ok((status, !closes))
    }

    /// A success is the target's whole answer to this very request, and a refusal is unsigned.
    fn check(&self, id: &str, kind: Kind, status: u16, head: &Head, body: &[u8]) {
        let stamp = format!("stamp-{id}");
        let whole = match kind {
            Kind::Safe | Kind::Unsafe => format!("answer to {id}"),
            Kind::Stream | Kind::Resumable => (1..=EVENTS).map(event).collect(),
        };
        if status == 200 {
            if head.stamp.as_deref() != Some(&stamp) || head.id.as_deref() != Some(id) {
                self.ledger.broken(format!("MIXED: {id} got the head of another: {head:?}"));
            }
            if body != whole.as_bytes() {
                let text = String::from_utf8_lossy(body);
                self.ledger.broken(format!("MIXED or ORDER: {id} ({kind:?}) got {text:?}"));
            }
        } else if status == 500 && head.stamp.is_none() {
            self.ledger.book().accused += 1;
        } else if head.stamp.is_some() && status != 500 {
            self.ledger.broken(format!("MIXED: {id} got a signed {status}"));
        }
    }
}

/// Repeats one request that ends each target that runs it, at any gateway.
pub async fn repeat_poison(number: usize, fronts: Vec<SocketAddr>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for attempt in 0.. {
        let pause = rng.random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let front = fronts[rng.random_range(0..fronts.len())];
        let Some(mut connection) = open(front).await else {
            continue;
        };
        let request = Request::post("/resumable/x")
            .header("host", "h.example")
            .header("x-request-id", format!("poison{number}-{attempt}"))
            .header("x-credential", "key-a")
            .header("x-deadline-ms", PATIENCE.as_millis() as u64)
            .body(Full::new(Bytes::from(format!("poison {number}"))))
            .expect("a sound request");
        let asking = async {
            let response = connection.send_request(request).await?;
            response.into_body().collect().await
        };
        // It earns nothing, and nobody misses its answer.
        let _ = tokio::time::timeout(PATIENCE + BEYOND, asking).await;
    }
}

#[derive(Debug)]
struct Head {
    stamp: Option<String>,
    id: Option<String>,
    /// The target that gave it, where it says that it leaves.
    leaves: Option<String>,
}

impl Head {
    fn of(response: &Response<Incoming>) -> Self {
        let text = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Head {
            stamp: text("x-server-stamp"),
            id: text("x-request-id"),
            leaves: text(LEAVING).and_then(|_| text(RAN_AT)),
        }
    }
}

async fn open(front: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let connecting = TcpStream::connect(front);
    let stream = tokio::time::timeout(Duration::from_secs(1), connecting).await.ok()?.ok()?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    Some(sender)
}
