//! Slot counts of owners against a central count: whichever datagrams are lost, late or duplicated, and however owners
//! change, an owner never counts fewer slots than the routers hold, and just as many once all datagrams have arrived.

mod seeds;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use latchmount::choice::{Key, NameHash};
use latchmount::slots::{
    Ask, AskOutcome, Bounds, ChatTurn, Datagram, DatagramCheck, Decision, Due, Message, Owner,
    Peer, Place, PoolLoad, Rounds, RouterId, Shares, Statement, Table, TeamId, Verdict,
};
use proptest::collection::vec;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CASES: u32 = 1_000;
const ROUTERS: u64 = 4;
const TARGETS: u64 = 3;
const BOUNDS: Bounds =
    Bounds { returning: 1.25, first_turn: 1.1, engine_slots: 50, cached_chats: 10 };

fn place(target: u64) -> Place {
    Place { target: NameHash(target), team: TeamId(target as u32 % 2) }
}

#[derive(Clone, Debug)]
enum Step {
    Ask { router: u64, target: u64 },
    Release { router: u64 },
    Deliver(usize),
    Lose(usize),
    SendStatements(u64),
    Leave(u64),
    Join(u64),
    Restart(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..ROUTERS, 0..TARGETS).prop_map(|(router, target)| Step::Ask { router, target }),
        4 => (0..ROUTERS).prop_map(|router| Step::Release { router }),
        12 => (0usize..100).prop_map(Step::Deliver),
        1 => (0usize..100).prop_map(Step::Lose),
        3 => (0..ROUTERS).prop_map(Step::SendStatements),
        1 => (0..ROUTERS).prop_map(Step::Leave),
        1 => (0..ROUTERS).prop_map(Step::Join),
        1 => (0..ROUTERS).prop_map(Step::Restart),
    ]
}

fn pools() -> BTreeMap<NameHash, NameHash> {
    (0..TARGETS).map(|target| (NameHash(target), NameHash(7))).collect()
}

/// The routers' tables, the datagrams in flight between them, and the central count of the slots held.
struct Fleet {
    tables: Vec<Table>,
    live: BTreeSet<RouterId>,
    /// Current incarnation of each router.
    incarnations: Vec<u64>,
    network: Vec<(RouterId, Datagram)>,
    /// Slots held, by router and target.
    held: BTreeMap<(u64, u64), usize>,
    /// Target of each open ask, by router, owner and ticket.
    asked: BTreeMap<(u64, u64, u32), u64>,
}

impl Fleet {
    fn new() -> Self {
        let peer = |id| Peer { router: RouterId(id), incarnation: 0 };
        let tables = (0..ROUTERS).map(|id| Table::new(peer(id))).collect();
        let live = (0..ROUTERS).map(RouterId).collect();
        let (held, asked) = (BTreeMap::new(), BTreeMap::new());
        let mut fleet = Fleet {
            tables,
            live,
            incarnations: vec![0; ROUTERS as usize],
            network: Vec::new(),
            held,
            asked,
        };
        fleet.update_views();
        fleet
    }

    fn table(&mut self, router: u64) -> &mut Table {
        &mut self.tables[router as usize]
    }

    /// Gives each live router the set of live routers, and delivers the statements of all.
    fn update_views(&mut self) {
        let live = self.live.clone();
        self.asked.clear();
        for router in &live {
            self.table(router.0).set_view(&live, &pools());
        }
        let both_live = |to: &RouterId, from: &RouterId| live.contains(from) && live.contains(to);
        self.network.retain(|(to, datagram)| both_live(to, &datagram.from.router));
        self.synchronize();
    }

    /// Has each live router send its statements, and delivers all datagrams.
    fn synchronize(&mut self) {
        for router in self.live.clone() {
            self.send_statements(router.0);
        }
        while !self.network.is_empty() {
            self.deliver(0);
        }
    }

    fn send_statements(&mut self, router: u64) {
        for (to, message) in self.table(router).statements() {
            self.send(router, to, message);
        }
    }

    fn peer(&self, router: u64) -> Peer {
        Peer { router: RouterId(router), incarnation: self.incarnations[router as usize] }
    }

    fn send(&mut self, from: u64, to: RouterId, message: Message) {
        let incarnation = self.table(from).current_incarnation(to);
        let datagram = Datagram { from: self.peer(from), to: incarnation, messages: vec![message] };
        self.network.push((to, datagram));
    }

    /// Restarts a router so soon that the others never see it gone.
    fn restart(&mut self, router: u64) {
        self.held.retain(|(of, _), _| *of != router);
        self.asked.retain(|(of, _, _), _| *of != router);
        self.incarnations[router as usize] += 1;
        self.tables[router as usize] = Table::new(self.peer(router));
        let live = self.live.clone();
        self.table(router).set_view(&live, &pools());
        // Datagrams that were in flight arrive only after the statements of all routers.
        let late = std::mem::take(&mut self.network);
        self.synchronize();
        self.network = late;
    }

    fn ask(&mut self, router: u64, target: u64) {
        let Place { target: name, team } = place(target);
        let ask = Ask {
            ticket: 0,
            team,
            targets: vec![name],
            prefix_candidates: 0,
            usable: 9,
            share: 500,
            chat: Key(target),
            turn: ChatTurn::Returning,
        };
        match self.table(router).ask(Duration::ZERO, ask, &BOUNDS) {
            AskOutcome::Decided(Decision::Full | Decision::Undecided) => {}
            AskOutcome::Decided(Decision::Granted(_)) => {
                *self.held.entry((router, target)).or_default() += 1
            }
            AskOutcome::Send { to, ask } => {
                self.asked.insert((router, to.0, ask.ticket), target);
                self.send(router, to, Message::Ask(ask));
            }
        }
    }

    fn release_one(&mut self, router: u64) {
        let held = self.held.iter_mut().find(|((of, _), count)| *of == router && **count > 0);
        let Some(((_, target), count)) = held else {
            return;
        };
        *count -= 1;
        let place = place(*target);
        if let Some((to, at)) = self.table(router).release(place) {
            self.send(router, to, Message::Release { sequence: at, place });
        }
    }

    fn deliver(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let (to, datagram) = self.network.remove(index % self.network.len());
        let from = datagram.from.router;
        match self.table(to.0).check_datagram(Duration::ZERO, &datagram) {
            DatagramCheck::Stale => return self.lose(to, &datagram),
            DatagramCheck::Current { reply: Some(answer), .. } => {
                self.send(to.0, from, answer);
                return self.lose(to, &datagram);
            }
            DatagramCheck::Current { reply: None, .. } => {}
        }
        let [message] = &datagram.messages[..] else {
            unreachable!("one message each");
        };
        if let Message::Answer { ticket, verdict } = *message {
            let asked = self.asked.remove(&(to.0, from.0, ticket));
            if let Decision::Granted(_) = self.table(to.0).record_answer(from, ticket, verdict)
                && let Some(target) = asked
            {
                *self.held.entry((to.0, target)).or_default() += 1;
            }
            return;
        }
        let reply = self.table(to.0).receive(Duration::ZERO, from, message, &BOUNDS);
        if let Some(reply) = reply {
            self.send(to.0, from, reply);
        }
    }

    /// Drops a datagram; if it was a current ask or the answer to one, the asking router gives the ask up.
    fn lose(&mut self, to: RouterId, datagram: &Datagram) {
        let from = datagram.from.router;
        let (asker, owner, ticket) = match &datagram.messages[0] {
            Message::Ask(ask) if datagram.from == self.peer(from.0) => (from, to, ask.ticket),
            Message::Answer { ticket, .. } if datagram.to == Some(self.peer(to.0).incarnation) => {
                (to, from, *ticket)
            }
            _ => return,
        };
        self.asked.remove(&(asker.0, owner.0, ticket));
        self.table(asker.0).give_up(owner, ticket);
    }

    /// Slots at `target` by its owner's count and by the central count.
    fn counts(&self, target: u64) -> (usize, usize) {
        let owner =
            self.live.iter().map(|router| self.tables[router.0 as usize].load(NameHash(target)));
        let held = self.held.iter().filter(|((_, of), _)| *of == target);
        (owner.sum(), held.map(|(_, count)| count).sum())
    }

    fn leave(&mut self, router: u64) {
        if self.live.len() > 1 && self.live.remove(&RouterId(router)) {
            self.held.retain(|(of, _), _| *of != router);
            self.incarnations[router as usize] += 1;
            self.tables[router as usize] = Table::new(self.peer(router));
            self.update_views();
        }
    }
}

proptest! {
    #![proptest_config(seeds::config(CASES, "LATCHMOUNT_CASES"))]

    #[test]
    fn an_owner_never_counts_fewer_slots_than_are_held(steps in vec(step(), 1..150), seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        for step in steps {
            match step {
                Step::Ask { router, target } if fleet.live.contains(&RouterId(router)) => {
                    fleet.ask(router, target);
                }
                Step::Release { router } => fleet.release_one(router),
                Step::Deliver(index) => fleet.deliver(index),
                Step::Lose(index) if !fleet.network.is_empty() => {
                    let lost = index % fleet.network.len();
                    let (to, datagram) = fleet.network.remove(lost);
                    fleet.lose(to, &datagram);
                }
                Step::SendStatements(router) if fleet.live.contains(&RouterId(router)) => {
                    fleet.send_statements(router);
                }
                Step::Leave(router) => fleet.leave(router),
                Step::Restart(router) if fleet.live.contains(&RouterId(router)) => {
                    fleet.restart(router);
                }
                Step::Join(router) if fleet.live.insert(RouterId(router)) => fleet.update_views(),
                _ => {}
            }
            for target in 0..TARGETS {
                let (owner, held) = fleet.counts(target);
                prop_assert!(owner >= held, "target {target}: {owner} counted, {held} held");
            }
            if rng.random_bool(0.02) {
                fleet.synchronize();
            }
        }
        fleet.synchronize();
        fleet.synchronize();
        for target in 0..TARGETS {
            let (owner, held) = fleet.counts(target);
            prop_assert_eq!(owner, held, "capacity leaked at target {}", target);
        }
    }

    #[test]
    fn shares_converge_to_the_naive_water_filling(
        demands in vec((1usize..200, 1u16..10), 2..6),
        seed: u64,
    ) {
        const CAPACITY: usize = 100;
        let weights: usize = demands.iter().map(|(_, weight)| usize::from(*weight)).sum();
        let share = |weight: u16| (usize::from(weight) * 1_000 / weights) as u16;
        let teams: Vec<(usize, u16)> =
            demands.iter().map(|(want, weight)| (*want, share(*weight))).collect();
        let mut rng = StdRng::seed_from_u64(seed);
        let mut shares = Shares::default();
        let mut used = vec![0usize; teams.len()];
        let mut now = Duration::ZERO;
        // The teams keep asking for slots up to their demand, while requests end one by one.
        for _ in 0..6_000 {
            now += Duration::from_millis(20);
            let total: usize = used.iter().sum();
            if total > 0 && rng.random_bool(0.5) {
                let mut ended = rng.random_range(0..total);
                let team = used.iter().position(|count| {
                    let found = ended < *count;
                    ended = ended.wrapping_sub(*count);
                    found
                });
                used[team.expect("one of them")] -= 1;
            }
            let first = rng.random_range(0..teams.len());
            for offset in 0..teams.len() {
                let at = (first + offset) % teams.len();
                let (want, share) = teams[at];
                let (id, total) = (TeamId(at as u32), used.iter().sum());
                if used[at] < want && shares.admit(now, id, share, used[at], total, CAPACITY) {
                    used[at] += 1;
                }
            }
        }
        let guaranteed: Vec<usize> =
            teams.iter().map(|(want, share)| (CAPACITY * usize::from(*share) / 1_000).min(*want)).collect();
        for (at, guaranteed_slots) in guaranteed.iter().enumerate() {
            prop_assert!(
                used[at] + 3 >= *guaranteed_slots,
                "team {at} uses {} of {guaranteed_slots} guaranteed slots: {used:?}",
                used[at]
            );
        }
        let wanted: usize = teams.iter().map(|(want, _)| want).sum();
        let total: usize = used.iter().sum();
        prop_assert!(total + 6 >= wanted.min(CAPACITY), "{total} of {CAPACITY} used, {wanted} wanted");
    }
}

fn ask_with(ticket: u32) -> Ask {
    Ask {
        ticket,
        team: TeamId(1),
        targets: vec![NameHash(1), NameHash(2)],
        prefix_candidates: 0,
        usable: 2,
        share: 500,
        chat: Key(1),
        turn: ChatTurn::FirstTurn,
    }
}

/// With one datagram per ask, bursts overflowed the owner's receive buffer, and the lost asks counted as refused. Asks
/// are sent in rounds: only one round is in flight, and a lost one is sent again.
#[test]
fn one_round_of_asks_is_under_way_and_one_that_is_lost_is_sent_again() {
    let mut rounds = Rounds::default();
    (0..1_000).for_each(|ticket| rounds.ask(ask_with(ticket)));
    let mut now = Duration::ZERO;
    let first = rounds.due(now);
    assert!(!first.resent && first.messages.len() > 10);
    assert_eq!(rounds.due(now), Due::default());
    now = rounds.due_at().expect("a time to send it again");
    let second = rounds.due(now);
    assert!(second.resent);
    assert_eq!(second.messages, first.messages);
    let (mut datagrams, mut answered) = (0, Vec::new());
    let mut due = second;
    while !due.messages.is_empty() {
        datagrams += 1;
        now += Duration::from_millis(1);
        for message in &due.messages {
            let Message::Ask(ask) = message else {
                unreachable!("only asks");
            };
            rounds.record_answer(now, ask.ticket);
            answered.push(ask.ticket);
        }
        due = rounds.due(now);
    }
    assert_eq!(answered, (0..1_000).collect::<Vec<u32>>());
    assert!(datagrams < 50, "{datagrams}");
}

/// Asks that were given up because their clients disconnected must not delay the asks of others.
#[test]
fn the_next_round_is_due_once_all_asks_of_the_last_are_given_up() {
    let mut rounds = Rounds::default();
    (0..100).for_each(|ticket| rounds.ask(ask_with(ticket)));
    let first = rounds.due(Duration::ZERO).messages.len() as u32;
    (0..first).for_each(|ticket| rounds.give_up(ticket));
    assert_eq!(rounds.due_at(), Some(Duration::ZERO));
    let next = rounds.due(Duration::ZERO);
    assert_eq!((next.resent, next.messages.len()), (false, 100 - first as usize));
}

/// An owner that was asked for one target at a time refused requests although some target always had a free slot. It must
/// consider all targets of an ask at once, and grant an ask that is sent again only once.
#[test]
fn an_owner_decides_on_all_targets_at_one_moment_and_grants_a_repeated_ask_once() {
    let router = RouterId(1);
    let mut owner = Owner::default();
    owner.set_view([router].into(), &[NameHash(1), NameHash(2)].into());
    let bounds = Bounds { engine_slots: 1, ..BOUNDS };
    let pool = PoolLoad { load: 0, targets: 2 };
    assert_eq!(owner.ask(router, &ask_with(1), pool, &bounds), Verdict::Undecided);
    owner.apply_statement(router, &Statement { receiver_reported: true, ..Statement::default() });
    assert_eq!(owner.ask(router, &ask_with(1), pool, &bounds), Verdict::Granted(0));
    assert_eq!(owner.ask(router, &ask_with(1), pool, &bounds), Verdict::Granted(0));
    assert_eq!(owner.ask(router, &ask_with(2), pool, &bounds), Verdict::Granted(1));
    assert_eq!(owner.ask(router, &ask_with(3), pool, &bounds), Verdict::Full);
    assert_eq!((owner.load(NameHash(1)), owner.load(NameHash(2))), (1, 1));
}
