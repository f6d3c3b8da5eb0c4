//! What may crash targets: a request, identified across its repetitions by the team, the host, the path and the body, or
//! a part of prompts, identified by its service and id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

/// Length of a fingerprint in bytes. It is long enough that nobody can construct a second request with a given
/// fingerprint, and that no two of a billion requests share one by chance.
const FINGERPRINT_BYTES: usize = 16;

/// What identifies a request across its repetitions.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Team that sends it; `None` where callers need no API key.
    pub team: Option<&'a str>,
    /// Host that the request names.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
}

/// First bytes of the fingerprint of a part of prompts. By chance, one request in four billion has them too.
const PART_MARK: [u8; 4] = *b"part";

/// Cryptographic digest of an [`Identity`] or of a [`PromptPart`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// Hash of an [`Identity`] with the length of the body but not its content. It is cheap to compute; different requests
/// may share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuickHash(u64);

/// A part that prompts to a service share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart<'a> {
    /// The service.
    pub service: &'a str,
    /// Id of the part.
    pub id: &'a str,
}

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FingerprintKind {
    /// A request.
    Request,
    /// A part of prompts.
    Part,
}

/// A text is not a valid fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must be {} hexadecimal digits", 2 * FINGERPRINT_BYTES)]
pub struct InvalidFingerprint;

impl Identity<'_> {
    /// Computes the fingerprint, which covers all bytes of the body.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut digest = Sha256::new();
        self.feed(|bytes| digest.update(bytes));
        digest.update(self.body);
        let digest = digest.finalize();
        Fingerprint(std::array::from_fn(|at| digest[at]))
    }

    /// Computes the hash that leaves out the content of the body.
    pub fn quick_hash(&self) -> QuickHash {
        let mut digest = Xxh3Default::new();
        self.feed(|bytes| digest.update(bytes));
        QuickHash(digest.digest())
    }

    /// Passes everything except the body's content to `feed`. Each part is preceded by its length, so that different
    /// identities never give the same bytes.
    fn feed(&self, mut feed: impl FnMut(&[u8])) {
        feed(&[u8::from(self.team.is_some())]);
        for part in [self.team.unwrap_or(""), self.host, self.path] {
            feed(&(part.len() as u64).to_le_bytes());
            feed(part.as_bytes());
        }
        feed(&(self.body.len() as u64).to_le_bytes());
    }
}

impl PromptPart<'_> {
    /// Computes the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut digest = Sha256::new();
        for text in [self.service, self.id] {
            digest.update((text.len() as u64).to_le_bytes());
            digest.update(text.as_bytes());
        }
        let digest = digest.finalize();
        let mark = PART_MARK.len();
        Fingerprint(std::array::from_fn(|at| if at < mark { PART_MARK[at] } else { digest[at] }))
    }
}

impl Fingerprint {
    /// What it identifies.
    pub fn kind(&self) -> FingerprintKind {
        match self.0.starts_with(&PART_MARK) {
            true => FingerprintKind::Part,
            false => FingerprintKind::Request,
        }
    }

    /// The hash by which a part is looked up.
    pub fn part_hash(&self) -> QuickHash {
        QuickHash(xxh3_64(&self.0))
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
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        let digits = text.bytes().all(|digit| digit.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !digits {
            return Err(InvalidFingerprint);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidFingerprint)?;
        Ok(Fingerprint(number.to_be_bytes()))
    }
}
