//! The HTTP API of members: calls of operators (configurations) and of targets (heartbeats).

use rstest::rstest;
use serde_json::{Value, json};

use crate::harness::{Fleet, call, eventually};

/// A configuration with a route of each kind on the host `h.example`, all to the service `s`.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "h.example", "path-prefix": format!("/{name}/"),
            "route-type": kind, "timeout-ms": 4_000, "goal-ms": 300, "priority": 0,
            "service": "s", "max-attempts": attempts, "public": false,
            "sticky": name == "sticky",
            "resumable": resumable, "gap-aim-ms": 200,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", 3, false),
            route("unsafe", "unsafe", 1, false),
            route("retried", "unsafe", 2, false),
            route("stream", "streaming", 1, false),
            route("sticky", "streaming", 1, false),
            route("resumable", "streaming", 3, true),
        ],
        "services": [{"name": "s", "health-path": "/health", "max-conns": 100,
            "engine": {"slots": 8, "moves": true}}],
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 10_000,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "tenant-a", "api-keys": ["key-a"], "priority": 1}],
    })
}

#[tokio::test]
async fn a_configuration_accepted_by_any_member_is_read_back_byte_for_byte_at_every_member() {
    let fleet = Fleet::start(3, 0).await;
    for (member, version) in [(0, 3), (1, 5), (2, 9)] {
        let text = format!("\n {}  ", configuration(version));
        eventually("acknowledged", async || {
            let answer = call(fleet.api_addr(member), "PUT", "/config", &text).await?;
            (answer.status == 200).then_some(())
        })
        .await;
        for reader in 0..3 {
            let read = eventually("readable", async || {
                let answer = call(fleet.api_addr(reader), "GET", "/config", "").await?;
                (answer.status == 200).then_some(answer)
            });
            assert_eq!(read.await.body, text, "version {version} at member {reader}");
        }
    }
}

#[tokio::test]
async fn a_version_not_above_the_held_one_is_acknowledged_and_changes_nothing() {
    let fleet = Fleet::start(3, 0).await;
    fleet.submit(0, &configuration(7)).await;
    for version in [7, 6] {
        let mut other = configuration(version);
        other["routes"] = json!([]);
        let answer = call(fleet.api_addr(1), "PUT", "/config", &other.to_string()).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let read = call(fleet.api_addr(2), "GET", "/config", "").await.expect("an answer");
    assert_eq!(read.body, configuration(7).to_string());
}

#[rstest]
#[case::cut_short(r#"{"version":9,"routes":["#, "routes")]
#[case::a_byte_order_mark("\u{feff}{}", "")]
#[case::no_version(r#"{"routes":[],"services":[]}"#, "")]
#[case::a_wrong_type(r#"{"version":9,"routes":[{"name":4}],"services":[]}"#, "routes[0].name")]
#[tokio::test]
async fn a_configuration_that_can_t_be_read_is_refused(#[case] text: &str, #[case] path: &str) {
    let fleet = Fleet::start(1, 0).await;
    let answer = call(fleet.api_addr(0), "PUT", "/config", text).await.expect("an answer");
    assert_eq!(answer.status, 400, "{answer:?}");
    let body: Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(body["faults"][0]["path"], path, "{}", answer.body);
    assert!(!body["faults"][0]["message"].as_str().unwrap_or("").is_empty());
}

#[tokio::test]
async fn every_invalid_configuration_is_refused_naming_the_field_and_nothing_changes() {
    let fleet = Fleet::start(3, 0).await;
    fleet.submit(0, &configuration(2)).await;
    let with = |change: fn(&mut Value)| {
        let mut changed = configuration(8);
        change(&mut changed);
        changed.to_string()
    };
    let cases = [
        (with(|changed| changed["routes"][0]["service"] = json!("nobody")), "routes[0].service"),
        (
            with(|changed| changed["routes"][1]["path-prefix"] = json!("/safe/")),
            "routes[1].path-prefix",
        ),
        (with(|changed| changed["routes"][0]["timeout-ms"] = json!(0)), "routes[0].timeout-ms"),
        (
            with(|changed| {
                changed["routes"][0]["service"] = Value::Null;
                changed["routes"][0]["traffic-split"] = json!([{"service": "s", "weight": 0}]);
            }),
            "routes[0].service",
        ),
        (
            with(|changed| {
                let tenants = changed["tenants"].as_array_mut().expect("a list");
                tenants.push(json!({"name": "tenant-b", "api-keys": ["key-a"]}));
            }),
            "tenants[1].api-keys",
        ),
        (
            with(|changed| changed["services"][0]["cold-per-s"] = json!(-13)),
            "services[0].cold-per-s",
        ),
        (
            with(|changed| changed["services"][0]["cold-start-s"] = json!(-1.5)),
            "services[0].cold-start-s",
        ),
        (
            with(|changed| changed["services"][0]["cold-start-s"] = json!(1e30)),
            "services[0].cold-start-s",
        ),
        (
            with(|changed| changed["services"][0]["cold-per-s"] = json!("many")),
            "services[0].cold-per-s",
        ),
    ];
    for (text, path) in cases {
        let answer = call(fleet.api_addr(1), "PUT", "/config", &text).await.expect("an answer");
        assert_eq!(answer.status, 400, "{text}");
        let body: Value = serde_json::from_str(&answer.body).expect("JSON");
        assert_eq!(body["faults"][0]["path"], path, "{}", answer.body);
    }
    let read = call(fleet.api_addr(2), "GET", "/config", "").await.expect("an answer");
    assert_eq!(read.body, configuration(2).to_string());
}

#[rstest]
#[case::no_json("x", "")]
#[case::no_service(r#"{"address":"127.0.0.1:1","state":"ready","sequence":1}"#, "")]
#[case::empty_service(
    r#"{"service":"","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"ready","cold-left-ms":0,
        "sequence":1}"#,
    "service"
)]
#[case::bad_address(r#"{"service":"s","address":"here","state":"ready","sequence":1}"#, "address")]
#[case::bad_state(
    r#"{"service":"s","address":"127.0.0.1:1","state":"silent","sequence":1}"#,
    "state"
)]
#[tokio::test]
async fn a_faulty_heartbeat_is_refused_naming_the_field(#[case] text: &str, #[case] path: &str) {
    let fleet = Fleet::start(1, 0).await;
    let answer = call(fleet.api_addr(0), "PUT", "/instances/i-1", text).await.expect("an answer");
    assert_eq!(answer.status, 400, "{answer:?}");
    let body: Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(body["faults"][0]["path"], path, "{}", answer.body);
}

#[tokio::test]
async fn a_heartbeat_is_answered_with_the_leader_s_address_and_unknown_calls_with_404() {
    let fleet = Fleet::start(3, 0).await;
    let heartbeat = json!({"service": "s", "address": "127.0.0.1:9", "zone": "z", "version": "v1",
        "slots": 4, "state": "ready", "cold-left-ms": 0, "sequence": 1, "models": [{"name": "m"}]});
    for member in 0..3 {
        let text = heartbeat.to_string();
        let answer = call(fleet.api_addr(member), "PUT", "/instances/i-1", &text).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200);
        let body: Value = serde_json::from_str(&answer.body).expect("JSON");
        let next = body["heartbeat-addr"].as_str().expect("an address").parse();
        assert!(fleet.api_addrs().contains(&next.expect("an address")));
    }
    for (method, path) in [("GET", "/elsewhere"), ("POST", "/config"), ("PUT", "/instances/")] {
        let answer = call(fleet.api_addr(0), method, path, "").await.expect("an answer");
        assert_eq!(answer.status, 404, "{method} {path}");
    }
}
