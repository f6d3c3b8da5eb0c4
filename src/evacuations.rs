//! Data halls that are evacuated: their targets are to be sent nothing more.
//!
//! An order and its withdrawal do not commute: one that takes effect late, after a newer one, would undo
//! it. Callers send the same order again when its answer is lost, and give it no number. So the member that
//! takes a call first reads, at the leader, which order was the hall's last, and the command names
//! that one. A command takes effect only while the order that it names is still the last: whatever
//! repeats it, holds it up or commits it late, a newer order has made it void.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// An order to evacuate a data hall, or its withdrawal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The hall.
    pub data_hall: String,
    /// True for the order, false for its withdrawal.
    pub evacuate: bool,
    /// Revision of the hall's last order when the call came in; 0 if it never had one.
    pub after: Revision,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderVerdict {
    /// The hall is as the order wants it, by this or an earlier order.
    InForce,
    /// Another order took effect since the call came in; this one never will.
    Overtaken,
}

/// A hall's last order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// Whether the hall is evacuated.
    pub evacuated: bool,
    /// Revision since which it is so; 0 if it never was otherwise.
    pub since: Revision,
    /// Revision of the order.
    pub at: Revision,
    /// Whether it was withdrawn so long ago that its targets are surely warm. The log has no clock, and a
    /// member that starts knows of no time before that, so the leader says so once.
    pub warm_again: bool,
}

/// A data hall whose targets are surely warm since it was taken back into use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmAgain {
    /// The hall.
    pub data_hall: String,
    /// Revision that took it back.
    pub since: Revision,
}

/// The last order of each data hall that ever had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: Revision,
    halls: BTreeMap<String, HallOrder>,
}

impl Evacuations {
    /// Revision that last changed anything for a hall; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Halls with their last orders, by name.
    pub fn halls(&self) -> impl Iterator<Item = (&str, HallOrder)> {
        self.halls.iter().map(|(hall, order)| (hall.as_str(), *order))
    }

    /// Whether a hall is evacuated.
    pub fn evacuated(&self, data_hall: &str) -> bool {
        self.halls.get(data_hall).is_some_and(|order| order.evacuated)
    }

    /// Revision of a hall's last order; 0 if it never had one.
    pub fn last_order(&self, data_hall: &str) -> Revision {
        self.halls.get(data_hall).map_or(0, |order| order.at)
    }

    /// Applies an order that stands in the log at `index`.
    pub fn apply(&mut self, index: Revision, order: EvacuationOrder) -> OrderVerdict {
        let as_wanted = self.evacuated(&order.data_hall) == order.evacuate;
        if self.last_order(&order.data_hall) != order.after {
            return if as_wanted { OrderVerdict::InForce } else { OrderVerdict::Overtaken };
        }
        let known = self.halls.get(&order.data_hall);
        let since = if as_wanted { known.map_or(0, |known| known.since) } else { index };
        self.revision = self.revision.max(since);
        let warm_again = as_wanted && known.is_some_and(|known| known.warm_again);
        let last = HallOrder { evacuated: order.evacuate, since, at: index, warm_again };
        self.halls.insert(order.data_hall, last);
        OrderVerdict::InForce
    }

    /// Halls that were taken back and whose targets may still be cold.
    pub fn returning(&self) -> impl Iterator<Item = WarmAgain> {
        let returning =
            |order: &HallOrder| !order.evacuated && order.since > 0 && !order.warm_again;
        let halls = self.halls.iter().filter(move |(_, order)| returning(order));
        halls.map(|(hall, order)| WarmAgain { data_hall: hall.clone(), since: order.since })
    }

    /// Notes halls whose targets are surely warm, unless they had an order since.
    pub fn mark_warm(&mut self, halls: &[WarmAgain]) {
        for warm in halls {
            if let Some(order) = self.halls.get_mut(&warm.data_hall)
                && order.since == warm.since
            {
                order.warm_again = true;
            }
        }
    }
}
