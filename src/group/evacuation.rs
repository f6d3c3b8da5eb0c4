//! Orders of operators to evacuate data halls: taken, told to gateways, followed until all obey.

use std::collections::HashMap;
use std::time::Duration;

use slog::info;

use super::message::{Evacuation, HallNews, HallState};
use super::propagation::Connection;
use super::{Shared, Unavailable};
use crate::control::member::Published;
use crate::evacuations::{EvacuationOrder, Evacuations, HallOrder, OrderVerdict, WarmAgain};
use crate::jsonc::Fault;
use crate::level::Level;
use crate::store::{Answer, Command, Revision};
use crate::sync::lock;

/// Time beyond the longest start after which targets are surely warm: gateways count a start from when they are told.
const WARM_MARGIN: Duration = Duration::from_secs(1);

/// An order was not taken.
#[derive(Debug, thiserror::Error)]
pub(super) enum OrderError {
    /// The call can't be read.
    #[error("{0}")]
    Faulty(Fault),
    /// There is no such data hall.
    #[error("{0}")]
    UnknownHall(Fault),
    /// Another order took effect while this one was under way.
    #[error("another order took effect meanwhile")]
    Overtaken,
    /// The outcome is not known; the caller may ask again.
    #[error("the group has no leader within reach")]
    Unavailable,
    /// Processes of an earlier build take part, which would not obey it.
    #[error("an upgrade is under way")]
    Upgrading,
}

impl From<Unavailable> for OrderError {
    fn from(_: Unavailable) -> Self {
        OrderError::Unavailable
    }
}

/// Number under which the propagation of orders knows what a gateway obeys: 0 stands for one that never
/// heard of any, and the first revision is 0.
pub(super) fn evacuations_version(revision: Option<Revision>) -> u64 {
    revision.map_or(0, |revision| revision + 1)
}

/// When this member learned that halls take work again.
#[derive(Debug, Default)]
pub(super) struct Returns(HashMap<String, (Revision, Duration)>);

impl Returns {
    /// Takes the orders as they are now.
    fn note(&mut self, now: Duration, evacuations: &Evacuations) {
        let returned = evacuations.halls().filter(|(_, order)| !order.evacuated);
        for (hall, order) in returned {
            let known = self.0.get(hall).is_some_and(|(since, _)| *since == order.since);
            if !known {
                self.0.insert(hall.to_owned(), (order.since, now));
            }
        }
    }

    /// For how long the withdrawal of revision `since` has been known.
    fn known_for(&self, now: Duration, hall: &str, since: Revision) -> Duration {
        let known = self.0.get(hall).filter(|(noted, _)| *noted == since);
        known.map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }
}

impl Shared {
    /// Takes an order about the data hall that a path names; returns once it is surely in force.
    pub(super) async fn order_evacuation(
        &self,
        path: &str,
        evacuate: bool,
        body: &[u8],
    ) -> Result<(), OrderError> {
        let data_hall = read_hall(path, body)?;
        let longest = Duration::from_millis(self.settings.answer_within_ms);
        let ordering = self.carry_order(data_hall, evacuate);
        let taken = tokio::time::timeout(longest, ordering).await;
        taken.map_err(|_| OrderError::Unavailable)?
    }

    /// Reads which order was the hall's last, once for the whole call, and proposes this one after it.
    ///
    /// The proposal may be repeated by itself without harm, as [`EvacuationOrder`] tells. A caller that gave up
    /// has closed its connection, which drops this before the reading is done.
    async fn carry_order(&self, data_hall: String, evacuate: bool) -> Result<(), OrderError> {
        let published = self.read().await?;
        self.check_hall(&published, &data_hall)?;
        if published.level < Level::STARTS {
            return Err(OrderError::Upgrading);
        }
        let after = published.evacuations.last(&data_hall);
        let order = EvacuationOrder { data_hall: data_hall.clone(), evacuate, after };
        match self.propose(Command::Evacuate(order)).await? {
            Answer::Evacuation(OrderVerdict::InForce) => {
                info!(self.log, "order acknowledged"; "event" => "order_acknowledged",
                    "hall" => data_hall, "evacuate" => evacuate, "after" => after);
                Ok(())
            }
            Answer::Evacuation(OrderVerdict::Overtaken) => {
                info!(self.log, "order overtaken"; "event" => "order_overtaken",
                    "hall" => data_hall, "evacuate" => evacuate, "after" => after);
                Err(OrderError::Overtaken)
            }
            _ => Err(OrderError::Unavailable),
        }
    }

    /// Whether there is such a data hall, by the settings, the targets and earlier orders.
    fn check_hall(&self, published: &Published, data_hall: &str) -> Result<(), OrderError> {
        let stated = &self.settings.data_halls;
        let has_targets =
            || published.directory.targets().any(|target| target.data_hall == data_hall);
        let ordered = || published.evacuations.last(data_hall) > 0;
        if stated.contains_key(data_hall) || ordered() || has_targets() {
            return Ok(());
        }
        let message = format!("there is no data hall {data_hall:?}");
        Err(OrderError::UnknownHall(Fault::new("data_hall", message)))
    }

    /// Orders about data halls, for a gateway.
    pub(super) fn evacuations_update(&self) -> HallNews {
        let evacuations = self.member.published().borrow().evacuations.clone();
        let (now, returns) = (self.now(), lock(&self.returns));
        let told = |order: &HallOrder| order.since > 0 && !order.warm_again;
        let changed = evacuations.halls().filter(|(_, order)| told(order));
        let halls = changed.map(|(hall, order)| {
            let known_for = || returns.known_for(now, hall, order.since).as_millis() as u64;
            let state = match order.evacuated {
                true => Evacuation::InForce,
                false => Evacuation::Withdrawn { for_ms: known_for() },
            };
            HallState { data_hall: hall.to_owned(), since: order.since, state }
        });
        HallNews { revision: evacuations.revision(), halls: halls.collect() }
    }

    /// Halls that were taken back so long ago that their targets are surely warm, as far as this member has
    /// followed them.
    pub(super) fn warm_again(&self) -> Vec<WarmAgain> {
        let published = self.published();
        let mut returning = published.evacuations.returning().peekable();
        if returning.peek().is_none() {
            return Vec::new();
        }
        let (now, longest) = (self.now(), self.longest_start(&published));
        let returns = lock(&self.returns);
        returning
            .filter(|hall| returns.known_for(now, &hall.data_hall, hall.since) >= longest)
            .collect()
    }

    /// Longest time that a target may be cold, by the configuration held.
    fn longest_start(&self, published: &Published) -> Duration {
        let document = published.document.as_ref();
        let read = document.and_then(|held| self.dialect.configuration(&held.bytes).ok());
        let starts = read.iter().flat_map(|held| &held.services).map(|service| service.cold_start);
        starts.max().unwrap_or_default() + WARM_MARGIN
    }

    /// Takes note of orders that this member has now applied.
    pub(super) fn note_orders(&self, evacuations: &Evacuations) {
        let now = self.now();
        lock(&self.returns).note(now, evacuations);
        lock(&self.orders_propagation).hold(now, evacuations_version(Some(evacuations.revision())));
        let halls = evacuations.halls().filter(|(_, order)| order.evacuated);
        let evacuated: Vec<&str> = halls.map(|(hall, _)| hall).collect();
        info!(self.log, "orders about data halls"; "event" => "evacuations",
            "revision" => evacuations.revision(), "evacuated" => evacuated.join(","));
    }

    /// A gateway tells up to which revision it obeys.
    pub(super) fn record_evacuations_in_force(&self, connection: Connection, revision: Revision) {
        let waited = lock(&self.orders_propagation).in_force(
            self.now(),
            connection,
            evacuations_version(Some(revision)),
        );
        if let Some(waited) = waited {
            self.metrics.obeyed.observe(waited.as_secs_f64());
        }
        self.log_evacuations_everywhere();
    }

    /// Logs orders that all gateways here obey, with the gateway that waited longest.
    pub(super) fn log_evacuations_everywhere(&self) {
        let all = lock(&self.orders_propagation).take_everywhere();
        for everywhere in all {
            let last = everywhere.last.as_ref();
            info!(self.log, "orders obeyed by all gateways"; "event" => "evacuations_everywhere",
                "revision" => everywhere.version - 1, "gateways" => everywhere.reached,
                "last" => last.map(|last| last.gateway.as_str()),
                "waited_ms" => last.map(|last| last.waited.as_millis() as u64));
        }
    }
}

/// The data hall that a path names, in a call that has no body.
fn read_hall(path: &str, body: &[u8]) -> Result<String, OrderError> {
    let faulty = |field: &str, message: &str| OrderError::Faulty(Fault::new(field, message));
    if !body.is_empty() {
        return Err(faulty("body", "must be empty: the path names the data hall"));
    }
    let decoded = percent_encoding::percent_decode_str(path).decode_utf8();
    let data_hall = decoded.map_err(|_| faulty("data_hall", "is not UTF-8 once unescaped"))?;
    if data_hall.is_empty() {
        return Err(faulty("data_hall", "must be named in the path"));
    }
    Ok(data_hall.into_owned())
}
