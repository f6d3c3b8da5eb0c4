//! What all listeners share: bounds on their connections and on the memory that is held for them.
//!
//! [`ledger`] decides who is let in and which connections are closed when the memory or the connections of a listener
//! are used up. The other modules count what is held and carry the decisions out.

pub(crate) mod body_buffer;
pub(crate) mod buffers;
mod counted_stream;
pub(crate) mod http;
pub mod ledger;
