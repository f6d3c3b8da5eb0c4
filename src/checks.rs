//! Collects validation faults of settings and call bodies, each with the path of its field.

use crate::jsonc::Fault;

/// The faults found so far.
#[derive(Debug, Default)]
pub struct Checks(Vec<Fault>);

impl Checks {
    /// Adds a fault with `message` at `path` unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.0.push(Fault::new(path, message));
        }
    }

    /// Adds a fault for each field that is 0.
    pub fn above_zero(&mut self, fields: &[(&str, u64)]) {
        for (path, value) in fields {
            self.require(*value > 0, path, "must be above 0");
        }
    }

    /// Adds a fault at `path` unless `value` is above 0.
    pub fn positive(&mut self, path: &str, value: f64) {
        self.require(value > 0.0, path, "must be above 0");
    }

    /// All faults, in the order in which they were found.
    pub fn faults(self) -> Vec<Fault> {
        self.0
    }
}
