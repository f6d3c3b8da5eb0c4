//! How often a gateway asks a further dispatcher when one has no room for a request.
//!
//! While most targets are full, asking all of their dispatchers for each request would cost more than serving it.

/// Further dispatchers that each request adds to the allowance, and its maximum.
const PER_REQUEST: f64 = 2.0;
const MAX_ALLOWANCE: f64 = 64.0;

/// A gateway's allowance of further dispatchers to ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asks {
    allowance: f64,
}

impl Default for Asks {
    fn default() -> Self {
        Asks { allowance: MAX_ALLOWANCE }
    }
}

impl Asks {
    /// Records a request, for which the first dispatcher is asked.
    pub fn note_request(&mut self) {
        self.allowance = (self.allowance + PER_REQUEST).min(MAX_ALLOWANCE);
    }

    /// Whether one more dispatcher may be asked, which then counts as asked.
    pub fn try_ask_again(&mut self) -> bool {
        let may = self.allowance >= 1.0;
        if may {
            self.allowance -= 1.0;
        }
        may
    }
}
