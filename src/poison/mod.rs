//! Poison requests: those that end each target that begins to run them.
//!
//! A caller repeats its request, each time under a new id and mostly at another gateway. What stays the same is who
//! asks, for what, with which body: its [`Identity`].

mod identity;

pub use self::identity::{Fingerprint, Identity, NotAFingerprint, Outline};
