//! Consensus tests: an in-memory group is compared with naive models under random schedules that drop,
//! duplicate and reorder messages, crash, freeze and partition members, and empty disks.
//!
//! `LATCHMOUNT_SCHEDULES` sets the number of schedules, `LATCHMOUNT_SEED` their seed.

mod change_model;
mod disk;
mod group;
mod order_model;
mod replication;
#[path = "../seeds/mod.rs"]
mod seeds;
mod wal;

use group::{Group, MEMBERS, TEMPLATES};
use order_model::HALLS;
use proptest::collection::vec;
use proptest::prelude::*;

const SCHEDULES: u32 = 2_000;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Propose { member: usize, name: usize, skew: u64 },
    Resend(usize),
    Order { member: usize, hall: usize, next: bool, delayed: bool },
    RepeatCall { member: usize, pick: usize },
    Crash { member: usize, torn: usize },
    CrashLeader,
    Start(usize),
    LoseDisk(usize),
    Freeze(usize),
    FreezeLeader,
    Resume(usize),
    Partition(usize),
    PartitionLeader,
    DropFromLeader(usize),
    Reconnect(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    prop_oneof![
        6 => (10u64..400).prop_map(Step::Advance),
        2 => (600u64..1500).prop_map(Step::Advance),
        8 => (member.clone(), 0..TEMPLATES, prop_oneof![9 => Just(0u64), 1 => Just(1)])
            .prop_map(|(member, name, skew)| Step::Propose { member, name, skew }),
        2 => member.clone().prop_map(Step::Resend),
        8 => (member.clone(), 0..HALLS, any::<bool>(), any::<bool>()).prop_map(
            |(member, hall, next, delayed)| Step::Order { member, hall, next, delayed },
        ),
        6 => (member.clone(), any::<usize>())
            .prop_map(|(member, pick)| Step::RepeatCall { member, pick }),
        2 => (member.clone(), 0usize..60).prop_map(|(member, torn)| Step::Crash { member, torn }),
        1 => Just(Step::CrashLeader),
        3 => member.clone().prop_map(Step::Start),
        1 => member.clone().prop_map(Step::LoseDisk),
        1 => member.clone().prop_map(Step::Freeze),
        1 => Just(Step::FreezeLeader),
        2 => member.clone().prop_map(Step::Resume),
        1 => member.clone().prop_map(Step::Partition),
        1 => Just(Step::PartitionLeader),
        2 => member.clone().prop_map(Step::DropFromLeader),
        2 => member.prop_map(Step::Reconnect),
    ]
}

fn run(group: &mut Group, step: &Step) {
    match *step {
        Step::Advance(millis) => group.advance(millis),
        Step::Propose { member, name, skew } => {
            let leader = group.leader().unwrap_or(member);
            group.propose(leader, name, skew);
            group.propose(member, name, skew);
        }
        Step::Resend(member) => group.resend(group.leader().unwrap_or(member)),
        Step::Order { member, hall, next, delayed } => {
            group.order(member, hall, next, delayed);
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
        Step::Resume(member) => group.freeze(member, false),
        Step::Partition(member) => group.partition(member, true),
        Step::PartitionLeader => {
            group.leader().into_iter().for_each(|leader| group.partition(leader, true))
        }
        Step::DropFromLeader(member) => group.drop_messages_from(member, group.leader()),
        Step::Reconnect(member) => {
            group.partition(member, false);
            group.drop_messages_from(member, None);
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
        group.advance(1_500);
        for step in &steps {
            run(&mut group, step);
        }
        group.heal_and_check();
    }

    #[test]
    fn no_schedule_loses_or_reverts_an_accepted_change_while_voters_are_replaced(
        seed: u64,
        steps in vec(step(), 10..60),
    ) {
        let mut group = Group::with_membership_rules(seed);
        group.advance(1_500);
        for step in &steps {
            run(&mut group, step);
        }
        group.heal_and_check();
    }
}

#[test]
fn a_group_without_faults_accepts_changes_and_orders() {
    let mut group = Group::new(1);
    group.advance(3_000);
    for round in 0..200 {
        let leader = group.leader().expect("a leader");
        group.propose(leader, round % TEMPLATES, 0);
        group.advance(200);
    }
    for round in 0..60 {
        group.order(round % MEMBERS, round % HALLS, true, false);
        group.advance(200);
    }
    group.heal_and_check();
    assert_eq!(group.orders_acknowledged(), 60);
    assert!(group.acknowledged() > 150, "only {} accepted", group.acknowledged());
}

/// While a leader's host is suspended another leader is elected. After it resumes and before it receives any message, the
/// old leader must hold no lease, or it would answer stale reads. This relies on a clock that counts suspended time.
#[test]
fn a_leader_that_was_suspended_answers_no_read_before_it_hears_a_majority() {
    for seed in 0..40 {
        let mut group = Group::new(seed);
        group.advance(3_000);
        let old = group.leader().expect("a leader");
        group.freeze(old, true);
        group.advance(4_000);
        let new = group.leader().expect("another leader");
        assert_ne!(old, new, "seed {seed}");
        group.propose(new, 1, 0);
        group.advance(300);
        group.freeze(old, false);
        assert_eq!(group.lease_holders(), [new], "seed {seed}");
        group.heal_and_check();
    }
}

/// Shows why the clock must count suspended time: with one that stops, the old leader still holds its lease.
#[test]
fn a_clock_that_stands_still_while_suspended_lets_two_leaders_answer_reads() {
    let mut twice = 0;
    for seed in 0..40 {
        let mut group = Group::new(seed);
        group.advance(3_000);
        let old = group.leader().expect("a leader");
        group.suspend_with_clock(old, true);
        group.advance(4_000);
        group.suspend_with_clock(old, false);
        twice += usize::from(group.lease_holders().len() > 1);
    }
    assert!(twice > 20, "two leases at {twice} of 40 wake-ups");
}
