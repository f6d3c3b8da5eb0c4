//! Origins of streams in a file on a member's disk. After a crash or power loss of all processes, clients resume their
//! streams, and nobody else remembers which versions began them.
//!
//! The origins are not part of the replicated log: each member saves what it was told. The file is appended to, and
//! rewritten with the origins that still count when it has grown to twice their size. What can't be read is ignored.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::Shared;
use super::prefix_holders::ReadPosition;
use super::stream_origins::{ReportedBy, StreamOrigin};
use crate::clock::Instant;
use crate::sync::lock;

/// Name of the file in the member's data folder.
const FILE_NAME: &str = "streams";
/// Delay from a report to the write, so that one sync serves many reports.
const WRITE_DELAY: Duration = Duration::from_millis(200);
/// The same while several versions serve, when each origin matters.
const URGENT_WRITE_DELAY: Duration = Duration::from_millis(20);
/// Size in bytes up to which the file is not rewritten.
const MIN_REWRITE_BYTES: u64 = 256 * 1024;
/// Length of a batch's header: the length of its content and its CRC-32 checksum.
const HEADER_BYTES: usize = 8;

/// A saved origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedOrigin {
    origin: StreamOrigin,
    /// When the client can no longer resume the stream, in seconds of the machine's uptime.
    until_s: u64,
}

impl SavedOrigin {
    /// The origin as it is saved at the uptime `now_s`.
    pub fn at(now_s: u64, origin: StreamOrigin) -> Self {
        SavedOrigin { origin, until_s: now_s + u64::from(origin.left_s) }
    }

    /// The origin at the uptime `now_s`; `None` if it no longer counts. The machine may have been started again in
    /// between: an origin never counts for longer than when it was saved.
    pub fn restore(self, now_s: u64) -> Option<StreamOrigin> {
        let left = self.until_s.saturating_sub(now_s).min(self.origin.left_s.into());
        let left_s = u16::try_from(left).ok().filter(|left| *left > 0)?;
        Some(StreamOrigin { left_s, ..self.origin })
    }
}

/// Encodes origins as one batch.
///
/// # Errors
/// If they can't be encoded.
pub fn encode(origins: &[SavedOrigin]) -> io::Result<Vec<u8>> {
    let content = postcard::to_stdvec(origins).map_err(io::Error::other)?;
    let length = u32::try_from(content.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend(crc32fast::hash(&content).to_le_bytes());
    bytes.extend(content);
    Ok(bytes)
}

/// Decodes the batches of a file up to the first that is damaged or incomplete. Returns the origins, and the number of
/// bytes that could not be read.
pub fn decode(mut bytes: &[u8]) -> (Vec<SavedOrigin>, usize) {
    let mut origins = Vec::new();
    while let Some((batch, rest)) = decode_batch(bytes) {
        origins.extend(batch);
        bytes = rest;
    }
    (origins, bytes.len())
}

fn decode_batch(bytes: &[u8]) -> Option<(Vec<SavedOrigin>, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let (content, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
    if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
        return None;
    }
    Some((postcard::from_bytes(content).ok()?, rest))
}

/// Records the saved origins.
pub(super) fn load(shared: &Shared) {
    let path = path(shared);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return,
        Err(error) => {
            warn!(shared.log, "can't read origins of streams from disk";
                "event" => "streams_unreadable", "file" => %path.display(), "error" => %error);
            return;
        }
    };
    let (saved, unread_bytes) = decode(&bytes);
    let (now, now_s) = (shared.now(), uptime_s());
    let mut known = lock(&shared.streams);
    for origin in saved.iter().filter_map(|saved| saved.restore(now_s)) {
        known.record(now, ReportedBy::Disk, origin);
    }
    info!(shared.log, "origins of streams read from disk"; "event" => "streams_read",
        "saved" => saved.len(), "counting" => known.len(), "unread_bytes" => unread_bytes);
}

/// Saves the origins that this member is told.
pub(super) async fn save(shared: Arc<Shared>) {
    let mut file = StreamFile { path: path(&shared), length: None };
    let mut position = ReadPosition::default();
    let mut failing = false;
    loop {
        shared.streams_recorded.notified().await;
        tokio::select! {
            () = tokio::time::sleep(WRITE_DELAY) => {}
            () = shared.streams_urgent.notified() => tokio::time::sleep(URGENT_WRITE_DELAY).await,
        }
        let (new, live) = {
            let (now, mut known) = (shared.now(), lock(&shared.streams));
            let new = known.next_told(now, &mut position);
            let live = file.needs_rewrite(known.len()).then(|| known.all(now));
            (new, live)
        };
        if new.is_empty() {
            continue;
        }
        // The disk may stall for seconds, which must not block the runtime.
        let writing = tokio::task::spawn_blocking(move || {
            let written = match live {
                Some(live) => file.rewrite(&live),
                None => file.append(&new),
            };
            (file, written)
        });
        let Ok((returned, written)) = writing.await else {
            return;
        };
        file = returned;
        if let Err(error) = &written {
            // Some of the batch may be in the file.
            file.length = None;
            if !failing {
                warn!(shared.log, "can't write origins of streams to disk";
                    "event" => "streams_not_written", "error" => %error);
            }
        }
        failing = written.is_err();
    }
}

fn path(shared: &Shared) -> PathBuf {
    shared.settings.data_dir.join(FILE_NAME)
}

/// Time since the machine started, in seconds.
fn uptime_s() -> u64 {
    Instant::now().since_boot().as_secs()
}

/// The file in which a member saves origins.
struct StreamFile {
    path: PathBuf,
    /// Its length in bytes; `None` if it must be rewritten, since its content is not known.
    length: Option<u64>,
}

impl StreamFile {
    /// Whether the file is to be rewritten with the `live` origins that still count.
    fn needs_rewrite(&self, live: usize) -> bool {
        let live_bytes = (live * size_of::<SavedOrigin>()) as u64;
        self.length.is_none_or(|length| length > MIN_REWRITE_BYTES + 2 * live_bytes)
    }

    fn append(&mut self, origins: &[StreamOrigin]) -> io::Result<()> {
        let bytes = encode_now(origins)?;
        let mut file = File::options().append(true).open(&self.path)?;
        file.write_all(&bytes)?;
        file.sync_data()?;
        self.length = self.length.map(|length| length + bytes.len() as u64);
        Ok(())
    }

    /// Replaces the file atomically and durably.
    fn rewrite(&mut self, origins: &[StreamOrigin]) -> io::Result<()> {
        let bytes = encode_now(origins)?;
        replace(&self.path, &bytes)?;
        self.length = Some(bytes.len() as u64);
        Ok(())
    }
}

fn encode_now(origins: &[StreamOrigin]) -> io::Result<Vec<u8>> {
    let now_s = uptime_s();
    let saved: Vec<_> = origins.iter().map(|origin| SavedOrigin::at(now_s, *origin)).collect();
    encode(&saved)
}

/// Replaces a file: writes and syncs a new one, renames it, and syncs the folder.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    // A rename survives a power loss only once its folder is synced.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}
