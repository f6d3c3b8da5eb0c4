//! Claims on request keys: decide which router may run a request that must run at most once.
//!
//! A request key is a UUID of version 7, which contains the time at which it was made. Claims are kept for
//! [`CLAIM_WINDOW`] after that time. An older key is refused, since a claim on it may have been dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long a claim is kept after its key was made.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(600);
/// How far a key's time may be ahead of the leader's clock.
pub const MAX_AHEAD: Duration = Duration::from_secs(30);
/// Maximum number of claims and releases kept; each takes about 360 bytes of memory.
pub const MAX_CLAIMS: usize = 80_000;

/// Key of a request, chosen by its caller: a UUID of version 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Parses the hyphenated form, `01890a5d-ac96-774b-bcce-b302099a8057`.
    pub fn parse(text: &str) -> Option<Self> {
        const VERSION: u128 = 7;
        let digits: String = text.chars().filter(|char| *char != '-').collect();
        let well_formed = text.len() == 36 && digits.len() == 32;
        let bits = u128::from_str_radix(&digits, 16).ok().filter(|_| well_formed)?;
        (bits >> 76 & 0xf == VERSION).then_some(RequestKey(bits))
    }

    /// When the key was made, in milliseconds since 1970.
    pub fn made_at_ms(self) -> u64 {
        (self.0 >> 80) as u64
    }
}

/// A router's claim to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request's key.
    pub key: RequestKey,
    /// Hash of the request; the same key with another hash is refused as [`Verdict::Mismatch`].
    pub digest: u64,
    /// Base URL of the router, where its stored answer can be requested.
    pub router_url: String,
    /// Random number of the router, which distinguishes its own resent claim from another router's claim.
    pub nonce: u64,
    /// The leader's wall clock, in milliseconds since 1970; set by the leader.
    pub now_ms: u64,
}

/// A router's release of its claim, made when the request certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The request's key.
    pub key: RequestKey,
    /// Nonce of the claim.
    pub nonce: u64,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The router may run the request, once.
    Granted,
    /// Another router claimed the request and may have run it.
    Held {
        /// Base URL of the router that holds the claim.
        router_url: String,
    },
    /// The key was already used for another request.
    Mismatch,
    /// The key is older than [`CLAIM_WINDOW`].
    TooOld,
    /// The key's time is more than [`MAX_AHEAD`] ahead of the leader's clock.
    Ahead,
    /// [`MAX_CLAIMS`] is reached.
    Full,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Holder {
    digest: u64,
    router_url: String,
    nonce: u64,
}

/// All claims and releases within [`CLAIM_WINDOW`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// Latest wall clock of any leader, in milliseconds since 1970; it never goes back.
    clock_ms: u64,
    held: BTreeMap<RequestKey, Holder>,
    /// Released keys, with the nonces whose claims are refused from then on.
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
        self.drop_expired();
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
            // The claim was delayed and arrives after its own release.
            return Verdict::Held { router_url: claim.router_url };
        }
        if self.held.len() + self.released.len() >= MAX_CLAIMS {
            return Verdict::Full;
        }
        let Claim { key, digest, router_url, nonce, .. } = claim;
        self.held.insert(key, Holder { digest, router_url, nonce });
        Verdict::Granted
    }

    /// Releases a claim, so that another router may run the request.
    pub fn release(&mut self, release: Release) {
        let Release { key, nonce } = release;
        if self.held.get(&key).is_some_and(|holder| holder.nonce == nonce) {
            self.held.remove(&key);
        }
        self.released.insert((key, nonce));
    }

    fn oldest_ms(&self) -> u64 {
        self.clock_ms.saturating_sub(CLAIM_WINDOW.as_millis() as u64)
    }

    /// Drops claims and releases from before the window. Keys sort by their time.
    fn drop_expired(&mut self) {
        let oldest = RequestKey(u128::from(self.oldest_ms()) << 80);
        while self.held.first_key_value().is_some_and(|(key, _)| *key < oldest) {
            self.held.pop_first();
        }
        while self.released.first().is_some_and(|(key, _)| *key < oldest) {
            self.released.pop_first();
        }
    }
}
