//! Logs which stages of roll-outs this gateway applies.
//!
//! A stage may forbid requests to a version while some that were sent before are still on their way there. The line is
//! written once they have ended, so that whoever reads it knows that the version gets nothing more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::mpsc;

use super::Gateway;
use crate::clock::Instant;
use crate::store::Revision;
use crate::sync::read;

/// Longest time for which a line waits for requests to end; streams may last for minutes.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Interval at which the requests on their way are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Stages that were applied.
#[derive(Debug)]
pub(super) struct AppliedRollouts {
    pub(super) revision: Revision,
    /// Service, version, stage and share of each roll-out.
    pub(super) summary: String,
    /// The member that sent them.
    pub(super) from: SocketAddr,
}

/// Logs applied stages, in the order in which they were applied.
pub(super) async fn run(
    gateway: Arc<Gateway>,
    mut applied: mpsc::UnboundedReceiver<AppliedRollouts>,
) {
    while let Some(AppliedRollouts { revision, summary, from }) = applied.recv().await {
        let on_their_way = wait_until_idle(&gateway).await;
        info!(gateway.log, "roll-out states applied"; "event" => "rollouts", "revision" => revision,
            "rollouts" => summary, "from" => %from, "on_their_way" => on_their_way);
    }
}

/// Waits until no request is in flight at a target that may receive none, or [`MAX_WAIT`] has passed. Returns how many are
/// left.
async fn wait_until_idle(gateway: &Gateway) -> u32 {
    let began = Instant::now();
    loop {
        let in_flight = read(&gateway.targets).in_flight_at_forbidden_versions();
        if in_flight == 0 || began.elapsed() >= MAX_WAIT {
            return in_flight;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
