//! The write-ahead log: checksummed records in one file, synced before their effects are sent or
//! applied.
//!
//! A record is a header of three little-endian `u32` (payload length, CRC-32 of the payload, CRC-32
//! of the two before) and a payload in postcard. A snapshot replaces the whole file.
//!
//! The first record states the format of the file. A file is written in [`FORMAT_BASE`] until it must
//! hold something above the base feature level, so that the previous build can still read it after a
//! downgrade; then it is replaced by a file of [`FORMAT_LEVELS`].

use std::io;

use serde::{Deserialize, Serialize};

use super::format5::Format5Record;
use super::{Entry, HardState, Index, Log, Payload, Snapshot, StoreId, Write};
use crate::level::Level;

const HEADER_BYTES: usize = 12;
/// Read by every build since the first build.
const FORMAT_BASE: u32 = 3;
/// Written by builds before there were levels; read, and replaced by a current format when opened.
const FORMAT_5: u32 = 5;
/// Holds commands and stores of any level.
const FORMAT_LEVELS: u32 = 6;

/// The log can't be read or written; the member must stop.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The disk failed, or is full.
    #[error("the log file could not be {action}: {source}")]
    Disk {
        /// What the operation would have done to the file, as a past participle.
        action: &'static str,
        /// The disk's error.
        source: io::Error,
    },
    /// A record is damaged whose content may have been acknowledged.
    #[error(
        "the log file is damaged at byte {at}; stopping, since accepted commands may be lost: \
         empty the data folder to let this member join again and copy the log from the others"
    )]
    Damaged {
        /// Offset of the damaged record.
        at: usize,
    },
    /// The file was written by another version.
    #[error(
        "the log file has format {found}, this version reads formats {FORMAT_BASE}, {FORMAT_5} and \
         {FORMAT_LEVELS}; the file was not changed: start the version that wrote it, or, if a \
         majority of the group's members is intact, empty the data folder to let this member join \
         again"
    )]
    Format {
        /// Format found.
        found: u32,
    },
}

/// Storage of the log file; tests replace it by a simulated disk.
pub trait Disk {
    /// Reads the whole file; `None` if there is none yet.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Replaces the file; durable and atomic on return.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Appends to the file; durable only after [`Disk::sync`].
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was appended durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Truncates the file to `len` bytes; durable on return.
    fn truncate(&mut self, len: usize) -> io::Result<()>;
    /// Writes a few bytes to a second file without sync; they may be lost or written in part.
    fn write_hint(&mut self, _bytes: &[u8]) {}
    /// Reads the bytes of [`Disk::write_hint`].
    fn read_hint(&mut self) -> Option<Vec<u8>> {
        None
    }
}

#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// First record of a file.
    Identity {
        format: u32,
        store: StoreId,
    },
    Hard(HardState),
    Truncate(Index),
    Append(Entry),
    Snapshot(Box<Snapshot>),
    /// All records of one write, so that either all or none of them take effect.
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

/// How to treat a damaged last record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailPolicy {
    /// Remove it only if the file ends inside it or it reads as zeros; otherwise stop the member.
    Strict,
    /// Remove it if no valid record follows. For disks that never damage synced data, so that a damaged
    /// last record is one whose sync did not return.
    Unsynced,
}

/// State recovered from a disk.
pub struct Recovered {
    /// Identity of the disk.
    pub store: StoreId,
    /// Group, term and vote.
    pub hard: HardState,
    /// Snapshot and entries.
    pub log: Log,
    /// An index up to which the entries are known to be committed.
    pub commit: Index,
    /// Format of the file.
    pub format: u32,
}

/// An open write-ahead log.
pub struct Wal<D> {
    disk: D,
    store: StoreId,
    /// Format of the file.
    format: u32,
}

impl<D: Disk> Wal<D> {
    /// Opens the log, or creates one with the identity `new_id` on an empty disk.
    ///
    /// An incomplete last record is removed: its write was never acknowledged.
    ///
    /// # Errors
    /// [`WalError`] when the disk fails, the format is unknown, or a record is damaged that may have been
    /// acknowledged (see [`TailPolicy`]).
    pub fn open(
        mut disk: D,
        tail: TailPolicy,
        new_id: StoreId,
    ) -> Result<(Self, Recovered), WalError> {
        let bytes = disk.read().map_err(disk_error("read"))?.unwrap_or_default();
        if bytes.is_empty() {
            return Self::create(disk, new_id);
        }
        let (records, end) = decode(&bytes, tail, file_format(&bytes)?)?;
        if end < bytes.len() {
            disk.truncate(end).map_err(disk_error("truncated"))?;
        }
        let mut recovered = replay(records)?;
        let hint = disk.read_hint().and_then(|hint| decode_hint(&hint)).unwrap_or(0);
        recovered.commit = recovered.commit.max(hint).min(recovered.log.last().index);
        let (store, format) = (recovered.store, recovered.format);
        let mut wal = Wal { disk, store, format };
        if format == FORMAT_5 {
            wal.rewrite(recovered.hard, &recovered.log)?;
        }
        Ok((wal, recovered))
    }

    /// Format of the file.
    pub fn format(&self) -> u32 {
        self.format
    }

    fn create(disk: D, store: StoreId) -> Result<(Self, Recovered), WalError> {
        let recovered = Recovered::blank(store);
        let mut wal = Wal { disk, store, format: FORMAT_BASE };
        wal.rewrite(recovered.hard, &recovered.log)?;
        Ok((wal, recovered))
    }

    /// Appends the writes and syncs; `hard` and `log` are the state after them, for when the file must be
    /// rewritten.
    ///
    /// # Errors
    /// [`WalError::Disk`]; how much reached the disk is then unknown, so the member must stop.
    pub fn write(&mut self, writes: &[Write], hard: HardState, log: &Log) -> Result<(), WalError> {
        if writes.is_empty() {
            return Ok(());
        }
        let needs_levels = self.format == FORMAT_BASE && writes.iter().any(Write::above_base);
        if needs_levels || writes.iter().any(|write| matches!(write, Write::Snapshot(_))) {
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
        self.disk.append(&bytes).map_err(disk_error("written"))?;
        self.disk.sync().map_err(disk_error("synced"))
    }

    /// Writes the commit index to the disk's hint, so that the member knows it at its next start without
    /// contact with the others. The hint may be lost; it is never ahead of the log.
    pub fn write_commit_hint(&mut self, commit: Index) {
        let mut bytes = commit.to_le_bytes().to_vec();
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        self.disk.write_hint(&bytes);
    }

    /// Appends the commit index to the log and syncs, since the hint may be lost in a power failure.
    ///
    /// # Errors
    /// [`WalError::Disk`], as for [`Wal::write`].
    pub fn write_commit(&mut self, commit: Index) -> Result<(), WalError> {
        let mut bytes = Vec::new();
        encode(&mut bytes, &Record::Commit(commit));
        self.disk.append(&bytes).map_err(disk_error("written"))?;
        self.disk.sync().map_err(disk_error("synced"))
    }

    fn rewrite(&mut self, hard: HardState, log: &Log) -> Result<(), WalError> {
        let mut bytes = Vec::new();
        let format = if above_base(log) { FORMAT_LEVELS } else { FORMAT_BASE };
        let identity = Record::Identity { format, store: self.store };
        encode(&mut bytes, &identity);
        encode(&mut bytes, &Record::Hard(hard));
        encode(&mut bytes, &Record::Snapshot(Box::new(log.snapshot().clone())));
        for entry in log.from(0) {
            encode(&mut bytes, &Record::Append(entry.clone()));
        }
        self.disk.replace(&bytes).map_err(disk_error("replaced"))?;
        self.format = format;
        Ok(())
    }
}

/// Whether a log holds something that a file of [`FORMAT_BASE`] can't.
fn above_base(log: &Log) -> bool {
    log.snapshot().store.level() > Level::BASE || log.from(0).iter().any(Entry::above_base)
}

impl Entry {
    fn above_base(&self) -> bool {
        matches!(&self.payload, Payload::Command(command) if command.level() > Level::BASE)
    }
}

impl Write {
    fn above_base(&self) -> bool {
        match self {
            Write::Append(entry) => entry.above_base(),
            Write::Snapshot(snapshot) => snapshot.store.level() > Level::BASE,
            Write::Hard(_) | Write::Truncate(_) => false,
        }
    }
}

fn disk_error(action: &'static str) -> impl Fn(io::Error) -> WalError {
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
    let valid = crc32fast::hash(commit).to_le_bytes() == check;
    valid.then(|| {
        Index::from_le_bytes(commit.try_into().expect("the length was checked by split_at_checked"))
    })
}

/// Format that the first record states; [`FORMAT_BASE`] if that record is incomplete or damaged.
fn file_format(bytes: &[u8]) -> Result<u32, WalError> {
    let found = match valid_payload(bytes).map(postcard::from_bytes::<Record>) {
        Some(Ok(Record::Identity { format, .. })) => format,
        Some(_) => return Err(WalError::Damaged { at: 0 }),
        None => FORMAT_BASE,
    };
    match found {
        FORMAT_BASE | FORMAT_5 | FORMAT_LEVELS => Ok(found),
        _ => Err(WalError::Format { found }),
    }
}

fn decode_record(payload: &[u8], format: u32) -> Result<Record, postcard::Error> {
    match format {
        FORMAT_5 => postcard::from_bytes::<Format5Record>(payload).map(Record::from),
        _ => postcard::from_bytes(payload),
    }
}

/// Decodes the records up to an incomplete last one; returns them and the offset at which they end.
fn decode(bytes: &[u8], tail: TailPolicy, format: u32) -> Result<(Vec<Record>, usize), WalError> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        match valid_payload(rest) {
            Some(payload) => {
                let record = decode_record(payload, format);
                records.push(record.map_err(|_| WalError::Damaged { at })?);
                at += HEADER_BYTES + payload.len();
            }
            None if is_cut_short(rest) => break,
            None if tail == TailPolicy::Unsynced && !valid_record_follows(rest) => break,
            None => return Err(WalError::Damaged { at }),
        }
    }
    Ok((records, at))
}

/// Whether a valid record begins at any offset after the first byte.
fn valid_record_follows(rest: &[u8]) -> bool {
    (1..rest.len()).any(|at| valid_payload(&rest[at..]).is_some_and(|payload| !payload.is_empty()))
}

/// Payload of the record at the start of `rest`, if the record is complete and its checksums match.
fn valid_payload(rest: &[u8]) -> Option<&[u8]> {
    let (len, check) = header(rest)?;
    let payload = rest.get(HEADER_BYTES..HEADER_BYTES + len)?;
    (crc32fast::hash(payload) == check).then_some(payload)
}

/// Length and checksum of the payload, if the header is complete and its own checksum matches.
fn header(rest: &[u8]) -> Option<(usize, u32)> {
    let u32_at = |at: usize| -> Option<u32> {
        let bytes = rest.get(at..at + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    };
    let valid = crc32fast::hash(rest.get(..8)?) == u32_at(8)?;
    valid.then_some((u32_at(0)? as usize, u32_at(4)?))
}

/// Whether `rest` is an append that was interrupted, rather than a damaged record that may have been
/// acknowledged: the file ends inside the record, or all of it reads as zeros.
///
/// Any other partly written record counts as damaged. That may stop a member needlessly, but never
/// drops acknowledged data.
fn is_cut_short(rest: &[u8]) -> bool {
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
    let Some(Record::Identity { store, format }) = records.next() else {
        return Err(WalError::Damaged { at: 0 });
    };
    let mut recovered = Recovered { format, ..Recovered::blank(store) };
    for record in records {
        recovered.apply(record)?;
    }
    Ok(recovered)
}

impl Recovered {
    fn blank(store: StoreId) -> Self {
        let (hard, log) = (HardState::default(), Log::default());
        Recovered { store, hard, log, commit: 0, format: FORMAT_BASE }
    }

    fn apply(&mut self, record: Record) -> Result<(), WalError> {
        match record {
            Record::Identity { .. } => return Err(WalError::Damaged { at: 0 }),
            Record::Hard(hard) => self.hard = hard,
            Record::Truncate(index) => self.log.truncate(index),
            Record::Append(entry) => self.log.push(entry),
            Record::Snapshot(snapshot) => self.log = Log::new(*snapshot),
            Record::Commit(index) => self.commit = self.commit.max(index),
            Record::Batch(records) => {
                for record in records {
                    self.apply(record)?;
                }
            }
        }
        Ok(())
    }
}
