//! The thread that receives and sends what routers tell each other of slots.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;

use super::Shared;
use super::slots::STATEMENT_INTERVAL;

/// Between two statements while not all is settled.
const UNSTABLE_STATEMENT_INTERVAL: Duration = Duration::from_millis(200);
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Pause after the socket failed.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Receives and sends datagrams for ever, on a thread of its own: an owner that is busy with requests of its own callers
/// would keep those of all others waiting.
///
/// # Errors
/// When the thread or what it needs can't be had.
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

/// Receives datagrams for ever.
async fn receive(shared: &Shared, socket: &tokio::net::UdpSocket) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut datagram).await {
            Ok((len, _)) => {
                shared.metrics.count_control("slots", 0, len);
                shared.slots.receive(shared.now(), &datagram[..len]);
            }
            Err(error) => {
                warn!(shared.log, "datagram lost"; "event" => "slots_failed", "error" => %error);
                tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
            }
        }
    }
}

/// Sends asks that were not answered in time again, for ever.
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

/// States what is held to every owner, for ever.
async fn send_statements(shared: &Shared) {
    let mut last_full = Duration::ZERO;
    loop {
        let stable = shared.slots.send_statements(shared.now(), &mut last_full);
        tokio::time::sleep(if stable { STATEMENT_INTERVAL } else { UNSTABLE_STATEMENT_INTERVAL })
            .await;
    }
}
