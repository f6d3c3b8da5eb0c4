//! Streams cut into whole events.

use latchmount::gateway::events::EventSplitter;
use rstest::rstest;

#[rstest]
#[case::one_event("id: 1\ndata: x\n\n", 1)]
#[case::in_single_bytes("id: 1\ndata: x\n\nid: 2\ndata: y\n\n", 2)]
#[case::with_carriage_returns("id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n", 2)]
fn streams_are_cut_into_whole_events(#[case] text: &str, #[case] last: u32) {
    for piece in [1, 2, 3, 7, 1_000] {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            let whole = splitter.push(bytes).expect("short events");
            assert!(whole.is_empty() || whole.ends_with(b"\n\n") || whole.ends_with(b"\n\r\n"));
            passed.extend(whole);
        }
        assert_eq!(passed, text.as_bytes(), "in pieces of {piece}");
        assert_eq!(splitter.last_id(), Some(last.to_string().as_str()));
        assert!(splitter.at_boundary());
    }
}

#[test]
fn an_event_that_did_not_become_whole_is_never_passed_on() {
    let mut splitter = EventSplitter::default();
    let whole = splitter.push(b"id: 1\ndata: x\n\nid: 2\ndata").expect("short");
    assert_eq!(&whole[..], b"id: 1\ndata: x\n\n");
    assert!(!splitter.at_boundary());
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.drop_partial();
    assert_eq!(&splitter.push(b"id: 2\n\n").expect("short")[..], b"id: 2\n\n");
}
