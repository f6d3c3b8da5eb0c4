//! Ways to treat a crowd that takes all connections of a listener, compared in virtual time. With `--nocapture` the test
//! prints its results in the form used in docs/design/crowds.md.

use std::collections::VecDeque;
use std::time::Duration;

use latchmount::serving::ledger::{Admission, Bounds, BufferLedger, ClientId, WaitFor};

const BOUNDS: Bounds =
    Bounds { max_bytes: usize::MAX, max_connections: 128, min_wait: Duration::from_secs(1) };
/// Time between two looks at the queue of new connections.
const STEP: Duration = Duration::from_millis(20);
/// Connections that can be closed for others in that time, each after the one before: a millisecond each.
const CLOSED_PER_STEP: usize = 20;
const LENGTH: Duration = Duration::from_secs(60);
/// Clients of the crowd, which send nothing.
const CROWD: usize = 400;
/// After this time at rest a connection is closed in any case.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// An ordinary client arrives at each so many steps, and its request takes so long.
const ORDINARY_EVERY: u64 = 5;
const REQUEST_TIME: Duration = Duration::from_millis(60);
/// An ordinary client gives up after this time.
const PATIENCE: Duration = Duration::from_secs(4);

/// What happens to a new connection when all are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It waits until a connection ends by itself.
    Wait,
    /// It is refused.
    RefuseNewest,
    /// The one that has kept the process waiting for longest is closed for it.
    CloseLongest,
}

/// A client that wants to be let in.
#[derive(Clone, Copy, Debug)]
enum Visitor {
    Crowd,
    Ordinary { since: Duration },
}

/// A connection that was let in, and when it ends.
struct Open {
    id: ClientId,
    ends: Duration,
    crowd: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    refused: usize,
    gave_up: usize,
    longest_wait: Duration,
}

/// Plays a crowd whose clients come back as soon as they are closed, if `returns`.
fn play(way: Way, returns: bool) -> Outcome {
    let mut ledger = BufferLedger::new(BOUNDS);
    let mut queue: VecDeque<Visitor> = (0..CROWD).map(|_| Visitor::Crowd).collect();
    let mut open: Vec<Open> = Vec::new();
    let mut outcome = Outcome::default();
    for step in 0.. {
        let now = STEP * step as u32;
        if now >= LENGTH {
            return outcome;
        }
        if step % ORDINARY_EVERY == 0 {
            queue.push_back(Visitor::Ordinary { since: now });
        }
        let (ended, left): (Vec<Open>, Vec<Open>) =
            open.into_iter().partition(|open| open.ends <= now);
        open = left;
        for ended in ended {
            ledger.close(ended.id);
            if ended.crowd && returns {
                queue.push_back(Visitor::Crowd);
            }
        }
        admit_all(way, now, &mut ledger, &mut queue, &mut open, returns, &mut outcome);
    }
    outcome
}

/// Lets in all that can be let in at this step.
fn admit_all(
    way: Way,
    now: Duration,
    ledger: &mut BufferLedger,
    queue: &mut VecDeque<Visitor>,
    open: &mut Vec<Open>,
    returns: bool,
    outcome: &mut Outcome,
) {
    let mut closed = 0;
    // A visitor that is refused and comes back is not let in again in the same step.
    for _ in 0..queue.len() + CLOSED_PER_STEP {
        let Some(visitor) = queue.pop_front() else {
            return;
        };
        if let Visitor::Ordinary { since } = visitor
            && now - since > PATIENCE
        {
            outcome.gave_up += 1;
            continue;
        }
        let full = ledger.connections() >= BOUNDS.max_connections;
        let admission = match way {
            Way::CloseLongest => ledger.admit(now, 0),
            Way::Wait | Way::RefuseNewest if full => Admission::Full,
            Way::Wait | Way::RefuseNewest => ledger.admit(now, 0),
        };
        match (admission, way, visitor) {
            (Admission::Admitted(id), _, Visitor::Crowd) => {
                open.push(Open { id, ends: now + IDLE_TIMEOUT, crowd: true });
            }
            (Admission::Admitted(id), _, Visitor::Ordinary { since }) => {
                ledger.stop_waiting(id, WaitFor::Request);
                open.push(Open { id, ends: now + REQUEST_TIME, crowd: false });
                outcome.served += 1;
                outcome.longest_wait = outcome.longest_wait.max(now - since);
            }
            (_, Way::RefuseNewest, Visitor::Ordinary { .. }) => outcome.refused += 1,
            (_, Way::RefuseNewest, Visitor::Crowd) => queue.push_back(visitor),
            (Admission::Pending(closing), ..) => {
                queue.push_front(visitor);
                open.retain(|open| !closing.contains(&open.id));
                for id in closing {
                    ledger.close(id);
                    queue.extend(returns.then_some(Visitor::Crowd));
                }
                closed += 1;
                if closed == CLOSED_PER_STEP {
                    return;
                }
            }
            (Admission::Full, ..) => {
                queue.push_front(visitor);
                return;
            }
        }
    }
}

#[test]
fn ordinary_clients_get_in_past_a_crowd_that_takes_all_connections() {
    for returns in [false, true] {
        for way in [Way::Wait, Way::RefuseNewest, Way::CloseLongest] {
            let outcome = play(way, returns);
            let all = outcome.served + outcome.refused + outcome.gave_up;
            println!(
                "| {way:?}, comes back: {returns} | {} of {all} | {} | {} | {:.1} |",
                outcome.served,
                outcome.refused,
                outcome.gave_up,
                outcome.longest_wait.as_secs_f64()
            );
            if way == Way::CloseLongest {
                assert_eq!(outcome.gave_up + outcome.refused, 0, "{outcome:?}");
            }
        }
    }
}
