//! `latchmount check`: the example files are valid, and every fault of a bad file is reported with its line.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use latchmount::jsonc;
use latchmount::settings::Settings;
use latchmount::targets::{Listing, Serves};
use latchmount::template::Template;
use rstest::rstest;

fn check(file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_latchmount"));
    command.arg("check").arg(file).output().expect("the binary")
}

fn files(partner: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(partner);
    let entries = std::fs::read_dir(folder).expect("a folder of examples");
    entries.map(|entry| entry.expect("an entry").path()).collect()
}

fn read<T: serde::de::DeserializeOwned + jsonc::Validate>(file: &Path) -> Option<T> {
    jsonc::from_str(&std::fs::read_to_string(file).expect("a file")).ok()
}

#[rstest]
#[case("portwell", 4, 4)]
#[case("trinacria", 3, 3)]
fn the_examples_are_sound_and_of_todays_size(
    #[case] partner: &str,
    #[case] halls: usize,
    #[case] services: usize,
) {
    let (lists, files): (Vec<_>, Vec<_>) =
        files(partner).into_iter().partition(|file| file.ends_with("platform-list.json"));
    for file in &files {
        let out = check(file);
        assert!(out.status.success(), "{}: {:?}", file.display(), out);
    }
    let settings: Vec<Settings> = files.iter().filter_map(|file| read(file)).collect();
    assert_eq!(settings.len(), 8);
    let found: BTreeSet<_> = settings.iter().map(|settings| &settings.data_hall).collect();
    assert_eq!(found.len(), halls);
    for hall in found {
        let members = settings.iter().filter(|host| host.control.is_some());
        assert!(
            members.filter(|host| host.data_hall == *hall).count() < 3,
            "{hall} has more than two members"
        );
    }
    let templates: Vec<Template> = files.iter().filter_map(|file| read(file)).collect();
    assert_eq!(templates.iter().map(|template| template.teams.len()).sum::<usize>(), 10);
    let list = std::fs::read_to_string(&lists[0]).expect("a list");
    let list: Listing = serde_json::from_str(&list).expect("a list of targets");
    let engines = list.targets.iter().filter(|target| matches!(target.serves, Serves::Models(_)));
    assert_eq!(engines.count(), 20);
    assert_eq!(list.targets.len(), 20 + services);
}

#[rstest]
#[case("settings", &[
    "line 3: data_hall: must be given",
    "line 4: key: must have at least 16 bytes",
    "line 5: platform_url: must be a URL",
    "line 8: router.control[1]: 10.0.0.1:7000 is listed twice",
    "line 9: router.load_bound: must be 1 to 10",
    "line 10: router.list_pol_ms: unknown field",
    "line 11: router.default_deadline_ms: invalid type",
    "line 12: router.retry_percent: must be 0 to 100",
    "line 15: control.listen: invalid socket address",
    "line 16: control.peers: must name at least one address",
    "line 17: control.data_dir: must name a folder",
    "line 19: control.operators[0].token_sha256: must be the SHA-256",
    "line 21: control.freshness_lease_ms: must be at least twice",
])]
#[case("template", &[
    "line 2: name: must be given",
    "line 4: priority: must be 0 to 9",
    "line 5: repeatable.chat: invalid type",
    "line 6: teams: shares add up to 230 %",
    "line 7: teams.agents.share_percent: must be above 0 and at most 100",
    "line 8: teams.checkers.shares: unknown field",
    "version: must be given",
])]
#[case("broken", &["line 3: "])]
#[case("gateway", &[
    "line 6: load_bound: must be at least 1",
    "line 7: without[1]: unknown variant `luck`",
])]
fn every_fault_is_named_with_its_line(#[case] name: &str, #[case] expected: &[&str]) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/data/bad-{name}.json"));
    let out = check(&file);
    assert_eq!(out.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&out.stderr).into_owned();
    for fault in expected {
        assert!(errors.contains(fault), "{fault:?} is missing from\n{errors}");
    }
    assert_eq!(errors.lines().count(), expected.len(), "more faults than expected:\n{errors}");
}

#[rstest]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["launch"], 2)]
#[case::missing_file(&["check", "no-such-file.json"], 1)]
#[case::missing_settings(&["router", "--settings", "no-such-file.json"], 1)]
#[case::help(&["--help"], 0)]
fn exit_codes_are_as_documented(#[case] args: &[&str], #[case] code: i32) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_latchmount"));
    let out = command.args(args).output().expect("the binary");
    assert_eq!(out.status.code(), Some(code), "{out:?}");
}

#[rstest]
#[case::a_buffer_above_the_clients_memory(
    r#"{"host": "g", "listen": "127.0.0.1:8080", "members": ["10.0.0.1:8229"], "peer_port": 7340,
        "memory_mb": 32, "client_buffer_kb": 16384}"#,
    "client_buffer_kb"
)]
#[case::a_member_with_too_little_memory(
    r#"{"host": "m", "listen": "127.0.0.1:8229", "seeds": ["127.0.0.1:8229"], "peer_port": 7340,
        "data_dir": "data", "memory_mb": 32}"#,
    "memory_mb"
)]
#[case::a_body_above_the_clients_memory(
    r#"{"host": "h", "data_hall": "a", "partner": "p", "key": "a secret of many bytes",
        "platform_url": "http://127.0.0.1:1", "router": {"listen": "127.0.0.1:8080",
        "control": ["127.0.0.1:7000"], "memory_mb": 64, "max_body_kib": 32768}}"#,
    "router.max_body_kib"
)]
fn limits_that_do_not_fit_together_are_refused(#[case] settings: &str, #[case] field: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.json");
    std::fs::write(&file, settings).expect("a file");
    let out = check(&file);
    let report = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{report}");
    assert_eq!(report.lines().count(), 1, "{report}");
    assert!(report.contains(field), "{report}");
}
