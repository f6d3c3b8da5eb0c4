//! Limits what a brittle target is sent. A brittle target fails as a whole when it has to turn away more requests in a
//! second than it states, and it may at any time have less room than before.
//!
//! This holds where no gateways are named that dispatch to brittle targets (see [`dispatch`](super::dispatch)), as by
//! members of earlier builds.
//!
//! All gateways together must stay below that rate without asking each other, and the loads that they know are some
//! hundred milliseconds old, so that acting on these alone would make all of them send too much at once. So the places
//! of a target are divided among the gateways. One whose share is used up while the target has many free places raises
//! its share slowly; that serves uneven gateways, and those that send for others. After a rejection a gateway sends
//! nothing for as long as its part of the rate requires, and then raises the load step by step.

use std::time::Duration;

/// How long a target counts as brittle after it last said so.
const BRITTLE_TTL: Duration = Duration::from_secs(30);
/// Fraction of the stated rate that all gateways together use if each of them is turned away after every pause.
const USED_FRACTION: f64 = 0.4;
/// Shortest and longest pause after a rejection.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(8));
/// Fraction of the load at a rejection that the target is sent afterwards.
const ROOM_FRACTION: f64 = 0.85;
/// Fractions of a target's places: shares grow while the estimated load is below the first, and shrink above the second.
const FREE_FRACTIONS: (f64, f64) = (0.5, 0.75);
/// Factor by which a share grows in a second while it is used up and the target has many free places.
const GROWTH_PER_S: f64 = 1.5;
/// Factor by which a share shrinks in a second while the target has few free places.
const SHRINKAGE_PER_S: f64 = 0.1;
/// Longest time for which a share grows at once, so that a gateway with few requests does not raise its share in one
/// step.
const MAX_GROWTH_TIME: Duration = Duration::from_millis(200);
/// Largest multiple of an equal share.
const MAX_MULTIPLE: f64 = 8.0;
/// Time between two steps by which the load is raised again.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Size of a step, as a fraction of the target's places.
const STEP_FRACTION: f64 = 0.05;

/// What the target stated, and when that expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stated {
    /// Rejections in a second that the target withstands.
    rejections: u32,
    until: Duration,
}

/// The room that a target was found to have.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Room {
    /// Requests from all gateways that it may have in flight.
    requests: f64,
    /// No request before that time.
    paused_until: Duration,
    /// When the room is raised next.
    step_at: Duration,
}

/// This gateway's share of the places, as a multiple of an equal share.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    multiple: f64,
    changed_at: Duration,
}

impl Default for Share {
    fn default() -> Self {
        Share { multiple: 1.0, changed_at: Duration::ZERO }
    }
}

impl Share {
    /// Raises the share for the time since the last change, of which [`MAX_GROWTH_TIME`] counts at most.
    fn grow(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.changed_at).min(MAX_GROWTH_TIME);
        let growth = GROWTH_PER_S.powf(elapsed.as_secs_f64());
        self.multiple = (self.multiple * growth).min(MAX_MULTIPLE);
        self.changed_at = now;
    }

    /// Lowers the share for the time since the last change.
    fn shrink(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.changed_at);
        let shrinkage = SHRINKAGE_PER_S.powf(elapsed.as_secs_f64());
        self.multiple = (self.multiple * shrinkage).max(1.0);
        self.changed_at = now;
    }
}

/// What a gateway knows about the brittleness of one target. Times are since the start of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Brittle {
    stated: Option<Stated>,
    room: Option<Room>,
    share: Share,
}

impl Brittle {
    /// Records that an answer states how many rejections in a second the target withstands; `None` if it states
    /// nothing, and so is not brittle any more.
    pub fn note_stated(&mut self, now: Duration, rejections: Option<u32>) {
        self.stated = rejections.map(|rejections| Stated { rejections, until: now + BRITTLE_TTL });
        if self.stated.is_none() {
            self.room = None;
        }
    }

    /// What the gateway believes of the target, for logs.
    pub fn belief(&self, now: Duration) -> Belief {
        Belief {
            room: self.room.map(|room| room.requests),
            paused: self.room.is_some_and(|room| now < room.paused_until),
            share: self.share.multiple,
        }
    }

    /// Whether the target counts as brittle.
    pub fn active(&self, now: Duration) -> bool {
        self.stated.is_some_and(|stated| now < stated.until)
    }

    /// Records that the target had no room for a request while `load` requests were in flight there. `gateways` share
    /// the stated rate; `chance`, from 0 to 1, spreads their returns.
    pub fn note_rejected(&mut self, now: Duration, load: f64, gateways: u32, chance: f64) {
        let Some(stated) = self.stated.filter(|stated| now < stated.until) else {
            return;
        };
        self.share = Share { multiple: 1.0, changed_at: now };
        let known = self.room.map_or(f64::INFINITY, |room| room.requests);
        let pause = pause(stated.rejections, gateways).mul_f64(1.0 + chance);
        let paused_until = now + pause;
        self.room = Some(Room {
            requests: (load * ROOM_FRACTION).min(known),
            paused_until,
            step_at: paused_until + STEP_INTERVAL,
        });
    }

    /// Records that the target took a request.
    pub fn note_taken(&mut self, now: Duration, slots: u32) {
        let slots = f64::from(slots.max(1));
        let Some(room) = self.room.as_mut().filter(|room| now >= room.step_at) else {
            return;
        };
        room.requests += (slots * STEP_FRACTION).max(1.0);
        room.step_at = now + STEP_INTERVAL;
        if room.requests >= slots {
            self.room = None;
        }
    }

    /// Whether a request may be sent now to the target, which has `slots` places. If not, and if the target has many
    /// free ones, the share of this gateway grows.
    pub fn may_send(&mut self, now: Duration, load: Load, slots: u32, position: Position) -> bool {
        if !self.active(now) {
            return true;
        }
        let slots = f64::from(slots.max(1));
        let room = self.room.map_or(f64::INFINITY, |room| room.requests).max(1.0);
        if self.room.is_some_and(|room| now < room.paused_until) || load.total + 1.0 > room {
            return false;
        }
        if load.total > slots * FREE_FRACTIONS.1 {
            self.share.shrink(now);
        }
        if load.own < share(slots * self.share.multiple, position) {
            return true;
        }
        if load.total < slots * FREE_FRACTIONS.0 {
            self.share.grow(now);
        }
        false
    }
}

/// What a gateway believes of a brittle target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Requests from all gateways that it is believed to have room for; `None` if it was never found full.
    pub room: Option<f64>,
    /// Whether it is sent nothing for now, since it rejected a request.
    pub paused: bool,
    /// This gateway's share of its places, as a multiple of an equal share.
    pub share: f64,
}

/// Requests in flight at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// From all gateways, as estimated.
    pub total: f64,
    /// From this gateway.
    pub own: u32,
}

/// A gateway among those that share a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// Number of gateways.
    pub gateways: u32,
    /// From 0 to 1, fixed for each pair of gateway and target. It decides which gateways get the places that are left
    /// over.
    pub draw: f64,
}

/// A gateway's part of the places of a target.
pub fn share(slots: f64, position: Position) -> u32 {
    let part = slots / f64::from(position.gateways.max(1));
    let left_over = part.fract() > position.draw;
    part as u32 + u32::from(left_over)
}

/// How long a gateway sends nothing after a rejection.
fn pause(rejections: u32, gateways: u32) -> Duration {
    let rate = f64::from(rejections) * USED_FRACTION / f64::from(gateways.max(1));
    let pause = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(PAUSE_BOUNDS.1);
    pause.clamp(PAUSE_BOUNDS.0, PAUSE_BOUNDS.1)
}
