//! Blocked poison requests in a file on a member's disk. After a power loss of the whole system no process remembers
//! them, and each would crash targets again until it is blocked anew.
//!
//! They are not part of the replicated log: processes converge by the reports that they exchange, and a block that is
//! lost or comes late costs at most three targets. A file that can't be read is ignored.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::Shared;
use crate::poison::{Origin, Report};
use crate::sync::lock;

/// Name of the file in the member's data folder.
const FILE_NAME: &str = "poison";
/// Delay from a change to the write, so that changes in quick succession are written together.
const WRITE_DELAY: Duration = Duration::from_millis(200);
/// Length of the CRC-32 checksum before the content.
const CHECKSUM_BYTES: usize = 4;

/// Records the reports in the file as if they had just been received.
pub(super) fn load(shared: &Shared) {
    let path = path(shared);
    let reports = match fs::read(&path) {
        Ok(bytes) => decode(&bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return,
        Err(error) => Err(error),
    };
    match reports {
        Ok(reports) => {
            info!(shared.log, "blocked requests read from disk"; "event" => "poison_read",
                "blocked" => reports.len());
            let now = shared.now();
            let mut tracker = lock(&shared.poison);
            reports.into_iter().for_each(|report| tracker.apply(now, Origin::Local, report));
            drop(tracker);
            shared.publish_poison();
        }
        Err(error) => warn!(shared.log, "can't read blocked requests from disk";
            "event" => "poison_unreadable", "file" => %path.display(), "error" => %error),
    }
}

/// Writes the blocked requests to the file whenever they change.
pub(super) async fn save_changes(shared: Arc<Shared>) {
    let mut written = Vec::new();
    loop {
        shared.poison_blocks_changed.notified().await;
        tokio::time::sleep(WRITE_DELAY).await;
        let blocked = lock(&shared.poison).blocked(shared.now());
        let mut fingerprints: Vec<_> =
            blocked.iter().map(|report| report.suspect.fingerprint).collect();
        fingerprints.sort_unstable();
        if fingerprints == written {
            continue;
        }
        let path = path(&shared);
        // The disk may stall for seconds, which must not block the runtime.
        let writing = tokio::task::spawn_blocking(move || write(&path, &blocked));
        match writing.await {
            Ok(Ok(())) => written = fingerprints,
            Ok(Err(error)) => warn!(shared.log, "can't write blocked requests to disk";
                "event" => "poison_not_written", "error" => %error),
            Err(error) => warn!(shared.log, "can't write blocked requests to disk";
                "event" => "poison_not_written", "error" => %error),
        }
    }
}

fn path(shared: &Shared) -> PathBuf {
    shared.settings.data_dir.join(FILE_NAME)
}

fn decode(bytes: &[u8]) -> io::Result<Vec<Report>> {
    let damaged = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
    let (checksum, content) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or_else(|| {
        damaged(format!("{} bytes, too short for a checksum of {CHECKSUM_BYTES}", bytes.len()))
    })?;
    if checksum != crc32fast::hash(content).to_le_bytes() {
        return Err(damaged(format!("checksum mismatch over {} bytes", content.len())));
    }
    postcard::from_bytes(content).map_err(|error| {
        damaged(format!("checksum matches, but the content can't be decoded: {error}"))
    })
}

/// Replaces the file atomically and durably: writes and syncs a new file, renames it, and syncs the folder.
fn write(path: &Path, reports: &[Report]) -> io::Result<()> {
    let content = postcard::to_stdvec(reports).map_err(io::Error::other)?;
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
    file.write_all(&content)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    // A rename survives a power loss only once its folder is synced.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}
