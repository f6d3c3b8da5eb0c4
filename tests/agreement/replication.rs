//! Bounds the entries that a leader resends after a lost message.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use latchmount::raft::{
    Body, Envelope, GroupId, Member, Members, Replica, Role, Standing, StoreId,
};
use latchmount::store::Command;

use crate::disk::FakeDisk;
use crate::group::{change, timing};

const COMMANDS: usize = 400;
/// Entries that a leader may resend for one lost message: one full message of them, and some.
const MAX_RESENT_ENTRIES: usize = 600;

fn replica(id: u64) -> Replica<FakeDisk> {
    let disk = FakeDisk::default();
    let now = Duration::ZERO;
    let opened = Replica::open(disk, StoreId(id), timing(), usize::MAX / 2, now, id);
    let mut replica = opened.expect("an empty disk opens");
    let member = |id: u64| Member {
        id: StoreId(id),
        addr: SocketAddr::from(([127, 0, 0, 1], id as u16)),
        kind: Standing::Voter,
    };
    replica.form(GroupId(7), Members(vec![member(1), member(2)]));
    replica
}

fn flush(replica: &mut Replica<FakeDisk>) -> Vec<Envelope> {
    replica.flush().expect("no disk error").0
}

fn entries(messages: &[Envelope]) -> usize {
    let count = |message: &Envelope| match &message.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    };
    messages.iter().map(count).sum()
}

/// Delivers messages between the two replicas until neither sends any more.
fn exchange_all(pair: &mut [Replica<FakeDisk>; 2], now: Duration) {
    let mut in_transit: VecDeque<Envelope> = VecDeque::new();
    loop {
        for one in pair.iter_mut() {
            in_transit.extend(flush(one));
        }
        let Some(message) = in_transit.pop_front() else {
            return;
        };
        let to = (message.to.0 - 1) as usize;
        pair[to].receive(now, message);
    }
}

/// The follower refuses each message after the lost one; a leader that resends the missing entries for every refusal would
/// flood the link.
#[test]
fn one_lost_message_has_entries_sent_again_once_and_not_for_each_refusal() {
    let mut pair = [replica(1), replica(2)];
    let mut now = Duration::ZERO;
    while pair[0].node().role() != Role::Leader {
        now += Duration::from_millis(10);
        pair[0].tick(now);
        exchange_all(&mut pair, now);
    }
    let mut sent = Vec::new();
    for at in 0..COMMANDS {
        let command = Command::Change(Box::new(change(&format!("c{at}"), at % 3, 0)));
        pair[0].propose(now, command).expect("it leads");
        sent.extend(flush(&mut pair[0]));
    }
    let mut resent = Vec::new();
    for message in sent.into_iter().skip(1) {
        pair[1].receive(now, message);
        for refusal in flush(&mut pair[1]) {
            pair[0].receive(now, refusal);
            resent.extend(flush(&mut pair[0]));
        }
    }
    let resent_entries = entries(&resent);
    assert!(
        resent_entries <= MAX_RESENT_ENTRIES,
        "{resent_entries} entries resent for one lost message"
    );
    for message in resent {
        pair[1].receive(now, message);
    }
    for _ in 0..20 {
        now += timing().heartbeat;
        pair[0].tick(now);
        exchange_all(&mut pair, now);
    }
    assert_eq!(pair[1].applied(), pair[0].applied());
    assert!(pair[0].applied().index > COMMANDS as u64);
}
