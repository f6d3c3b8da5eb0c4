//! Naive model of evacuation orders: each operator numbers the orders of its data hall. An acknowledged
//! order stays in force until the operator makes the next one, even if a member repeats an older one.

use std::collections::BTreeMap;

use latchmount::evacuations::{EvacuationOrder, OrderVerdict};
use latchmount::store::{Revision, Store};

pub const HALLS: usize = 3;

/// A call with an order, and the order's number at the operator of its hall; odd numbers evacuate, even ones withdraw.
#[derive(Clone, Debug)]
pub struct Call {
    pub hall: usize,
    pub number: u64,
    pub order: EvacuationOrder,
}

/// State of a hall: numbers of orders at its operator and in the log.
#[derive(Clone, Copy, Debug, Default)]
struct Hall {
    /// The newest order that the operator made.
    made: u64,
    /// The newest order whose answer reached the operator.
    acknowledged: u64,
    /// The order in the log that last changed the hall.
    in_force: u64,
}

#[derive(Default)]
pub struct OrderModel {
    halls: [Hall; HALLS],
    made: Vec<Call>,
    /// Verdicts by log index.
    committed: BTreeMap<u64, OrderVerdict>,
    acknowledged: usize,
}

fn evacuates(number: u64) -> bool {
    number % 2 == 1
}

impl OrderModel {
    pub fn name(hall: usize) -> String {
        format!("hall{hall}")
    }

    /// Makes the next order of a hall, or repeats the newest; `None` if there is none yet.
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

    /// Checks the verdict of an applied entry. Members apply entries in order, so the first one to apply
    /// an entry advances the model and the others must give the same verdict.
    pub fn commit(&mut self, index: u64, call: &Call, verdict: OrderVerdict) {
        if let Some(first) = self.committed.get(&index) {
            assert_eq!(*first, verdict, "index {index} differs between members");
            return;
        }
        self.committed.insert(index, verdict);
        let hall = &mut self.halls[call.hall];
        let already_in_force = evacuates(hall.in_force) == call.order.evacuate;
        match verdict {
            OrderVerdict::Overtaken => assert!(
                !already_in_force,
                "{call:?} was reported as overtaken, but the hall is as ordered"
            ),
            OrderVerdict::InForce if already_in_force => {}
            OrderVerdict::InForce => {
                assert!(call.number >= hall.acknowledged, "{call:?} undid a newer order: {hall:?}");
                hall.in_force = call.number;
            }
        }
    }

    /// Records an answer that reached the operator, which ignores answers to all but its newest order.
    pub fn answer(&mut self, call: &Call, verdict: OrderVerdict) {
        let hall = &mut self.halls[call.hall];
        if verdict == OrderVerdict::InForce && call.number == hall.made {
            hall.acknowledged = call.number;
            self.acknowledged += 1;
        }
    }

    /// Checks a store against the log and the acknowledged orders.
    pub fn check(&self, store: &Store) {
        for (at, hall) in self.halls.iter().enumerate() {
            let evacuated = store.evacuations().evacuated(&Self::name(at));
            assert_eq!(
                evacuated,
                evacuates(hall.in_force),
                "hall {at} differs from the log: {hall:?}"
            );
            if hall.made == hall.acknowledged {
                assert_eq!(
                    evacuated,
                    evacuates(hall.made),
                    "the acknowledged order of hall {at} was undone: {hall:?}"
                );
            }
        }
    }

    /// Number of orders acknowledged to operators.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged
    }
}
