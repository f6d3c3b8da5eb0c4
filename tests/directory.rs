//! The directory of targets against a naive implementation that searches all targets on each change.

#[path = "seeds/seed.rs"]
mod seeds;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use latchmount::directory::{
    Announcement, Born, Directory, HeartbeatClass, Incarnation, TargetState,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A target of the naive directory.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    announcement: Announcement,
    home: Option<u32>,
    revision: u64,
}

/// A directory that stores only the targets and the incarnations that have ended.
#[derive(Default)]
struct Naive {
    targets: BTreeMap<String, Entry>,
    ended: Vec<Incarnation>,
}

impl Naive {
    fn announce(&mut self, index: u64, heartbeat: &Announcement) {
        let id = heartbeat.id.clone();
        let start = heartbeat.incarnation();
        let unknown_start =
            start.born == Born(None) && self.ended.iter().any(|ended| ended.id == id);
        if self.ended.contains(&start) || (!self.targets.contains_key(&id) && unknown_start) {
            return;
        }
        if let Some(known) = self.targets.get(&id).map(|entry| entry.announcement.clone())
            && known.born != heartbeat.born
        {
            let unresponsive = known.state == TargetState::Silent && heartbeat.born != Born(None);
            if heartbeat.born < known.born && !unresponsive {
                return;
            }
            self.end_incarnation(index, &known);
        }
        let known = self.targets.get(&id);
        let late = known.is_some_and(|known| heartbeat.sequence < known.announcement.sequence);
        let same = known.is_some_and(|known| {
            let sequence = known.announcement.sequence;
            Announcement { sequence, ..heartbeat.clone() } == known.announcement
        });
        if late || same {
            return;
        }
        let home = known.and_then(|known| known.home);
        let draining = heartbeat.state == TargetState::Draining;
        let kept_home = home.filter(|_| !draining);
        let entry = Entry { announcement: heartbeat.clone(), home: kept_home, revision: index };
        self.targets.insert(id.clone(), entry);
        if draining {
            self.reassign_home(index, &heartbeat.service, home);
        } else if home.is_none() {
            let free_home = self.free_home(&heartbeat.service);
            let highest = self.homes(&heartbeat.service).into_iter().max();
            if highest.is_some_and(|highest| free_home < highest) {
                self.assign_home(index, &id, free_home);
            }
        }
    }

    fn homes(&self, service: &str) -> Vec<u32> {
        let of_service =
            self.targets.values().filter(|entry| entry.announcement.service == service);
        of_service.filter_map(|entry| entry.home).collect()
    }

    fn free_home(&self, service: &str) -> u32 {
        let homes = self.homes(service);
        (0..).find(|home| !homes.contains(home)).expect("numbers do not end")
    }

    fn assign_home(&mut self, index: u64, id: &str, home: u32) {
        let entry = self.targets.get_mut(id).expect("it is there");
        (entry.home, entry.revision) = (Some(home), index);
    }

    /// Gives the home of a target that has ended or drains to the newest ready target without one.
    fn reassign_home(&mut self, index: u64, service: &str, home: Option<u32>) {
        let homeless = self.targets.values().filter(|entry| {
            let ready = entry.announcement.state == TargetState::Ready;
            ready && entry.home.is_none() && entry.announcement.service == service
        });
        let newest = homeless.max_by_key(|entry| (entry.revision, &entry.announcement.id));
        if let (Some(home), Some(newest)) =
            (home, newest.map(|entry| entry.announcement.id.clone()))
        {
            self.assign_home(index, &newest, home);
        }
    }

    fn end_incarnation(&mut self, index: u64, gone: &Announcement) {
        self.ended.push(gone.incarnation());
        let home = self.targets.remove(&gone.id).and_then(|entry| entry.home);
        self.reassign_home(index, &gone.service, home);
    }

    fn assign_first_home(&mut self, index: u64, target: &Incarnation) {
        let Incarnation { id, born } = target;
        let Some(entry) = self.targets.get(id) else { return };
        if entry.announcement.born != *born {
            return;
        }
        if entry.home.is_none() && entry.announcement.state == TargetState::Ready {
            let free_home = self.free_home(&entry.announcement.service.clone());
            self.assign_home(index, id, free_home);
        }
    }

    fn mark_unresponsive(&mut self, index: u64, target: &Incarnation) {
        if let Some(entry) = self.targets.get_mut(&target.id)
            && entry.announcement.born == target.born
            && entry.announcement.state != TargetState::Silent
        {
            entry.announcement.state = TargetState::Silent;
            entry.revision = index;
        }
    }

    fn remove(&mut self, index: u64, target: &Incarnation) {
        let known = self.targets.get(&target.id).map(|entry| entry.announcement.clone());
        match known {
            Some(known) if target.born == Born(None) || target.born == known.born => {
                self.end_incarnation(index, &known);
            }
            Some(_) => {}
            None if self.ended.iter().any(|ended| ended.id == target.id) => {}
            None => self.ended.push(target.clone()),
        }
    }
}

/// A random start time, or none; not in order, because clocks may step back.
fn random_start_time(rng: &mut StdRng) -> Born {
    Born(rng.random_bool(0.8).then(|| rng.random_range(1..5)))
}

fn heartbeat(rng: &mut StdRng, state: TargetState, sequence: u64) -> Announcement {
    let number = rng.random_range(0..60);
    Announcement {
        id: format!("t{number}"),
        born: random_start_time(rng),
        service: format!("s{}", number % 3),
        version: "v1".into(),
        addr: SocketAddr::from(([10, 0, 0, number as u8], 80)),
        data_hall: "hall".into(),
        slots: 8,
        state,
        cold_left: std::time::Duration::ZERO,
        sequence,
    }
}

/// All targets and homes that gateways receive.
fn visible_targets(directory: &Directory) -> BTreeMap<String, (Announcement, Option<u32>)> {
    let changed = directory.delta_since(0).map(|delta| delta.changed).unwrap_or_default();
    let changed = changed.into_iter();
    changed
        .map(|listed| (listed.announcement.id.clone(), (listed.announcement, listed.home)))
        .collect()
}

#[test]
fn the_directory_agrees_with_a_naive_one_and_survives_being_saved() {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    for _ in 0..60 {
        let (mut directory, mut naive) = (Directory::default(), Naive::default());
        for index in 1..300u64 {
            let late = rng.random_bool(0.1);
            let sequence = if late { index / 2 } else { index };
            let id = format!("t{}", rng.random_range(0..60));
            let target = Incarnation { id, born: random_start_time(&mut rng) };
            match rng.random_range(0..12) {
                0..5 => {
                    let ready = heartbeat(&mut rng, TargetState::Ready, sequence);
                    directory.announce(index, ready.clone());
                    naive.announce(index, &ready);
                }
                5..7 => {
                    let draining = heartbeat(&mut rng, TargetState::Draining, sequence);
                    directory.announce(index, draining.clone());
                    naive.announce(index, &draining);
                }
                7..10 => {
                    directory.assign_homes(index, std::slice::from_ref(&target));
                    naive.assign_first_home(index, &target);
                }
                10 => {
                    directory.mark_unresponsive(index, std::slice::from_ref(&target));
                    naive.mark_unresponsive(index, &target);
                }
                _ if rng.random_bool(0.3) => {
                    directory.remove(index, &target.id, target.born);
                    naive.remove(index, &target);
                }
                _ => {}
            }
            let expected = naive.targets.iter();
            let expected: BTreeMap<_, _> = expected
                .map(|(id, entry)| (id.clone(), (entry.announcement.clone(), entry.home)))
                .collect();
            assert_eq!(visible_targets(&directory), expected, "after {index} steps");
            let homeless = expected.values().filter(|(announcement, home)| {
                home.is_none() && announcement.state == TargetState::Ready
            });
            assert_eq!(directory.ready_without_home().count(), homeless.count());
        }
        let saved = postcard::to_stdvec(&directory).expect("it can be saved");
        let restored: Directory = postcard::from_bytes(&saved).expect("it can be read");
        assert_eq!(restored, directory);
        let known = heartbeat(&mut rng, TargetState::Ready, 1_000);
        assert_eq!(restored.classify(&known), directory.classify(&known));
        assert!(naive.ended.iter().all(|ended| {
            let gone = Announcement { id: ended.id.clone(), born: ended.born, ..known.clone() };
            restored.classify(&gone) == HeartbeatClass::Stale
        }));
    }
}
