//! What makes two tries the same request: the caller, the path and the body.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::Xxh3Default;

/// Bytes of a fingerprint: nobody can find a second request with a given one, and by chance two of a billion share
/// one in no fleet.
const FINGERPRINT_BYTES: usize = 16;

/// What identifies a request across its tries.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Team that sends it; `None` where callers need no key.
    pub team: Option<&'a str>,
    /// Host that it names.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// Digest of an [`Identity`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// Digest of all of an [`Identity`] but the content of its body: cheap, and shared by different requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Outline(u64);

/// A text that is no fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must be {} hexadecimal digits", 2 * FINGERPRINT_BYTES)]
pub struct NotAFingerprint;

impl Identity<'_> {
    /// The digest that tells requests apart, over all bytes of the body.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut digest = Sha256::new();
        self.feed(|bytes| digest.update(bytes));
        digest.update(self.body);
        let digest = digest.finalize();
        Fingerprint(std::array::from_fn(|at| digest[at]))
    }

    /// The cheap digest.
    pub fn outline(&self) -> Outline {
        let mut digest = Xxh3Default::new();
        self.feed(|bytes| digest.update(bytes));
        Outline(digest.digest())
    }

    /// Feeds all but the body's content, with lengths, so that no part can pass for a piece of another.
    fn feed(&self, mut feed: impl FnMut(&[u8])) {
        feed(&[u8::from(self.team.is_some())]);
        for part in [self.team.unwrap_or(""), self.host, self.path] {
            feed(&(part.len() as u64).to_le_bytes());
            feed(part.as_bytes());
        }
        feed(&(self.body.len() as u64).to_le_bytes());
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Fingerprint {
    type Err = NotAFingerprint;

    fn from_str(text: &str) -> Result<Self, NotAFingerprint> {
        let digits = text.bytes().all(|digit| digit.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !digits {
            return Err(NotAFingerprint);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| NotAFingerprint)?;
        Ok(Fingerprint(number.to_be_bytes()))
    }
}
