//! A target that ends while it runs a poison request, and is started again after a while.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::standin::{Behaviour, POISON, Standin};

/// Time until it is started again.
const DOWN_FOR: Duration = Duration::from_millis(1_000);
/// Events of its answers.
const EVENTS: u32 = 4;

/// What has happened at the targets of a service.
#[derive(Default)]
pub struct CrashCounts {
    /// Targets that ended.
    pub crashes: usize,
    /// Poison requests that reached a target.
    pub poison_arrivals: usize,
}

/// A place at which one target after the other runs; ends when dropped.
pub struct RestartingTarget(JoinHandle<()>);

impl Drop for RestartingTarget {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl RestartingTarget {
    /// Starts targets of service `s`, named after `name` and the count of their starts.
    pub async fn start(
        name: String,
        doors: Vec<SocketAddr>,
        ledger: Arc<Mutex<CrashCounts>>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("bound");
        RestartingTarget(tokio::spawn(run(name, addr, listener, doors, ledger)))
    }
}

async fn run(
    name: String,
    addr: SocketAddr,
    mut listener: TcpListener,
    doors: Vec<SocketAddr>,
    ledger: Arc<Mutex<CrashCounts>>,
) {
    for start in 0.. {
        let ends = Arc::new(Notify::new());
        let id = format!("{name}-{start}");
        let target =
            Standin::serve(listener, "hall-a", &id, "s", doors.clone(), Some(ends.clone()));
        target.behave(Behaviour::Stream(EVENTS));
        ends.notified().await;
        let poison = target.arrivals().iter().filter(|one| one.body.starts_with(POISON)).count();
        drop(target);
        {
            let mut ledger = ledger.lock().expect("not poisoned");
            ledger.crashes += 1;
            ledger.poison_arrivals += poison;
        }
        tokio::time::sleep(DOWN_FOR).await;
        listener = loop {
            match TcpListener::bind(addr).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
    }
}
