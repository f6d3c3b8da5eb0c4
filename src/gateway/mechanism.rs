//! Mechanisms of the gateway that can be turned off one by one, to measure the effect of each.

use serde::{Deserialize, Serialize};

/// A mechanism that the setting `without` can turn off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Hash affinities to homes (hash slots that a target's successor takes over) instead of to target identities.
    Homes,
    /// Limit each target's load to a multiple of the mean load.
    LoadBound,
    /// When a home is full, divert requests that share few prompt tokens with others before those that share many.
    CheapFirst,
    /// Let targets fetch the cached parts of a prompt that they lack from the likely prefix holder.
    Fetch,
    /// Exchange among gateways which targets hold a prompt prefix, where that is not the expected target.
    Keepers,
    /// Let targets fetch prompt parts from targets in an evacuated data hall and, once the hall is back in use, from
    /// the targets that replaced them.
    FetchOut,
    /// Eject failing and unreachable targets for a while.
    Pauses,
    /// Judge a target's failures relative to those of the other targets.
    Peers,
    /// Take into account the failures of targets that other gateways observed.
    Evidence,
    /// Send an idempotent request to another target when its target stalls.
    Silence,
    /// Use the load of all gateways as reported by the members.
    MemberLoads,
    /// Use the load that targets report in their answers.
    TargetLoads,
    /// Use the slowdown that targets report in their answers.
    TargetStrain,
    /// Prefer targets in the gateway's own data hall for requests without affinity.
    Near,
    /// Let requests that arrive before the first configuration wait for it.
    FirstNewsWait,
    /// Ask all members at once for the first configuration, instead of one after the other.
    Race,
    /// Send requests through a peer gateway while their targets can't be reached from here.
    ViaPeer,
    /// Relay large blobs of updates between peer gateways.
    PassOn,
    /// Leave a part of the retry budget unused.
    BudgetCaution,
}
