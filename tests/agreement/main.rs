//! Agreement against a naive model: a plain map with a version, under random schedules of messages
//! lost, doubled and reordered, members crashed, frozen and cut off, and disks lost.
//!
//! `LATCHMOUNT_SCHEDULES` sets the number of schedules, `LATCHMOUNT_SEED` their seed.

mod disk;
mod group;
mod orders;
mod promises;
mod replication;
#[path = "../seeds/mod.rs"]
mod seeds;
mod wal;

use group::{Group, MEMBERS, TEMPLATES};
use orders::HALLS;
use proptest::collection::vec;
use proptest::prelude::*;

const SCHEDULES: u32 = 2_000;

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Propose { member: usize, name: usize, skew: u64 },
    Resend(usize),
    Order { member: usize, hall: usize, next: bool, held_up: bool },
    RepeatCall { member: usize, pick: usize },
    Crash { member: usize, torn: usize },
    CrashLeader,
    Start(usize),
    LoseDisk(usize),
    Freeze(usize),
    FreezeLeader,
    Thaw(usize),
    Cut(usize),
    CutLeader,
    DeafenToLeader(usize),
    Mend(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    prop_oneof![
        6 => (10u64..400).prop_map(Step::Pass),
        2 => (600u64..1500).prop_map(Step::Pass),
        8 => (member.clone(), 0..TEMPLATES, prop_oneof![9 => Just(0u64), 1 => Just(1)])
            .prop_map(|(member, name, skew)| Step::Propose { member, name, skew }),
        2 => member.clone().prop_map(Step::Resend),
        8 => (member.clone(), 0..HALLS, any::<bool>(), any::<bool>()).prop_map(
            |(member, hall, next, held_up)| Step::Order { member, hall, next, held_up },
        ),
        6 => (member.clone(), any::<usize>())
            .prop_map(|(member, pick)| Step::RepeatCall { member, pick }),
        2 => (member.clone(), 0usize..60).prop_map(|(member, torn)| Step::Crash { member, torn }),
        1 => Just(Step::CrashLeader),
        3 => member.clone().prop_map(Step::Start),
        1 => member.clone().prop_map(Step::LoseDisk),
        1 => member.clone().prop_map(Step::Freeze),
        1 => Just(Step::FreezeLeader),
        2 => member.clone().prop_map(Step::Thaw),
        1 => member.clone().prop_map(Step::Cut),
        1 => Just(Step::CutLeader),
        2 => member.clone().prop_map(Step::DeafenToLeader),
        2 => member.prop_map(Step::Mend),
    ]
}

fn run(group: &mut Group, step: &Step) {
    match *step {
        Step::Pass(millis) => group.pass(millis),
        Step::Propose { member, name, skew } => {
            let leader = group.leader().unwrap_or(member);
            group.propose(leader, name, skew);
            group.propose(member, name, skew);
        }
        Step::Resend(member) => group.resend(group.leader().unwrap_or(member)),
        Step::Order { member, hall, next, held_up } => {
            group.order(member, hall, next, held_up);
        }
        Step::RepeatCall { member, pick } => group.repeat_call(member, pick),
        Step::Crash { member, torn } => group.crash(member, torn),
        Step::CrashLeader => group.leader().into_iter().for_each(|leader| group.crash(leader, 0)),
        Step::Start(member) if group.running(member) => {}
        Step::Start(member) => group.start(member),
        Step::LoseDisk(member) => group.lose_disk(member),
        Step::Freeze(member) => group.freeze(member, true),
        Step::FreezeLeader => {
            group.leader().into_iter().for_each(|leader| group.freeze(leader, true));
        }
        Step::Thaw(member) => group.freeze(member, false),
        Step::Cut(member) => group.cut(member, true),
        Step::CutLeader => group.leader().into_iter().for_each(|leader| group.cut(leader, true)),
        Step::DeafenToLeader(member) => group.deafen(member, group.leader()),
        Step::Mend(member) => {
            group.cut(member, false);
            group.deafen(member, None);
        }
    }
}

proptest! {
    #![proptest_config(seeds::config(SCHEDULES, "LATCHMOUNT_SCHEDULES"))]

    #[test]
    fn no_schedule_loses_or_reverts_an_accepted_change(
        seed: u64,
        steps in vec(step(), 10..60),
    ) {
        let mut group = Group::new(seed);
        group.pass(1_500);
        for step in &steps {
            run(&mut group, step);
        }
        group.settle();
    }

    #[test]
    fn no_schedule_does_so_where_members_take_each_other_s_place(
        seed: u64,
        steps in vec(step(), 10..60),
    ) {
        let mut group = Group::with_upkeep(seed);
        group.pass(1_500);
        for step in &steps {
            run(&mut group, step);
        }
        group.settle();
    }
}

#[test]
fn a_group_without_faults_accepts_what_it_is_told() {
    let mut group = Group::new(1);
    group.pass(3_000);
    for round in 0..200 {
        let leader = group.leader().expect("a leader");
        group.propose(leader, round % TEMPLATES, 0);
        group.pass(200);
    }
    for round in 0..60 {
        group.order(round % MEMBERS, round % HALLS, true, false);
        group.pass(200);
    }
    group.settle();
    assert_eq!(group.orders_acknowledged(), 60);
    assert!(group.acknowledged() > 150, "only {} accepted", group.acknowledged());
}

/// A leader's host is suspended, and another leader is elected. When it wakes, before it has heard anybody, it holds no
/// lease, so that it answers no read: its clock has counted that time. One that stood still would hold the old lease.
#[test]
fn a_leader_that_was_suspended_answers_no_read_before_it_hears_a_majority() {
    for seed in 0..40 {
        let mut group = Group::new(seed);
        group.pass(3_000);
        let old = group.leader().expect("a leader");
        group.freeze(old, true);
        group.pass(4_000);
        let new = group.leader().expect("another leader");
        assert_ne!(old, new, "seed {seed}");
        group.propose(new, 1, 0);
        group.pass(300);
        group.freeze(old, false);
        assert_eq!(group.lease_holders(), [new], "seed {seed}");
        group.settle();
    }
}

/// Why the clock must count that time.
#[test]
fn a_clock_that_stands_still_while_suspended_lets_two_leaders_answer_reads() {
    let mut twice = 0;
    for seed in 0..40 {
        let mut group = Group::new(seed);
        group.pass(3_000);
        let old = group.leader().expect("a leader");
        group.suspend_with_clock(old, true);
        group.pass(4_000);
        group.suspend_with_clock(old, false);
        twice += usize::from(group.lease_holders().len() > 1);
    }
    assert!(twice > 20, "two leases at {twice} of 40 wake-ups");
}
