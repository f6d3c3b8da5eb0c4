//! The write-ahead log on a failing disk: after a restart a member serves every acknowledged change, or
//! refuses to start.

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

/// A group of one member with `changes` accepted changes on its disk.
fn disk_with_changes(changes: u64) -> (FakeDisk, Replica<FakeDisk>) {
    let disk = FakeDisk::default();
    let mut replica = open(&disk).expect("an empty disk opens");
    let member = Member { id: StoreId(7), addr: ([10, 0, 0, 1], 1).into(), kind: Standing::Voter };
    replica.form(GroupId(1), Members(vec![member]));
    replica.flush().expect("no disk error");
    elect(&mut replica);
    for base in 0..changes {
        accept(&mut replica, base).expect("no disk error");
    }
    (disk, replica)
}

fn elect(replica: &mut Replica<FakeDisk>) {
    replica.tick(Duration::from_secs(2));
    replica.flush().expect("no disk error");
}

fn accept(replica: &mut Replica<FakeDisk>, base: u64) -> Result<(), WalError> {
    let command = Command::Change(Box::new(change(&format!("c{base}"), 0, base)));
    replica.propose(Duration::from_secs(2), command).expect("a leader");
    let (_, answers) = replica.flush()?;
    assert_eq!(answers.len(), 1);
    Ok(())
}

fn reopened_version(disk: &FakeDisk) -> u64 {
    let mut replica = open(disk).expect("no disk error");
    elect(&mut replica);
    replica.store().templates()["t0"].version
}

#[test]
fn a_restart_after_hundreds_of_changes_gives_the_same_store() {
    for changes in [1, 300, 2_500] {
        let (disk, before) = disk_with_changes(changes);
        let mut after = open(&disk).expect("no disk error");
        elect(&mut after);
        assert_eq!(after.store(), before.store(), "after {changes} changes");
    }
}

/// A crash during an append leaves only the first bytes of the last record.
#[test]
fn a_torn_tail_is_cut_wherever_it_tears() {
    let (disk, mut replica) = disk_with_changes(3);
    let intact_len = disk.bytes().len();
    accept(&mut replica, 3).expect("no disk error");
    let tail = disk.bytes().len() - intact_len;
    for kept in 0..tail {
        let (disk, _) = disk_with_changes(3);
        let torn = disk.bytes();
        let (longer, mut replica) = disk_with_changes(3);
        accept(&mut replica, 3).expect("no disk error");
        let longer = longer.bytes();
        disk.edit(|bytes| bytes.extend(&longer[torn.len()..torn.len() + kept]));
        assert_eq!(reopened_version(&disk), 3, "torn after {kept} bytes");
    }
}

#[test]
fn a_tail_that_was_never_written_and_reads_as_zeros_is_cut() {
    let (disk, _) = disk_with_changes(3);
    disk.edit(|bytes| bytes.extend([0; 100]));
    assert_eq!(reopened_version(&disk), 3);
}

#[test]
fn a_flipped_bit_anywhere_stops_the_member() {
    let (disk, _) = disk_with_changes(4);
    let intact = disk.bytes();
    for at in 0..intact.len() {
        disk.edit(|bytes| bytes[at] ^= 0x10);
        let opened = open(&disk);
        assert!(
            matches!(opened, Err(WalError::Damaged { .. })),
            "the bit flip at byte {at} was not detected"
        );
        disk.edit(|bytes| bytes.clone_from(&intact));
    }
}

#[test]
fn a_restarted_member_knows_what_was_committed_without_asking() {
    let (disk, _) = disk_with_changes(3);
    let mut replica = open(&disk).expect("no disk error");
    replica.flush().expect("no disk error");
    assert_eq!(replica.store().templates()["t0"].version, 3);
}

#[test]
fn a_persisted_commit_index_survives_a_power_loss() {
    let (disk, mut replica) = disk_with_changes(3);
    replica.persist_commit().expect("no disk error");
    drop(replica);
    disk.lose_hint();
    let mut replica = open(&disk).expect("no disk error");
    replica.flush().expect("no disk error");
    assert_eq!(replica.store().templates()["t0"].version, 3);
}

/// The hint with the commit index is written without syncing, so a crash may roll it back or tear it.
#[test]
fn a_lost_or_torn_note_of_the_commit_index_is_passed_over() {
    for torn in [1, 2] {
        let (disk, replica) = disk_with_changes(3);
        drop(replica);
        disk.crash(torn);
        assert_eq!(reopened_version(&disk), 3);
    }
}

/// Opens a log with the policy for disks that never damage synced data.
fn open_unsynced(disk: &FakeDisk) -> Result<Replica<FakeDisk>, WalError> {
    let (id, now) = (StoreId(7), Duration::ZERO);
    Replica::open_with(disk.clone(), TailPolicy::Unsynced, id, timing(), COMPACT_AFTER, now, 1)
}

#[test]
fn a_last_record_with_holes_is_cut_where_the_disk_keeps_what_was_synced() {
    let (disk, mut replica) = disk_with_changes(3);
    let intact_len = disk.bytes().len();
    accept(&mut replica, 3).expect("no disk error");
    let intact = disk.bytes();
    for at in intact_len..intact.len() {
        disk.edit(|bytes| bytes[at] ^= 0x10);
        let mut replica = open_unsynced(&disk).expect("only the last record is damaged");
        elect(&mut replica);
        assert_eq!(replica.store().templates()["t0"].version, 3, "damaged at byte {at}");
        disk.edit(|bytes| bytes.clone_from(&intact));
    }
}

#[test]
fn a_log_of_another_version_is_refused_by_its_format() {
    let (disk, _) = disk_with_changes(1);
    disk.edit(|bytes| {
        // The payload starts with the kind of record, followed by its format; both checksums are then renewed.
        bytes[13] = 1;
        let check = crc32fast::hash(&bytes[12..12 + bytes[0] as usize]).to_le_bytes();
        bytes[4..8].copy_from_slice(&check);
        let check = crc32fast::hash(&bytes[..8]).to_le_bytes();
        bytes[8..12].copy_from_slice(&check);
    });
    assert!(matches!(open(&disk), Err(WalError::Format { found: 1 })));
}

/// A disk written by the first build, with a configuration of version 3.
fn production_disk() -> FakeDisk {
    let log = include_bytes!("../data/disks/format-3-snapshot/log");
    let mut disk = FakeDisk::default();
    disk.replace(log).expect("no disk error");
    disk
}

/// The first payload byte is the kind of record, the second its format.
fn format(disk: &FakeDisk) -> u8 {
    disk.bytes()[13]
}

/// A member may be downgraded until the level is raised, so until then it writes the old format.
#[test]
fn a_log_stays_readable_to_the_build_that_wrote_it_until_the_level_is_raised() {
    let disk = production_disk();
    for compact_after in [COMPACT_AFTER, 1] {
        let mut replica =
            Replica::open(disk.clone(), StoreId(7), timing(), compact_after, Duration::ZERO, 1)
                .expect("no disk error");
        elect(&mut replica);
        accept(&mut replica, u64::from(compact_after == 1)).expect("no disk error");
        assert_eq!(format(&disk), 3, "compacted after {compact_after}");
        let document = replica.store().document().expect("the configuration was acknowledged");
        assert_eq!(document.version, 3);
    }
    let mut replica = open(&disk).expect("no disk error");
    elect(&mut replica);
    replica.propose(Duration::from_secs(2), Command::Raise(Level::INCARNATIONS)).expect("a leader");
    replica.flush().expect("no disk error");
    assert_eq!(format(&disk), 6);
    let mut reopened = open(&disk).expect("no disk error");
    elect(&mut reopened);
    assert_eq!(reopened.store().level(), Level::INCARNATIONS);
    assert_eq!(reopened_version(&disk), 2);
}

#[test]
fn a_damaged_record_with_sound_ones_behind_it_always_stops_the_member() {
    let (disk, _) = disk_with_changes(3);
    let first = disk.bytes().len();
    let (disk, mut replica) = disk_with_changes(3);
    accept(&mut replica, 3).expect("no disk error");
    let intact = disk.bytes();
    for at in 0..first {
        disk.edit(|bytes| bytes[at] ^= 0x10);
        let opened = open_unsynced(&disk);
        assert!(
            matches!(opened, Err(WalError::Damaged { .. })),
            "the bit flip at byte {at} was not detected"
        );
        disk.edit(|bytes| bytes.clone_from(&intact));
    }
}

#[rstest]
#[case::full_disk(Failure::Full)]
#[case::failing_sync(Failure::Sync)]
fn a_failing_disk_stops_the_member_and_loses_nothing_acknowledged(#[case] failure: Failure) {
    let (disk, mut replica) = disk_with_changes(5);
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
