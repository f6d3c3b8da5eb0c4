//! An in-memory disk that can return errors, tear a write and lose unsynced data.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use latchmount::raft::Disk;

/// Error that a disk returns until the next [`FakeDisk::crash`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// An append stores half of its bytes and then fails, as on a full disk.
    Full,
    /// Syncing fails.
    Sync,
}

#[derive(Debug, Default)]
struct State {
    synced: Option<Vec<u8>>,
    unsynced: Vec<u8>,
    failure: Option<Failure>,
    hint: Option<Vec<u8>>,
    /// The previous hint, which a crash may restore.
    older_hint: Option<Vec<u8>>,
}

/// A handle to a disk; clones share the same disk.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk(Rc<RefCell<State>>);

impl FakeDisk {
    pub fn fail(&self, failure: Failure) {
        self.0.borrow_mut().failure = Some(failure);
    }

    /// Loses unsynced data except its first `torn` bytes, and clears the failure. `torn % 3` selects whether the hint stays,
    /// falls back to the previous one, or is cut to half.
    pub fn crash(&self, torn: usize) {
        let mut state = self.0.borrow_mut();
        let kept = torn.min(state.unsynced.len());
        let tail = std::mem::take(&mut state.unsynced);
        if let Some(synced) = &mut state.synced {
            synced.extend(&tail[..kept]);
        }
        state.failure = None;
        match torn % 3 {
            0 => {}
            1 => state.hint = state.older_hint.clone(),
            _ => state.hint = state.hint.take().map(|hint| hint[..hint.len() / 2].to_vec()),
        }
    }

    /// Loses the hint, which is stored outside the log file.
    pub fn lose_hint(&self) {
        let mut state = self.0.borrow_mut();
        (state.hint, state.older_hint) = (None, None);
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.0.borrow().synced.clone().unwrap_or_default()
    }

    pub fn edit(&self, edit: impl FnOnce(&mut Vec<u8>)) {
        edit(self.0.borrow_mut().synced.as_mut().expect("the disk has synced data"));
    }
}

impl Disk for FakeDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().synced.clone())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.failure.is_some() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.synced = Some(bytes.to_vec());
        state.unsynced.clear();
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.failure == Some(Failure::Full) {
            state.unsynced.extend(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.unsynced.extend(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.failure == Some(Failure::Sync) {
            return Err(io::Error::other("sync failed"));
        }
        let unsynced = std::mem::take(&mut state.unsynced);
        state.synced.get_or_insert_default().extend(unsynced);
        Ok(())
    }

    fn write_hint(&mut self, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        state.older_hint = state.hint.replace(bytes.to_vec());
    }

    fn read_hint(&mut self) -> Option<Vec<u8>> {
        self.0.borrow().hint.clone()
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        if let Some(synced) = &mut self.0.borrow_mut().synced {
            synced.truncate(len);
        }
        Ok(())
    }
}
