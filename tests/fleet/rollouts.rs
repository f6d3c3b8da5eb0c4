//! Roll-outs: a good version replaces the old one, and a bad one is rolled back at all gateways, also if members fail
//! meanwhile.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::harness::pauses::{PausePlan, Paused};
use crate::harness::{CallResponse, Fleet, Process, call, eventually, field};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

/// Share of the requests that an unproven version may get; large, because these fleets serve few requests.
const EXPOSE_SHARE: f64 = 0.6;
/// Clients that send requests without a pause.
const CLIENTS: usize = 12;

/// A fleet with two targets of the first version.
async fn fleet(members: usize, gateways: usize) -> (Fleet, Vec<Standin>) {
    let mut fleet = Fleet::prepare(members, gateways);
    for member in &mut fleet.members {
        member.set("expose_share", json!(EXPOSE_SHARE));
    }
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.wait_for_leader().await;
    let mut old = Vec::new();
    for id in ["old-1", "old-2"] {
        old.push(Standin::start(id, "s", fleet.api_addrs()).await);
    }
    fleet.configure(&configuration(1)).await;
    for gateway in 0..gateways {
        fleet.wait_for_targets(gateway, 2).await;
    }
    (fleet, old)
}

/// Starts two targets of another version.
async fn start_new_targets(
    fleet: &Fleet,
    version: &'static str,
    behaviour: Behaviour,
) -> Vec<Standin> {
    let mut new = Vec::new();
    for id in ["new-1", "new-2"] {
        let mut standin = Standin::start(id, "s", Vec::new()).await.with_version(version);
        standin.behave(behaviour);
        standin.start_heartbeats(fleet.api_addrs());
        new.push(standin);
    }
    new
}

async fn start_rollout(
    fleet: &Fleet,
    member: usize,
    version: &str,
    duration_s: f64,
) -> CallResponse {
    let order = json!({ "service": "s", "target-version": version, "duration-s": duration_s });
    eventually("the member accepts or refuses the roll-out", async || {
        let answer = call(fleet.api_addr(member), "POST", "/rollouts", &order.to_string()).await?;
        (answer.status != 503).then_some(answer)
    })
    .await
}

/// Waits until a member reports that the roll-out is in this state.
async fn wait_for_state(fleet: &Fleet, member: usize, state: &str) {
    eventually(&format!("the roll-out is {state}"), async || {
        let answer = call(fleet.api_addr(member), "GET", "/rollouts/s", "").await?;
        let reported: Value = serde_json::from_str(&answer.body).ok()?;
        (reported["state"] == state).then_some(())
    })
    .await;
}

/// A request that was not served, though no target of the new version answered it.
struct Lost {
    id: String,
    front: SocketAddr,
    took: Duration,
    /// Status and body of the refusal, or the error of the connection.
    outcome: String,
}

/// Clients that send requests to the gateways in turn until they are stopped.
struct Clients {
    tasks: JoinSet<()>,
    stop: Arc<AtomicBool>,
    lost: Arc<Mutex<Vec<Lost>>>,
}

impl Clients {
    fn start(fronts: Vec<SocketAddr>, path: &'static str) -> Self {
        let (stop, lost) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<Lost>>>::default());
        let mut tasks = JoinSet::new();
        for client_number in 0..CLIENTS {
            let (stop, lost, fronts) = (stop.clone(), lost.clone(), fronts.clone());
            tasks.spawn(async move {
                let client = reqwest::Client::new();
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let front = fronts[(client_number + number) % fronts.len()];
                    let (id, sent_at) = (format!("r-{client_number}-{number}"), Instant::now());
                    if let Err(outcome) = send_request(&client, front, path, &id).await {
                        let took = sent_at.elapsed();
                        lost.lock().expect("no panic").push(Lost { id, front, took, outcome });
                    }
                }
            });
        }
        Clients { tasks, stop, lost }
    }

    /// Stops the clients and asserts that no request was lost; a failure shows the outcome and the gateways' log lines of
    /// each lost request.
    async fn stop_without_loss(mut self, fleet: &Fleet) {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        let lost = std::mem::take(&mut *self.lost.lock().expect("no panic"));
        let reports = lost.iter().map(|Lost { id, front, took, outcome }| {
            format!("{id} at {front} after {took:?}: {outcome}\n{}", fleet.log_lines_of(id))
        });
        let reports: Vec<String> = reports.collect();
        assert!(lost.is_empty(), "{} requests were lost:\n{}", lost.len(), reports.join("\n"));
    }
}

/// Sends a request; fails unless the status is 200 or a target of the new version answered.
async fn send_request(
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

fn count_arrivals(standins: &[Standin]) -> usize {
    standins.iter().map(|standin| standin.arrivals().len()).sum()
}

#[tokio::test]
async fn a_good_version_gets_all_and_then_nothing_reaches_the_old_one() {
    let (fleet, old) = fleet(3, 2).await;
    assert_eq!(start_rollout(&fleet, 1, "v2", 20.0).await.status, 200);
    let new = start_new_targets(&fleet, "v2", Behaviour::Answer).await;
    let clients = Clients::start(vec![fleet.gateway_addr(0), fleet.gateway_addr(1)], "/unsafe/x");
    wait_for_state(&fleet, 0, "completed").await;
    for gateway in &fleet.gateways {
        wait_for_rollouts(gateway, "s:v2:completed:1").await;
    }
    let old_before = count_arrivals(&old);
    assert!(old_before > 0);
    let new_before = count_arrivals(&new);
    eventually("the new version serves", async || {
        (count_arrivals(&new) > new_before + 50).then_some(())
    })
    .await;
    assert_eq!(count_arrivals(&old), old_before);
    clients.stop_without_loss(&fleet).await;
    let log: String = fleet.members.iter().map(Process::log).collect();
    assert!(log.lines().any(|line| field(line, "event") == Some("rollout_step")));
}

/// Waits until the newest log line of a process about roll-outs shows `rollouts`.
async fn wait_for_rollouts(process: &Process, rollouts: &str) {
    eventually(&format!("{} logs rollouts={rollouts:?}", process.name), async || {
        let log = process.log();
        let mut newest_first = log.lines().rev();
        let last = newest_first.find(|line| field(line, "event") == Some("rollouts"))?;
        (field(last, "rollouts") == Some(rollouts)).then_some(())
    })
    .await;
}

/// A bad version must be rolled back at all eight gateways although a member crashes while it is under test.
#[rstest]
#[case::fails(Behaviour::Fail)]
#[case::slow(Behaviour::Slow(Duration::from_millis(400)))]
#[tokio::test]
async fn a_bad_version_is_rolled_back_everywhere_while_members_are_lost(
    #[case] behaviour: Behaviour,
) {
    rolled_back_while_members_are_lost(behaviour, None).await;
}

/// Guards against a gateway that is paused between choosing a target and sending the request, and then sends it to the
/// new version although it has received the roll-back.
#[rstest]
#[case(11)]
#[case(14)]
#[tokio::test]
async fn a_version_that_was_rolled_back_gets_nothing_from_gateways_that_were_paused(
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
    assert_eq!(start_rollout(&fleet, 2, "v2", 600.0).await.status, 200);
    let fronts = (0..8).map(|gateway| fleet.gateway_addr(gateway)).collect();
    let clients = Clients::start(fronts, "/unsafe/x");
    eventually("the old version serves", async || (count_arrivals(&old) > 100).then_some(())).await;
    let new = start_new_targets(&fleet, "v2", behaviour).await;
    eventually("the new version gets requests", async || (count_arrivals(&new) > 0).then_some(()))
        .await;
    fleet.members[0].kill();
    fleet.members[0].start();
    wait_for_state(&fleet, 1, "rolled_back").await;
    for gateway in &fleet.gateways {
        wait_for_rollouts(gateway, "s:v2:rolled_back:0").await;
    }
    let new_before = count_arrivals(&new);
    let old_before = count_arrivals(&old);
    eventually("the old version serves", async || {
        (count_arrivals(&old) > old_before + 200).then_some(())
    })
    .await;
    assert_eq!(count_arrivals(&new), new_before);
    clients.stop_without_loss(&fleet).await;
    // A gateway that restarts now receives the roll-back before the targets.
    fleet.gateways[3].kill();
    fleet.gateways[3].start();
    eventually("the restarted gateway serves", async || {
        let answer =
            ClientRequest::new("/safe/x", "r-again").send(fleet.gateway_addr(3)).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    for round in 0..30 {
        ClientRequest::new("/safe/x", &format!("r-{round}"))
            .send(fleet.gateway_addr(3))
            .await
            .expect("an answer");
    }
    assert_eq!(count_arrivals(&new), new_before);
}

/// Guards against a gateway that says that it goes by a roll-back while requests that it sent before are still on their
/// way to the version.
#[tokio::test]
async fn a_gateway_reports_a_roll_back_once_nothing_is_on_its_way_to_the_version() {
    let (fleet, _old) = fleet(1, 1).await;
    assert_eq!(start_rollout(&fleet, 0, "v2", 600.0).await.status, 200);
    let slow = Behaviour::Slow(Duration::from_millis(1_500));
    let new = start_new_targets(&fleet, "v2", slow).await;
    let clients = Clients::start(vec![fleet.gateway_addr(0)], "/unsafe/x");
    eventually("the new version gets requests", async || (count_arrivals(&new) > 0).then_some(()))
        .await;
    let answer = call(fleet.api_addr(0), "DELETE", "/rollouts/s", "").await;
    assert_eq!(answer.expect("an answer").status, 200);
    wait_for_rollouts(&fleet.gateways[0], "s:v2:rolled_back:0").await;
    let answered = new.iter().map(Standin::answers).sum::<usize>();
    assert_eq!(answered, count_arrivals(&new));
    clients.stop_without_loss(&fleet).await;
}

#[tokio::test]
async fn an_order_survives_a_crash_of_all_members_and_may_be_repeated() {
    let (mut fleet, _old) = fleet(3, 1).await;
    assert_eq!(start_rollout(&fleet, 0, "v2", 900.0).await.status, 200);
    assert_eq!(start_rollout(&fleet, 1, "v2", 900.0).await.status, 200);
    let other = start_rollout(&fleet, 2, "v3", 900.0).await;
    assert_eq!(other.status, 409, "{other:?}");
    assert!(other.body.contains("service"), "{other:?}");
    fleet.members.iter_mut().for_each(Process::kill);
    fleet.members.iter_mut().for_each(Process::start);
    let reported = eventually("a member reports the roll-out", async || {
        let answer = call(fleet.api_addr(1), "GET", "/rollouts/s", "").await?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    let reported: Value = serde_json::from_str(&reported.body).expect("JSON");
    assert_eq!(reported, json!({ "state": "running", "target-version": "v2" }));
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
    let answer = call(fleet.api_addr(0), "POST", "/rollouts", &order.to_string()).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.body.contains(path), "{answer:?}");
}

#[tokio::test]
async fn operators_start_show_list_and_withdraw_roll_outs() {
    let (fleet, _old) = fleet(1, 0).await;
    let door = fleet.api_addr(0).to_string();
    let run = async |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_latchmount"));
        command.arg("rollout").args(args).args(["--dialect", "platform", "--member", &door]);
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
    let reported: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(reported, json!({ "state": "running", "target-version": "v2" }));
    let (code, text) = run(&["start", "--within-s", "0", "s", "v3"]).await;
    assert_eq!(code, Some(2), "{text}");
    let (code, text) = run(&["withdraw", "s"]).await;
    assert_eq!((code, text.trim()), (Some(0), "s is rolled back"));
    let (code, text) = run(&["list"]).await;
    assert_eq!(code, Some(0));
    let listed: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(listed["rollouts"][0]["stage"], "rolled_back", "{text}");
}
