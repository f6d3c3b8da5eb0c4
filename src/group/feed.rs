//! Serves gateways that follow this member: hears what they tell, and sends them their news.

use slog::info;
use tokio::sync::mpsc;

use super::Shared;
use super::evacuation::evacuations_version;
use super::message::{Subscription, ToMember};
use super::prefix_holders::ReportedBy;
use super::propagation::Connection;
use super::push::{Push, Word};
use crate::link::{FrameReceiver, FrameSender, LinkError};
use crate::sync::lock;

/// Words of a gateway about parcels that wait to be taken note of; it has one on its way at a time.
const WORDS_LEN: usize = 16;

/// Serves one gateway until its connection ends.
pub(super) async fn serve(
    shared: &Shared,
    subscription: Subscription,
    sender: FrameSender,
    mut receiver: FrameReceiver,
) -> Result<(), LinkError> {
    let gateway = subscription.gateway.clone();
    lock(&shared.presence).connect(&gateway);
    lock(&shared.gateways_behind).connect(&gateway, subscription.knows);
    let connection =
        lock(&shared.propagation).connect(shared.now(), &gateway, subscription.version);
    let obeys = evacuations_version(subscription.evacuations);
    let obeying = lock(&shared.orders_propagation).connect(shared.now(), &gateway, obeys);
    let (words, waiting) = mpsc::channel(WORDS_LEN);
    let closed = async {
        loop {
            let now = shared.now();
            match receiver.receive().await? {
                ToMember::Loads { loads, outcomes, keepers, tallies } => {
                    lock(&shared.load_totals).record_gateway(now, &gateway, loads);
                    lock(&shared.evidence).record_gateway(now, &gateway, &outcomes);
                    lock(&shared.prefix_holders).record(now, ReportedBy::Gateway, &keepers);
                    lock(&shared.rollouts).record_gateway(&tallies);
                }
                ToMember::Poison(word) => shared.record_gateway_poison(&gateway, word)?,
                ToMember::InForce(version) => note_in_force(shared, connection, version),
                ToMember::Obeys(revision) => shared.record_evacuations_in_force(obeying, revision),
                ToMember::Has(parcel) => tell(&words, Word::Has(parcel)).await?,
                ToMember::Lacks(parcel) => tell(&words, Word::Lacks(parcel)).await?,
                _ => return Err(LinkError::Garbled),
            }
        }
    };
    let mut push = Push::new(shared, &subscription, sender);
    let ended = tokio::select! {
        ended = push.run(waiting) => ended,
        ended = closed => ended,
    };
    push.close();
    let now = shared.now();
    lock(&shared.presence).disconnect(shared.run_clock.ran(), &gateway);
    lock(&shared.gateways_behind).disconnect(now, &gateway);
    lock(&shared.load_totals).forget_gateway(&gateway);
    lock(&shared.propagation).disconnect(connection);
    lock(&shared.orders_propagation).disconnect(obeying);
    shared.log_evacuations_everywhere();
    tell_everywhere(shared);
    ended
}

async fn tell(words: &mpsc::Sender<Word>, word: Word) -> Result<(), LinkError> {
    words.send(word).await.map_err(|_| LinkError::Closed)
}

/// The gateway tells which configuration it now works by.
fn note_in_force(shared: &Shared, connection: Connection, version: u64) {
    let waited = lock(&shared.propagation).in_force(shared.now(), connection, version);
    if let Some(waited) = waited {
        shared.metrics.in_force.observe(waited.as_secs_f64());
    }
    tell_everywhere(shared);
}

/// Logs configurations that have come to all gateways here, with the gateway that waited longest.
fn tell_everywhere(shared: &Shared) {
    let all = lock(&shared.propagation).take_everywhere();
    for everywhere in all {
        let last = everywhere.last.as_ref();
        info!(shared.log, "configuration at all gateways"; "event" => "configuration_everywhere",
            "version" => everywhere.version, "gateways" => everywhere.reached,
            "last" => last.map(|last| last.gateway.as_str()),
            "waited_ms" => last.map(|last| last.waited.as_millis() as u64));
    }
}
