//! What targets say of themselves in their answers, in logs and metrics.

use rstest::rstest;

use crate::doors::configuration;
use crate::harness::{Fleet, eventually, field};
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

#[rstest]
#[case::leaving(Behaviour::Answer, ("server-leaving", "1"), "target_leaving", "told_by_members", "false")]
#[case::rest(Behaviour::TurnAway, ("retry-after", "2.5"), "target_rests", "rest", "In(2.5s)")]
#[case::unread(Behaviour::Answer, ("server-mood", "good"), "unread_header", "name", "server-mood")]
#[tokio::test]
async fn a_word_of_a_target_stands_in_the_log(
    #[case] behaviour: Behaviour,
    #[case] header: (&'static str, &'static str),
    #[case] event: &str,
    #[case] name: &str,
    #[case] told: &str,
) {
    let fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.doors()).await;
    target.behave(behaviour);
    target.say(header.0, header.1);
    fleet.configure(&configuration(1)).await;
    fleet.knows_targets(0, 1).await;
    let answer =
        ClientRequest::new("/unsafe/x", "r-1").send(fleet.front(0)).await.expect("an answer");
    if behaviour == Behaviour::Answer {
        assert_eq!(answer.header(header.0), Some(header.1), "it is passed on");
    }
    let line = eventually("the word is logged", async || {
        let log = fleet.gateways[0].log();
        let mut lines = log.lines().filter(|line| field(line, "event") == Some(event));
        lines.next().map(str::to_owned)
    })
    .await;
    assert_eq!(field(&line, name), Some(told), "{line}");
    assert_eq!(field(&line, "target"), Some("i-1"), "{line}");
}
