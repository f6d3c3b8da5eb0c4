//! Whether a target may be sent anything: by its own word, by the list that it stands in, and by orders about its
//! data hall.
//!
//! Every way to a target asks here, before it is chosen and again once a connection is there, so that a word that is
//! heard on any answer holds for all that is sent later.

use std::time::Duration;

use crate::retry_after::RetryAfter;

/// Rest of a target that wants some and does not say how much in a way that can be read.
const UNCLEAR_REST: Duration = Duration::from_secs(1);
/// How long a start of a target may answer under its identity before the list tells of it.
const UNLISTED_FOR: Duration = Duration::from_secs(5);
/// Longest rest: a target that asks for more is asked again after that.
const LONGEST_REST: Duration = Duration::from_secs(3_600);
/// Requests that a target has had at once from here since its rest from which it is back for good.
const BACK_AT: u32 = 16;

/// What a target may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Anything.
    Open,
    /// So many requests at once from here, and more only if no other target will do: it comes back from a rest.
    Returning {
        /// Requests at once.
        allowed: u32,
    },
    /// Nothing before that time: it has asked for rest.
    Resting {
        /// End of the rest.
        until: Duration,
    },
    /// Nothing, as its data hall is evacuated.
    Evacuated,
    /// Nothing any more.
    Leaving,
}

impl Standing {
    /// Whether it may be sent a request.
    pub fn takes_work(self) -> bool {
        matches!(self, Standing::Open | Standing::Returning { .. })
    }

    /// Time until its rest ends, if it rests.
    pub fn rest_left(self, now: Duration) -> Option<Duration> {
        match self {
            Standing::Resting { until } => Some(until.saturating_sub(now)),
            _ => None,
        }
    }

    /// Whether it should be left alone if another will do, while it has so many requests from here.
    pub fn hesitates(self, in_flight: u32) -> bool {
        matches!(self, Standing::Returning { allowed } if in_flight >= allowed)
    }
}

/// A rest that a target has asked for, and its return from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Rest {
    said_at: Duration,
    until: Duration,
    /// When its return begins from here; at each gateway at another time.
    returns_at: Duration,
    /// Requests at once during the return.
    allowed: u32,
}

/// What one start of a target has said of itself in its answers; it holds wherever and however that start is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnWord {
    leaving: bool,
    rest: Option<Rest>,
}

/// What is known of whether one start of a target takes work. Times are those of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    listed_leaving: bool,
    evacuated: bool,
    said: OwnWord,
}

impl Availability {
    /// Takes what the list says, which may be older than the target's own word and never undoes that.
    pub fn list(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Its data hall is evacuated, or taken back into use.
    pub fn evacuate(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
    }

    /// The target said in an answer that it leaves: that is final, since answers and lists overtake each other. Tells
    /// whether it had not said so before.
    pub fn says_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.said.leaving, true)
    }

    /// The target wants nothing for a while. Each such word holds by itself, since answers overtake each other: the latest
    /// end counts. Its return begins a part of `spread` later, which `chance` from 0 to 1 draws.
    pub fn rests(&mut self, now: Duration, rest: RetryAfter, spread: Duration, chance: f64) {
        let length = match rest {
            RetryAfter::In(length) => length.min(LONGEST_REST),
            RetryAfter::Unclear => UNCLEAR_REST,
        };
        let until = now + length;
        let before = self.said.rest.map_or(Duration::ZERO, |rest| rest.until);
        if !length.is_zero() && until > before {
            let returns_at = until + spread.mul_f64(chance);
            self.said.rest = Some(Rest { said_at: now, until, returns_at, allowed: 1 });
        }
    }

    /// The target has answered a request that it did not turn away: once its return has begun, twice as many may be sent.
    pub fn answered(&mut self, now: Duration) {
        if let Some(rest) = self.said.rest.as_mut().filter(|rest| now >= rest.returns_at) {
            rest.allowed *= 2;
            if rest.allowed >= BACK_AT {
                self.said.rest = None;
            }
        }
    }

    /// What it may be sent now.
    pub fn standing(&self, now: Duration) -> Standing {
        if self.leaving() {
            return Standing::Leaving;
        }
        if self.evacuated {
            return Standing::Evacuated;
        }
        match self.said.rest {
            Some(Rest { until, .. }) if now < until => Standing::Resting { until },
            Some(Rest { returns_at, .. }) if now < returns_at => Standing::Returning { allowed: 0 },
            Some(Rest { allowed, .. }) => Standing::Returning { allowed },
            None => Standing::Open,
        }
    }

    /// Whether it is to be sent nothing any more.
    pub fn leaving(&self) -> bool {
        self.listed_leaving || self.said.leaving
    }

    /// Whether it serves, be it that it rests now.
    pub fn in_service(&self) -> bool {
        !self.leaving() && !self.evacuated
    }

    /// What the target has said of itself; `None` where that is nothing.
    pub fn own_word(&self) -> Option<OwnWord> {
        (self.said != OwnWord::default()).then_some(self.said)
    }

    /// What may be the word of the next start under the same identity, which may have answered before the list told of it:
    /// a rest that was asked for a short time ago.
    pub fn word_of_next_start(&self, now: Duration) -> Option<OwnWord> {
        let rest = self.said.rest.filter(|rest| now < rest.said_at + UNLISTED_FOR);
        rest.map(|rest| OwnWord { leaving: false, rest: Some(rest) })
    }

    /// The same start has said this before, under another listing.
    pub fn recall(&mut self, said: OwnWord) {
        self.said.leaving |= said.leaving;
        let until = |rest: &Option<Rest>| rest.map(|rest| rest.until);
        self.said.rest = [self.said.rest, said.rest].into_iter().max_by_key(until).flatten();
    }
}
