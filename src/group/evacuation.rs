//! Evacuation orders at a member: accepts operators' orders to evacuate data halls or to withdraw an evacuation, sends
//! them to gateways, and follows them until all gateways apply them.

use std::collections::HashMap;
use std::time::Duration;

use slog::info;

use super::message::{Evacuation, EvacuationsUpdate, HallState};
use super::propagation::ConnectionId;
use super::{Shared, Unavailable};
use crate::control::member::Published;
use crate::evacuations::{EvacuationOrder, Evacuations, HallOrder, OrderVerdict, WarmAgain};
use crate::jsonc::Fault;
use crate::level::Level;
use crate::store::{Answer, Command, Revision};
use crate::sync::lock;

/// Time beyond the longest cold start after which all targets of a hall are certainly warm: gateways count the cold
/// start from when they receive the withdrawal.
const WARM_MARGIN: Duration = Duration::from_secs(1);

/// An evacuation order that was not accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum OrderError {
    /// The call is invalid.
    #[error("{0}")]
    Invalid(Fault),
    /// There is no such data hall.
    #[error("{0}")]
    UnknownHall(Fault),
    /// Another order took effect while this one was under way.
    #[error("another order took effect meanwhile")]
    Overtaken,
    /// The outcome is unknown; the caller may repeat the call.
    #[error("the group has no leader within reach")]
    Unavailable,
    /// The group has processes of an earlier build, which would not apply the order.
    #[error("an upgrade is under way")]
    Upgrading,
}

impl From<Unavailable> for OrderError {
    fn from(_: Unavailable) -> Self {
        OrderError::Unavailable
    }
}

/// The version that [`Propagation`](super::propagation::Propagation) uses for a revision of the evacuation orders: 0 is
/// that of a gateway that never received any, so the versions of revisions, the first of which is 0, start at 1.
pub(super) fn evacuations_version(revision: Option<Revision>) -> u64 {
    revision.map_or(0, |revision| revision + 1)
}

/// When this member learned of each withdrawn evacuation: by data hall, the revision of the withdrawal and the time.
#[derive(Debug, Default)]
pub(super) struct Withdrawals(HashMap<String, (Revision, Duration)>);

impl Withdrawals {
    /// Adds the withdrawals among the current orders that are not known yet.
    fn update(&mut self, now: Duration, evacuations: &Evacuations) {
        let withdrawn = evacuations.halls().filter(|(_, order)| !order.evacuated);
        for (hall, order) in withdrawn {
            let known = self.0.get(hall).is_some_and(|(since, _)| *since == order.since);
            if !known {
                self.0.insert(hall.to_owned(), (order.since, now));
            }
        }
    }

    /// For how long this member has known the hall's withdrawal of revision `since`.
    fn known_for(&self, now: Duration, hall: &str, since: Revision) -> Duration {
        let known = self.0.get(hall).filter(|(known, _)| *known == since);
        known.map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }
}

impl Shared {
    /// Executes an order about the data hall named in `path`. Returns once the order is committed and in force.
    pub(super) async fn order_evacuation(
        &self,
        path: &str,
        evacuate: bool,
        body: &[u8],
    ) -> Result<(), OrderError> {
        let data_hall = parse_hall(path, body)?;
        let timeout = Duration::from_millis(self.settings.answer_within_ms);
        let ordering = self.propose_order(data_hall, evacuate);
        let outcome = tokio::time::timeout(timeout, ordering).await;
        outcome.map_err(|_| OrderError::Unavailable)?
    }

    /// Reads the hall's last order, once for the whole call, and proposes this one as its successor.
    ///
    /// The proposal may be repeated safely, since it only takes effect while the order that it names is still the
    /// hall's last, see [`crate::evacuations`]. A caller that gives up closes its connection, which drops this future:
    /// if the read is not done by then, the abandoned call proposes nothing, and so can't undo a newer order.
    async fn propose_order(&self, data_hall: String, evacuate: bool) -> Result<(), OrderError> {
        let published = self.read().await?;
        self.check_hall(&published, &data_hall)?;
        if published.level < Level::INCARNATIONS {
            return Err(OrderError::Upgrading);
        }
        let after = published.evacuations.last_order(&data_hall);
        let order = EvacuationOrder { data_hall: data_hall.clone(), evacuate, after };
        match self.propose(Command::Evacuate(order)).await? {
            Answer::Evacuation(OrderVerdict::InForce) => {
                info!(self.log, "evacuation order acknowledged"; "event" => "order_acknowledged",
                    "hall" => data_hall, "evacuate" => evacuate, "after" => after);
                Ok(())
            }
            Answer::Evacuation(OrderVerdict::Overtaken) => {
                info!(self.log, "evacuation order superseded by a newer one";
                    "event" => "order_overtaken", "hall" => data_hall, "evacuate" => evacuate, "after" => after);
                Err(OrderError::Overtaken)
            }
            _ => Err(OrderError::Unavailable),
        }
    }

    /// Checks that the data hall occurs in the settings, among the targets or in an earlier order.
    fn check_hall(&self, published: &Published, data_hall: &str) -> Result<(), OrderError> {
        let configured = &self.settings.data_halls;
        let has_targets =
            || published.directory.targets().any(|target| target.data_hall == data_hall);
        let ordered = || published.evacuations.last_order(data_hall) > 0;
        if configured.contains_key(data_hall) || ordered() || has_targets() {
            return Ok(());
        }
        let message = format!("there is no data hall {data_hall:?}");
        Err(OrderError::UnknownHall(Fault::new("data_hall", message)))
    }

    /// The update for a gateway: data halls that are evacuated, or whose targets may still be cold after an evacuation.
    pub(super) fn evacuations_update(&self) -> EvacuationsUpdate {
        let evacuations = self.member.published().borrow().evacuations.clone();
        let (now, withdrawals) = (self.now(), lock(&self.withdrawals));
        let relevant = |order: &HallOrder| order.since > 0 && !order.warm_again;
        let changed = evacuations.halls().filter(|(_, order)| relevant(order));
        let halls = changed.map(|(hall, order)| {
            let known_for = || withdrawals.known_for(now, hall, order.since).as_millis() as u64;
            let state = match order.evacuated {
                true => Evacuation::InForce,
                false => Evacuation::Withdrawn { for_ms: known_for() },
            };
            HallState { data_hall: hall.to_owned(), since: order.since, state }
        });
        EvacuationsUpdate { revision: evacuations.revision(), halls: halls.collect() }
    }

    /// Data halls whose evacuation was withdrawn so long ago, as this member has measured it, that their targets are
    /// certainly warm.
    pub(super) fn halls_warm_again(&self) -> Vec<WarmAgain> {
        let published = self.published();
        let mut returning = published.evacuations.returning().peekable();
        if returning.peek().is_none() {
            return Vec::new();
        }
        let (now, warm_after) = (self.now(), self.warm_after(&published));
        let withdrawals = lock(&self.withdrawals);
        returning
            .filter(|hall| withdrawals.known_for(now, &hall.data_hall, hall.since) >= warm_after)
            .collect()
    }

    /// Time from a withdrawal after which targets are certainly warm: the longest cold start of any service in the
    /// configuration, and [`WARM_MARGIN`].
    fn warm_after(&self, published: &Published) -> Duration {
        let document = published.document.as_ref();
        let configuration = document.and_then(|held| self.dialect.configuration(&held.bytes).ok());
        let cold_starts = configuration
            .iter()
            .flat_map(|configuration| &configuration.services)
            .map(|service| service.cold_start);
        cold_starts.max().unwrap_or_default() + WARM_MARGIN
    }

    /// Records and logs the orders that this member has now applied.
    pub(super) fn record_orders(&self, evacuations: &Evacuations) {
        let now = self.now();
        lock(&self.withdrawals).update(now, evacuations);
        lock(&self.orders_propagation)
            .add_version(now, evacuations_version(Some(evacuations.revision())));
        let halls = evacuations.halls().filter(|(_, order)| order.evacuated);
        let evacuated: Vec<&str> = halls.map(|(hall, _)| hall).collect();
        info!(self.log, "evacuation orders applied by this member"; "event" => "evacuations",
            "revision" => evacuations.revision(), "evacuated" => evacuated.join(","));
    }

    /// Records that a gateway reported to apply the orders up to `revision`.
    pub(super) fn record_evacuations_in_force(&self, connection: ConnectionId, revision: Revision) {
        let waited = lock(&self.orders_propagation).set_in_force(
            self.now(),
            connection,
            evacuations_version(Some(revision)),
        );
        if let Some(waited) = waited {
            self.metrics.evacuation_in_force.observe(waited.as_secs_f64());
        }
        self.log_evacuations_everywhere();
    }

    /// Logs the orders that all gateways connected here have come to apply, with the gateway that took longest.
    pub(super) fn log_evacuations_everywhere(&self) {
        let all = lock(&self.orders_propagation).take_propagated();
        for everywhere in all {
            let last = everywhere.slowest.as_ref();
            info!(self.log, "evacuation orders applied by all gateways of this member";
                "event" => "evacuations_everywhere", "revision" => everywhere.version - 1, "gateways" => everywhere.reached,
                "last" => last.map(|last| last.gateway.as_str()),
                "waited_ms" => last.map(|last| last.waited.as_millis() as u64));
        }
    }
}

/// Decodes the name of the data hall in the path of a call, and checks that the call has no body.
fn parse_hall(path: &str, body: &[u8]) -> Result<String, OrderError> {
    let invalid = |field: &str, message: &str| OrderError::Invalid(Fault::new(field, message));
    if !body.is_empty() {
        return Err(invalid("body", "must be empty: the path names the data hall"));
    }
    let decoded = percent_encoding::percent_decode_str(path).decode_utf8();
    let data_hall = decoded.map_err(|_| invalid("data_hall", "is not UTF-8 once unescaped"))?;
    if data_hall.is_empty() {
        return Err(invalid("data_hall", "must be named in the path"));
    }
    Ok(data_hall.into_owned())
}
