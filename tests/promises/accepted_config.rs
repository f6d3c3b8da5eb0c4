//! An accepted configuration reaches every router within seconds and is never reverted.

use std::collections::BTreeSet;
use std::time::Duration;

use latchmount::rpc::{ControlClient, ControlError, Newcomer, Status, SyncRequest, connect};
use latchmount::store::{Answer, Drain};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{Fleet, FleetOptions, KEY, TOKEN, eventually, template, text, word_after};

/// Long enough that delays on a busy machine do not let the lease expire; only a lost quorum does.
const LONG_LEASE_MS: u64 = 19_000;
/// For tests that wait until the lease expires.
const SHORT_LEASE_MS: u64 = 2_500;

fn group_options(controls: u16, lease_ms: u64) -> FleetOptions {
    FleetOptions {
        controls,
        control: json!({ "freshness_lease_ms": lease_ms, "compact_after_entries": 4 }),
        ..FleetOptions::default()
    }
}

/// The usual template with this model version, so that engines must load another model.
fn template_with_version(text: &str) -> Value {
    let mut template = template();
    template["version"] = json!(text);
    template
}

async fn status(fleet: &Fleet) -> Status {
    eventually("a leader answers", async || {
        let out = fleet.operator(&["status", "--json"]);
        serde_json::from_slice(&out.stdout).ok()
    })
    .await
}

/// Number of the control member that is the leader.
pub async fn leader(fleet: &Fleet) -> usize {
    let status = status(fleet).await;
    let members = status.members.iter().map(|status| status.member);
    let mut leader = members.filter(|member| member.id == status.leader);
    let addr = leader.next().expect("the leader is a member").addr;
    (0..5).find(|number| fleet.control_addr(*number) == addr).expect("a known address") as usize
}

/// Revises the template, repeatedly until the change is accepted; returns the new version.
async fn revise(fleet: &Fleet, base: u64, id: &str) -> u64 {
    revise_to(fleet, base, id, &template_with_version(id)).await
}

pub async fn revise_to(fleet: &Fleet, base: u64, id: &str, template: &Value) -> u64 {
    let file = fleet.template_file(template);
    let base = base.to_string();
    eventually("the revision is answered", async || {
        let out =
            fleet.operator(&["template", "revise", "--base", &base, "--change-id", id, &file]);
        let accepted = out.status.success().then(|| text(&out.stdout));
        accepted.and_then(|line| word_after(&line, "version").parse().ok())
    })
    .await
}

/// Waits until the router has at least this revision; its revision must not decrease meanwhile.
async fn wait_for_revision(fleet: &Fleet, router: usize, revision: u64) {
    let mut newest = 0.0;
    eventually("the router catches up", async || {
        let current = fleet.metric(router, "latchmount_config_revision", "").await;
        assert!(current >= newest, "router {router} went back from {newest} to {current}");
        newest = current;
        (current >= revision as f64).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_leaders_loses_no_accepted_change_and_stops_no_router() {
    let mut fleet = Fleet::start_configured(group_options(5, LONG_LEASE_MS)).await;
    let mut at = 1;
    for round in 0..4 {
        let leader = leader(&fleet).await;
        let next = revise(&fleet, at, &format!("before-{round}")).await;
        assert_eq!(next, at + 1);
        fleet.controls[leader].kill();
        let health = fleet.http.get(format!("{}/healthz", fleet.router_url(0))).send().await;
        assert_eq!(health.expect("an answer").status(), 200, "an election stopped a router");
        at = revise(&fleet, next, &format!("after-{round}")).await;
        assert_eq!(at, next + 1);
        fleet.controls[leader] = fleet.start_control(leader as u16);
    }
    let revision = status(&fleet).await.revision;
    wait_for_revision(&fleet, 0, revision).await;
    wait_for_revision(&fleet, 1, revision).await;
    let history = text(&fleet.operator(&["template", "history", "disputes"]).stdout);
    assert_eq!(history.lines().count() as u64, at, "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_two_members_stops_neither_changes_nor_routers() {
    let mut fleet = Fleet::start_configured(group_options(5, LONG_LEASE_MS)).await;
    let leader = leader(&fleet).await;
    fleet.controls[leader].kill();
    fleet.controls[(leader + 1) % 5].kill();
    assert_eq!(revise(&fleet, 1, "with-three").await, 2);
    let revision = status(&fleet).await.revision;
    wait_for_revision(&fleet, 0, revision).await;
    let waited = fleet.operator(&["template", "wait", &revision.to_string()]);
    assert!(waited.status.success(), "{}", text(&waited.stderr));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_that_wakes_serves_nothing_old() {
    let fleet = Fleet::start_configured(group_options(3, LONG_LEASE_MS)).await;
    let old = leader(&fleet).await;
    fleet.controls[old].signal(Signal::SIGSTOP);
    assert_eq!(revise(&fleet, 1, "while-frozen").await, 2);
    let revision = status(&fleet).await.revision;
    wait_for_revision(&fleet, 0, revision).await;
    fleet.controls[old].signal(Signal::SIGCONT);
    assert_serves_only(&fleet, old, "while-frozen").await;
    wait_for_revision(&fleet, 1, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_cut_off_without_notice_serves_nothing_old() {
    let fleet = Fleet::start_configured(group_options(3, LONG_LEASE_MS)).await;
    let old = leader(&fleet).await;
    fleet.links[old].cut(true);
    assert_eq!(revise(&fleet, 1, "while-cut").await, 2);
    for change in 2..6 {
        revise(&fleet, change, &format!("while-cut-{change}")).await;
    }
    fleet.links[old].cut(false);
    assert_serves_only(&fleet, old, "while-cut-5").await;
    let revision = status(&fleet).await.revision;
    wait_for_revision(&fleet, 0, revision).await;
    wait_for_revision(&fleet, 1, revision).await;
}

/// Reads the templates from one member 100 times: each answer must be an error (as from a member that
/// is not the leader) or contain the newest version.
async fn assert_serves_only(fleet: &Fleet, member: usize, newest: &str) {
    let client = connect(fleet.control_addr(member as u16), Duration::from_secs(5)).unwrap();
    for _ in 0..100 {
        if let Ok(templates) = client.templates(TOKEN.into()).await {
            assert_eq!(templates[0].template.version, newest, "an old version was served");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_reaches_only_a_stale_member_admits_nothing() {
    let mut fleet = Fleet::start_configured(group_options(3, LONG_LEASE_MS)).await;
    let stale = (leader(&fleet).await + 1) % 3;
    fleet.routers[0].kill();
    let text = std::fs::read_to_string(&fleet.routers[0].settings).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    // Cutting the link keeps the other members from reaching the stale one; the router connects to it directly.
    let direct = format!("{}", fleet.control_addr(stale as u16)).replace(":90", ":70");
    settings["router"]["control"] = json!([direct]);
    fleet.links[stale].cut(true);
    revise(&fleet, 1, "unseen").await;
    fleet.routers[0] = fleet.restart_with("router-0", "router", &settings);
    let refused =
        eventually("the router answers", async || fleet.call(0, "stale", &[]).await.ok()).await;
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    let body: Value = refused.json().await.unwrap();
    assert_eq!(body["error"]["code"], "stale_config");
    assert_eq!(body["error"]["not_run"], true);
    assert_eq!(fleet.service.runs("stale"), 0);
    fleet.links[stale].cut(false);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_routers_stop_admitting_when_their_lease_ends_and_go_on_after() {
    let fleet = Fleet::start_configured(group_options(3, SHORT_LEASE_MS)).await;
    for control in &fleet.controls {
        control.signal(Signal::SIGSTOP);
    }
    let refused = eventually("the lease ends", async || {
        let answer = fleet.call(0, "no-quorum", &[]).await.ok()?;
        (answer.status() == 503).then_some(answer)
    })
    .await;
    let ran_before = fleet.service.runs("no-quorum");
    let body: Value = refused.json().await.unwrap();
    assert_eq!(body["error"]["code"], "stale_config");
    let health = fleet.http.get(format!("{}/healthz", fleet.router_url(0))).send().await.unwrap();
    assert_eq!(health.status(), 503);
    for _ in 0..5 {
        fleet.call(0, "no-quorum", &[]).await.unwrap();
    }
    assert_eq!(fleet.service.runs("no-quorum"), ran_before, "a refused call ran");
    for control in &fleet.controls {
        control.signal(Signal::SIGCONT);
    }
    fleet.wait_until_serving().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_exactly_one_wins_each_version() {
    let fleet = Fleet::start_configured(group_options(3, LONG_LEASE_MS)).await;
    const OPERATORS: u64 = 8;
    for base in 1..4 {
        let changes = (0..OPERATORS).map(|operator| {
            let id = format!("race-{base}-{operator}");
            let change = json!({ "id": id, "base": base, "template": template_with_version(&id) });
            change_at_any_member(&fleet, operator, change)
        });
        let answers = futures_util::future::join_all(changes).await;
        let won = answers.iter().filter(|answer| matches!(answer, Answer::Accepted { .. })).count();
        assert_eq!(won, 1, "{answers:?}");
        let lost =
            answers.iter().filter(|answer| **answer == Answer::Conflict { in_force: base + 1 });
        assert_eq!(lost.count() as u64, OPERATORS - 1, "{answers:?}");
    }
    let file = fleet.template_file(&template_with_version("late"));
    let late = fleet.operator(&["template", "revise", "--base", "1", &file]);
    assert_eq!(late.status.code(), Some(3));
    assert!(text(&late.stderr).contains("version 4 is in force"), "{}", text(&late.stderr));
}

/// Sends a change to the members in turn, starting after `first`, until one answers.
async fn change_at_any_member(fleet: &Fleet, first: u64, change: Value) -> Answer {
    let mut member = first;
    eventually("the change is answered", async || {
        member += 1;
        let addr = fleet.control_addr((member % fleet.controls.len() as u64) as u16);
        let client = connect(addr, Duration::from_secs(5)).ok()?;
        client.change(TOKEN.into(), change.clone()).await.ok()
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_change_gets_its_first_answer_after_failover_restart_and_snapshot() {
    let mut fleet = Fleet::start_configured(group_options(3, LONG_LEASE_MS)).await;
    let accepted =
        json!({ "id": "resent", "base": 1, "template": template_with_version("resent") });
    let conflicting =
        json!({ "id": "beaten", "base": 1, "template": template_with_version("beaten") });
    let first = change_at_any_member(&fleet, 0, accepted.clone()).await;
    assert!(matches!(first, Answer::Accepted { version: 2, .. }), "{first:?}");
    let conflict = change_at_any_member(&fleet, 0, conflicting.clone()).await;
    assert_eq!(conflict, Answer::Conflict { in_force: 2 });
    // More changes than the log keeps, so that it is compacted into a snapshot.
    for base in 2..30 {
        revise(&fleet, base, &format!("more-{base}")).await;
    }
    let old = leader(&fleet).await;
    fleet.controls[old].kill();
    assert_eq!(change_at_any_member(&fleet, 1, accepted.clone()).await, first, "after failover");
    for number in 0..3 {
        fleet.controls[number].kill();
        fleet.controls[number] = fleet.start_control(number as u16);
    }
    assert_eq!(change_at_any_member(&fleet, 2, accepted).await, first, "after restart");
    assert_eq!(change_at_any_member(&fleet, 2, conflicting).await, conflict, "after restart");
    let other = json!({ "id": "resent", "base": 30, "template": template_with_version("other") });
    assert_eq!(change_at_any_member(&fleet, 0, other).await, Answer::IdReused);
}

/// The usual template with a priority that depends on `text`. Engines need no other model for it.
fn template_with_priority(text: &str) -> Value {
    let mut template = template();
    template["priority"] = json!(text.bytes().map(u64::from).sum::<u64>() % 10);
    template
}

/// The group's history of the template, which must consist of the versions 1 to `last`.
async fn history_of_versions(fleet: &Fleet, last: u64) -> String {
    let history = text(&fleet.operator(&["template", "history", "disputes"]).stdout);
    let versions = history.lines().filter_map(|line| word_after(line, "version").parse().ok());
    let versions: Vec<u64> = versions.collect();
    assert_eq!(versions, (1..=last).collect::<Vec<u64>>(), "{history}");
    history
}

/// Guards against a member that lost its disk being counted in a majority before it has caught up, by which accepted
/// changes could be lost. A change of the model version moves engines to other models, and each move has a revision of
/// its own; without moves the revision must not change.
#[rstest]
#[case::nothing_moves(template_with_priority, false)]
#[case::engines_move(template_with_version, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_member_with_a_lost_disk_counts_again_only_when_caught_up_and_a_second_loss_is_borne(
    #[case] changed_template: fn(&str) -> Value,
    #[case] moves: bool,
) {
    let mut fleet = Fleet::start_configured(group_options(3, LONG_LEASE_MS)).await;
    for base in 1..40 {
        let id = format!("change-{base}");
        revise_to(&fleet, base, &id, &changed_template(&id)).await;
    }
    let history = history_of_versions(&fleet, 40).await;
    let before = status(&fleet).await;
    let first = leader(&fleet).await;
    let second = (first + 1) % 3;
    for lost in [first, second] {
        let old = store_ids_at(&status(&fleet).await, &fleet, lost);
        fleet.controls[lost].kill();
        std::fs::remove_dir_all(fleet.data_dir(lost as u16)).expect("a data folder");
        fleet.controls[lost] = fleet.start_control(lost as u16);
        eventually("the member is a voter again, under a new store id", async || {
            let status = status(&fleet).await;
            let new = store_ids_at(&status, &fleet, lost);
            let voters = status.members.iter().filter(|status| {
                status.member.kind == latchmount::raft::Standing::Voter && status.live
            });
            (new != old && voters.count() == 3 && status.members.len() == 3).then_some(())
        })
        .await;
    }
    let after = status(&fleet).await;
    assert_eq!(history_of_versions(&fleet, 40).await, history, "an accepted change is lost");
    assert!(history.contains("change-39"), "{history}");
    let logged = (0..3).map(|number| logged_moves(&fleet, number)).collect::<String>();
    assert!(after.revision >= before.revision, "the revision went back");
    if !moves {
        assert_eq!(after.revision, before.revision, "something changed; moves:\n{logged}");
        assert_eq!(logged, "", "an engine moved");
    }
    assert_eq!(revise(&fleet, 40, "goes-on").await, 41);
}

/// The log lines of a control member about engines that it moved to other models.
fn logged_moves(fleet: &Fleet, number: usize) -> String {
    let name = format!("control-{number}");
    let log = fleet.read_log(&name);
    let moves = log.lines().filter(|line| line.contains("event=mov"));
    moves.map(|line| format!("{name}: {line}\n")).collect()
}

/// Store ids that the group lists at the address of member `number`.
fn store_ids_at(
    status: &Status,
    fleet: &Fleet,
    number: usize,
) -> BTreeSet<latchmount::raft::StoreId> {
    let addr = fleet.control_addr(number as u16);
    let members = status.members.iter().map(|status| status.member);
    members.filter(|member| member.addr == addr).map(|member| member.id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_token_or_key_learns_and_changes_nothing() {
    let fleet = Fleet::start_configured(group_options(1, LONG_LEASE_MS)).await;
    let before = status(&fleet).await.revision;
    let client = connect(fleet.control_addr(0), Duration::from_secs(5)).unwrap();
    let wrong = || String::from("another partner's");
    let drain = Drain { name: "engine-0".into(), on: true };
    let request = SyncRequest {
        router: "foreign".into(),
        addr: None,
        routers_known: 0,
        group: Default::default(),
        known: 0,
        wait_ms: 0,
        report: Default::default(),
    };
    let change =
        json!({ "id": "foreign", "base": 1, "template": template_with_version("foreign") });
    let newcomer =
        Newcomer { store: latchmount::raft::StoreId(1), addr: ([127, 0, 0, 1], 1).into() };
    let errors = [
        client.change(wrong(), change).await.err(),
        client.drain(wrong(), drain).await.err(),
        client.templates(wrong()).await.err(),
        client.wait(wrong(), 1, 1).await.err(),
        client.status(wrong()).await.err(),
        client.form(wrong()).await.err(),
        client.sync(wrong(), request).await.err(),
        client.identify(wrong()).await.err(),
        client.deliver(wrong(), newcomer.addr, Vec::new()).await.err(),
        client.join(wrong(), newcomer).await.err(),
        // An operator's token is not accepted in calls between hosts, nor the hosts' key in operators' calls.
        client.identify(TOKEN.into()).await.err(),
        client.templates(KEY.into()).await.err(),
    ];
    for error in errors {
        let error = error.map(ControlError::from);
        assert_eq!(error, Some(ControlError::Unauthorized));
    }
    assert_eq!(status(&fleet).await.revision, before);
    std::fs::write(fleet.folder.path().join("token"), wrong()).unwrap();
    assert_eq!(fleet.operator(&["template", "list"]).status.code(), Some(4));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_content_is_refused_by_field_and_never_enters_the_log() {
    let fleet = Fleet::start_configured(group_options(1, LONG_LEASE_MS)).await;
    let commit = status(&fleet).await.commit;
    let mut bad = template();
    bad["teams"]["agents"]["share_percent"] = json!(140);
    bad["priority"] = json!(70);
    bad["modle"] = json!("m7");
    let file = fleet.template_file(&bad);
    let out = fleet.operator(&["template", "revise", "--base", "1", &file]);
    assert_eq!(out.status.code(), Some(2));
    let errors = text(&out.stderr);
    for field in ["teams.agents.share_percent", "priority", "modle"] {
        assert!(errors.contains(field), "{field} is not named: {errors}");
    }
    let client = connect(fleet.control_addr(0), Duration::from_secs(5)).unwrap();
    let change = json!({ "id": "bad", "base": 1, "template": bad });
    let error = client.change(TOKEN.into(), change).await.map_err(ControlError::from);
    assert!(matches!(error, Err(ControlError::Invalid(_))), "{error:?}");
    assert_eq!(status(&fleet).await.commit, commit);
}

#[tokio::test(flavor = "multi_thread")]
async fn more_than_a_hundred_routers_are_served_at_once() {
    let fleet = Fleet::start_configured(group_options(1, LONG_LEASE_MS)).await;
    let syncs = (0..200).map(|router| {
        let client = connect(fleet.control_addr(0), Duration::from_secs(30)).unwrap();
        let request = SyncRequest {
            router: format!("router-{router}"),
            addr: None,
            routers_known: 0,
            group: Default::default(),
            known: 1_000_000,
            wait_ms: 2_000,
            report: Default::default(),
        };
        async move { client.sync(KEY.into(), request).await }
    });
    for reply in futures_util::future::join_all(syncs).await {
        reply.expect("an answer to each router");
    }
}
