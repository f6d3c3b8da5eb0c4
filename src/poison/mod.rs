//! Poison requests: those that end each target that begins to run them.
//!
//! A caller repeats its request, each time under a new id and mostly at another gateway. What stays the same is who
//! asks, for what, with which body: its [`Identity`]. Gateways note under which requests targets ended; each keeps a
//! [`Board`] of its own, and members keep one of all. Boards take the same [`Report`]s in any order, any number of
//! times, and come to the same: a request under which enough targets ended, and which never ended well since, is
//! sent to none for a while.

mod board;
mod identity;
mod logged;
mod report;

pub use self::board::{Board, Origin, Rule, Turned, Verdict};
pub use self::identity::{Fingerprint, Identity, NotAFingerprint, Outline};
pub(crate) use self::logged::log_turned;
pub use self::report::{EndReport, MOST_IN_WORD, Report, Reporter, Suspect};
