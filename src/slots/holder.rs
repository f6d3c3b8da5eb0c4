//! The requesting side: the slots that a router holds at the targets of one owner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Ask, Decision, Place, Ticket, Verdict};
use crate::choice::NameHash;

/// The slots that a router holds at the targets of one owner.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Ticket of the newest ask; tickets are counted from 1.
    last_ticket: Ticket,
    /// Targets of each ask that has not been answered.
    open: BTreeMap<Ticket, Vec<Place>>,
    held: BTreeMap<Place, usize>,
    /// Sequence number of the last statement or release.
    sequence: u32,
}

/// A complete report of the slots that a router holds at the targets of one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Orders the statements and releases of one router: grows with each of them.
    pub sequence: u32,
    /// Highest ticket up to which every ask has been answered or given up.
    pub closed_up_to: Ticket,
    /// Whether the sender has a statement from the receiver about every target that the sender owns. Without one the
    /// sender can't grant any slot.
    pub receiver_reported: bool,
    /// Number of slots held; none at places that are not listed.
    pub held: Vec<(Place, usize)>,
}

impl Holder {
    /// Sets the ticket of an ask and keeps its targets until the answer arrives.
    pub fn ask(&mut self, ask: &mut Ask) {
        self.last_ticket += 1;
        ask.ticket = self.last_ticket;
        let place = |target: &NameHash| Place { target: *target, team: ask.team };
        self.open.insert(ask.ticket, ask.targets.iter().map(place).collect());
    }

    /// Applies the answer to an ask. A slot that is granted to an ask already given up is not held.
    pub fn record_answer(&mut self, ticket: Ticket, verdict: Verdict) -> Decision {
        let Some(places) = self.open.remove(&ticket) else {
            return Decision::Undecided;
        };
        match verdict {
            Verdict::Granted(index) => {
                places.get(usize::from(index)).map_or(Decision::Undecided, |place| {
                    *self.held.entry(*place).or_default() += 1;
                    Decision::Granted(*place)
                })
            }
            Verdict::Full => Decision::Full,
            Verdict::Undecided => Decision::Undecided,
        }
    }

    /// Gives up an ask that has not been answered.
    pub fn give_up(&mut self, ticket: Ticket) {
        self.open.remove(&ticket);
    }

    /// Releases a slot, and returns the sequence number to send with the release.
    pub fn release(&mut self, place: Place) -> u32 {
        if let Some(count) = self.held.get_mut(&place) {
            *count = count.saturating_sub(1);
        }
        self.held.retain(|_, count| *count > 0);
        self.sequence += 1;
        self.sequence
    }

    /// Removes and returns all slots, for transfer to the targets' new owners, and gives up every open ask.
    pub fn take_held(&mut self) -> BTreeMap<Place, usize> {
        self.open.clear();
        std::mem::take(&mut self.held)
    }

    /// Adds slots that the targets' former owner granted.
    pub fn add_held(&mut self, place: Place, count: usize) {
        *self.held.entry(place).or_default() += count;
    }

    /// The next statement to the owner. `receiver_reported` is whether the owner has sent its own statement to this
    /// router.
    pub fn statement(&mut self, receiver_reported: bool) -> Statement {
        self.sequence += 1;
        let closed_up_to = self.open.keys().next().map_or(self.last_ticket, |first| first - 1);
        let held = self.held.iter().map(|(place, count)| (*place, *count)).collect();
        Statement { sequence: self.sequence, closed_up_to, receiver_reported, held }
    }
}
