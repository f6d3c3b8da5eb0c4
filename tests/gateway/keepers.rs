//! Who keeps a prompt, as gateways tell each other by way of members.

use std::collections::HashSet;
use std::time::Duration;

use latchmount::gateway::balance::{Affinity, is_expected_holder};
use latchmount::gateway::prefix_holders::PrefixHolders;
use latchmount::group::loads::LoadKey;
use latchmount::group::prefix_holders::{
    MAX_HOLDERS_PER_MESSAGE, PrefixHolder, PrefixHolderLog, PromptKey, ReadPosition, ReportedBy,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeds;

const GATEWAYS: usize = 65;
const MEMBERS: usize = 5;
const TARGETS: u64 = 112;
const PROMPTS: u64 = 467;
/// Between two words of anybody, in milliseconds.
const WORD_MS: u64 = 100;
/// Requests with a dear prompt, a second, and how long they are played, in seconds.
const A_SECOND: u64 = 118;
const LASTS: u64 = 30;
/// Part of them that does not find room at the prompt's first home.
const LEAVES: f64 = 0.15;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn keeper(prompt: u64, target: u64) -> PrefixHolder {
    PrefixHolder { prompt: PromptKey::of(prompt << 40), target: LoadKey::of(target << 40) }
}

fn targets(keepers: &PrefixHolders, now: Duration, prompt: u64) -> Vec<LoadKey> {
    keepers.of(now, PromptKey::of(prompt << 40)).collect()
}

/// Readers that ask at any time get everything once and in order, as long as they ask within the time that
/// it is held, however much they get at a time.
#[test]
fn every_reader_is_told_everything_once() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut board = PrefixHolderLog::default();
    let mut readers =
        [(ReadPosition::default(), Vec::new()), (ReadPosition::default(), Vec::new())];
    let mut members = (ReadPosition::default(), Vec::new());
    let (mut all, mut here) = (Vec::new(), Vec::new());
    for step in 0..2_000_u64 {
        let now = ms(step * 50);
        if rng.random_bool(0.5) {
            let by = if rng.random_bool(0.5) { ReportedBy::Gateway } else { ReportedBy::Member };
            let word = vec![keeper(step, rng.random_range(0..TARGETS))];
            board.record(now, by, &word);
            all.extend(&word);
            if by == ReportedBy::Gateway {
                here.extend(&word);
            }
        }
        let reader = &mut readers[rng.random_range(0..2)];
        let word = board.next_for_gateway(now, &mut reader.0);
        assert!(word.len() <= MAX_HOLDERS_PER_MESSAGE, "seed {seed}");
        reader.1.extend(word);
        members.1.extend(board.next_for_members(now, &mut members.0));
    }
    for (told, heard) in &mut readers {
        heard.extend(board.next_for_gateway(ms(100_000), told));
        assert_eq!(*heard, all, "seed {seed}");
    }
    assert_eq!(members.1, here, "seed {seed}");
}

#[test]
fn a_board_holds_a_bounded_number_for_a_bounded_time_and_nothing_twice() {
    let mut board = PrefixHolderLog::default();
    for prompt in 0..5_000 {
        board.record(ms(prompt / 10), ReportedBy::Gateway, &[keeper(prompt, 1), keeper(prompt, 1)]);
    }
    let told = &mut ReadPosition::default();
    let words = std::iter::repeat_with(|| board.next_for_gateway(ms(500), told));
    let heard: Vec<PrefixHolder> = words.take_while(|word| !word.is_empty()).flatten().collect();
    assert!(heard.len() <= 1_024, "{}", heard.len());
    assert_eq!(heard.last(), Some(&keeper(4_999, 1)));
    assert_eq!(board.next_for_gateway(ms(60_000), &mut ReadPosition::default()), []);
}

#[test]
fn what_is_known_is_told_again_only_after_a_while_and_forgotten_after_longer() {
    let mut keepers = PrefixHolders::default();
    keepers.note_prompt_read(ms(0), keeper(1, 7));
    assert_eq!(keepers.take_pending(), [keeper(1, 7)]);
    keepers.note_prompt_read(ms(5_000), keeper(1, 7));
    assert_eq!(keepers.take_pending(), [], "others know");
    keepers.note_prompt_read(ms(11_000), keeper(1, 7));
    assert_eq!(keepers.take_pending(), [keeper(1, 7)], "it is still kept");
    assert_eq!(targets(&keepers, ms(30_000), 1), [keeper(1, 7).target]);
    assert_eq!(targets(&keepers, ms(31_000), 1), []);
}

#[test]
fn the_newest_keepers_of_a_prompt_come_first_and_are_few() {
    let mut keepers = PrefixHolders::default();
    for target in [1, 2, 3, 4, 2] {
        keepers.record(ms(target), &[keeper(9, target)]);
    }
    let expected: Vec<LoadKey> = [2, 4, 3].map(|target| keeper(9, target).target).into();
    assert_eq!(targets(&keepers, ms(10), 9), expected);
    assert_eq!(targets(&keepers, ms(10), 8), []);
}

/// A gateway that says the wrong thing about everything fills no more than its part of a word, and a member's and a
/// gateway's memory stay bounded.
#[test]
fn a_liar_is_bounded() {
    let (mut board, mut keepers) = (PrefixHolderLog::default(), PrefixHolders::default());
    let lies: Vec<PrefixHolder> = (0..100_000).map(|prompt| keeper(prompt, 3)).collect();
    board.record(ms(0), ReportedBy::Gateway, &lies);
    let told = &mut ReadPosition::default();
    assert_eq!(board.next_for_gateway(ms(1), told).len(), MAX_HOLDERS_PER_MESSAGE);
    assert_eq!(board.next_for_gateway(ms(1), told).len(), 0);
    lies.iter().for_each(|lie| keepers.note_prompt_read(ms(0), *lie));
    assert_eq!(keepers.take_pending().len(), MAX_HOLDERS_PER_MESSAGE);
    let known = (0..100_000).filter(|prompt| !targets(&keepers, ms(1), *prompt).is_empty());
    assert!(known.count() <= 8_192);
}

/// The first home by the order of an affinity is the same whoever asks, and is expected by all.
#[test]
fn exactly_one_home_is_expected_to_keep_an_affinity() {
    for hash in 0..200 {
        let affinity = Affinity { hash, tokens: 5_000 };
        let homes = || (0..20).map(Some).chain([None]);
        let expected = homes().filter(|home| is_expected_holder(*home, homes(), affinity)).count();
        assert_eq!(expected, 1, "{hash}");
    }
}

/// A fleet whose requests leave the first home now and then: of those that meet a target which does not keep their
/// prompt, though another does, how many name one that does.
struct Play {
    misses: u32,
    named: u32,
}

fn play(seed: u64, tells: bool) -> Play {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gateways: Vec<PrefixHolders> =
        (0..GATEWAYS).map(|_| PrefixHolders::default()).collect();
    let mut boards: Vec<PrefixHolderLog> =
        (0..MEMBERS).map(|_| PrefixHolderLog::default()).collect();
    let mut told_gateways = vec![ReadPosition::default(); GATEWAYS];
    let mut told_members = [ReadPosition::default(); MEMBERS];
    let mut kept: HashSet<(u64, u64)> = HashSet::new();
    let mut played = Play { misses: 0, named: 0 };
    for at in (0..LASTS * 1_000).step_by(WORD_MS as usize) {
        let now = ms(at);
        for _ in 0..A_SECOND * WORD_MS / 1_000 {
            let (prompt, gateway) = (rng.random_range(0..PROMPTS), rng.random_range(0..GATEWAYS));
            let first = prompt % TARGETS;
            let away = rng.random_bool(LEAVES);
            let target = if away { rng.random_range(0..TARGETS) } else { first };
            let keeps = kept.contains(&(prompt, target));
            let others = kept.iter().any(|(p, t)| *p == prompt && *t != target);
            if !keeps && others {
                let told = targets(&gateways[gateway], now, prompt);
                let named = told.first().copied().unwrap_or(keeper(prompt, first).target);
                let right = (0..TARGETS)
                    .any(|t| kept.contains(&(prompt, t)) && keeper(0, t).target == named);
                played.misses += 1;
                played.named += u32::from(right);
            }
            kept.insert((prompt, target));
            if target != first && tells {
                gateways[gateway].note_prompt_read(now, keeper(prompt, target));
            }
        }
        for (gateway, keepers) in gateways.iter_mut().enumerate() {
            boards[gateway % MEMBERS].record(now, ReportedBy::Gateway, &keepers.take_pending());
        }
        for member in 0..MEMBERS {
            let word = boards[member].next_for_members(now, &mut told_members[member]);
            for other in (0..MEMBERS).filter(|other| *other != member) {
                boards[other].record(now, ReportedBy::Member, &word);
            }
        }
        for (gateway, keepers) in gateways.iter_mut().enumerate() {
            let board = &mut boards[gateway % MEMBERS];
            keepers.record(now, &board.next_for_gateway(now, &mut told_gateways[gateway]));
        }
    }
    played
}

/// Prompts are read anew where the one that is named to fetch from does not keep them. The likely keeper, the first
/// home, has often not been asked yet.
#[test]
fn told_keepers_are_named_rightly_where_likely_ones_are_not() {
    let seed = seeds::seed();
    let (guessing, telling) = (play(seed, false), play(seed, true));
    println!("guessing {} of {}", guessing.named, guessing.misses);
    println!("telling {} of {}", telling.named, telling.misses);
    assert!(telling.named * 100 > telling.misses * 97);
    assert!(guessing.named * 100 < guessing.misses * 90);
}
