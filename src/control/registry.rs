//! The leader's registry of routers: when each sent its last sync call, and with which revision.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::raft::Time;
use crate::rpc::{LiveRouters, Report, RouterStatus, SyncRequest, WaitReply};
use crate::store::Revision;

/// A router as of its last sync call.
#[derive(Clone, Debug)]
struct RouterState {
    /// When the call came.
    at: Time,
    /// Revision that the router has in force.
    revision: Revision,
    /// Address at which other routers reach it.
    addr: Option<SocketAddr>,
    report: Report,
}

/// Routers that sent a sync call within the last freshness lease.
///
/// A router whose last call is older has no valid lease and has stopped admitting requests by itself.
#[derive(Debug)]
pub(super) struct Registry {
    lease: Duration,
    routers: BTreeMap<String, RouterState>,
}

impl Registry {
    pub(super) fn new(lease: Duration) -> Self {
        Registry { lease, routers: BTreeMap::new() }
    }

    /// Records a router's sync call, and removes routers whose lease has run out.
    pub(super) fn record(&mut self, now: Time, revision: Revision, request: SyncRequest) {
        let lease = self.lease;
        self.routers.retain(|_, state| now <= state.at + lease);
        let SyncRequest { router, addr, report, .. } = request;
        self.routers.insert(router, RouterState { at: now, revision, addr, report });
    }

    /// Whether `revision` is in force at every router that may be admitting requests.
    ///
    /// A router may hold a lease from an earlier leader that this one, elected at `leading_since`, has not received a
    /// call from yet. After a whole lease every router that still admits requests has called this leader.
    pub(super) fn in_force(&self, now: Time, leading_since: Time, revision: Revision) -> WaitReply {
        let live = self.routers.iter().filter(|(_, state)| now <= state.at + self.lease);
        let (ready, behind): (Vec<_>, Vec<_>) =
            live.partition(|(_, state)| state.revision >= revision);
        let names = |routers: Vec<(&String, &RouterState)>| -> Vec<String> {
            routers.into_iter().map(|(name, _)| name.clone()).collect()
        };
        WaitReply {
            in_force: behind.is_empty() && now >= leading_since + self.lease,
            behind: names(behind),
            ready: names(ready),
        }
    }

    /// Addresses of the live routers; `None` until this leader has led for a whole lease and surely knows them all.
    pub(super) fn live(&self, now: Time, leading_since: Time) -> Option<LiveRouters> {
        let live = self.routers.iter().filter(|(_, state)| now <= state.at + self.lease);
        let addrs = live.filter_map(|(host, state)| Some((host.clone(), state.addr?)));
        (now >= leading_since + self.lease).then(|| LiveRouters(addrs.collect()))
    }

    /// Status of every live router.
    pub(super) fn status(&self, now: Time) -> Vec<RouterStatus> {
        let live = self.routers.iter().filter(|(_, state)| now <= state.at + self.lease);
        live.map(|(host, state)| RouterStatus {
            host: host.clone(),
            revision: state.revision,
            heard_ms_ago: now.saturating_sub(state.at).as_millis() as u64,
            report: state.report.clone(),
        })
        .collect()
    }
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
