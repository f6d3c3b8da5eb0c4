//! Roll-outs: good versions take the place of the old ones, bad ones are rolled back everywhere, whatever happens to
//! members meanwhile.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::doors::configuration;
use crate::harness::pauses::{PausePlan, Paused};
use crate::harness::{Called, Fleet, Process, call, eventually, field};
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

/// Part of the requests that a bad version may get here: large, since the fleets here serve few.
const EXPOSE_SHARE: f64 = 0.6;
/// Callers that ask without a pause.
const CALLERS: usize = 12;

/// A fleet with two targets of the first version.
async fn fleet(members: usize, gateways: usize) -> (Fleet, Vec<Standin>) {
    let mut fleet = Fleet::prepare(members, gateways);
    for member in &mut fleet.members {
        member.set("expose_share", json!(EXPOSE_SHARE));
    }
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.settled().await;
    let mut old = Vec::new();
    for id in ["old-1", "old-2"] {
        old.push(Standin::start(id, "s", fleet.doors()).await);
    }
    fleet.configure(&configuration(1)).await;
    for gateway in 0..gateways {
        fleet.knows_targets(gateway, 2).await;
    }
    (fleet, old)
}

/// Two targets of another version.
async fn newcomers(fleet: &Fleet, version: &'static str, behaviour: Behaviour) -> Vec<Standin> {
    let mut new = Vec::new();
    for id in ["new-1", "new-2"] {
        let mut standin = Standin::start(id, "s", Vec::new()).await.of_version(version);
        standin.behave(behaviour);
        standin.announce_at(fleet.doors());
        new.push(standin);
    }
    new
}

async fn start(fleet: &Fleet, member: usize, version: &str, duration_s: f64) -> Called {
    let order = json!({ "service": "s", "target-version": version, "duration-s": duration_s });
    eventually("the roll-out is answered", async || {
        let answer = call(fleet.door(member), "POST", "/rollouts", &order.to_string()).await?;
        (answer.status != 503).then_some(answer)
    })
    .await
}

/// Waits until a member says that the roll-out is in this state.
async fn reaches(fleet: &Fleet, member: usize, state: &str) {
    eventually(&format!("the roll-out is {state}"), async || {
        let answer = call(fleet.door(member), "GET", "/rollouts/s", "").await?;
        let told: Value = serde_json::from_str(&answer.body).ok()?;
        (told["state"] == state).then_some(())
    })
    .await;
}

/// A request that was not served, though not by the new version's fault.
struct Lost {
    id: String,
    front: SocketAddr,
    took: Duration,
    /// Status and body of the refusal, or why there was no answer.
    came: String,
}

/// Callers that ask all gateways until they are stopped.
struct Callers {
    tasks: JoinSet<()>,
    stop: Arc<AtomicBool>,
    lost: Arc<Mutex<Vec<Lost>>>,
}

impl Callers {
    fn start(fronts: Vec<SocketAddr>, path: &'static str) -> Self {
        let (stop, lost) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<Lost>>>::default());
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            let (stop, lost, fronts) = (stop.clone(), lost.clone(), fronts.clone());
            tasks.spawn(async move {
                let client = reqwest::Client::new();
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let front = fronts[(caller + number) % fronts.len()];
                    let (id, asked_at) = (format!("r-{caller}-{number}"), Instant::now());
                    if let Err(came) = ask(&client, front, path, &id).await {
                        let took = asked_at.elapsed();
                        lost.lock().expect("no panic").push(Lost { id, front, took, came });
                    }
                }
            });
        }
        Callers { tasks, stop, lost }
    }

    /// Stops them. No request may be lost; of each that was, this tells what came and what gateways logged.
    async fn stop_without_loss(mut self, fleet: &Fleet) {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        let lost = std::mem::take(&mut *self.lost.lock().expect("no panic"));
        let stories = lost.iter().map(|Lost { id, front, took, came }| {
            format!("{id} at {front} after {took:?}: {came}\n{}", fleet.logged_of(id))
        });
        let stories: Vec<String> = stories.collect();
        assert!(lost.is_empty(), "{} requests were lost:\n{}", lost.len(), stories.join("\n"));
    }
}

/// Asks; an error unless the answer is good or a target of the new version gave it.
async fn ask(
    client: &reqwest::Client,
    front: SocketAddr,
    path: &str,
    id: &str,
) -> Result<(), String> {
    let request = client
        .post(format!("http://{front}{path}"))
        .header("host", "h.example")
        .header("x-request-id", id)
        .header("x-credential", "key-a")
        .header("x-deadline-ms", "4000");
    let answer = request.send().await.map_err(|error| format!("{error:?}"))?;
    let stamp = answer.headers().get("x-server-stamp");
    let by_new = stamp.is_some_and(|stamp| stamp.as_bytes().starts_with(b"stamp-new"));
    let status = answer.status();
    if status == 200 || by_new {
        return Ok(());
    }
    Err(format!("{status}: {}", answer.text().await.unwrap_or_else(|error| format!("{error:?}"))))
}

fn asked(standins: &[Standin]) -> usize {
    standins.iter().map(|standin| standin.arrivals().len()).sum()
}

#[tokio::test]
async fn a_good_version_gets_all_and_then_nothing_reaches_the_old_one() {
    let (fleet, old) = fleet(3, 2).await;
    assert_eq!(start(&fleet, 1, "v2", 20.0).await.status, 200);
    let new = newcomers(&fleet, "v2", Behaviour::Answer).await;
    let callers = Callers::start(vec![fleet.front(0), fleet.front(1)], "/unsafe/x");
    reaches(&fleet, 0, "completed").await;
    for gateway in &fleet.gateways {
        knows(gateway, "s:v2:completed:1").await;
    }
    let before = asked(&old);
    assert!(before > 0);
    let at_new = asked(&new);
    eventually("the new version serves", async || (asked(&new) > at_new + 50).then_some(())).await;
    assert_eq!(asked(&old), before);
    callers.stop_without_loss(&fleet).await;
    let log: String = fleet.members.iter().map(Process::log).collect();
    assert!(log.lines().any(|line| field(line, "event") == Some("rollout_step")));
}

/// Waits until the last word of a process about roll-outs is this one.
async fn knows(process: &Process, rollouts: &str) {
    eventually(&format!("{} knows {rollouts:?}", process.name), async || {
        let log = process.log();
        let mut newest_first = log.lines().rev();
        let last = newest_first.find(|line| field(line, "event") == Some("rollouts"))?;
        (field(last, "rollouts") == Some(rollouts)).then_some(())
    })
    .await;
}

/// Eight gateways and three members, of which one is killed and one freezes while the version is found out.
#[rstest]
#[case::fails(Behaviour::Fail)]
#[case::slow(Behaviour::Slow(Duration::from_millis(400)))]
#[tokio::test]
async fn a_bad_version_is_rolled_back_everywhere_while_members_are_lost(
    #[case] behaviour: Behaviour,
) {
    rolled_back_while_members_are_lost(behaviour, None).await;
}

/// A request chosen before its gateway stood still reached the new version after that gateway knew of the roll-back.
#[rstest]
#[case(11)]
#[case(14)]
#[tokio::test]
async fn a_version_that_was_rolled_back_gets_nothing_from_gateways_that_stood_still(
    #[case] seed: u64,
) {
    let max_pause = Duration::from_millis(2_500);
    let plan = PausePlan { seed, paused: Paused::Gateways, max_pause };
    let slow = Behaviour::Slow(Duration::from_millis(400));
    rolled_back_while_members_are_lost(slow, Some(plan)).await;
}

async fn rolled_back_while_members_are_lost(behaviour: Behaviour, pauses: Option<PausePlan>) {
    let (mut fleet, old) = fleet(3, 8).await;
    pauses.into_iter().for_each(|plan| fleet.pause(plan));
    assert_eq!(start(&fleet, 2, "v2", 600.0).await.status, 200);
    let fronts = (0..8).map(|gateway| fleet.front(gateway)).collect();
    let callers = Callers::start(fronts, "/unsafe/x");
    eventually("the old version serves", async || (asked(&old) > 100).then_some(())).await;
    let new = newcomers(&fleet, "v2", behaviour).await;
    eventually("the new version is asked", async || (asked(&new) > 0).then_some(())).await;
    fleet.members[0].kill();
    fleet.members[0].start();
    reaches(&fleet, 1, "rolled_back").await;
    for gateway in &fleet.gateways {
        knows(gateway, "s:v2:rolled_back:0").await;
    }
    let at_new = asked(&new);
    let at_old = asked(&old);
    eventually("the old version serves", async || (asked(&old) > at_old + 200).then_some(())).await;
    assert_eq!(asked(&new), at_new);
    callers.stop_without_loss(&fleet).await;
    // A gateway that starts now knows of the roll-back before it knows of targets.
    fleet.gateways[3].kill();
    fleet.gateways[3].start();
    eventually("it serves again", async || {
        let answer = ClientRequest::new("/safe/x", "r-again").send(fleet.front(3)).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    for round in 0..30 {
        ClientRequest::new("/safe/x", &format!("r-{round}"))
            .send(fleet.front(3))
            .await
            .expect("an answer");
    }
    assert_eq!(asked(&new), at_new);
}

#[tokio::test]
async fn an_order_outlives_the_loss_of_all_processes_and_is_taken_again() {
    let (mut fleet, _old) = fleet(3, 1).await;
    assert_eq!(start(&fleet, 0, "v2", 900.0).await.status, 200);
    assert_eq!(start(&fleet, 1, "v2", 900.0).await.status, 200);
    let other = start(&fleet, 2, "v3", 900.0).await;
    assert_eq!(other.status, 409, "{other:?}");
    assert!(other.body.contains("service"), "{other:?}");
    fleet.members.iter_mut().for_each(Process::kill);
    fleet.members.iter_mut().for_each(Process::start);
    let told = eventually("a member tells", async || {
        let answer = call(fleet.door(1), "GET", "/rollouts/s", "").await?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    let told: Value = serde_json::from_str(&told.body).expect("JSON");
    assert_eq!(told, json!({ "state": "running", "target-version": "v2" }));
}

#[rstest]
#[case(json!({ "service": "nobody", "target-version": "v2", "duration-s": 12 }), 404, "service")]
#[case(json!({ "service": "s", "target-version": "", "duration-s": 12 }), 400, "target-version")]
#[case(json!({ "service": "s", "target-version": "v2", "duration-s": 0 }), 400, "duration-s")]
#[case(json!({ "service": "s", "duration-s": 12 }), 400, "target-version")]
#[tokio::test]
async fn a_faulty_order_is_refused_naming_the_field(
    #[case] order: Value,
    #[case] status: u16,
    #[case] path: &str,
) {
    let (fleet, _old) = fleet(1, 0).await;
    let answer = call(fleet.door(0), "POST", "/rollouts", &order.to_string()).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.body.contains(path), "{answer:?}");
}

#[tokio::test]
async fn operators_start_show_list_and_withdraw_roll_outs() {
    let (fleet, _old) = fleet(1, 0).await;
    let door = fleet.door(0).to_string();
    let run = async |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_latchmount"));
        command.arg("rollout").args(words).args(["--dialect", "platform", "--member", &door]);
        let run = tokio::task::spawn_blocking(move || command.output().expect("it starts"));
        let output = run.await.expect("no panic");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text + &String::from_utf8_lossy(&output.stderr))
    };
    let (code, text) = run(&["show", "s"]).await;
    assert_eq!(code, Some(2), "{text}");
    let (code, text) = run(&["start", "--within-s", "900", "s", "v2"]).await;
    assert_eq!((code, text.trim()), (Some(0), "s moves to v2"));
    let (code, text) = run(&["show", "s"]).await;
    assert_eq!(code, Some(0));
    let told: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(told, json!({ "state": "running", "target-version": "v2" }));
    let (code, text) = run(&["start", "--within-s", "0", "s", "v3"]).await;
    assert_eq!(code, Some(2), "{text}");
    let (code, text) = run(&["withdraw", "s"]).await;
    assert_eq!((code, text.trim()), (Some(0), "s is rolled back"));
    let (code, text) = run(&["list"]).await;
    assert_eq!(code, Some(0));
    let listed: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(listed["rollouts"][0]["stage"], "rolled_back", "{text}");
}
