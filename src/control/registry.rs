//! What a leader knows of the routers: who was heard when, and with which revision.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::raft::Time;
use crate::rpc::{LiveRouters, RouterReport, RouterStatus, SyncRequest, WaitReply};
use crate::store::Revision;

#[derive(Clone, Debug)]
struct Seen {
    at: Time,
    revision: Revision,
    addr: Option<SocketAddr>,
    report: RouterReport,
}

/// Routers heard within one freshness lease.
///
/// A router not heard for longer has stopped admitting by itself.
#[derive(Debug)]
pub(super) struct Registry {
    lease: Duration,
    routers: BTreeMap<String, Seen>,
}

impl Registry {
    pub(super) fn new(lease: Duration) -> Self {
        Registry { lease, routers: BTreeMap::new() }
    }

    /// Notes a router's call.
    pub(super) fn hear(&mut self, now: Time, revision: Revision, request: SyncRequest) {
        let lease = self.lease;
        self.routers.retain(|_, seen| now <= seen.at + lease);
        let SyncRequest { router, addr, report, .. } = request;
        self.routers.insert(router, Seen { at: now, revision, addr, report });
    }

    /// Whether `revision` is in force at every router that may be admitting.
    ///
    /// A leader knows that it has heard every such router only after a whole lease in office,
    /// which began at `leading_since`.
    pub(super) fn in_force(&self, now: Time, leading_since: Time, revision: Revision) -> WaitReply {
        let live = self.routers.iter().filter(|(_, seen)| now <= seen.at + self.lease);
        let (ready, behind): (Vec<_>, Vec<_>) =
            live.partition(|(_, seen)| seen.revision >= revision);
        let names = |routers: Vec<(&String, &Seen)>| -> Vec<String> {
            routers.into_iter().map(|(name, _)| name.clone()).collect()
        };
        WaitReply {
            in_force: behind.is_empty() && now >= leading_since + self.lease,
            behind: names(behind),
            ready: names(ready),
        }
    }

    /// Where the live routers are reached; `None` until a leader is a whole lease in office.
    pub(super) fn live(&self, now: Time, leading_since: Time) -> Option<LiveRouters> {
        let live = self.routers.iter().filter(|(_, seen)| now <= seen.at + self.lease);
        let addrs = live.filter_map(|(host, seen)| Some((host.clone(), seen.addr?)));
        (now >= leading_since + self.lease).then(|| LiveRouters(addrs.collect()))
    }

    /// Every live router.
    pub(super) fn status(&self, now: Time) -> Vec<RouterStatus> {
        let live = self.routers.iter().filter(|(_, seen)| now <= seen.at + self.lease);
        live.map(|(host, seen)| RouterStatus {
            host: host.clone(),
            revision: seen.revision,
            heard_ms_ago: now.saturating_sub(seen.at).as_millis() as u64,
            report: seen.report.clone(),
        })
        .collect()
    }
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
