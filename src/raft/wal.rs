//! The write-ahead log on disk: checksummed records in one file, synced before they count.
//!
//! A record is a header of three little-endian `u32` (payload length, CRC-32 of the payload, CRC-32
//! of the two before) and a payload in postcard. A snapshot replaces the whole file.

use std::io;

use serde::{Deserialize, Serialize};

use super::{Entry, HardState, Index, Log, Snapshot, StoreId, Write};

const HEADER_BYTES: usize = 12;
const FORMAT: u32 = 5;

/// The log can't be read or written; the member must stop.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The disk failed, or is full.
    #[error("the log can't be {action}: {source}")]
    Disk {
        /// What was tried.
        action: &'static str,
        /// The disk's error.
        source: io::Error,
    },
    /// A record that may have been acknowledged is damaged.
    #[error(
        "the log is damaged at byte {at}; stopping rather than serving less than was accepted: \
         empty the data folder to let this member join again from the others"
    )]
    Damaged {
        /// Offset of the damaged record.
        at: usize,
    },
    /// The file was written by another version.
    #[error("the log has format {found}, this version reads format {FORMAT}")]
    Format {
        /// Format found.
        found: u32,
    },
}

/// Where the log is kept; the seam that tests put a fake in.
pub trait Disk {
    /// The whole file, or `None` when there is none yet.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Replaces the file; durable and atomic on return.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Adds to the end; durable only after [`Disk::sync`].
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was appended durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Cuts the file to `len` bytes; durable on return.
    fn truncate(&mut self, len: usize) -> io::Result<()>;
    /// Writes a few bytes beside the file, that may be lost or torn; nothing waits for them.
    fn write_hint(&mut self, _bytes: &[u8]) {}
    /// Reads those bytes.
    fn read_hint(&mut self) -> Option<Vec<u8>> {
        None
    }
}

#[derive(Serialize, Deserialize)]
enum Record {
    /// First record of a file.
    Identity {
        format: u32,
        store: StoreId,
    },
    Hard(HardState),
    Truncate(Index),
    Append(Entry),
    Snapshot(Box<Snapshot>),
    /// All that one write brought, so that it counts whole or not at all.
    Batch(Vec<Record>),
    /// The entries up to here are committed.
    Commit(Index),
}

impl From<&Write> for Record {
    fn from(write: &Write) -> Self {
        match write {
            Write::Hard(hard) => Record::Hard(*hard),
            Write::Truncate(index) => Record::Truncate(*index),
            Write::Append(entry) => Record::Append(entry.clone()),
            Write::Snapshot(snapshot) => Record::Snapshot(snapshot.clone()),
        }
    }
}

/// What to make of a last record that is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// Cut it off only if it was plainly cut short; else stop the member.
    Strict,
    /// Cut it off whenever nothing sound follows: for disks that never damage what was synced, so
    /// that a damaged last record is one whose sync did not return.
    Unsynced,
}

/// What a disk held.
pub struct Recovered {
    /// Identity of the store.
    pub store: StoreId,
    /// Group, term and vote.
    pub hard: HardState,
    /// Snapshot and entries.
    pub log: Log,
    /// An index up to which the entries are surely committed.
    pub commit: Index,
}

/// An open log.
pub struct Wal<D> {
    disk: D,
    store: StoreId,
}

impl<D: Disk> Wal<D> {
    /// Opens the log, or starts one under the identity `fresh` on an empty disk.
    ///
    /// A torn tail, which no one was told of, is cut off.
    ///
    /// # Errors
    /// [`WalError`] when the disk fails or a record below the tail is damaged.
    pub fn open(mut disk: D, tail: Tail, fresh: StoreId) -> Result<(Self, Recovered), WalError> {
        let bytes = disk.read().map_err(failed("read"))?.unwrap_or_default();
        if bytes.is_empty() {
            return Self::start(disk, fresh);
        }
        let (records, end) = decode(&bytes, tail)?;
        if end < bytes.len() {
            disk.truncate(end).map_err(failed("cut"))?;
        }
        let mut recovered = replay(records)?;
        let hint = disk.read_hint().and_then(|hint| decode_hint(&hint)).unwrap_or(0);
        recovered.commit = recovered.commit.max(hint).min(recovered.log.last().index);
        let store = recovered.store;
        Ok((Wal { disk, store }, recovered))
    }

    fn start(disk: D, store: StoreId) -> Result<(Self, Recovered), WalError> {
        let recovered = Recovered::blank(store);
        let mut wal = Wal { disk, store };
        wal.rewrite(recovered.hard, &recovered.log)?;
        Ok((wal, recovered))
    }

    /// Writes and syncs; `hard` and `log` are the state after the writes.
    ///
    /// # Errors
    /// [`WalError::Disk`]; what reached the disk is then unknown, so the member must stop.
    pub fn write(&mut self, writes: &[Write], hard: HardState, log: &Log) -> Result<(), WalError> {
        if writes.is_empty() {
            return Ok(());
        }
        if writes.iter().any(|write| matches!(write, Write::Snapshot(_))) {
            return self.rewrite(hard, log);
        }
        let mut records: Vec<Record> = writes.iter().map(Record::from).collect();
        let record = match records.pop() {
            Some(only) if records.is_empty() => only,
            Some(last) => {
                records.push(last);
                Record::Batch(records)
            }
            None => return Ok(()),
        };
        let mut bytes = Vec::new();
        encode(&mut bytes, &record);
        self.disk.append(&bytes).map_err(failed("written"))?;
        self.disk.sync().map_err(failed("synced"))
    }

    /// Notes beside the log up to where it is committed, so that a member knows so much at its next
    /// start without asking the others. The note may be lost; it is never ahead of the log.
    pub fn note_commit(&mut self, commit: Index) {
        let mut bytes = commit.to_le_bytes().to_vec();
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        self.disk.write_hint(&bytes);
    }

    /// Writes and syncs that the entries up to `commit` are committed, for a note may be lost with
    /// the power.
    ///
    /// # Errors
    /// [`WalError::Disk`], as for any write.
    pub fn write_commit(&mut self, commit: Index) -> Result<(), WalError> {
        let mut bytes = Vec::new();
        encode(&mut bytes, &Record::Commit(commit));
        self.disk.append(&bytes).map_err(failed("written"))?;
        self.disk.sync().map_err(failed("synced"))
    }

    fn rewrite(&mut self, hard: HardState, log: &Log) -> Result<(), WalError> {
        let mut bytes = Vec::new();
        let identity = Record::Identity { format: FORMAT, store: self.store };
        encode(&mut bytes, &identity);
        encode(&mut bytes, &Record::Hard(hard));
        encode(&mut bytes, &Record::Snapshot(Box::new(log.snapshot().clone())));
        for entry in log.from(0) {
            encode(&mut bytes, &Record::Append(entry.clone()));
        }
        self.disk.replace(&bytes).map_err(failed("replaced"))
    }
}

fn failed(action: &'static str) -> impl Fn(io::Error) -> WalError {
    move |source| WalError::Disk { action, source }
}

fn encode(bytes: &mut Vec<u8>, record: &Record) {
    let payload = postcard::to_stdvec(record).expect("records always encode");
    let mut header = Vec::with_capacity(HEADER_BYTES);
    header.extend((payload.len() as u32).to_le_bytes());
    header.extend(crc32fast::hash(&payload).to_le_bytes());
    let check = crc32fast::hash(&header);
    header.extend(check.to_le_bytes());
    bytes.extend(header);
    bytes.extend(payload);
}

fn decode_hint(hint: &[u8]) -> Option<Index> {
    let (commit, check) = hint.split_at_checked(size_of::<Index>())?;
    let sound = crc32fast::hash(commit).to_le_bytes() == check;
    sound.then(|| Index::from_le_bytes(commit.try_into().expect("split at its size")))
}

/// Reads records up to a torn tail; returns them and where they end.
fn decode(bytes: &[u8], tail: Tail) -> Result<(Vec<Record>, usize), WalError> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        match split(rest) {
            Some(payload) => {
                let record: Record =
                    postcard::from_bytes(payload).map_err(|_| WalError::Damaged { at })?;
                // Records of another format may not even decode, so it is checked at once.
                if let Record::Identity { format, .. } = record
                    && format != FORMAT
                {
                    return Err(WalError::Format { found: format });
                }
                records.push(record);
                at += HEADER_BYTES + payload.len();
            }
            None if torn(rest) => break,
            None if tail == Tail::Unsynced && !sound_record_follows(rest) => break,
            None => return Err(WalError::Damaged { at }),
        }
    }
    Ok((records, at))
}

/// Whether a sound record begins anywhere behind the first byte.
fn sound_record_follows(rest: &[u8]) -> bool {
    (1..rest.len()).any(|at| split(&rest[at..]).is_some_and(|payload| !payload.is_empty()))
}

/// The payload of the record that `rest` begins with, if it is whole and sound.
fn split(rest: &[u8]) -> Option<&[u8]> {
    let (len, check) = header(rest)?;
    let payload = rest.get(HEADER_BYTES..HEADER_BYTES + len)?;
    (crc32fast::hash(payload) == check).then_some(payload)
}

/// Length and checksum of the payload, if the header is whole and sound.
fn header(rest: &[u8]) -> Option<(usize, u32)> {
    let word = |at: usize| -> Option<u32> {
        let bytes = rest.get(at..at + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    };
    let sound = crc32fast::hash(rest.get(..8)?) == word(8)?;
    sound.then_some((word(0)? as usize, word(4)?))
}

/// Whether `rest` is an append cut short, rather than an acknowledged record gone bad: the file ends
/// inside the record, or nothing of it was written and it reads as zeros.
///
/// A record written only in parts reads as damage: that stops a member without need, but never
/// drops what was acknowledged.
fn torn(rest: &[u8]) -> bool {
    if rest.len() < HEADER_BYTES {
        return true;
    }
    match header(rest) {
        Some((len, _)) => rest.len() < HEADER_BYTES + len,
        None => rest.iter().all(|byte| *byte == 0),
    }
}

fn replay(records: Vec<Record>) -> Result<Recovered, WalError> {
    let mut records = records.into_iter();
    let store = match records.next() {
        Some(Record::Identity { store, .. }) => store,
        _ => return Err(WalError::Damaged { at: 0 }),
    };
    let mut recovered = Recovered::blank(store);
    for record in records {
        recovered.take(record)?;
    }
    Ok(recovered)
}

impl Recovered {
    fn blank(store: StoreId) -> Self {
        Recovered { store, hard: HardState::default(), log: Log::default(), commit: 0 }
    }

    fn take(&mut self, record: Record) -> Result<(), WalError> {
        match record {
            Record::Identity { .. } => return Err(WalError::Damaged { at: 0 }),
            Record::Hard(hard) => self.hard = hard,
            Record::Truncate(index) => self.log.truncate(index),
            Record::Append(entry) => self.log.push(entry),
            Record::Snapshot(snapshot) => self.log = Log::new(*snapshot),
            Record::Commit(index) => self.commit = self.commit.max(index),
            Record::Batch(records) => {
                for record in records {
                    self.take(record)?;
                }
            }
        }
        Ok(())
    }
}
