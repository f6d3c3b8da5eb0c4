//! The router's side: the slots that it holds at one owner's targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Place, Ticket};
/// The slots that a router holds at the targets of one owner.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    asked: Ticket,
    open: BTreeMap<Ticket, Place>,
    held: BTreeMap<Place, usize>,
    sequence: u32,
}

/// A router's complete statement to one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Orders statements and returns of one router.
    pub at: u32,
    /// Every ask up to this one has been answered or given up.
    pub settled: Ticket,
    /// Slots held; places not named hold none.
    pub held: Vec<(Place, usize)>,
}

impl Holder {
    /// Numbers an ask for a slot at `place`.
    pub fn ask(&mut self, place: Place) -> Ticket {
        self.asked += 1;
        self.open.insert(self.asked, place);
        self.asked
    }

    /// Takes the answer to an ask; tells whether a slot is held now. An answer to an ask that was
    /// given up is no slot.
    pub fn answered(&mut self, ticket: Ticket, granted: bool) -> bool {
        let Some(place) = self.open.remove(&ticket) else {
            return false;
        };
        if granted {
            *self.held.entry(place).or_default() += 1;
        }
        granted
    }

    /// Gives up an ask whose answer did not come.
    pub fn give_up(&mut self, ticket: Ticket) {
        self.open.remove(&ticket);
    }

    /// Gives a slot back; returns the sequence to send with it.
    pub fn give(&mut self, place: Place) -> u32 {
        if let Some(count) = self.held.get_mut(&place) {
            *count = count.saturating_sub(1);
        }
        self.held.retain(|_, count| *count > 0);
        self.sequence += 1;
        self.sequence
    }

    /// Takes out all slots, to go on under another owner; gives up every ask.
    pub fn take_held(&mut self) -> BTreeMap<Place, usize> {
        self.open.clear();
        std::mem::take(&mut self.held)
    }

    /// Adds slots that another owner granted.
    pub fn add_held(&mut self, place: Place, count: usize) {
        *self.held.entry(place).or_default() += count;
    }

    /// What is held now.
    pub fn statement(&mut self) -> Statement {
        self.sequence += 1;
        let settled = self.open.keys().next().map_or(self.asked, |first| first - 1);
        let held = self.held.iter().map(|(place, count)| (*place, *count)).collect();
        Statement { at: self.sequence, settled, held }
    }
}
