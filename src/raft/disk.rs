//! Implementations of [`Disk`]: a log file in a folder, a wrapper that retries while the disk is full,
//! and a wrapper that measures the duration of syncs.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};
use std::time::Duration;

use prometheus::Histogram;

use super::Disk;

const LOG_FILE: &str = "log";
const NEW_FILE: &str = "log.new";
const LOCK_FILE: &str = "lock";
const HINT_FILE: &str = "commit";
/// Pause between two attempts to write to a full disk.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A log file in a folder that is locked by this process.
pub struct FolderDisk {
    folder: PathBuf,
    file: Option<File>,
    _lock: File,
}

impl FolderDisk {
    /// Locks `folder`, which is created if it is missing.
    ///
    /// # Errors
    /// When the folder can't be created or can't be locked.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock().map_err(|_| {
            io::Error::new(io::ErrorKind::ResourceBusy, "data folder is locked by another process")
        })?;
        Ok(FolderDisk { folder: folder.to_owned(), file: None, _lock: lock })
    }

    fn file(&mut self) -> io::Result<&mut File> {
        if self.file.is_none() {
            let path = self.folder.join(LOG_FILE);
            self.file = Some(OpenOptions::new().append(true).open(path)?);
        }
        self.file.as_mut().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for FolderDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(self.folder.join(LOG_FILE)) {
            Ok(mut file) => file.read_to_end(&mut bytes).map(|_| Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new = self.folder.join(NEW_FILE);
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&new, self.folder.join(LOG_FILE))?;
        self.file = None;
        File::open(&self.folder)?.sync_all()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file()?.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file()?.sync_data()
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        let file = self.file()?;
        file.set_len(len as u64)?;
        file.sync_all()
    }

    fn write_hint(&mut self, bytes: &[u8]) {
        // If the write fails, the hint is missing or outdated at the next start, which is harmless.
        let path = self.folder.join(HINT_FILE);
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path);
        let _ = file.and_then(|mut file| file.write_all(bytes));
    }

    fn read_hint(&mut self) -> Option<Vec<u8>> {
        std::fs::read(self.folder.join(HINT_FILE)).ok()
    }
}

/// Any disk, owned by the thread of a member.
pub type BoxedDisk = Box<dyn Disk + Send>;

impl Disk for BoxedDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        (**self).read()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        (**self).replace(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        (**self).append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        (**self).sync()
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        (**self).truncate(len)
    }

    fn write_hint(&mut self, bytes: &[u8]) {
        (**self).write_hint(bytes);
    }

    fn read_hint(&mut self) -> Option<Vec<u8>> {
        (**self).read_hint()
    }
}

/// A disk wrapper that retries writes while the disk is full.
///
/// The member blocks meanwhile and sends nothing, so the other members go on without it and no data is
/// lost.
pub struct RetryingDisk<D> {
    disk: D,
    /// Length of the file at the last sync, in bytes.
    synced: usize,
    /// Bytes appended since then.
    unsynced: Vec<u8>,
}

impl<D: Disk> RetryingDisk<D> {
    /// Wraps `disk`.
    pub fn new(disk: D) -> Self {
        RetryingDisk { disk, synced: 0, unsynced: Vec::new() }
    }

    fn retry_while_full(
        &mut self,
        mut operation: impl FnMut(&mut Self) -> io::Result<()>,
    ) -> io::Result<()> {
        loop {
            match operation(self) {
                Err(error) if is_full(&error) => std::thread::sleep(FULL_RETRY_INTERVAL),
                done => return done,
            }
        }
    }
}

fn is_full(error: &io::Error) -> bool {
    use io::ErrorKind::{QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded)
}

impl<D: Disk> Disk for RetryingDisk<D> {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        let bytes = self.disk.read()?;
        self.synced = bytes.as_ref().map_or(0, Vec::len);
        Ok(bytes)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.retry_while_full(|retrying| retrying.disk.replace(bytes))?;
        self.synced = bytes.len();
        self.unsynced.clear();
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.unsynced.extend(bytes);
        let mut retry = false;
        self.retry_while_full(|retrying| {
            // The failed attempt may have written a part: cut it off and write all unsynced bytes again.
            if retry {
                retrying.disk.truncate(retrying.synced)?;
                return retrying.disk.append(&retrying.unsynced);
            }
            retry = true;
            retrying.disk.append(bytes)
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.retry_while_full(|retrying| retrying.disk.sync())?;
        self.synced += self.unsynced.len();
        self.unsynced.clear();
        Ok(())
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        self.retry_while_full(|retrying| retrying.disk.truncate(len))?;
        self.synced = len;
        self.unsynced.clear();
        Ok(())
    }

    fn write_hint(&mut self, bytes: &[u8]) {
        self.disk.write_hint(bytes);
    }

    fn read_hint(&mut self) -> Option<Vec<u8>> {
        self.disk.read_hint()
    }
}

/// A disk wrapper that records the duration of each sync.
pub struct TimedDisk<D> {
    disk: D,
    sync_seconds: Histogram,
}

impl<D: Disk> TimedDisk<D> {
    /// Wraps `disk`; records to `sync_seconds`.
    pub fn new(disk: D, sync_seconds: Histogram) -> Self {
        TimedDisk { disk, sync_seconds }
    }
}

impl<D: Disk> Disk for TimedDisk<D> {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.disk.read()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let _timer = self.sync_seconds.start_timer();
        self.disk.replace(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let _timer = self.sync_seconds.start_timer();
        self.disk.sync()
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        self.disk.truncate(len)
    }

    fn write_hint(&mut self, bytes: &[u8]) {
        self.disk.write_hint(bytes);
    }

    fn read_hint(&mut self) -> Option<Vec<u8>> {
        self.disk.read_hint()
    }
}
