//! A bounded queue of requests that wait for a target with free capacity, ordered by priority, then by arrival.

use std::collections::BTreeMap;

/// Position of a queued request; tickets sort in the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Complement of the priority, so that the highest priority sorts first.
    rank: u8,
    arrival: u64,
}

/// Queued requests, each with a handle of type `T` that wakes it.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    arrivals: u64,
    waiting: BTreeMap<Ticket, T>,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue { capacity, arrivals: 0, waiting: BTreeMap::new() }
    }

    /// Adds a request. If the queue was full, also removes the last one in order and returns its handle, so that it is
    /// refused; that may be the added one.
    pub fn push(&mut self, priority: u8, handle: T) -> (Ticket, Option<T>) {
        self.arrivals += 1;
        let ticket = Ticket { rank: u8::MAX - priority, arrival: self.arrivals };
        self.waiting.insert(ticket, handle);
        let over = self.waiting.len() > self.capacity;
        let refused = if over { self.waiting.pop_last() } else { None };
        (ticket, refused.map(|(_, handle)| handle))
    }

    /// Removes the first request in order.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, handle)| handle)
    }

    /// Removes a request that is no longer waiting.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
