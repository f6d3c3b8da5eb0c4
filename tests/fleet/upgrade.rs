//! Compatibility of builds: this build reads the disks of earlier ones, and both work together in one fleet.

use std::path::PathBuf;

use rstest::rstest;

use crate::harness::{Fleet, call, eventually, this_build};
use crate::member_api::configuration;
use crate::standin::Standin;

/// Folder with the disk of a member of an earlier build, and the last configuration that the member had acknowledged.
fn disk(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/disks").join(name)
}

// One disk per format that earlier builds wrote; the configuration on each has version 3.
#[rstest]
#[case::format_3("format-3")]
#[case::format_3_with_a_snapshot("format-3-snapshot")]
#[case::format_5("format-5")]
#[case::format_5_with_a_snapshot("format-5-snapshot")]
#[case::format_6("format-6")]
#[case::format_6_with_a_snapshot("format-6-snapshot")]
#[tokio::test]
async fn what_an_earlier_build_acknowledged_is_served_by_this_one(#[case] name: &str) {
    let acknowledged = std::fs::read_to_string(disk(name).join("config.json")).expect("a disk");
    let mut fleet = Fleet::prepare(1, 1);
    fleet.members[0].copy_data_from(&disk(name));
    fleet.members[0].start();
    fleet.gateways[0].start();
    let read = eventually("the configuration is read back", async || {
        assert!(!fleet.members[0].has_exited(), "the member ended: {}", fleet.members[0].log());
        let answer = call(fleet.api_addr(0), "GET", "/config", "").await?;
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(read.await.body, acknowledged);
    fleet.wait_for_configuration(0, 3).await;
    fleet.configure(&configuration(4)).await;
}

/// The binary of an earlier build, for runs by hand; CI has none.
fn earlier_build() -> PathBuf {
    let path = std::env::var_os("LATCHMOUNT_EARLIER");
    path.expect("LATCHMOUNT_EARLIER names the binary of an earlier build").into()
}

/// The order in which processes are replaced.
#[derive(Clone, Copy, Debug)]
enum Order {
    MembersFirst,
    GatewaysFirst,
}

/// Submits a configuration with this version, and waits until every member returns it and every gateway applies it.
async fn configure_everywhere(fleet: &Fleet, version: u64, step: &str) {
    let writer = version as usize % fleet.members.len();
    fleet.submit(writer, &configuration(version)).await;
    for reader in 0..fleet.members.len() {
        let what = format!("{step}: read back");
        let read = eventually(&what, async || {
            let answer = call(fleet.api_addr(reader), "GET", "/config", "").await?;
            (answer.status == 200).then_some(answer.body)
        });
        assert_eq!(read.await, configuration(version).to_string(), "{step}, member {reader}");
    }
    for gateway in 0..fleet.gateways.len() {
        fleet.wait_for_configuration(gateway, version).await;
        fleet.wait_for_targets(gateway, 1).await;
    }
}

#[rstest]
#[case::members_first(Order::MembersFirst)]
#[case::gateways_first(Order::GatewaysFirst)]
#[tokio::test]
#[ignore = "needs LATCHMOUNT_EARLIER, the binary of an earlier build"]
async fn builds_side_by_side_hold_what_was_acknowledged_also_on_the_way_back(#[case] order: Order) {
    let earlier = earlier_build();
    let mut fleet = Fleet::prepare(3, 2);
    for process in fleet.members.iter_mut().chain(&mut fleet.gateways) {
        process.use_build(&earlier);
        process.start();
    }
    fleet.wait_for_leader().await;
    let _target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    let mut version = 1;
    configure_everywhere(&fleet, version, "before").await;
    let (members, gateways) = (fleet.members.len(), fleet.gateways.len());
    let indices: Vec<usize> = match order {
        Order::MembersFirst => (0..members + gateways).collect(),
        Order::GatewaysFirst => (members..members + gateways).chain(0..members).collect(),
    };
    // Upgrades all processes but the last, downgrades them again, and then upgrades all.
    let all_but_last = &indices[..indices.len() - 1];
    let upgrades = all_but_last.iter().map(|index| (*index, this_build()));
    let downgrades = all_but_last.iter().map(|index| (*index, earlier.clone()));
    let final_upgrades = indices.iter().map(|index| (*index, this_build()));
    for (index, build) in upgrades.chain(downgrades).chain(final_upgrades) {
        let processes = fleet.members.iter_mut().chain(&mut fleet.gateways);
        let process = processes.into_iter().nth(index).expect("one of them");
        process.kill();
        process.use_build(&build);
        process.start();
        version += 1;
        configure_everywhere(&fleet, version, &format!("{index} runs {}", build.display())).await;
    }
    eventually("the level is raised", async || {
        fleet.members.iter().any(|member| member.log().contains("level_raised")).then_some(())
    })
    .await;
    configure_everywhere(&fleet, version + 1, "after the level was raised").await;
}
