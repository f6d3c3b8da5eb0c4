//! Claims on request keys: which router may run a request that must run at most once.
//!
//! A request key is a UUID of version 7, so that its age can be read from it. Claims are kept for
//! [`WINDOW`] after the key was made; an older key is refused, since its claim may be forgotten.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long a claim is kept after its key was made.
pub const WINDOW: Duration = Duration::from_secs(600);
/// How far a key's time may lie ahead of the leader's clock.
pub const MAX_AHEAD: Duration = Duration::from_secs(30);
/// Most claims kept; about 360 bytes each in memory.
pub const MAX_CLAIMS: usize = 80_000;

/// Key of a request, chosen by its caller: a UUID of version 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Reads the usual form, `01890a5d-ac96-774b-bcce-b302099a8057`.
    pub fn parse(text: &str) -> Option<Self> {
        const VERSION: u128 = 7;
        let digits: String = text.chars().filter(|char| *char != '-').collect();
        let sound = text.len() == 36 && digits.len() == 32;
        let bits = u128::from_str_radix(&digits, 16).ok().filter(|_| sound)?;
        (bits >> 76 & 0xf == VERSION).then_some(RequestKey(bits))
    }

    /// When the key was made, in milliseconds since 1970.
    pub fn made_at_ms(self) -> u64 {
        (self.0 >> 80) as u64
    }
}

/// A router asks to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request's key.
    pub key: RequestKey,
    /// Hash of what is to be run; the same key with another hash is an error.
    pub digest: u64,
    /// Base URL of the router, where its stored answer can be asked for.
    pub router_url: String,
    /// Drawn by the router, so that its own resent claim is told from another's.
    pub nonce: u64,
    /// The leader's wall clock, in milliseconds since 1970; set by the leader.
    pub now_ms: u64,
}

/// A router gives a claim back, because the request truly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The request's key.
    pub key: RequestKey,
    /// Nonce of the claim.
    pub nonce: u64,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The router may run the request, once.
    Granted,
    /// Another has claimed it and may have run it.
    Held {
        /// Base URL of the router that holds the claim.
        router_url: String,
    },
    /// The key was used for another request.
    Mismatch,
    /// The key is older than the window.
    TooOld,
    /// The key's time lies in the future.
    Ahead,
    /// There is no room for another claim now.
    Full,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Holder {
    digest: u64,
    router_url: String,
    nonce: u64,
}

/// All claims within the window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// Newest clock of any leader; never goes back.
    clock_ms: u64,
    held: BTreeMap<RequestKey, Holder>,
    /// Keys given back within the window, with the nonces that may not run any more.
    released: BTreeSet<(RequestKey, u64)>,
}

impl Claims {
    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Decides on a claim.
    pub fn claim(&mut self, claim: Claim) -> Verdict {
        self.clock_ms = self.clock_ms.max(claim.now_ms);
        self.forget();
        let made_at = claim.key.made_at_ms();
        if made_at < self.oldest_ms() {
            return Verdict::TooOld;
        }
        if made_at > self.clock_ms + MAX_AHEAD.as_millis() as u64 {
            return Verdict::Ahead;
        }
        if let Some(holder) = self.held.get(&claim.key) {
            return match holder {
                _ if holder.digest != claim.digest => Verdict::Mismatch,
                _ if holder.nonce == claim.nonce => Verdict::Granted,
                _ => Verdict::Held { router_url: holder.router_url.clone() },
            };
        }
        if self.released.contains(&(claim.key, claim.nonce)) {
            // A claim that arrives after it was given back.
            return Verdict::Held { router_url: claim.router_url };
        }
        if self.held.len() + self.released.len() >= MAX_CLAIMS {
            return Verdict::Full;
        }
        let Claim { key, digest, router_url, nonce, .. } = claim;
        self.held.insert(key, Holder { digest, router_url, nonce });
        Verdict::Granted
    }

    /// Takes a claim back, so that another may run the request.
    pub fn release(&mut self, release: Release) {
        let Release { key, nonce } = release;
        if self.held.get(&key).is_some_and(|holder| holder.nonce == nonce) {
            self.held.remove(&key);
        }
        self.released.insert((key, nonce));
    }

    fn oldest_ms(&self) -> u64 {
        self.clock_ms.saturating_sub(WINDOW.as_millis() as u64)
    }

    /// Drops what lies before the window; keys sort by their time.
    fn forget(&mut self) {
        let oldest = RequestKey(u128::from(self.oldest_ms()) << 80);
        while self.held.first_key_value().is_some_and(|(key, _)| *key < oldest) {
            self.held.pop_first();
        }
        while self.released.first().is_some_and(|(key, _)| *key < oldest) {
            self.released.pop_first();
        }
    }
}
