//! Encodings shared with other builds.
//!
//! Whatever a released build has written to disk or sent on a connection must stay readable, and a process may connect
//! to one of an earlier or a later build at any time. So encodings are only extended:
//!
//! - [`base`] has the types of the first build, the one that ran in production first. They never change, and are used for
//!   everything that they can express.
//! - Anything else is appended to a message as [`parts`], which the first build ignores, or is encoded in enum variants
//!   added after those of the first build ([`command`]), which are used only once the group's
//!   [`Level`](crate::level::Level) allows it.
//! - A released part never changes; anything new gets a part or a variant of its own.
//!
//! The rest of the code uses a single set of types, which is converted to and from these.

pub mod base;
pub mod command;
pub mod parts;
