//! Collects the faults of settings, each under the name of its field.

use crate::jsonc::Fault;

/// Faults found so far.
#[derive(Debug, Default)]
pub struct Checks(Vec<Fault>);

impl Checks {
    /// Demands that something holds.
    pub fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.0.push(Fault::new(path, message));
        }
    }

    /// Demands whole numbers above 0.
    pub fn above_zero(&mut self, fields: &[(&str, u64)]) {
        for (path, value) in fields {
            self.require(*value > 0, path, "must be above 0");
        }
    }

    /// Demands a number above 0.
    pub fn positive(&mut self, path: &str, value: f64) {
        self.require(value > 0.0, path, "must be above 0");
    }

    /// What was found.
    pub fn faults(self) -> Vec<Fault> {
        self.0
    }
}
