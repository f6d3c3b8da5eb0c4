//! The thread that receives, sends and repeats the datagrams in which routers exchange slots.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;

use super::Shared;
use super::slots::STATEMENT_INTERVAL;

/// Interval of statements while the view is not stable, see
/// [`Slots::send_statements`](super::slots::Slots::send_statements).
const UNSTABLE_STATEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Pause after a socket error.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Receives and sends datagrams until the process ends. It runs on its own thread, since otherwise an owner busy with
/// its own clients' requests would delay those of all other routers.
///
/// # Errors
/// When the socket, the runtime or the thread can't be created.
pub(super) fn start(shared: &Arc<Shared>) -> std::io::Result<()> {
    let socket = shared.slots.socket.try_clone()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let socket = {
        let _entered = runtime.enter();
        tokio::net::UdpSocket::from_std(socket)?
    };
    let shared = shared.clone();
    let run = move || {
        let tasks = async {
            tokio::join!(receive(&shared, &socket), resend(&shared), send_statements(&shared));
        };
        runtime.block_on(tasks);
    };
    std::thread::Builder::new().name("slots".into()).spawn(run)?;
    Ok(())
}

/// Receives and handles datagrams.
async fn receive(shared: &Shared, socket: &tokio::net::UdpSocket) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut datagram).await {
            Ok((len, _)) => {
                shared.metrics.count_control("slots", 0, len);
                shared.slots.receive(shared.now(), &datagram[..len]);
            }
            Err(error) => {
                warn!(shared.log, "can't receive datagrams of other routers";
                    "event" => "slots_failed", "error" => %error);
                tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
            }
        }
    }
}

/// Sends messages when they are due, including slot requests that were not answered in time.
async fn resend(shared: &Shared) {
    loop {
        let now = shared.now();
        let next = shared.slots.send_all_due(now);
        let wait = next.map_or(STATEMENT_INTERVAL, |next| next.saturating_sub(now));
        tokio::select! {
            () = shared.slots.due_earlier.notified() => {}
            () = tokio::time::sleep(wait) => {}
        }
    }
}

/// Sends statements of the slots held, more often while the view is not stable.
async fn send_statements(shared: &Shared) {
    let mut last_full = Duration::ZERO;
    loop {
        let stable = shared.slots.send_statements(shared.now(), &mut last_full);
        tokio::time::sleep(if stable { STATEMENT_INTERVAL } else { UNSTABLE_STATEMENT_INTERVAL })
            .await;
    }
}
