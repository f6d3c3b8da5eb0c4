//! Injects random faults, several at once and one after the other, and repairs each after a random time.
//! All random choices come from the world's seeded generator.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use tokio::time::Instant;

use crate::crowd::{self, Opens};
use crate::fault::Fault;
use crate::harness::call;
use crate::proxy::Cut;
use crate::recorder::{Component, GatewayFault, Order, Recorder};
use crate::world::{HALLS, World, put_configuration, send_order};

/// What ends a fault. Its Debug name is printed in the soak's log.
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
    /// Ends a gateway's cut from the targets.
    JoinGateway(usize),

    /// Removes a replaced target, after its drain or shutdown notice.
    DropTarget(usize),
}

/// Chance of another cut at each step of the run, and how long it lasts, in milliseconds.
const CUT_CHANCE: f64 = 0.2;
const CUT_MS: std::ops::Range<u64> = 4_000..8_000;
/// Chance of another target that is cut off from the members at each step of the run, and how long that lasts, in
/// milliseconds.
const UNHEARD_CHANCE: f64 = 0.3;
const UNHEARD_MS: std::ops::Range<u64> = 1_500..6_000;
/// Chance at each step of the run that all processes are killed.
const POWER_LOSS_CHANCE: f64 = 0.12;
/// Time in which streams begin before all processes are killed.
const CALM_BEFORE_POWER_LOSS: Duration = Duration::from_millis(400);
/// How long a process is down after all were killed, in milliseconds.
const POWER_LOSS_MS: std::ops::Range<u64> = 100..900;
/// Chance of another crowd at each step of the run.
const CROWD_CHANCE: f64 = 0.5;
/// Time between two lost disks: the member must be a voter again before the next disk is lost.
const DISK_LOSS_INTERVAL: Duration = Duration::from_secs(12);
/// Time within which a target repeats its drain until a member acknowledges it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Injects faults into a world and schedules their repairs.
pub struct FaultInjector<'a> {
    world: &'a mut World,
    /// Scheduled repairs with their times.
    repairs: Vec<(Instant, Repair)>,
    /// Numbers of the processes and targets that have a fault now and get no second one.
    busy_members: Vec<usize>,
    busy_gateways: Vec<usize>,
    busy_targets: Vec<usize>,
    /// Gateways that are cut off from all targets.
    cut_gateways: Vec<usize>,
    lost_disk_at: Option<Instant>,
    /// The faults and repairs with their times, printed when the run fails.
    pub log: Vec<String>,
}

impl<'a> FaultInjector<'a> {
    pub fn new(world: &'a mut World) -> Self {
        FaultInjector {
            world,
            repairs: Vec::new(),
            busy_members: Vec::new(),
            busy_gateways: Vec::new(),
            busy_targets: Vec::new(),
            cut_gateways: Vec::new(),
            lost_disk_at: None,
            log: Vec::new(),
        }
    }

    /// Injects faults for this time, then repairs everything.
    pub async fn run(&mut self, length: Duration) {
        let end = Instant::now() + length;
        while Instant::now() < end {
            let pause = self.world.rng.random_range(20..700);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let fault = Fault::ALL[self.world.rng.random_range(0..Fault::ALL.len())];
            if self.world.earlier_build.is_none() || fault.known_to_all_builds() {
                self.inject(fault).await;
            }
            self.cut_gateway_off();
            self.cut_target_from_members().await;
            self.start_crowd();
            self.kill_all().await;
            self.repair(false).await;
        }
        while !self.repairs.is_empty() {
            self.repair(true).await;
        }
    }

    /// Logs a fault or a repair and records its time.
    fn note(&mut self, what: String) {
        self.world.recorder.record_fault();
        self.log.push(format!("{:>7} ms  {what}", self.world.recorder.now().as_millis()));
    }

    /// Draws one of the numbers up to `count` that are not in `busy`.
    fn draw(&mut self, count: usize, busy: &[usize]) -> Option<usize> {
        let free: Vec<usize> = (0..count).filter(|at| !busy.contains(at)).collect();
        if free.is_empty() {
            return None;
        }
        Some(free[self.world.rng.random_range(0..free.len())])
    }

    /// Schedules a repair after a random time.
    fn schedule(&mut self, repair: Repair) {
        let after = Duration::from_millis(self.world.rng.random_range(100..4_000));
        self.repairs.push((Instant::now() + after, repair));
    }

    async fn inject(&mut self, fault: Fault) {
        use Fault::*;
        match fault {
            KillGateway | StopGateway | PauseGateway | HangUpGateway | CutGateway
            | ResetGateway => self.fault_gateway(fault),
            KillMember | StopMember | PauseMember | LoseDisk | TearLog | LeaveNewLog
            | ScribbleNote | DeafenMember | MuteMember | CutMemberFromMember | DelayMember
            | ResetMember => {
                self.fault_member(fault);
            }
            KillAllMembers => self.kill_all_members(),
            ResetTarget | DelayTarget | MuteTarget | FaultyTarget | CrashTarget | RestartTarget => {
                self.fault_target(fault);
            }
            LoseHall => self.lose_hall(),
            Evacuate => self.order(&[true]).await,
            Withdraw => self.order(&[false]).await,
            EvacuateAndWithdraw => self.order(&[true, false, true, false]).await,
            ReplaceTarget => self.replace_target().await,
            Configure | Storm | Race | OldConfiguration | FaultyConfiguration => {
                self.change_configuration(fault).await;
            }
        }
    }

    fn fault_gateway(&mut self, fault: Fault) {
        let busy = self.busy_gateways.clone();
        // At least one gateway stays without a fault.
        if busy.len() + 1 >= self.world.fleet.gateways.len() {
            return;
        }
        let Some(at) = self.draw(self.world.fleet.gateways.len(), &busy) else {
            return;
        };
        self.note(format!("{fault:?} {at}"));
        let process = &mut self.world.fleet.gateways[at];
        self.world.recorder.record_fault_of(Component::Gateway(process.ip));
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
                        faults.blocked_sources.insert(ip);
                    });
                }
                Repair::HealGateway(at)
            }
        };
        let now = self.world.recorder.now();
        let fault = GatewayFault { gateway: at, from: now, until: None };
        self.world.recorder.lock().gateway_faults.push(fault);
        self.busy_gateways.push(at);
        self.schedule(repair);
    }

    /// Now and then cuts one more gateway off from all targets, whatever other faults it has; at least one gateway is
    /// not cut off.
    fn cut_gateway_off(&mut self) {
        let gateways = self.world.fleet.gateways.len();
        let Some(rng) = &mut self.world.cuts else {
            return;
        };
        let free: Vec<usize> = (0..gateways).filter(|at| !self.cut_gateways.contains(at)).collect();
        if free.len() < 2 || !rng.random_bool(CUT_CHANCE) {
            return;
        }
        let at = free[rng.random_range(0..free.len())];
        let cut = [Cut::Silent, Cut::Reset, Cut::NewReset][rng.random_range(0..3)];
        let after = Duration::from_millis(rng.random_range(CUT_MS));
        let ip = self.world.fleet.gateways[at].ip;
        self.world.targets.iter().for_each(|(_, network)| network.set_cut(ip, Some(cut)));
        self.cut_gateways.push(at);
        let now = self.world.recorder.now();
        self.world.recorder.lock().cuts.push(GatewayFault { gateway: at, from: now, until: None });
        self.note(format!("cut off from all targets, {cut:?}: gateway {at}"));
        self.repairs.push((Instant::now() + after, Repair::JoinGateway(at)));
    }

    /// Now and then cuts one more target off from the members, not from the gateways. It may crash behind the cut, and
    /// start again there, or have announced its shutdown just before.
    async fn cut_target_from_members(&mut self) {
        let Some(mut rng) = self.world.unheard.take() else {
            return;
        };
        let heard = |at: &usize| !self.world.targets[*at].0.is_unheard();
        let free = (0..self.world.targets.len()).filter(|at| !self.busy_targets.contains(at));
        let free: Vec<usize> = free.filter(heard).collect();
        if free.len() > 2 && rng.random_bool(UNHEARD_CHANCE) {
            let at = free[rng.random_range(0..free.len())];
            let length = Duration::from_millis(rng.random_range(UNHEARD_MS));
            let change = rng.random_range(0..4);
            self.note(format!("cut off from the members: {}", self.world.targets[at].0.id()));
            self.record_fault_of_target(at);
            if change == 0 {
                self.replace(at).await;
            }
            let target = &self.world.targets[at].0;
            target.cut_from_members(length);
            if change == 1 || change == 2 {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
                self.log.push(format!("            {} crashes behind the cut", target.id()));
                target.crash();
            }
        }
        self.world.unheard = Some(rng);
    }

    /// Now and then has a crowd open requests at a gateway or a member, and leave them open for a while.
    fn start_crowd(&mut self) {
        let Some(mut rng) = self.world.crowds.take() else {
            return;
        };
        if rng.random_bool(CROWD_CHANCE) {
            let fleet = &self.world.fleet;
            let gateway = fleet.gateway_addr(rng.random_range(0..fleet.gateways.len()));
            let member = rng.random_range(0..fleet.members.len());
            let (api, peers) = (fleet.api_addr(member), fleet.peer_addr(member));
            let (addr, opens) = match rng.random_range(0..5) {
                0 | 1 => (gateway, Opens::Requests),
                2 | 3 => (api, Opens::Calls),
                _ => ([gateway, api, peers][rng.random_range(0..3)], Opens::Nothing),
            };
            self.log.push(format!("            a crowd opens {opens:?} at {addr}"));
            crowd::start(&mut rng, addr, opens);
        }
        self.world.crowds = Some(rng);
    }

    /// Now and then kills all members and gateways at once, when earlier faults are repaired. They start again one after
    /// the other, as after a power loss.
    async fn kill_all(&mut self) {
        let Some(mut rng) = self.world.power_losses.take() else {
            return;
        };
        if rng.random_bool(POWER_LOSS_CHANCE) {
            while !self.repairs.is_empty() {
                self.repair(true).await;
            }
            tokio::time::sleep(CALM_BEFORE_POWER_LOSS).await;
            self.note("KillAll".into());
            let fleet = &mut self.world.fleet;
            let mut repairs = Vec::new();
            for (at, member) in fleet.members.iter_mut().enumerate() {
                member.kill();
                self.busy_members.push(at);
                repairs.push(Repair::StartMember(at));
            }
            for (at, gateway) in fleet.gateways.iter_mut().enumerate() {
                self.world.recorder.record_fault_of(Component::Gateway(gateway.ip));
                gateway.kill();
                let from = self.world.recorder.now();
                let fault = GatewayFault { gateway: at, from, until: None };
                self.world.recorder.lock().gateway_faults.push(fault);
                self.busy_gateways.push(at);
                repairs.push(Repair::StartGateway(at));
            }
            let start = |repair| {
                let after = Duration::from_millis(rng.random_range(POWER_LOSS_MS));
                (Instant::now() + after, repair)
            };
            self.repairs.extend(repairs.into_iter().map(start));
        }
        self.world.power_losses = Some(rng);
    }

    /// Ends the cut of a gateway.
    fn join_gateway(&mut self, at: usize) {
        let ip = self.world.fleet.gateways[at].ip;
        self.world.targets.iter().for_each(|(_, network)| network.set_cut(ip, None));
        self.cut_gateways.retain(|cut| *cut != at);
        let now = self.world.recorder.now();
        end_fault(&mut self.world.recorder.lock().cuts, at, now);
    }

    fn fault_member(&mut self, fault: Fault) {
        let busy = self.busy_members.clone();
        // Five members have a quorum with at most two lost at once.
        if busy.len() >= 2 {
            return;
        }
        let Some(at) = self.draw(self.world.fleet.members.len(), &busy) else {
            return;
        };
        let lately = self.lost_disk_at.is_some_and(|lost| lost.elapsed() < DISK_LOSS_INTERVAL);
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
                network.change(|faults| faults.inbound_blocked = true);
                Repair::HealMember(at)
            }
            Fault::MuteMember => {
                network.change(|faults| faults.outbound_blocked = true);
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
                    faults.blocked_sources.insert(other);
                });
                Repair::HealMember(at)
            }
        };
        self.busy_members.push(at);
        self.schedule(repair);
    }

    fn kill_all_members(&mut self) {
        if !self.busy_members.is_empty() {
            return;
        }
        self.note("KillAllMembers".into());
        for at in 0..self.world.fleet.members.len() {
            self.world.fleet.members[at].kill();
            self.busy_members.push(at);
            self.schedule(Repair::StartMember(at));
        }
    }

    /// Injects a fault at a target; fewer than or just half of the targets have one at once.
    fn fault_target(&mut self, fault: Fault) {
        let busy = self.busy_targets.clone();
        if 2 * (busy.len() + 1) > self.world.targets.len() {
            return;
        }
        let Some(at) = self.draw(self.world.targets.len(), &busy) else {
            return;
        };
        self.note(format!("{fault:?} {}", self.world.targets[at].0.id()));
        self.record_fault_of_target(at);
        let (target, network) = &self.world.targets[at];
        match fault {
            Fault::ResetTarget => return network.reset(),
            Fault::RestartTarget => return target.crash(),
            Fault::DelayTarget => {
                network.change(|faults| faults.delay = Duration::from_millis(80));
            }
            Fault::MuteTarget => network.change(|faults| faults.outbound_blocked = true),
            Fault::FaultyTarget => target.set_fault_rate(0.4),
            _ => {
                network.reset();
                network.change(|faults| faults.inbound_blocked = true);
            }
        }
        self.busy_targets.push(at);
        self.schedule(Repair::HealTarget(at));
    }

    fn record_fault_of_target(&self, at: usize) {
        let name = self.world.targets[at].0.name();
        self.world.recorder.record_fault_of(Component::Target(name));
    }

    /// Makes all targets of a data hall unreachable at once, and schedules their repair for the same time.
    fn lose_hall(&mut self) {
        let lost = HALLS[1 + 2 * self.world.rng.random_range(0..2)];
        let of_hall = |at: &usize| {
            self.world.targets[*at].0.data_hall == lost && !self.busy_targets.contains(at)
        };
        let lost_ones: Vec<usize> = (0..self.world.targets.len()).filter(of_hall).collect();
        self.note(format!("LoseHall {lost}"));
        for at in &lost_ones {
            self.record_fault_of_target(*at);
            let network = &self.world.targets[*at].1;
            network.reset();
            network.change(|faults| faults.inbound_blocked = true);
        }
        let after = Duration::from_millis(self.world.rng.random_range(100..4_000));
        for at in lost_ones {
            self.busy_targets.push(at);
            self.repairs.push((Instant::now() + after, Repair::HealTarget(at)));
        }
    }

    /// Sends orders to evacuate a data hall (`true`) or to withdraw that (`false`) one after the other;
    /// each is acknowledged or given up before the next.
    async fn order(&mut self, evacuate: &[bool]) {
        let data_hall = HALLS[1 + 2 * self.world.rng.random_range(0..2)];
        for evacuate in evacuate {
            self.note(format!("Order {data_hall} evacuate={evacuate}"));
            let now = self.world.recorder.now();
            let made = Order {
                data_hall: data_hall.to_owned(),
                evacuate: *evacuate,
                made: now,
                acknowledged: None,
            };
            self.world.recorder.lock().orders.push(made);
            let (at, twice) = (self.world.rng.random_range(0..8), self.world.rng.random_bool(0.5));
            send_order(&self.world.recorder, &self.world.member_addrs, at, *evacuate, twice).await;
            let pause = self.world.rng.random_range(0..200);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Adds a target and shuts an old one down: it drains, or announces its shutdown only in response headers,
    /// and is removed later.
    async fn replace_target(&mut self) {
        let busy = self.busy_targets.clone();
        let Some(at) = self.draw(self.world.targets.len(), &busy) else {
            return;
        };
        self.replace(at).await;
    }

    async fn replace(&mut self, at: usize) {
        let id = self.world.targets[at].0.id();
        self.note(format!("ReplaceTarget {id}"));
        self.world.add_target().await;
        let member_addrs = self.world.member_addrs.clone();
        let header_only_shutdowns = self.world.next_shutdown_is_header_only();
        let target = &self.world.targets[at].0;
        if header_only_shutdowns {
            target.announce_shutdown_in_headers_only();
            self.log.push(format!("            {id} leaves unheard"));
        } else if !target.drain(&member_addrs, DRAIN_TIMEOUT).await {
            self.log.push(format!("            the drain of {id} was not acknowledged"));
        }
        self.busy_targets.push(at);
        let after = Duration::from_millis(3_000);
        self.repairs.push((Instant::now() + after, Repair::DropTarget(at)));
    }

    /// Sends configurations: new, concurrent, old or invalid ones.
    async fn change_configuration(&mut self, fault: Fault) {
        self.note(format!("{fault:?}"));
        let member_addrs = self.world.member_addrs.clone();
        let recorder: Recorder = self.world.recorder.clone();
        let addr = |world: &mut World| member_addrs[world.rng.random_range(0..member_addrs.len())];
        match fault {
            Fault::Storm | Fault::Configure => {
                let changes = if fault == Fault::Storm { 8 } else { 1 };
                for _ in 0..changes {
                    let (version, text) = self.world.next_configuration();
                    let addr = addr(self.world);
                    let recorder = recorder.clone();
                    tokio::spawn(async move {
                        put_configuration(&recorder, addr, version, &text).await
                    });
                    tokio::time::sleep(Duration::from_millis(60)).await;
                }
            }
            Fault::Race => {
                let (one, other) =
                    (self.world.next_configuration(), self.world.next_configuration());
                let (one_member, other_member) = (addr(self.world), addr(self.world));
                tokio::join!(
                    put_configuration(&recorder, one_member, other.0, &other.1),
                    put_configuration(&recorder, other_member, one.0, &one.1)
                );
            }
            Fault::OldConfiguration => {
                let sent = recorder.lock().configurations.clone();
                let which = self.world.rng.random_range(0..sent.len());
                let (version, text) = sent.iter().nth(which).expect("in range");
                put_configuration(&recorder, addr(self.world), *version, text).await;
            }
            _ => {
                let (version, text) = self.world.next_configuration();
                recorder.lock().configurations.remove(&version);
                let faulty = text.replace("\"service\":\"s\"", "\"service\":\"nobody\"");
                let request = call(addr(self.world), "PUT", "/config", &faulty);
                let answer = tokio::time::timeout(Duration::from_secs(1), request).await;
                if let Ok(Some(answer)) = answer
                    && answer.status == 200
                {
                    recorder.record_violation(format!(
                        "CONFIG: faulty version {version} was acknowledged"
                    ));
                }
            }
        }
    }

    /// Carries out the repairs that are due, or all of them.
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

    /// Carries out a repair, and records it where it acts on a gateway or a target.
    async fn carry_out(&mut self, repair: Repair) {
        match repair {
            Repair::StartGateway(at)
            | Repair::AwaitGateway(at)
            | Repair::ResumeGateway(at)
            | Repair::HealGateway(at) => {
                let ip = self.world.fleet.gateways[at].ip;
                self.world.recorder.record_fault_of(Component::Gateway(ip));
                let now = self.world.recorder.now();
                end_fault(&mut self.world.recorder.lock().gateway_faults, at, now);
            }
            Repair::HealTarget(at) => self.record_fault_of_target(at),
            _ => {}
        }
        match repair {
            Repair::StartGateway(at) => {
                let build = self.world.draw_build(None);
                let process = &mut self.world.fleet.gateways[at];
                build.iter().for_each(|build| process.use_build(build));
                process.start();
                self.world.recorder.lock().gateway_starts += 1;
            }
            Repair::AwaitGateway(at) => {
                let build = self.world.draw_build(None);
                let process = &mut self.world.fleet.gateways[at];
                if !process.wait_for_exit().await {
                    self.world.recorder.record_violation(format!("gateway {at} did not stop well"));
                }
                build.iter().for_each(|build| process.use_build(build));
                process.start();
                self.world.recorder.lock().gateway_starts += 1;
            }
            Repair::ResumeGateway(at) => self.world.fleet.gateways[at].signal(Signal::SIGCONT),
            Repair::HealGateway(at) => {
                let ip = self.world.fleet.gateways[at].ip;
                for network in &self.world.member_networks {
                    network.change(|faults| {
                        faults.blocked_sources.remove(&ip);
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
                    faults.inbound_blocked = false;
                    faults.outbound_blocked = false;
                    faults.delay = Duration::ZERO;
                    faults.blocked_sources.retain(|ip| gateways.contains(ip));
                });
            }
            Repair::HealTarget(at) => {
                let (target, network) = &self.world.targets[at];
                network.change(|faults| *faults = Default::default());
                target.set_fault_rate(0.02);
            }

            Repair::JoinGateway(at) => self.join_gateway(at),
            Repair::DropTarget(at) => {
                let member_addrs = self.world.member_addrs.clone();
                self.world.targets[at].0.leave(&member_addrs).await;
            }
        }
        self.release(repair);
    }

    /// Lets the repaired process have faults again.
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
            // A removed target stays excluded from further faults.
            Repair::DropTarget(_) | Repair::JoinGateway(_) => {}
        }
    }
}

/// Records the end of the last fault of a gateway.
fn end_fault(faults: &mut [GatewayFault], gateway: usize, now: Duration) {
    let last = faults.iter_mut().rev().find(|fault| fault.gateway == gateway);
    last.expect("the fault that ends").until = Some(now);
}
