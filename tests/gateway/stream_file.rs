//! Saved origins of streams: what is read back after a crash in the middle of a write, and how long it counts.

use latchmount::group::stream_file::{SavedOrigin, decode, encode};
use latchmount::group::stream_origins::{StreamKey, StreamOrigin, VersionKey};
use proptest::prelude::*;

/// Uptime of the machine when the origins are saved, in seconds.
const SAVED_AT_S: u64 = 100_000;

fn origin(number: u32, left_s: u16) -> StreamOrigin {
    let stream = StreamKey::of(None, &number.to_le_bytes());
    StreamOrigin { stream, version: VersionKey::of("s", "v1"), left_s }
}

fn batch(numbers: std::ops::Range<u32>) -> Vec<SavedOrigin> {
    numbers.map(|number| SavedOrigin::at(SAVED_AT_S, origin(number, 10))).collect()
}

proptest! {
    #[test]
    fn a_file_that_was_cut_or_damaged_yields_the_whole_batches_before(
        sizes in prop::collection::vec(0_u32..20, 1..8),
        at in any::<prop::sample::Index>(),
        damaged in any::<bool>(),
    ) {
        let mut bytes = Vec::new();
        let mut ends = Vec::new();
        for size in &sizes {
            bytes.extend(encode(&batch(0..*size)).expect("encoded"));
            ends.push(bytes.len());
        }
        let at = at.index(bytes.len());
        match damaged {
            true => bytes[at] ^= 0x10,
            false => bytes.truncate(at),
        }
        let (origins, unread) = decode(&bytes);
        let whole = ends.iter().take_while(|end| **end <= at).count();
        let expected: Vec<_> = sizes[..whole].iter().flat_map(|size| batch(0..*size)).collect();
        prop_assert_eq!(origins, expected);
        prop_assert_eq!(unread, bytes.len() - ends[..whole].last().copied().unwrap_or(0));
    }
}

#[test]
fn an_origin_counts_for_the_rest_of_its_time_or_anew_after_a_start_of_the_machine() {
    let saved = SavedOrigin::at(SAVED_AT_S, origin(1, 10));
    let left = |now_s| saved.restore(now_s).map(|origin| origin.left_s);
    assert_eq!(left(SAVED_AT_S), Some(10));
    assert_eq!(left(SAVED_AT_S + 7), Some(3));
    assert_eq!(left(SAVED_AT_S + 10), None);
    assert_eq!(left(SAVED_AT_S + 1_000), None);
    assert_eq!(left(5), Some(10), "the machine was started again");
}
