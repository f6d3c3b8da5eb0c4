//! Headers of targets' answers that are the dialect's own and that nothing reads: words that came with a newer release
//! of the targets would otherwise go by unseen.

use std::collections::HashSet;

use http::{HeaderMap, HeaderName};
use slog::info;

use super::Gateway;
use super::target::Target;
use crate::sync::lock;

/// Names that are told apart; targets choose them, so that there may be any number.
const MOST_NAMES: usize = 32;
/// Stands for the names beyond those.
const OTHERS: &str = "others";

/// Names met so far.
#[derive(Debug, Default)]
pub struct UnknownHeaders(HashSet<HeaderName>);

impl UnknownHeaders {
    /// Notes a name: whether it is new, and what it is counted under.
    pub fn note<'a>(&mut self, name: &'a HeaderName) -> (bool, &'a str) {
        if self.0.contains(name) {
            return (false, name.as_str());
        }
        if self.0.len() >= MOST_NAMES {
            return (false, OTHERS);
        }
        self.0.insert(name.clone());
        (true, name.as_str())
    }
}

impl Gateway {
    /// Counts headers of an answer that nothing reads, and logs each name once.
    pub(super) fn note_unknown_headers(&self, target: &Target, headers: &HeaderMap) {
        for name in headers.keys().filter(|name| self.header_names().unread(name)) {
            let (new, counted_as) = lock(&self.unknown_headers).note(name);
            self.metrics.unread_header(counted_as);
            if new {
                info!(self.log, "header of a target that nothing reads"; "event" => "unread_header",
                    "name" => name.as_str(), "target" => &target.announcement.id,
                    "service" => &target.announcement.service);
            }
        }
    }
}
