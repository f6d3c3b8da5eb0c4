//! Batches the asks and releases for one owner into datagrams, and resends asks that are not answered.
//!
//! A round is a batch of asks in one datagram. Only one round is in flight at a time, so that the owner's receive
//! buffer holds no more than one datagram with asks from each router, however many requests arrive at once. A round
//! that is not answered in time is resent, after a multiple of the smoothed round trip: a lost datagram or a busy owner
//! delays asks, but does not get them refused.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Ask, Message, Place, Ticket};

/// Maximum number of asks in a round; they take some 6 KB.
const MAX_ASKS_PER_ROUND: usize = 64;
/// Maximum number of releases in a datagram.
const MAX_RELEASES_PER_DATAGRAM: usize = 128;
/// Round trip assumed before the first sample.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(15);
/// Multiple of the smoothed round trip after which a round is resent for the first time.
const RESEND_ROUND_TRIPS: u32 = 4;
/// Minimum and maximum time until a round is resent.
const RESEND_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_secs(1));
/// Weight of a new sample in the smoothed round trip.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Minimum time between the last datagram and one that contains only releases.
const RELEASES_INTERVAL: Duration = Duration::from_millis(2);

/// A release that has not been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingRelease {
    sequence: u32,
    place: Place,
}

/// The round in flight.
#[derive(Clone, Debug, PartialEq)]
struct Round {
    /// Asks that have not been answered or given up.
    asks: Vec<Ask>,
    sent_at: Duration,
    /// How many times the round was sent.
    times_sent: u32,
    /// Whether a sample of the round trip was taken from it.
    sampled: bool,
}

/// Content of the next datagram to an owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Due {
    /// Messages of the datagram; empty if nothing is to be sent now.
    pub messages: Vec<Message>,
    /// Whether its asks have been sent before.
    pub resent: bool,
}

/// Asks and releases for one owner that are queued or in flight.
#[derive(Clone, Debug, Default)]
pub struct Rounds {
    /// Asks for the next rounds.
    waiting: VecDeque<Ask>,
    releases: VecDeque<PendingRelease>,
    in_flight: Option<Round>,
    /// Smoothed round trip.
    round_trip: Option<Duration>,
    /// When the last datagram was sent.
    last_sent: Option<Duration>,
}

impl Rounds {
    /// Queues an ask.
    pub fn ask(&mut self, ask: Ask) {
        self.waiting.push_back(ask);
    }

    /// Queues a release with its sequence number.
    pub fn release(&mut self, sequence: u32, place: Place) {
        self.releases.push_back(PendingRelease { sequence, place });
    }

    /// Records that an ask was answered, and takes a sample of the round trip if it can.
    pub fn record_answer(&mut self, now: Duration, ticket: Ticket) {
        let contains_ask = |round: &Round| round.asks.iter().any(|ask| ask.ticket == ticket);
        // The answer to a resent round may belong to any of its datagrams.
        let gives_sample =
            |round: &&mut Round| round.times_sent == 1 && !round.sampled && contains_ask(round);
        if let Some(round) = self.in_flight.as_mut().filter(gives_sample) {
            round.sampled = true;
            let sample = now.saturating_sub(round.sent_at);
            let smoothed = self.round_trip.unwrap_or(sample);
            self.round_trip =
                Some(smoothed.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT));
        }
        self.give_up(ticket);
    }

    /// Removes an ask, so that it is not sent or resent.
    pub fn give_up(&mut self, ticket: Ticket) {
        if let Some(round) = &mut self.in_flight
            && let Some(at) = round.asks.iter().position(|ask| ask.ticket == ticket)
        {
            round.asks.remove(at);
            self.in_flight.take_if(|round| round.asks.is_empty());
            return;
        }
        self.waiting.retain(|ask| ask.ticket != ticket);
    }

    /// Puts the asks of the round in flight back into the queue. Called when the owner has restarted: its new process
    /// has not received them.
    pub fn requeue(&mut self) {
        let Some(round) = self.in_flight.take() else {
            return;
        };
        for ask in round.asks.into_iter().rev() {
            self.waiting.push_front(ask);
        }
    }

    /// Takes what is to be sent now, in one datagram. It contains no asks while a round is in flight that need not be
    /// resent yet.
    pub fn due(&mut self, now: Duration) -> Due {
        let (mut messages, mut resent) = (Vec::new(), false);
        match &mut self.in_flight {
            Some(round)
                if now < round.sent_at + resend_delay(self.round_trip, round.times_sent) => {}
            Some(round) => {
                round.sent_at = now;
                round.times_sent += 1;
                resent = true;
                messages.extend(round.asks.iter().cloned().map(Message::Ask));
            }
            None if !self.waiting.is_empty() => {
                let count = self.waiting.len().min(MAX_ASKS_PER_ROUND);
                let asks: Vec<Ask> = self.waiting.drain(..count).collect();
                messages.extend(asks.iter().cloned().map(Message::Ask));
                self.in_flight = Some(Round { asks, sent_at: now, times_sent: 1, sampled: false });
            }
            None => {}
        }
        let only_releases = messages.is_empty();
        if !only_releases || self.last_sent.is_none_or(|last| now >= last + RELEASES_INTERVAL) {
            let count = self.releases.len().min(MAX_RELEASES_PER_DATAGRAM);
            let releases = self.releases.drain(..count);
            messages.extend(
                releases
                    .map(|PendingRelease { sequence, place }| Message::Release { sequence, place }),
            );
        }
        if !messages.is_empty() {
            self.last_sent = Some(now);
        }
        Due { messages, resent }
    }

    /// When the next datagram is due if nothing is queued or answered before. An ask in the queue is due at once if no
    /// round is in flight.
    pub fn due_at(&self) -> Option<Duration> {
        let round = self.in_flight.as_ref();
        let resend =
            round.map(|round| round.sent_at + resend_delay(self.round_trip, round.times_sent));
        if round.is_none() && !self.waiting.is_empty() {
            return Some(Duration::ZERO);
        }
        let releases = self.last_sent.filter(|_| !self.releases.is_empty());
        resend.into_iter().chain(releases.map(|last| last + RELEASES_INTERVAL)).min()
    }
}

/// Time after which a round that was sent `times_sent` times is resent; doubles with each resend.
fn resend_delay(round_trip: Option<Duration>, times_sent: u32) -> Duration {
    let first_delay = round_trip.unwrap_or(INITIAL_ROUND_TRIP) * RESEND_ROUND_TRIPS;
    let delay = first_delay * 2_u32.saturating_pow(times_sent.saturating_sub(1).min(8));
    delay.clamp(RESEND_DELAY_RANGE.0, RESEND_DELAY_RANGE.1)
}
