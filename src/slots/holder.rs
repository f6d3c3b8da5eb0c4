//! The router's side: the slots that it holds at one owner's targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Ask, Decision, Place, Ticket, Verdict};
use crate::choice::NameHash;

/// The slots that a router holds at the targets of one owner.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    asked: Ticket,
    /// Asks without an answer, by their numbers.
    open: BTreeMap<Ticket, Vec<Place>>,
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
    /// Whether the sender has a statement of the receiver; without one it can't grant anything.
    pub heard: bool,
    /// Slots held; places not named hold none.
    pub held: Vec<(Place, usize)>,
}

impl Holder {
    /// Numbers an ask.
    pub fn ask(&mut self, ask: &mut Ask) {
        self.asked += 1;
        ask.ticket = self.asked;
        let place = |target: &NameHash| Place { target: *target, team: ask.team };
        self.open.insert(ask.ticket, ask.targets.iter().map(place).collect());
    }

    /// Takes the answer to an ask. An answer to an ask that was given up is no slot.
    pub fn answered(&mut self, ticket: Ticket, verdict: Verdict) -> Decision {
        let Some(places) = self.open.remove(&ticket) else {
            return Decision::Undecided;
        };
        match verdict {
            Verdict::Granted(at) => {
                places.get(usize::from(at)).map_or(Decision::Undecided, |place| {
                    *self.held.entry(*place).or_default() += 1;
                    Decision::Granted(*place)
                })
            }
            Verdict::Full => Decision::Full,
            Verdict::Undecided => Decision::Undecided,
        }
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

    /// What is held now, for an owner that has or has not stated what it holds here.
    pub fn statement(&mut self, heard: bool) -> Statement {
        self.sequence += 1;
        let settled = self.open.keys().next().map_or(self.asked, |first| first - 1);
        let held = self.held.iter().map(|(place, count)| (*place, *count)).collect();
        Statement { at: self.sequence, settled, heard, held }
    }
}
