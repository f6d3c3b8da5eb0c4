//! The log on a disk that fails: what was acknowledged is served again or nothing is.

use std::time::Duration;

use latchmount::level::Level;
use latchmount::raft::{
    Disk, GroupId, Member, Members, Replica, Standing, StoreId, TailPolicy, WalError,
};
use latchmount::store::Command;
use rstest::rstest;

use crate::disk::{Failure, FakeDisk};
use crate::group::{change, timing};

const COMPACT_AFTER: usize = 1_000;

fn open(disk: &FakeDisk) -> Result<Replica<FakeDisk>, WalError> {
    Replica::open(disk.clone(), StoreId(7), timing(), COMPACT_AFTER, Duration::ZERO, 1)
}

/// A group of one with so many accepted changes on its disk.
fn written(changes: u64) -> (FakeDisk, Replica<FakeDisk>) {
    let disk = FakeDisk::default();
    let mut replica = open(&disk).expect("an empty disk");
    let member = Member { id: StoreId(7), addr: ([10, 0, 0, 1], 1).into(), kind: Standing::Voter };
    replica.form(GroupId(1), Members(vec![member]));
    replica.flush().expect("a sound disk");
    lead(&mut replica);
    for base in 0..changes {
        accept(&mut replica, base).expect("a sound disk");
    }
    (disk, replica)
}

fn lead(replica: &mut Replica<FakeDisk>) {
    replica.tick(Duration::from_secs(2));
    replica.flush().expect("a sound disk");
}

fn accept(replica: &mut Replica<FakeDisk>, base: u64) -> Result<(), WalError> {
    let command = Command::Change(Box::new(change(&format!("c{base}"), 0, base)));
    replica.propose(Duration::from_secs(2), command).expect("a leader");
    let (_, answers) = replica.flush()?;
    assert_eq!(answers.len(), 1);
    Ok(())
}

fn reopened_version(disk: &FakeDisk) -> u64 {
    let mut replica = open(disk).expect("a sound disk");
    lead(&mut replica);
    replica.store().templates()["t0"].version
}

#[test]
fn a_restart_after_hundreds_of_changes_gives_the_same_store() {
    for changes in [1, 300, 2_500] {
        let (disk, before) = written(changes);
        let mut after = open(&disk).expect("a sound disk");
        lead(&mut after);
        assert_eq!(after.store(), before.store(), "after {changes} changes");
    }
}

#[test]
fn a_torn_tail_is_cut_wherever_it_tears() {
    let (disk, mut replica) = written(3);
    let whole = disk.bytes().len();
    accept(&mut replica, 3).expect("a sound disk");
    let tail = disk.bytes().len() - whole;
    for kept in 0..tail {
        let (disk, _) = written(3);
        let torn = disk.bytes();
        let (longer, mut replica) = written(3);
        accept(&mut replica, 3).expect("a sound disk");
        let longer = longer.bytes();
        disk.edit(|bytes| bytes.extend(&longer[torn.len()..torn.len() + kept]));
        assert_eq!(reopened_version(&disk), 3, "torn after {kept} bytes");
    }
}

#[test]
fn a_tail_that_was_never_written_and_reads_as_zeros_is_cut() {
    let (disk, _) = written(3);
    disk.edit(|bytes| bytes.extend([0; 100]));
    assert_eq!(reopened_version(&disk), 3);
}

#[test]
fn a_flipped_bit_anywhere_stops_the_member() {
    let (disk, _) = written(4);
    let sound = disk.bytes();
    for at in 0..sound.len() {
        disk.edit(|bytes| bytes[at] ^= 0x10);
        let opened = open(&disk);
        assert!(matches!(opened, Err(WalError::Damaged { .. })), "a flip at byte {at} went unseen");
        disk.edit(|bytes| bytes.clone_from(&sound));
    }
}

#[test]
fn a_restarted_member_knows_what_was_committed_without_asking() {
    let (disk, _) = written(3);
    let mut replica = open(&disk).expect("a sound disk");
    replica.flush().expect("a sound disk");
    assert_eq!(replica.store().templates()["t0"].version, 3);
}

#[test]
fn what_was_remembered_as_committed_outlives_a_loss_of_power() {
    let (disk, mut replica) = written(3);
    replica.persist_commit().expect("a sound disk");
    drop(replica);
    disk.lose_hint();
    let mut replica = open(&disk).expect("a sound disk");
    replica.flush().expect("a sound disk");
    assert_eq!(replica.store().templates()["t0"].version, 3);
}

#[test]
fn a_lost_or_torn_note_of_the_commit_index_is_passed_over() {
    for torn in [1, 2] {
        let (disk, replica) = written(3);
        drop(replica);
        disk.crash(torn);
        assert_eq!(reopened_version(&disk), 3);
    }
}

/// Opens a log on a disk that never damages what was synced.
fn open_unsynced(disk: &FakeDisk) -> Result<Replica<FakeDisk>, WalError> {
    let (id, now) = (StoreId(7), Duration::ZERO);
    Replica::open_with(disk.clone(), TailPolicy::Unsynced, id, timing(), COMPACT_AFTER, now, 1)
}

#[test]
fn a_last_record_with_holes_is_cut_where_the_disk_keeps_what_was_synced() {
    let (disk, mut replica) = written(3);
    let whole = disk.bytes().len();
    accept(&mut replica, 3).expect("a sound disk");
    let sound = disk.bytes();
    for at in whole..sound.len() {
        disk.edit(|bytes| bytes[at] ^= 0x10);
        let mut replica = open_unsynced(&disk).expect("only the last record is damaged");
        lead(&mut replica);
        assert_eq!(replica.store().templates()["t0"].version, 3, "a hole at byte {at}");
        disk.edit(|bytes| bytes.clone_from(&sound));
    }
}

#[test]
fn a_log_of_another_version_is_refused_by_its_format() {
    let (disk, _) = written(1);
    disk.edit(|bytes| {
        // The first payload byte is the kind of record, the second its format.
        bytes[13] = 1;
        let check = crc32fast::hash(&bytes[12..12 + bytes[0] as usize]).to_le_bytes();
        bytes[4..8].copy_from_slice(&check);
        let check = crc32fast::hash(&bytes[..8]).to_le_bytes();
        bytes[8..12].copy_from_slice(&check);
    });
    assert!(matches!(open(&disk), Err(WalError::Format { found: 1 })));
}

/// A disk that production's build left, with a configuration of version 3.
fn production_disk() -> FakeDisk {
    let log = include_bytes!("../data/disks/format-3-snapshot/log");
    let mut disk = FakeDisk::default();
    disk.replace(log).expect("a sound disk");
    disk
}

/// The first payload byte is the kind of record, the second its format.
fn format(disk: &FakeDisk) -> u8 {
    disk.bytes()[13]
}

#[test]
fn a_log_stays_readable_to_the_build_that_wrote_it_until_the_level_is_raised() {
    let disk = production_disk();
    for compact_after in [COMPACT_AFTER, 1] {
        let mut replica =
            Replica::open(disk.clone(), StoreId(7), timing(), compact_after, Duration::ZERO, 1)
                .expect("a sound disk");
        lead(&mut replica);
        accept(&mut replica, u64::from(compact_after == 1)).expect("a sound disk");
        assert_eq!(format(&disk), 3, "compacted after {compact_after}");
        let document = replica.store().document().expect("it was acknowledged");
        assert_eq!(document.version, 3);
    }
    let mut replica = open(&disk).expect("a sound disk");
    lead(&mut replica);
    replica.propose(Duration::from_secs(2), Command::Raise(Level::INCARNATIONS)).expect("a leader");
    replica.flush().expect("a sound disk");
    assert_eq!(format(&disk), 6);
    let mut again = open(&disk).expect("a sound disk");
    lead(&mut again);
    assert_eq!(again.store().level(), Level::INCARNATIONS);
    assert_eq!(reopened_version(&disk), 2);
}

#[test]
fn a_damaged_record_with_sound_ones_behind_it_always_stops_the_member() {
    let (disk, _) = written(3);
    let first = disk.bytes().len();
    let (disk, mut replica) = written(3);
    accept(&mut replica, 3).expect("a sound disk");
    let sound = disk.bytes();
    for at in 0..first {
        disk.edit(|bytes| bytes[at] ^= 0x10);
        let opened = open_unsynced(&disk);
        assert!(matches!(opened, Err(WalError::Damaged { .. })), "a flip at byte {at} went unseen");
        disk.edit(|bytes| bytes.clone_from(&sound));
    }
}

#[rstest]
#[case::full_disk(Failure::Full)]
#[case::failing_sync(Failure::Sync)]
fn a_failing_disk_stops_the_member_and_loses_nothing_acknowledged(#[case] failure: Failure) {
    let (disk, mut replica) = written(5);
    disk.fail(failure);
    let failed = accept(&mut replica, 5);
    assert!(matches!(failed, Err(WalError::Disk { .. })), "{failed:?}");
    drop(replica);
    for torn in [0, 3, 20, 1_000] {
        disk.crash(torn);
        let version = reopened_version(&disk);
        assert!(version == 5 || version == 6, "version {version}");
    }
}
