//! When a group's feature level is raised: only while every member has recently reported that it supports the new level.

use std::time::Duration;

use latchmount::level::{GroupState, Level, Readiness};
use latchmount::raft::{Member, Members, Standing, StoreId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeds::seed;

fn members(count: u64) -> Members {
    let member = |id: u64| Member {
        id: StoreId(id),
        addr: ([10, 0, 0, id as u8], 1).into(),
        kind: if id < 3 { Standing::Voter } else { Standing::Learner },
    };
    Members((0..count).map(member).collect())
}

fn group(members: &Members) -> GroupState<'_> {
    GroupState { members, level: Level::BASE, formed_here: false }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Lets all members report their supported level every 100 ms; returns the level that is due at the end.
fn report_levels(
    readiness: &mut Readiness,
    group: GroupState<'_>,
    from_ms: u64,
    until_ms: u64,
    supported: impl Fn(StoreId) -> Option<Level>,
) -> Option<Level> {
    let mut due = None;
    for ms in (from_ms..until_ms).step_by(100) {
        for member in &group.members.0 {
            if let Some(supported) = supported(member.id) {
                readiness.record(at(ms), member.id, supported);
            }
        }
        due = readiness.due(at(ms), group);
    }
    due
}

#[test]
fn a_member_of_an_earlier_build_keeps_the_level_down_even_as_a_learner() {
    let members = members(4);
    let mut readiness = Readiness::default();
    let supported = |id| Some(if id == StoreId(3) { Level::BASE } else { Level::INCARNATIONS });
    assert_eq!(report_levels(&mut readiness, group(&members), 0, 20_000, supported), None);
}

#[test]
fn a_member_that_is_down_keeps_the_level_down() {
    let members = members(4);
    let mut readiness = Readiness::default();
    let supported = |id| (id != StoreId(2)).then_some(Level::INCARNATIONS);
    assert_eq!(report_levels(&mut readiness, group(&members), 0, 20_000, supported), None);
}

#[test]
fn a_member_that_is_downgraded_restarts_the_wait() {
    let members = members(3);
    let mut readiness = Readiness::default();
    let all = |_| Some(Level::INCARNATIONS);
    let group = group(&members);
    assert_eq!(report_levels(&mut readiness, group, 0, 4_000, all), None);
    let downgraded = |id| Some(if id == StoreId(1) { Level::BASE } else { Level::INCARNATIONS });
    assert_eq!(report_levels(&mut readiness, group, 4_000, 4_100, downgraded), None);
    assert_eq!(report_levels(&mut readiness, group, 4_100, 9_000, all), None);
    assert_eq!(report_levels(&mut readiness, group, 9_000, 9_500, all), Some(Level::INCARNATIONS));
}

#[test]
fn a_group_that_was_formed_by_this_build_need_not_wait() {
    let members = members(3);
    let mut readiness = Readiness::default();
    let group = GroupState { formed_here: true, ..group(&members) };
    assert!(readiness.level_pending(&members, Level::BASE), "no member has reported yet");
    let all = |_| Some(Level::INCARNATIONS);
    assert_eq!(report_levels(&mut readiness, group, 0, 100, all), Some(Level::INCARNATIONS));
    let raised = GroupState { level: Level::INCARNATIONS, ..group };
    assert_eq!(report_levels(&mut readiness, raised, 100, 200, all), None);
    assert!(!readiness.level_pending(&members, Level::INCARNATIONS));
}

// Whatever members report and when, the level is due only while each has reported in the last 1.5 s that it supports it.
#[test]
fn the_level_is_never_due_while_a_member_does_not_know_it() {
    let seed = seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..200 {
        let members = members(rng.random_range(1..6));
        let mut readiness = Readiness::default();
        let mut reports = vec![(Level::BASE, Duration::ZERO); members.0.len()];
        let mut now = Duration::ZERO;
        for _ in 0..300 {
            now += at(rng.random_range(1..400));
            let member = rng.random_range(0..members.0.len());
            let supported = if rng.random_bool(0.9) { Level::INCARNATIONS } else { Level::BASE };
            if rng.random_bool(0.95) {
                readiness.record(now, members.0[member].id, supported);
                reports[member] = (supported, now);
            }
            if readiness.due(now, group(&members)).is_some() {
                let recent = |report: &(Level, Duration)| {
                    report.0 == Level::INCARNATIONS && now < report.1 + Duration::from_millis(1_500)
                };
                assert!(reports.iter().all(recent), "seed {seed}");
            }
        }
    }
}
