//! How much a leader sends to a member that lost a message.

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
/// Entries that a leader may send again for one lost message: a message full of them, and some.
const MOST_SENT_AGAIN: usize = 600;

fn replica(id: u64) -> Replica<FakeDisk> {
    let disk = FakeDisk::default();
    let now = Duration::ZERO;
    let opened = Replica::open(disk, StoreId(id), timing(), usize::MAX / 2, now, id);
    let mut replica = opened.expect("an empty disk");
    let member = |id: u64| Member {
        id: StoreId(id),
        addr: SocketAddr::from(([127, 0, 0, 1], id as u16)),
        kind: Standing::Voter,
    };
    replica.form(GroupId(7), Members(vec![member(1), member(2)]));
    replica
}

fn flush(replica: &mut Replica<FakeDisk>) -> Vec<Envelope> {
    replica.flush().expect("a sound disk").0
}

fn entries(messages: &[Envelope]) -> usize {
    let count = |message: &Envelope| match &message.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    };
    messages.iter().map(count).sum()
}

/// Lets the two talk until neither has anything to say.
fn settle(pair: &mut [Replica<FakeDisk>; 2], now: Duration) {
    let mut under_way: VecDeque<Envelope> = VecDeque::new();
    loop {
        for one in pair.iter_mut() {
            under_way.extend(flush(one));
        }
        let Some(message) = under_way.pop_front() else {
            return;
        };
        let to = (message.to.0 - 1) as usize;
        pair[to].receive(now, message);
    }
}

#[test]
fn one_lost_message_has_entries_sent_again_once_and_not_for_each_refusal() {
    let mut pair = [replica(1), replica(2)];
    let mut now = Duration::ZERO;
    while pair[0].node().role() != Role::Leader {
        now += Duration::from_millis(10);
        pair[0].tick(now);
        settle(&mut pair, now);
    }
    let mut sent = Vec::new();
    for at in 0..COMMANDS {
        let command = Command::Change(Box::new(change(&format!("c{at}"), at % 3, 0)));
        pair[0].propose(now, command).expect("it leads");
        sent.extend(flush(&mut pair[0]));
    }
    let mut again = Vec::new();
    for message in sent.into_iter().skip(1) {
        pair[1].receive(now, message);
        for refusal in flush(&mut pair[1]) {
            pair[0].receive(now, refusal);
            again.extend(flush(&mut pair[0]));
        }
    }
    let sent_again = entries(&again);
    assert!(sent_again <= MOST_SENT_AGAIN, "{sent_again} entries for one lost message");
    for message in again {
        pair[1].receive(now, message);
    }
    for _ in 0..20 {
        now += timing().heartbeat;
        pair[0].tick(now);
        settle(&mut pair, now);
    }
    assert_eq!(pair[1].applied(), pair[0].applied());
    assert!(pair[0].applied().index > COMMANDS as u64);
}
