//! Headers in which targets report their state: each appears in the gateway's log.

use rstest::rstest;

use crate::harness::{Fleet, eventually, field};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

#[rstest]
#[case::leaving(Behaviour::Answer, ("server-leaving", "1"), "target_leaving", "told_by_members", "false")]
#[case::rest(Behaviour::NotRun, ("retry-after", "2.5"), "target_rests", "rest", "In(2.5s)")]
#[case::unread(Behaviour::Answer, ("server-mood", "good"), "unread_header", "name", "server-mood")]
#[tokio::test]
async fn a_state_header_of_a_target_is_logged(
    #[case] behaviour: Behaviour,
    #[case] header: (&'static str, &'static str),
    #[case] event: &str,
    #[case] key: &str,
    #[case] value: &str,
) {
    let fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    target.behave(behaviour);
    target.add_header(header.0, header.1);
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 1).await;
    let answer = ClientRequest::new("/unsafe/x", "r-1")
        .send(fleet.gateway_addr(0))
        .await
        .expect("an answer");
    if behaviour == Behaviour::Answer {
        assert_eq!(answer.header(header.0), Some(header.1), "the client gets the header too");
    }
    let line = eventually("the header is logged", async || {
        let log = fleet.gateways[0].log();
        let mut lines = log.lines().filter(|line| field(line, "event") == Some(event));
        lines.next().map(str::to_owned)
    })
    .await;
    assert_eq!(field(&line, key), Some(value), "{line}");
    assert_eq!(field(&line, "target"), Some("i-1"), "{line}");
}
