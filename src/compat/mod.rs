//! Encodings that other builds read and write.
//!
//! Nothing that a landed build wrote to a disk or said on a connection may become unreadable, and a process may meet one
//! of an earlier or a later build at any time. So encodings only grow:
//!
//! - [`base`] holds the types of the first build, which never change. What it could say is said in its words.
//! - What it could not say follows a message as [`parts`], which it ignores, or stands in variants of an enum behind its
//!   own, which are used only once the group's [`Level`](crate::level::Level) allows it.
//! - A part, once landed, never changes; what is new gets a part or a variant of its own.
//!
//! The rest of the code knows one set of types; this module turns them.

pub mod base;
pub mod command;
pub mod parts;
