//! Orders about data halls, by a naive model: each operator numbers its orders; what was acknowledged
//! stays until the next order is made, whatever repeats an older one.

use std::collections::BTreeMap;

use latchmount::evacuations::{EvacuationOrder, OrderVerdict};
use latchmount::store::{Revision, Store};

pub const HALLS: usize = 3;

/// An order on its way, with its number at the operator of its hall; even ones withdraw.
#[derive(Clone, Debug)]
pub struct Call {
    pub hall: usize,
    pub number: u64,
    pub order: EvacuationOrder,
}

/// A hall as its operator and the log have it.
#[derive(Clone, Copy, Debug, Default)]
struct Hall {
    /// The newest order made.
    made: u64,
    /// The newest order whose answer reached the operator.
    acknowledged: u64,
    /// The order that last changed the hall, by the log.
    in_force: u64,
}

#[derive(Default)]
pub struct Orders {
    halls: [Hall; HALLS],
    made: Vec<Call>,
    /// Verdicts by index.
    committed: BTreeMap<u64, OrderVerdict>,
    acknowledged: usize,
}

fn evacuates(number: u64) -> bool {
    number % 2 == 1
}

impl Orders {
    pub fn name(hall: usize) -> String {
        format!("hall{hall}")
    }

    /// Makes the next order of a hall, or the newest again; `None` when there is none yet.
    pub fn call(&mut self, hall: usize, next: bool, after: Revision) -> Option<Call> {
        let state = &mut self.halls[hall];
        if next {
            state.made += 1;
        }
        let number = state.made;
        if number == 0 {
            return None;
        }
        let evacuate = evacuates(number);
        let order = EvacuationOrder { data_hall: Self::name(hall), evacuate, after };
        let call = Call { hall, number, order };
        self.made.push(call.clone());
        Some(call)
    }

    /// Every call ever made.
    pub fn made(&self) -> &[Call] {
        &self.made
    }

    /// An entry was applied; members apply in order, and the first to apply one is the model's.
    pub fn commit(&mut self, index: u64, call: &Call, verdict: OrderVerdict) {
        if let Some(first) = self.committed.get(&index) {
            assert_eq!(*first, verdict, "index {index} differs between members");
            return;
        }
        self.committed.insert(index, verdict);
        let hall = &mut self.halls[call.hall];
        let as_wanted = evacuates(hall.in_force) == call.order.evacuate;
        match verdict {
            OrderVerdict::Overtaken => assert!(!as_wanted, "{call:?} was overtaken in vain"),
            OrderVerdict::InForce if as_wanted => {}
            OrderVerdict::InForce => {
                assert!(call.number >= hall.acknowledged, "{call:?} undid a newer one: {hall:?}");
                hall.in_force = call.number;
            }
        }
    }

    /// An answer reached the operator, who waits for that of the newest order only.
    pub fn answer(&mut self, call: &Call, verdict: OrderVerdict) {
        let hall = &mut self.halls[call.hall];
        if verdict == OrderVerdict::InForce && call.number == hall.made {
            hall.acknowledged = call.number;
            self.acknowledged += 1;
        }
    }

    /// Holds a store against what was acknowledged.
    pub fn check(&self, store: &Store) {
        for (at, hall) in self.halls.iter().enumerate() {
            let evacuated = store.evacuations().evacuated(&Self::name(at));
            assert_eq!(evacuated, evacuates(hall.in_force), "hall {at} against the log: {hall:?}");
            if hall.made == hall.acknowledged {
                assert_eq!(evacuated, evacuates(hall.made), "hall {at} was undone: {hall:?}");
            }
        }
    }

    /// Answers that reached operators.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged
    }
}
