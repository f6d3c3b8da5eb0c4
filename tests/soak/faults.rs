//! Draws faults from a seed, and brings them about; several at once, and in series.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use tokio::time::Instant;

use crate::fault::Fault;
use crate::harness::call;
use crate::ledger::{Ledger, Order, Party};
use crate::world::{HALLS, World, order, put};

/// What ends a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repair {
    StartGateway(usize),
    AwaitGateway(usize),
    ResumeGateway(usize),
    HealGateway(usize),
    StartMember(usize),
    ResumeMember(usize),
    HealMember(usize),
    HealTarget(usize),

    DropTarget(usize),
}

/// Time between two lost disks: the member must count again before another may go.
const BETWEEN_LOST_DISKS: Duration = Duration::from_secs(12);
/// Longest time that a target keeps asking for its drain to be acknowledged.
const DRAIN_WITHIN: Duration = Duration::from_secs(3);

/// Brings faults about for as long as a run lasts.
pub struct Storm<'a> {
    world: &'a mut World,
    repairs: Vec<(Instant, Repair)>,
    /// Processes that have a fault of their own now.
    busy_members: Vec<usize>,
    busy_gateways: Vec<usize>,
    busy_targets: Vec<usize>,
    lost_disk_at: Option<Instant>,
    pub log: Vec<String>,
}

impl<'a> Storm<'a> {
    pub fn new(world: &'a mut World) -> Self {
        Storm {
            world,
            repairs: Vec::new(),
            busy_members: Vec::new(),
            busy_gateways: Vec::new(),
            busy_targets: Vec::new(),
            lost_disk_at: None,
            log: Vec::new(),
        }
    }

    /// Draws faults for so long, then repairs everything.
    pub async fn rage(&mut self, length: Duration) {
        let end = Instant::now() + length;
        while Instant::now() < end {
            let pause = self.world.rng.random_range(20..700);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let fault = Fault::ALL[self.world.rng.random_range(0..Fault::ALL.len())];
            if self.world.earlier.is_none() || fault.known_to_all_builds() {
                self.strike(fault).await;
            }
            self.repair(false).await;
        }
        while !self.repairs.is_empty() {
            self.repair(true).await;
        }
    }

    fn note(&mut self, what: String) {
        self.world.ledger.disturb();
        self.log.push(format!("{:>7} ms  {what}", self.world.ledger.now().as_millis()));
    }

    /// Some process without a fault of its own, of `count`.
    fn draw(&mut self, count: usize, busy: &[usize]) -> Option<usize> {
        let free: Vec<usize> = (0..count).filter(|at| !busy.contains(at)).collect();
        if free.is_empty() {
            return None;
        }
        Some(free[self.world.rng.random_range(0..free.len())])
    }

    fn later(&mut self, repair: Repair) {
        let after = Duration::from_millis(self.world.rng.random_range(100..4_000));
        self.repairs.push((Instant::now() + after, repair));
    }

    async fn strike(&mut self, fault: Fault) {
        use Fault::*;
        match fault {
            KillGateway | StopGateway | PauseGateway | HangUpGateway | CutGateway
            | ResetGateway => self.strike_gateway(fault),
            KillMember | StopMember | PauseMember | LoseDisk | TearLog | LeaveNewLog
            | ScribbleNote | DeafenMember | MuteMember | CutMemberFromMember | DelayMember
            | ResetMember => {
                self.strike_member(fault);
            }
            KillAllMembers => self.kill_all_members(),
            ResetTarget | DelayTarget | MuteTarget | FaultyTarget | CrashTarget | RestartTarget => {
                self.strike_target(fault);
            }
            LoseHall => self.lose_hall(),
            Evacuate => self.order(&[true]).await,
            Withdraw => self.order(&[false]).await,
            EvacuateAndWithdraw => self.order(&[true, false, true, false]).await,
            ReplaceTarget => self.replace_target().await,
            Configure | Storm | Race | OldConfiguration | FaultyConfiguration => {
                self.operate(fault).await;
            }
        }
    }

    fn strike_gateway(&mut self, fault: Fault) {
        let busy = self.busy_gateways.clone();
        // One gateway at least stays whole.
        if busy.len() + 1 >= self.world.fleet.gateways.len() {
            return;
        }
        let Some(at) = self.draw(self.world.fleet.gateways.len(), &busy) else {
            return;
        };
        self.note(format!("{fault:?} {at}"));
        let process = &mut self.world.fleet.gateways[at];
        self.world.ledger.strike(Party::Gateway(process.ip));
        let repair = match fault {
            Fault::KillGateway => {
                process.kill();
                Repair::StartGateway(at)
            }
            Fault::StopGateway => {
                process.signal(Signal::SIGTERM);
                Repair::AwaitGateway(at)
            }
            Fault::PauseGateway => {
                process.signal(Signal::SIGSTOP);
                Repair::ResumeGateway(at)
            }
            Fault::HangUpGateway => return process.signal(Signal::SIGHUP),
            Fault::ResetGateway => return self.world.gateway_networks[at].reset(),
            _ => {
                let ip = process.ip;
                for network in &self.world.member_networks {
                    network.change(|faults| {
                        faults.cut_from.insert(ip);
                    });
                }
                Repair::HealGateway(at)
            }
        };
        self.busy_gateways.push(at);
        self.later(repair);
    }

    fn strike_member(&mut self, fault: Fault) {
        let busy = self.busy_members.clone();
        // Two of five may be lost at once.
        if busy.len() >= 2 {
            return;
        }
        let Some(at) = self.draw(self.world.fleet.members.len(), &busy) else {
            return;
        };
        let lately = self.lost_disk_at.is_some_and(|lost| lost.elapsed() < BETWEEN_LOST_DISKS);
        if fault == Fault::LoseDisk && (lately || !busy.is_empty()) {
            return;
        }
        self.note(format!("{fault:?} {at}"));
        let network = self.world.member_networks[at].clone();
        let process = &mut self.world.fleet.members[at];
        let repair = match fault {
            Fault::KillMember => {
                process.kill();
                Repair::StartMember(at)
            }
            Fault::StopMember => {
                process.signal(Signal::SIGTERM);
                process.wait_or_kill();
                Repair::StartMember(at)
            }
            Fault::LoseDisk => {
                process.kill();
                process.lose_disk();
                self.lost_disk_at = Some(Instant::now());
                Repair::StartMember(at)
            }
            Fault::TearLog => {
                process.kill();
                process.tear_log();
                Repair::StartMember(at)
            }
            Fault::LeaveNewLog => {
                process.kill();
                process.leave_partial_snapshot();
                Repair::StartMember(at)
            }
            Fault::ScribbleNote => {
                process.kill();
                process.corrupt_commit_file();
                Repair::StartMember(at)
            }
            Fault::PauseMember => {
                process.signal(Signal::SIGSTOP);
                Repair::ResumeMember(at)
            }
            Fault::ResetMember => return network.reset(),
            Fault::DeafenMember => {
                network.change(|faults| faults.deaf = true);
                Repair::HealMember(at)
            }
            Fault::MuteMember => {
                network.change(|faults| faults.mute = true);
                Repair::HealMember(at)
            }
            Fault::DelayMember => {
                network.change(|faults| faults.delay = Duration::from_millis(60));
                Repair::HealMember(at)
            }
            _ => {
                let others = self.world.fleet.members.iter().map(|member| member.ip);
                let other = others.collect::<Vec<_>>()[(at + 1) % self.world.fleet.members.len()];
                network.change(|faults| {
                    faults.cut_from.insert(other);
                });
                Repair::HealMember(at)
            }
        };
        self.busy_members.push(at);
        self.later(repair);
    }

    fn kill_all_members(&mut self) {
        if !self.busy_members.is_empty() {
            return;
        }
        self.note("KillAllMembers".into());
        for at in 0..self.world.fleet.members.len() {
            self.world.fleet.members[at].kill();
            self.busy_members.push(at);
            self.later(Repair::StartMember(at));
        }
    }

    fn strike_target(&mut self, fault: Fault) {
        let busy = self.busy_targets.clone();
        if 2 * (busy.len() + 1) > self.world.targets.len() {
            return;
        }
        let Some(at) = self.draw(self.world.targets.len(), &busy) else {
            return;
        };
        self.note(format!("{fault:?} {}", self.world.targets[at].0.id()));
        self.strike_party_of_target(at);
        let (target, network) = &self.world.targets[at];
        match fault {
            Fault::ResetTarget => return network.reset(),
            Fault::RestartTarget => return target.crash(),
            Fault::DelayTarget => {
                network.change(|faults| faults.delay = Duration::from_millis(80));
            }
            Fault::MuteTarget => network.change(|faults| faults.mute = true),
            Fault::FaultyTarget => target.set_faulty(0.4),
            _ => {
                network.reset();
                network.change(|faults| faults.deaf = true);
            }
        }
        self.busy_targets.push(at);
        self.later(Repair::HealTarget(at));
    }

    fn strike_party_of_target(&self, at: usize) {
        let name = self.world.targets[at].0.name();
        self.world.ledger.strike(Party::Target(name));
    }

    /// Every target of a hall is out of reach at once, and back at once.
    fn lose_hall(&mut self) {
        let lost = HALLS[1 + 2 * self.world.rng.random_range(0..2)];
        let of_hall = |at: &usize| {
            self.world.targets[*at].0.data_hall == lost && !self.busy_targets.contains(at)
        };
        let lost_ones: Vec<usize> = (0..self.world.targets.len()).filter(of_hall).collect();
        self.note(format!("LoseHall {lost}"));
        for at in &lost_ones {
            self.strike_party_of_target(*at);
            let network = &self.world.targets[*at].1;
            network.reset();
            network.change(|faults| faults.deaf = true);
        }
        let after = Duration::from_millis(self.world.rng.random_range(100..4_000));
        for at in lost_ones {
            self.busy_targets.push(at);
            self.repairs.push((Instant::now() + after, Repair::HealTarget(at)));
        }
    }

    /// Orders and withdrawals about one hall, in series; each is acknowledged or given up before the next.
    async fn order(&mut self, evacuate: &[bool]) {
        let data_hall = HALLS[1 + 2 * self.world.rng.random_range(0..2)];
        for evacuate in evacuate {
            self.note(format!("Order {data_hall} evacuate={evacuate}"));
            let now = self.world.ledger.now();
            let made = Order {
                data_hall: data_hall.to_owned(),
                evacuate: *evacuate,
                made: now,
                acknowledged: None,
            };
            self.world.ledger.book().orders.push(made);
            let (at, twice) = (self.world.rng.random_range(0..8), self.world.rng.random_bool(0.5));
            order(&self.world.ledger, &self.world.doors, at, *evacuate, twice).await;
            let pause = self.world.rng.random_range(0..200);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// A new target comes, an old one drains and then leaves.
    async fn replace_target(&mut self) {
        let busy = self.busy_targets.clone();
        let Some(at) = self.draw(self.world.targets.len(), &busy) else {
            return;
        };
        let id = self.world.targets[at].0.id();
        self.note(format!("ReplaceTarget {id}"));
        self.world.add_target().await;
        let doors = self.world.doors.clone();
        let unheard = self.world.next_leaves_unheard();
        let target = &self.world.targets[at].0;
        if unheard {
            target.leave_unheard();
            self.log.push(format!("            {id} leaves unheard"));
        } else if !target.drain(&doors, DRAIN_WITHIN).await {
            self.log.push(format!("            the drain of {id} was not acknowledged"));
        }
        self.busy_targets.push(at);
        let after = Duration::from_millis(3_000);
        self.repairs.push((Instant::now() + after, Repair::DropTarget(at)));
    }

    async fn operate(&mut self, fault: Fault) {
        self.note(format!("{fault:?}"));
        let doors = self.world.doors.clone();
        let ledger: Ledger = self.world.ledger.clone();
        let door = |world: &mut World| doors[world.rng.random_range(0..doors.len())];
        match fault {
            Fault::Storm | Fault::Configure => {
                let changes = if fault == Fault::Storm { 8 } else { 1 };
                for _ in 0..changes {
                    let (version, text) = self.world.next_configuration();
                    let door = door(self.world);
                    let ledger = ledger.clone();
                    tokio::spawn(async move { put(&ledger, door, version, &text).await });
                    tokio::time::sleep(Duration::from_millis(60)).await;
                }
            }
            Fault::Race => {
                let (one, other) =
                    (self.world.next_configuration(), self.world.next_configuration());
                let (at, beside) = (door(self.world), door(self.world));
                tokio::join!(
                    put(&ledger, at, other.0, &other.1),
                    put(&ledger, beside, one.0, &one.1)
                );
            }
            Fault::OldConfiguration => {
                let sent = ledger.book().configurations.clone();
                let which = self.world.rng.random_range(0..sent.len());
                let (version, text) = sent.iter().nth(which).expect("in range");
                put(&ledger, door(self.world), *version, text).await;
            }
            _ => {
                let (version, text) = self.world.next_configuration();
                ledger.book().configurations.remove(&version);
                let faulty = text.replace("\"service\":\"s\"", "\"service\":\"nobody\"");
                let calling = call(door(self.world), "PUT", "/config", &faulty);
                let answer = tokio::time::timeout(Duration::from_secs(1), calling).await;
                if let Ok(Some(answer)) = answer
                    && answer.status == 200
                {
                    ledger.broken(format!("CONFIG: faulty version {version} was acknowledged"));
                }
            }
        }
    }

    /// Carries out the repairs that are due, or, at the end, all of them.
    async fn repair(&mut self, all: bool) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.repairs)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| all || *at <= now);
        self.repairs = later;
        for (_, repair) in due {
            self.note(format!("{repair:?}"));
            self.carry_out(repair).await;
        }
    }

    async fn carry_out(&mut self, repair: Repair) {
        match repair {
            Repair::StartGateway(at)
            | Repair::AwaitGateway(at)
            | Repair::ResumeGateway(at)
            | Repair::HealGateway(at) => {
                let ip = self.world.fleet.gateways[at].ip;
                self.world.ledger.strike(Party::Gateway(ip));
            }
            Repair::HealTarget(at) => self.strike_party_of_target(at),
            _ => {}
        }
        match repair {
            Repair::StartGateway(at) => {
                let build = self.world.draw_build(None);
                let process = &mut self.world.fleet.gateways[at];
                build.iter().for_each(|build| process.use_build(build));
                process.start();
                self.world.ledger.book().gateway_starts += 1;
            }
            Repair::AwaitGateway(at) => {
                let build = self.world.draw_build(None);
                let process = &mut self.world.fleet.gateways[at];
                if !process.wait_for_exit().await {
                    self.world.ledger.broken(format!("gateway {at} did not stop well"));
                }
                build.iter().for_each(|build| process.use_build(build));
                process.start();
                self.world.ledger.book().gateway_starts += 1;
            }
            Repair::ResumeGateway(at) => self.world.fleet.gateways[at].signal(Signal::SIGCONT),
            Repair::HealGateway(at) => {
                let ip = self.world.fleet.gateways[at].ip;
                for network in &self.world.member_networks {
                    network.change(|faults| {
                        faults.cut_from.remove(&ip);
                    });
                }
            }
            Repair::StartMember(at) => {
                let build = self.world.draw_build(Some(at));
                let process = &mut self.world.fleet.members[at];
                build.iter().for_each(|build| process.use_build(build));
                process.start();
            }
            Repair::ResumeMember(at) => self.world.fleet.members[at].signal(Signal::SIGCONT),
            Repair::HealMember(at) => {
                let gateways: Vec<_> =
                    self.world.fleet.gateways.iter().map(|gateway| gateway.ip).collect();
                self.world.member_networks[at].change(|faults| {
                    faults.deaf = false;
                    faults.mute = false;
                    faults.delay = Duration::ZERO;
                    faults.cut_from.retain(|ip| gateways.contains(ip));
                });
            }
            Repair::HealTarget(at) => {
                let (target, network) = &self.world.targets[at];
                network.change(|faults| *faults = Default::default());
                target.set_faulty(0.02);
            }

            Repair::DropTarget(at) => {
                let doors = self.world.doors.clone();
                self.world.targets[at].0.leave(&doors).await;
            }
        }
        self.release(repair);
    }

    fn release(&mut self, repair: Repair) {
        match repair {
            Repair::StartGateway(at)
            | Repair::AwaitGateway(at)
            | Repair::ResumeGateway(at)
            | Repair::HealGateway(at) => self.busy_gateways.retain(|busy| *busy != at),
            Repair::StartMember(at) | Repair::ResumeMember(at) | Repair::HealMember(at) => {
                self.busy_members.retain(|busy| *busy != at);
            }
            Repair::HealTarget(at) => self.busy_targets.retain(|busy| *busy != at),
            // A target that left stays out of the draw.
            Repair::DropTarget(_) => {}
        }
    }
}
