//! The fleet under test: members and gateways as separate processes, started with the commands of the deploy file, each
//! with a loopback address, free ports and a temporary folder of its own. Logs go to that folder too, which is removed, or
//! to the folder REVIEW_LOGS.

use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

/// The case can't run.
pub type Unable = String;

/// Memory that a gateway may use (`memory-mb`).
pub const MEMORY_MB: u64 = 260;

pub struct Process {
    pub name: String,
    role: String,
    child: Child,
}

pub struct Fleet {
    pub members: Vec<SocketAddr>,
    /// Where the gateways take clients.
    pub gateways: Vec<SocketAddr>,
    /// Where they answer the platform's question whether they are ready.
    ready: Vec<SocketAddr>,
    processes: Vec<Process>,
    folder: PathBuf,
}

/// Ends the processes and removes the folder.
impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |now| now.as_nanos() as u64);
    (now ^ (u64::from(std::process::id()) << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Loopback addresses that no other process of this machine is likely to use, and a port that is free on all of them.
pub struct Hosts {
    net: [u8; 2],
    next: u8,
    pub port: u16,
}

impl Hosts {
    pub fn draw() -> Self {
        let seed = seed();
        let net = [100 + (seed >> 40) as u8 % 100, (seed >> 48) as u8];
        Hosts { net, next: 1, port: 20_000 + ((seed >> 8) % 8_000) as u16 }
    }

    pub fn host(&mut self) -> IpAddr {
        self.next += 1;
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], self.next))
    }
}

/// A free port of the host.
pub fn free(host: IpAddr) -> Result<SocketAddr, Unable> {
    let listener =
        TcpListener::bind(SocketAddr::new(host, 0)).map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// The command of a role in the deploy file, with the path of the settings replaced.
fn command(role: &str, settings: &Path) -> Result<Command, Unable> {
    let deploy =
        std::fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let section = deploy.split("[roles.").find(|section| section.starts_with(&format!("{role}]")));
    let section = section.ok_or_else(|| format!("the deploy file has no role {role}"))?;
    let run = section.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.ok_or_else(|| format!("role {role} has no command"))?.trim().trim_matches('"');
    let mut words: Vec<String> = run.split(' ').map(str::to_owned).collect();
    let at = words.iter().position(|word| word == "--settings").ok_or("no --settings")? + 1;
    words[at] = settings.display().to_string();
    let mut command = Command::new(&words[0]);
    command.args(&words[1..]);
    Ok(command)
}

impl Fleet {
    /// Starts members and gateways with the settings that the platform's templates give for a small deployment.
    pub fn start(
        hosts: &mut Hosts,
        members: usize,
        gateways: usize,
        heartbeat_ms: u64,
    ) -> Result<Fleet, Unable> {
        let folder = std::env::temp_dir().join(format!("latchmount-review-{:x}", seed()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let logs = std::env::var_os("REVIEW_LOGS").map_or_else(|| folder.clone(), PathBuf::from);
        let logs = logs.as_path();
        std::fs::create_dir_all(logs).map_err(|error| error.to_string())?;
        let mut fleet = Fleet {
            members: Vec::new(),
            gateways: Vec::new(),
            ready: Vec::new(),
            processes: Vec::new(),
            folder,
        };
        let peer_port = hosts.port;
        for _ in 0..members {
            let host = hosts.host();
            for port in [peer_port, peer_port + 1] {
                TcpListener::bind(SocketAddr::new(host, port))
                    .map_err(|error| error.to_string())?;
            }
            fleet.members.push(SocketAddr::new(host, peer_port + 1));
        }
        let seeds: Vec<String> =
            fleet.members.iter().take(3).map(|member| format!("\"{member}\"")).collect();
        let seeds = seeds.join(", ");
        let halls = "{\"hall-a\": \"region-a\"}";
        for (at, listen) in fleet.members.clone().into_iter().enumerate() {
            let data = fleet.folder.join(format!("member-{at}"));
            let bear = (members - 1) / 2;
            let text = format!(
                "{{ \"host\": \"core-{at}\", \"data_halls\": {halls}, \"listen\": \"{listen}\",\n\
                 \"peer_port\": {peer_port}, \"seeds\": [{seeds}], \"found\": true, \"source\": \"{}\",\n\
                 \"data_dir\": {:?}, \"bear_losses\": {bear}, \"link_mbps\": 6.0, \"target_heartbeat_ms\": {heartbeat_ms} }}\n",
                listen.ip(),
                data.display().to_string()
            );
            fleet.launch("member", &format!("member-{at}"), &text, logs)?;
        }
        for at in 0..gateways {
            let host = hosts.host();
            let (listen, ready) = (free(host)?, free(host)?);
            let text = format!(
                "{{ \"host\": \"front-{at}\", \"data_hall\": \"hall-a\", \"data_halls\": {halls},\n\
                 \"listen\": \"{listen}\", \"ready_listen\": \"{ready}\", \"members\": [{seeds}],\n\
                 \"peer_port\": {peer_port}, \"on_stale\": \"serve\", \"stale_after_ms\": 5000, \"source\": \"{host}\",\n\
                 \"retry_ratio\": 0.2, \"retry_window_s\": 10, \"retry_slack\": 56, \"load_bound\": 2,\n\
                 \"stop_within_ms\": 8000, \"max_descriptors\": 4100, \"memory_mb\": {MEMORY_MB} }}\n"
            );
            fleet.gateways.push(listen);
            fleet.ready.push(ready);
            fleet.launch("gateway", &format!("gateway-{at}"), &text, logs)?;
        }
        Ok(fleet)
    }

    fn launch(
        &mut self,
        role: &str,
        name: &str,
        settings: &str,
        logs: &Path,
    ) -> Result<(), Unable> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let child = self.spawn(role, name, logs)?;
        self.processes.push(Process { name: name.to_owned(), role: role.to_owned(), child });
        Ok(())
    }

    fn spawn(&self, role: &str, name: &str, logs: &Path) -> Result<Child, Unable> {
        let path = self.folder.join(format!("{name}.json"));
        let log =
            OpenOptions::new().create(true).append(true).open(logs.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = command(role, &path)?;
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        command.spawn().map_err(|error| format!("{role}: {error}"))
    }

    /// Resident memory of a process, in KiB; 0 if it doesn't run.
    pub fn resident_kb(&self, name: &str) -> u64 {
        let process = self.processes.iter().find(|process| process.name == name);
        let id = process.map_or(0, |process| process.child.id());
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let held = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        held.and_then(|held| held.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Ends a process at once.
    pub fn kill(&mut self, name: &str) {
        for process in self.processes.iter_mut().filter(|process| process.name == name) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Starts a process again that has ended.
    pub fn start_again(&mut self, name: &str) -> Result<(), Unable> {
        let at = self.processes.iter().position(|process| process.name == name);
        let at = at.ok_or_else(|| format!("there is no process {name}"))?;
        let role = self.processes[at].role.clone();
        let logs =
            std::env::var_os("REVIEW_LOGS").map_or_else(|| self.folder.clone(), PathBuf::from);
        self.processes[at].child = self.spawn(&role, name, &logs)?;
        Ok(())
    }

    /// Sends a configuration, as the operator does, until it is acknowledged.
    pub fn configure(&self, body: &str) -> Result<(), Unable> {
        let until = Instant::now() + Duration::from_secs(20);
        let json = [("Content-Type", "application/json")];
        for member in self.members.iter().cycle() {
            let answer = http::call(
                *member,
                "PUT",
                "/config",
                &json,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match answer.map(|answer| answer.status()) {
                Ok(200) => return Ok(()),
                Ok(400..=499) => return Err("the configuration was refused".to_owned()),
                _ if Instant::now() > until => {
                    return Err("the configuration is not acknowledged".to_owned());
                }
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
        Err("there are no members".to_owned())
    }

    /// Waits until every gateway says that it is ready.
    pub fn wait_ready(&self) -> Result<(), Unable> {
        let until = Instant::now() + Duration::from_secs(20);
        for ready in &self.ready {
            loop {
                let answer = http::call(*ready, "GET", "/ready", &[], b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("the gateway at {ready} does not get ready"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// The processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.processes.iter_mut().filter_map(|process| {
            let status = process.child.try_wait().ok().flatten()?;
            Some(format!("{} {status}", process.name))
        });
        ended.collect()
    }
}
