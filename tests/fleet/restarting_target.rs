//! A target that crashes when it runs a poison request, and is started again after a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::standin::{Arrival, Behaviour, POISON, Standin};

/// Time between a crash and the next start.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
/// Number of events in its answers to other requests.
const EVENTS: u32 = 4;

/// Counts over all targets of a service.
#[derive(Default)]
pub struct CrashCounts {
    pub crashes: usize,
    /// Poison requests that reached a target.
    pub poison_arrivals: usize,
}

/// Task that runs a target at a fixed address and starts it again, under a new id, after each crash. Stopped
/// when dropped.
pub struct RestartingTarget(JoinHandle<()>);

impl Drop for RestartingTarget {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl RestartingTarget {
    /// Runs a target of service `s` with the id `{name}-{number of earlier starts}`.
    pub async fn start(
        name: String,
        members: Vec<SocketAddr>,
        counts: Arc<Mutex<CrashCounts>>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("bound");
        RestartingTarget(tokio::spawn(run(name, addr, listener, members, counts)))
    }
}

async fn run(
    name: String,
    addr: SocketAddr,
    mut listener: TcpListener,
    members: Vec<SocketAddr>,
    counts: Arc<Mutex<CrashCounts>>,
) {
    for start in 0.. {
        let crash = Arc::new(Notify::new());
        let id = format!("{name}-{start}");
        let target =
            Standin::serve(listener, "hall-a", &id, "s", members.clone(), Some(crash.clone()));
        target.behave(Behaviour::Stream(EVENTS));
        crash.notified().await;
        let poison =
            |arrival: &&Arrival| arrival.body.starts_with(POISON) || arrival.has_poison_part();
        let poison = target.arrivals().iter().filter(poison).count();
        drop(target);
        {
            let mut counts = counts.lock().expect("not poisoned");
            counts.crashes += 1;
            counts.poison_arrivals += poison;
        }
        tokio::time::sleep(RESTART_DELAY).await;
        listener = listen_again(addr).await;
    }
}

/// Listens at the address of a target that has just ended.
pub async fn listen_again(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}
