//! Asks on their way to one owner, many in each datagram.
//!
//! One round of asks is under way at a time, so that the owner's receive buffer holds one datagram of each router
//! however many requests come at once. A round that is not answered is sent again after a multiple of the smoothed
//! round trip: a lost datagram, or a busy owner, delays its asks and refuses none.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Ask, Message, Place, Ticket};

/// Most asks of a round; some 6 KB.
const ASKS_OF_ROUND: usize = 64;
/// Most returns that go with a round.
const GIVES_OF_ROUND: usize = 128;
/// Round trip that is assumed before the first sample.
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(15);
/// Multiple of the round trip after which a round is sent again.
const ROUND_TRIPS: u32 = 4;
/// Shortest and longest time until a round is sent again.
const RESEND_WITHIN: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// Weight of a new sample in the smoothed round trip.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Time between two datagrams that only bring slots back.
const GIVES_APART: Duration = Duration::from_millis(2);

/// A slot that is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Given {
    at: u32,
    place: Place,
}

/// A round that is not answered yet.
#[derive(Clone, Debug, PartialEq)]
struct UnderWay {
    asks: Vec<Ask>,
    sent_at: Duration,
    /// How often it was sent.
    sent: u32,
    /// Whether it gave a sample of the round trip.
    sampled: bool,
}

/// What is to be sent to an owner now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Due {
    /// The messages of one datagram; none where nothing is due.
    pub messages: Vec<Message>,
    /// Whether its asks were sent before.
    pub again: bool,
}

/// What is on its way to one owner, or waits for its turn.
#[derive(Clone, Debug, Default)]
pub struct Rounds {
    waiting: VecDeque<Ask>,
    given: VecDeque<Given>,
    under_way: Option<UnderWay>,
    round_trip: Option<Duration>,
    last_sent: Option<Duration>,
}

impl Rounds {
    /// An ask is to be sent.
    pub fn ask(&mut self, ask: Ask) {
        self.waiting.push_back(ask);
    }

    /// A slot is to be given back.
    pub fn give(&mut self, at: u32, place: Place) {
        self.given.push_back(Given { at, place });
    }

    /// An ask was answered.
    pub fn answered(&mut self, now: Duration, ticket: Ticket) {
        let asked = |round: &UnderWay| round.asks.iter().any(|ask| ask.ticket == ticket);
        // Of a round that was sent twice it is not known which one was answered.
        let first = |round: &&mut UnderWay| round.sent == 1 && !round.sampled && asked(round);
        if let Some(round) = self.under_way.as_mut().filter(first) {
            round.sampled = true;
            let sample = now.saturating_sub(round.sent_at);
            let known = self.round_trip.unwrap_or(sample);
            self.round_trip =
                Some(known.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT));
        }
        self.give_up(ticket);
    }

    /// An ask is not sent again.
    pub fn give_up(&mut self, ticket: Ticket) {
        if let Some(round) = &mut self.under_way
            && let Some(at) = round.asks.iter().position(|ask| ask.ticket == ticket)
        {
            round.asks.remove(at);
            self.under_way.take_if(|round| round.asks.is_empty());
            return;
        }
        self.waiting.retain(|ask| ask.ticket != ticket);
    }

    /// What was sent is lost, since the owner started again; it is sent to its new process.
    pub fn lost(&mut self) {
        let Some(round) = self.under_way.take() else {
            return;
        };
        for ask in round.asks.into_iter().rev() {
            self.waiting.push_front(ask);
        }
    }

    /// What is to be sent now, in one datagram; no asks while a round is under way that is not late.
    pub fn due(&mut self, now: Duration) -> Due {
        let (mut messages, mut again) = (Vec::new(), false);
        match &mut self.under_way {
            Some(round) if now < round.sent_at + resend_after(self.round_trip, round.sent) => {}
            Some(round) => {
                round.sent_at = now;
                round.sent += 1;
                again = true;
                messages.extend(round.asks.iter().cloned().map(Message::Ask));
            }
            None if !self.waiting.is_empty() => {
                let many = self.waiting.len().min(ASKS_OF_ROUND);
                let asks: Vec<Ask> = self.waiting.drain(..many).collect();
                messages.extend(asks.iter().cloned().map(Message::Ask));
                self.under_way = Some(UnderWay { asks, sent_at: now, sent: 1, sampled: false });
            }
            None => {}
        }
        let alone = messages.is_empty();
        if !alone || self.last_sent.is_none_or(|last| now >= last + GIVES_APART) {
            let many = self.given.len().min(GIVES_OF_ROUND);
            let given = self.given.drain(..many);
            messages.extend(given.map(|Given { at, place }| Message::Give { at, place }));
        }
        if !messages.is_empty() {
            self.last_sent = Some(now);
        }
        Due { messages, again }
    }

    /// When something is due next, if nothing else happens.
    pub fn due_at(&self) -> Option<Duration> {
        let round = self.under_way.as_ref();
        let resend = round.map(|round| round.sent_at + resend_after(self.round_trip, round.sent));
        if round.is_none() && !self.waiting.is_empty() {
            return Some(Duration::ZERO);
        }
        let gives = self.last_sent.filter(|_| !self.given.is_empty());
        resend.into_iter().chain(gives.map(|last| last + GIVES_APART)).min()
    }
}

/// Time after which a round that was sent so often is sent again.
fn resend_after(round_trip: Option<Duration>, sent: u32) -> Duration {
    let usual = round_trip.unwrap_or(FIRST_ROUND_TRIP) * ROUND_TRIPS;
    let doubled = usual * 2_u32.saturating_pow(sent.saturating_sub(1).min(8));
    doubled.clamp(RESEND_WITHIN.0, RESEND_WITHIN.1)
}
