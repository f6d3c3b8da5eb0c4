//! Counts and logs headers in targets' answers that belong to the dialect but that this gateway does not know.
//!
//! A newer release of the targets may add such headers, and without this nobody would notice that the gateway ignores
//! them.

use std::collections::HashSet;

use http::{HeaderMap, HeaderName};
use slog::info;

use super::Gateway;
use super::target::Target;
use crate::sync::lock;

/// Maximum names that are counted separately; the names come from targets, so their number is unlimited.
const MAX_NAMES: usize = 32;
/// Label under which all further names are counted.
const OTHERS: &str = "others";

/// Names of unknown headers seen so far.
#[derive(Debug, Default)]
pub struct UnknownHeaders(HashSet<HeaderName>);

impl UnknownHeaders {
    /// Records a name. Returns whether it is new, and the label under which it is counted.
    pub fn note<'a>(&mut self, name: &'a HeaderName) -> (bool, &'a str) {
        if self.0.contains(name) {
            return (false, name.as_str());
        }
        if self.0.len() >= MAX_NAMES {
            return (false, OTHERS);
        }
        self.0.insert(name.clone());
        (true, name.as_str())
    }
}

impl Gateway {
    /// Counts the unknown headers of an answer, and logs each new name once.
    pub(super) fn note_unknown_headers(&self, target: &Target, headers: &HeaderMap) {
        for name in headers.keys().filter(|name| self.header_names().is_unknown(name)) {
            let (new, counted_as) = lock(&self.unknown_headers).note(name);
            self.metrics.unread_header(counted_as);
            if new {
                info!(self.log, "unknown header in the answer of a target"; "event" => "unread_header",
                    "name" => name.as_str(), "target" => &target.announcement.id,
                    "service" => &target.announcement.service);
            }
        }
    }
}
