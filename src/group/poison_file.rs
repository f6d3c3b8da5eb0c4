//! Blocked requests on a member's disk: after a loss of all power nobody else knows of them, and each would end targets
//! anew until it is blocked again.
//!
//! Not part of the replicated log: boards agree by what they are told, and a block that is lost or comes late costs three
//! targets at most. A file that can't be read is passed over.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::Shared;
use crate::poison::{Origin, Report};
use crate::sync::lock;

/// Name of the file in the member's folder.
const NAME: &str = "poison";
/// Time from a change until it is written, so that many in a row are one writing.
const WRITTEN_AFTER: Duration = Duration::from_millis(200);
/// Bytes of the checksum before the content.
const SUM_BYTES: usize = 4;

/// Takes what the file holds, as if it had just been told.
pub(super) fn load(shared: &Shared) {
    let path = path(shared);
    let reports = match fs::read(&path) {
        Ok(bytes) => decode(&bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return,
        Err(error) => Err(error),
    };
    match reports {
        Ok(reports) => {
            info!(shared.log, "blocked requests read"; "event" => "poison_read",
                "blocked" => reports.len());
            let now = shared.now();
            let mut board = lock(&shared.poison);
            reports.into_iter().for_each(|report| board.take(now, Origin::Here, report));
            drop(board);
            shared.note_poison();
        }
        Err(error) => warn!(shared.log, "blocked requests can't be read";
            "event" => "poison_unreadable", "file" => %path.display(), "error" => %error),
    }
}

/// Writes what is blocked whenever that changes.
pub(super) async fn keep(shared: Arc<Shared>) {
    let mut written = Vec::new();
    loop {
        shared.poison_turned.notified().await;
        tokio::time::sleep(WRITTEN_AFTER).await;
        let blocked = lock(&shared.poison).blocked(shared.now());
        let mut names: Vec<_> = blocked.iter().map(|report| report.suspect.fingerprint).collect();
        names.sort_unstable();
        if names == written {
            continue;
        }
        let path = path(&shared);
        // A disk may stall for seconds.
        let writing = tokio::task::spawn_blocking(move || write(&path, &blocked));
        match writing.await {
            Ok(Ok(())) => written = names,
            Ok(Err(error)) => warn!(shared.log, "blocked requests not written";
                "event" => "poison_not_written", "error" => %error),
            Err(error) => warn!(shared.log, "blocked requests not written";
                "event" => "poison_not_written", "error" => %error),
        }
    }
}

fn path(shared: &Shared) -> PathBuf {
    shared.settings.data_dir.join(NAME)
}

fn decode(bytes: &[u8]) -> io::Result<Vec<Report>> {
    let damaged = || io::Error::new(io::ErrorKind::InvalidData, "the file is damaged");
    let (sum, content) = bytes.split_at_checked(SUM_BYTES).ok_or_else(damaged)?;
    if sum != crc32fast::hash(content).to_le_bytes() {
        return Err(damaged());
    }
    postcard::from_bytes(content).map_err(|_| damaged())
}

/// Puts the reports in place of the file's content, lasting.
fn write(path: &Path, reports: &[Report]) -> io::Result<()> {
    let content = postcard::to_stdvec(reports).map_err(io::Error::other)?;
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
    file.write_all(&content)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    // A rename outlives a loss of power once its folder is synced.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}
