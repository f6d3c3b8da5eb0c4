//! Evacuated data halls, whose targets are sent no new requests.
//!
//! An order and its withdrawal do not commute: an older command that is applied after a newer one would undo it.
//! Callers repeat an order whose answer was lost, and give it no number. So the member that receives a call first reads
//! at the leader which order was the hall's last, and its command names that order. A command takes effect only if the
//! order it names is still the last one. So a command that is repeated, delayed or committed late has no effect once a
//! newer order was applied.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// An order to evacuate a data hall, or its withdrawal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The data hall.
    pub data_hall: String,
    /// True for the order, false for its withdrawal.
    pub evacuate: bool,
    /// Revision of the hall's last order when the call was received; 0 if it had none.
    pub after: Revision,
}

/// Result of applying an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderVerdict {
    /// The hall is in the ordered state, by this or an earlier order.
    InForce,
    /// Another order was applied since the call was received, so this one has no effect.
    Overtaken,
}

/// A hall's last order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// Whether the hall is evacuated.
    pub evacuated: bool,
    /// Revision that brought it into this state; 0 if it never was in the other one.
    pub since: Revision,
    /// Revision of the order.
    pub at: Revision,
    /// Whether the withdrawal is so long ago that none of the hall's targets is still cold. The log has no clock, and a
    /// restarted member can't know how much time passed before, so the leader records this once.
    pub warm_again: bool,
}

/// A data hall whose targets are no longer cold after its evacuation was withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmAgain {
    /// The data hall.
    pub data_hall: String,
    /// Revision of the withdrawal.
    pub since: Revision,
}

/// The last order of each data hall that ever had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: Revision,
    halls: BTreeMap<String, HallOrder>,
}

impl Evacuations {
    /// Revision that last changed the state of a hall; 0 before the first change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All halls that had orders, by name, with their last ones.
    pub fn halls(&self) -> impl Iterator<Item = (&str, HallOrder)> {
        self.halls.iter().map(|(hall, order)| (hall.as_str(), *order))
    }

    /// Whether a hall is evacuated.
    pub fn evacuated(&self, data_hall: &str) -> bool {
        self.halls.get(data_hall).is_some_and(|order| order.evacuated)
    }

    /// Revision of a hall's last order; 0 if it had none.
    pub fn last_order(&self, data_hall: &str) -> Revision {
        self.halls.get(data_hall).map_or(0, |order| order.at)
    }

    /// Applies the order of the log entry at `index`.
    pub fn apply(&mut self, index: Revision, order: EvacuationOrder) -> OrderVerdict {
        let in_force = self.evacuated(&order.data_hall) == order.evacuate;
        if self.last_order(&order.data_hall) != order.after {
            return if in_force { OrderVerdict::InForce } else { OrderVerdict::Overtaken };
        }
        let known = self.halls.get(&order.data_hall);
        let since = if in_force { known.map_or(0, |known| known.since) } else { index };
        self.revision = self.revision.max(since);
        let warm_again = in_force && known.is_some_and(|known| known.warm_again);
        let last = HallOrder { evacuated: order.evacuate, since, at: index, warm_again };
        self.halls.insert(order.data_hall, last);
        OrderVerdict::InForce
    }

    /// Halls whose evacuation was withdrawn and whose targets may still be cold.
    pub fn returning(&self) -> impl Iterator<Item = WarmAgain> {
        let returning =
            |order: &HallOrder| !order.evacuated && order.since > 0 && !order.warm_again;
        let halls = self.halls.iter().filter(move |(_, order)| returning(order));
        halls.map(|(hall, order)| WarmAgain { data_hall: hall.clone(), since: order.since })
    }

    /// Marks halls as warm again, unless their state changed since.
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
