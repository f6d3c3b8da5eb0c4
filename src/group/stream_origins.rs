//! Origins of resumable streams: which version of a service's software began each of them.
//!
//! What two versions write does not fit together, so a stream may only be resumed at the version that began it. A client
//! whose connection broke resumes its stream at any gateway, and names the request that began it. Gateways report the
//! streams that they began to their member along with their loads; members pass the reports on to each other, and tell a
//! gateway the origin of a stream when it asks.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use super::prefix_holders::ReadPosition;
use crate::poison::Identity;

/// Bits of a stream's hash that are sent: among 70,000 open streams, two share them in one of 100,000 fleets.
const STREAM_BITS: u32 = 48;
/// Bits of a version's hash that are sent.
const VERSION_BITS: u32 = 32;
/// Maximum number of streams in a report of a gateway, some 14 bytes each.
pub const MAX_PER_GATEWAY_REPORT: usize = 128;
/// Maximum number of streams in a report of a member, which passes on those of all its gateways.
pub const MAX_PER_MEMBER_REPORT: usize = 8_192;
/// Maximum number of origins that are retained, some 60 bytes each.
const MAX_RETAINED: usize = 262_144;
/// Longest time for which a stream's origin is retained, whatever its client's deadline is.
const MAX_RETENTION: Duration = Duration::from_secs(300);

/// The part of a stream's hash that identifies the stream in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream that the team's request with this id began. `None`: callers need no API key.
    pub fn of(team: Option<&str>, request_id: &[u8]) -> Self {
        let team = team.unwrap_or("");
        StreamKey::from_hash(hash([team.as_bytes(), request_id]))
    }

    /// The key of the streams of a request that is the same in team, host, path and body. A client that does not name the
    /// request that began its stream sends the same request again.
    pub fn of_request(identity: &Identity<'_>) -> Self {
        let Identity { team, host, path, body } = identity;
        let team = team.unwrap_or("");
        StreamKey::from_hash(hash([team.as_bytes(), host.as_bytes(), path.as_bytes(), body]))
    }

    fn from_hash(hash: u64) -> Self {
        StreamKey(hash >> (u64::BITS - STREAM_BITS))
    }
}

/// The part of a version's hash that identifies a version of a service's software in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionKey(u32);

impl VersionKey {
    /// Stands for several versions, each of which began a stream with the same key.
    pub const AMBIGUOUS: VersionKey = VersionKey(0);

    /// The key of a version of a service's software.
    pub fn of(service: &str, version: &str) -> Self {
        let hash = (hash([service.as_bytes(), version.as_bytes()]) >> VERSION_BITS) as u32;
        VersionKey(hash.max(1))
    }

    /// The key that [`fmt::LowerHex`] wrote.
    pub fn from_hex(text: &str) -> Option<Self> {
        u32::from_str_radix(text, 16).ok().map(VersionKey)
    }
}

impl fmt::LowerHex for VersionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

fn hash<const N: usize>(parts: [&[u8]; N]) -> u64 {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// A stream, and the version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version that began it.
    pub version: VersionKey,
    /// Seconds for which the client may still resume it, rounded up.
    pub left_s: u16,
}

/// Where this process has the origin of a stream or a suspected restart from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedBy {
    /// This process, or a gateway that reports to it. This process passes it on.
    Local,
    /// Another member, which tells all members.
    Remote,
    /// This member's disk: it was reported before the start.
    Disk,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    version: VersionKey,
    by: ReportedBy,
    /// When the client can no longer resume the stream.
    until: Duration,
}

/// The origins that one process knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<StreamKey, Entry>,
    /// Streams in the order in which they were recorded, each with the `until` of its entry: a stream that is recorded
    /// again after that is listed twice.
    order: VecDeque<(StreamKey, Duration)>,
    /// Number of streams that were removed from the front of `order`.
    dropped: u64,
}

impl StreamOrigins {
    /// Records an origin, and returns whether it is new. Reports of several versions make it ambiguous.
    pub fn record(&mut self, now: Duration, by: ReportedBy, origin: StreamOrigin) -> bool {
        self.drop_expired(now);
        let until = now + Duration::from_secs(origin.left_s.into()).min(MAX_RETENTION);
        let mut entry = Entry { version: origin.version, by, until };
        if let Some(known) = self.find(now, origin.stream) {
            if known.version == origin.version || known.version == VersionKey::AMBIGUOUS {
                return false;
            }
            entry.version = VersionKey::AMBIGUOUS;
        }
        self.entries.insert(origin.stream, entry);
        self.order.push_back((origin.stream, until));
        if self.order.len() > MAX_RETAINED {
            self.drop_first();
        }
        true
    }

    /// The version that began a stream; `None` if it is not known.
    pub fn find(&self, now: Duration, stream: StreamKey) -> Option<StreamOrigin> {
        let entry = self.entries.get(&stream).filter(|entry| now < entry.until)?;
        Some(entry.origin(now, stream))
    }

    /// The version that began a stream, unless it is known from disk alone.
    pub fn find_told(&self, now: Duration, stream: StreamKey) -> Option<StreamOrigin> {
        let entry = self.entries.get(&stream).filter(|entry| now < entry.until)?;
        (entry.by != ReportedBy::Disk).then(|| entry.origin(now, stream))
    }

    /// All origins, in the order in which they were recorded.
    pub fn all(&self, now: Duration) -> Vec<StreamOrigin> {
        let entries = self.order.iter().filter_map(|(stream, until)| {
            let entry = self.entries.get(stream)?;
            (entry.until == *until && now < *until).then(|| entry.origin(now, *stream))
        });
        entries.collect()
    }

    /// The position behind all origins that were recorded so far.
    pub fn end(&self) -> ReadPosition {
        ReadPosition::after(self.dropped, self.order.len())
    }

    /// The next origins that were reported to this process since its start.
    pub fn next_told(&mut self, now: Duration, position: &mut ReadPosition) -> Vec<StreamOrigin> {
        self.next(now, position, usize::MAX, |by| by != ReportedBy::Disk)
    }

    /// The next origins that are to be passed on, at most `limit`.
    pub fn next_local(
        &mut self,
        now: Duration,
        position: &mut ReadPosition,
        limit: usize,
    ) -> Vec<StreamOrigin> {
        self.next(now, position, limit, |by| by == ReportedBy::Local)
    }

    fn next(
        &mut self,
        now: Duration,
        position: &mut ReadPosition,
        limit: usize,
        wanted: impl Fn(ReportedBy) -> bool,
    ) -> Vec<StreamOrigin> {
        self.drop_expired(now);
        let from = position.passed(self.dropped);
        let mut origins = Vec::new();
        let mut end = from;
        for (stream, until) in self.order.iter().skip(from) {
            if origins.len() == limit {
                break;
            }
            end += 1;
            let entry = self.entries.get(stream);
            let entry =
                entry.filter(|entry| wanted(entry.by) && entry.until == *until && now < *until);
            origins.extend(entry.map(|entry| entry.origin(now, *stream)));
        }
        *position = ReadPosition::after(self.dropped, end);
        origins
    }

    /// Number of streams whose origins are known.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn drop_expired(&mut self, now: Duration) {
        let expired = self.order.iter().take_while(|(_, until)| now >= *until).count();
        (0..expired).for_each(|_| self.drop_first());
    }

    fn drop_first(&mut self) {
        if let Some((stream, until)) = self.order.pop_front() {
            if self.entries.get(&stream).is_some_and(|entry| entry.until == until) {
                self.entries.remove(&stream);
            }
            self.dropped += 1;
        }
    }
}

impl Entry {
    fn origin(&self, now: Duration, stream: StreamKey) -> StreamOrigin {
        StreamOrigin { stream, version: self.version, left_s: left_s(self.until - now) }
    }
}

/// A time left in whole seconds, rounded up.
pub fn left_s(left: Duration) -> u16 {
    left.as_millis().div_ceil(1_000).try_into().unwrap_or(u16::MAX)
}
