//! Splitting of a server-sent event stream into complete events.

use latchmount::gateway::events::EventSplitter;
use rstest::rstest;

#[rstest]
#[case::one_event("id: 1\ndata: x\n\n", 1)]
#[case::in_single_bytes("id: 1\ndata: x\n\nid: 2\ndata: y\n\n", 2)]
#[case::with_carriage_returns("id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n", 2)]
fn streams_are_cut_into_whole_events(#[case] text: &str, #[case] last: u32) {
    for piece in [1, 2, 3, 7, 1_000] {
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            let complete = splitter.push(bytes).expect("events below the size limit");
            assert!(
                complete.is_empty() || complete.ends_with(b"\n\n") || complete.ends_with(b"\n\r\n")
            );
            forwarded.extend(complete);
        }
        assert_eq!(forwarded, text.as_bytes(), "in pieces of {piece}");
        assert_eq!(splitter.last_id(), Some(last.to_string().as_str()));
        assert!(splitter.at_boundary());
    }
}

#[test]
fn an_incomplete_event_is_never_forwarded() {
    let mut splitter = EventSplitter::default();
    let complete = splitter.push(b"id: 1\ndata: x\n\nid: 2\ndata").expect("below the size limit");
    assert_eq!(&complete[..], b"id: 1\ndata: x\n\n");
    assert!(!splitter.at_boundary());
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.drop_partial();
    assert_eq!(&splitter.push(b"id: 2\n\n").expect("below the size limit")[..], b"id: 2\n\n");
}
