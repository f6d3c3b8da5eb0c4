//! A bounded queue of requests that wait for a target below its bound: by priority, then in order
//! of arrival.

use std::collections::BTreeMap;

/// Place of a waiting request; sorts as the queue does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Complement of the priority, so that the highest comes first.
    rank: u8,
    arrival: u64,
}

/// Waiting requests with what wakes each.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    arrivals: u64,
    waiting: BTreeMap<Ticket, T>,
}

impl<T> Queue<T> {
    /// An empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue { capacity, arrivals: 0, waiting: BTreeMap::new() }
    }

    /// Adds a request. When the queue is full, the last in order is handed back: that one is to be
    /// refused.
    pub fn push(&mut self, priority: u8, wakes: T) -> (Ticket, Option<T>) {
        self.arrivals += 1;
        let ticket = Ticket { rank: u8::MAX - priority, arrival: self.arrivals };
        self.waiting.insert(ticket, wakes);
        let over = self.waiting.len() > self.capacity;
        let refused = if over { self.waiting.pop_last() } else { None };
        (ticket, refused.map(|(_, wakes)| wakes))
    }

    /// Takes out the first in order.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, wakes)| wakes)
    }

    /// Takes out a request that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
