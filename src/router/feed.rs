//! Background tasks that keep a router's configuration and list of targets current.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use slog::{error, info, warn};

use super::{RouterError, Shared, lock};
use crate::platform::Platform;
use crate::raft::GroupId;
use crate::rpc::{ControlClient, ControlError, MemberClients, SyncReply, SyncRequest};

/// How long a control member may hold a sync request while the configuration does not change (long poll).
const SYNC_LONG_POLL: Duration = Duration::from_secs(1);
/// Time allowed for a sync request in addition to [`SYNC_LONG_POLL`].
const SYNC_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Pause before the next control member is tried after a failed sync request.
const SYNC_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Starts the tasks that synchronise the configuration and poll the platform's list.
pub(super) fn start(shared: &Arc<Shared>) -> Result<(), RouterError> {
    let group = MemberClients::new(&shared.settings.control, SYNC_LONG_POLL + SYNC_TIMEOUT_MARGIN)?;
    tokio::spawn(follow_config(shared.clone(), group));
    tokio::spawn(follow_list(shared.clone()));
    Ok(())
}

/// Synchronises the configuration with the control group and renews the proof that it is the one in force.
///
/// Keeps to the group that answered first; replies of any other group are logged and ignored.
async fn follow_config(shared: Arc<Shared>, mut members: MemberClients) {
    let mut group = GroupId::default();
    loop {
        let sent_at = shared.now();
        let request = SyncRequest {
            router: shared.host.clone(),
            addr: shared.settings.advertised_addr(),
            routers_known: shared.slots.routers_known(),
            group,
            known: shared.config().revision(),
            wait_ms: SYNC_LONG_POLL.as_millis() as u64,
            report: shared.report(),
        };
        let sent = json_len(&request);
        let reply = members.current().sync(shared.key.clone(), request).await;
        match reply.map_err(ControlError::from) {
            Ok(reply) => {
                shared.metrics.count_control("config", sent, json_len(&reply));
                if group == GroupId::default() {
                    group = reply.group;
                }
                if reply.group == group {
                    apply_reply(&shared, sent_at, reply);
                } else {
                    error!(shared.log, "sync reply from a control group other than the first one is ignored";
                        "event" => "foreign_group");
                    tokio::time::sleep(SYNC_LONG_POLL).await;
                }
            }
            Err(error) => {
                warn!(shared.log, "sync request to a control member failed";
                    "event" => "sync_failed", "error" => %error);
                members.switch_member(&error);
                tokio::time::sleep(SYNC_RETRY_PAUSE).await;
            }
        }
    }
}

/// Applies a sync reply and renews the freshness lease, counted from `sent_at`; ignores a reply with an older
/// configuration than the one in force.
fn apply_reply(shared: &Shared, sent_at: Duration, reply: SyncReply) {
    let current = shared.config();
    let revision = reply.delta.revision;
    if revision < current.revision() {
        error!(shared.log, "configuration older than the one in force is ignored";
            "event" => "config_refused", "revision" => revision);
        return;
    }
    if revision > current.revision() {
        let mut config = (*current).clone();
        config.apply(reply.delta);
        shared.set_config(config);
        info!(shared.log, "configuration in force"; "event" => "config", "revision" => revision);
    }
    if reply.routers.is_some() {
        shared.update_slots(reply.routers);
    }
    lock(&shared.freshness).prove(sent_at, Duration::from_millis(reply.lease_ms));
}

/// Polls the platform's list of targets every `router.list_poll_ms`.
async fn follow_list(shared: Arc<Shared>) {
    let pause = Duration::from_millis(shared.settings.list_poll_ms);
    let timeout = Duration::from_millis(shared.settings.list_max_age_ms);
    let platform = Platform::new(shared.http.clone(), &shared.platform_url);
    let mut reachable = true;
    loop {
        let read = platform.list(timeout).await;
        if read.is_ok() != reachable {
            reachable = read.is_ok();
            warn!(shared.log, "reachability of the platform's list changed";
                "event" => "platform_list", "reachable" => reachable);
        }
        if let Ok(list) = read {
            shared.metrics.count_control("platform_list", list.sent_bytes, list.received_bytes);
            lock(&shared.targets).apply(shared.now(), list.listing);
            shared.update_slots(None);
        }
        tokio::time::sleep(pause).await;
    }
}

fn json_len(message: &impl Serialize) -> usize {
    serde_json::to_vec(message).map_or(0, |bytes| bytes.len())
}
