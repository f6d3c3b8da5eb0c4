//! What a router follows: its partner's configuration and the platform's list.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use slog::{error, info, warn};

use super::{RouterError, Shared, lock};
use crate::platform::Platform;
use crate::raft::GroupId;
use crate::rpc::{ControlClient, ControlError, Group, SyncReply, SyncRequest};

/// How long control may hold an answer while there is nothing new.
const SYNC_WAIT: Duration = Duration::from_secs(1);
/// Longest time for one exchange with control beyond that wait.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);
/// Before asking another member after a failure.
const SYNC_PAUSE: Duration = Duration::from_millis(100);

/// Starts both tasks.
pub(super) fn start(shared: &Arc<Shared>) -> Result<(), RouterError> {
    let group = Group::new(&shared.settings.control, SYNC_WAIT + SYNC_TIMEOUT)?;
    tokio::spawn(follow_config(shared.clone(), group));
    tokio::spawn(follow_list(shared.clone()));
    Ok(())
}

/// Keeps the configuration in force and its freshness proven.
async fn follow_config(shared: Arc<Shared>, mut members: Group) {
    let mut group = GroupId::default();
    loop {
        let sent_at = shared.now();
        let request = SyncRequest {
            router: shared.host.clone(),
            addr: shared.settings.advertised_addr(),
            routers_known: shared.slots.routers_known(),
            group,
            known: shared.config().revision(),
            wait_ms: SYNC_WAIT.as_millis() as u64,
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
                    take(&shared, sent_at, reply);
                } else {
                    error!(shared.log, "another group answers"; "event" => "foreign_group");
                    tokio::time::sleep(SYNC_WAIT).await;
                }
            }
            Err(error) => {
                warn!(shared.log, "no configuration"; "event" => "sync_failed", "error" => %error);
                members.switch_member(&error);
                tokio::time::sleep(SYNC_PAUSE).await;
            }
        }
    }
}

/// Puts a reply in force unless it is older than what is.
fn take(shared: &Shared, sent_at: Duration, reply: SyncReply) {
    let current = shared.config();
    let revision = reply.delta.revision;
    if revision < current.revision() {
        error!(shared.log, "older configuration refused"; "event" => "config_refused", "revision" => revision);
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

/// Reads the platform's list again and again.
async fn follow_list(shared: Arc<Shared>) {
    let pause = Duration::from_millis(shared.settings.list_poll_ms);
    let timeout = Duration::from_millis(shared.settings.list_max_age_ms);
    let platform = Platform::new(shared.http.clone(), &shared.platform_url);
    let mut reachable = true;
    loop {
        let read = platform.list(timeout).await;
        if read.is_ok() != reachable {
            reachable = read.is_ok();
            warn!(shared.log, "platform list"; "event" => "platform_list", "reachable" => reachable);
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
