//! Log lines and metrics of the decisions about a request, with the values on which each decision is based.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use slog::info;

use super::Gateway;
use super::attempt::{AttemptError, Source};
use super::choice::Choice;
use super::exchange::RequestState;
use super::refusal::Refusal;
use super::target::Target;
use super::version_pin::{OriginSource, Resumption, VersionPin};
use crate::clock::Instant;
use crate::configuration::Route;
use crate::retry_after::RetryAfter;
use crate::sync::lock;

/// A header's value as text; empty if it is missing or not visible ASCII.
pub(super) fn text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

pub(super) fn millis_since(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}

fn millis_left(state: &RequestState) -> u64 {
    state.outgoing.deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}

/// A request was refused before it was sent to any target.
pub(super) fn refused(gateway: &Gateway, id: &str, host: &str, path: &str, refusal: Refusal) {
    gateway.metrics.refused(refusal);
    info!(gateway.log, "request refused"; "event" => "refused", "id" => id, "reason" => refusal.code(),
        "status" => refusal.status().as_u16(), "request_host" => host, "path" => path,
        "version" => gateway.version(), "news_age_ms" => gateway.update_age_ms(),
        "stage" => ?gateway.stage());
}

/// A request was given up on after its route was found.
pub(super) fn given_up(
    gateway: &Gateway,
    state: &RequestState,
    refusal: Refusal,
    backoff_left: Option<Duration>,
) {
    gateway.metrics.refused(refusal);
    info!(gateway.log, "request given up"; "event" => "given_up", "id" => text(Some(&state.outgoing.id)),
        "reason" => refusal.code(), "status" => refusal.status().as_u16(),
        "route" => &state.route.name, "service" => &state.service, "kind" => ?state.route.kind,
        "sends" => state.sends, "max_attempts" => state.max_sends,
        "budget_left" => gateway.budget_left(&state.service), "gateways" => gateway.gateways(),
        "version" => state.version, "targets" => gateway.target_count(&state.service),
        "news_age_ms" => gateway.update_age_ms(), "elapsed_ms" => millis_since(state.arrived),
        "fingerprint" => state.known_fingerprint().map(|one| one.to_string()),
        "blocked_by" => state.blocked_by.map(|one| one.to_string()),
        "rest_left_ms" => backoff_left.map(|left| left.as_millis() as u64),
        "unreachable" => ?gateway.cut_off(&state.service),
        "brittle" => %gateway.brittle_summary(&state.service),
        "connection_requests" => state.client_buffer.requests(), "left_ms" => millis_left(state));
}

/// An attempt ended, with the head of an answer or with an error.
pub(super) fn attempt(
    gateway: &Gateway,
    state: &RequestState,
    choice: &Choice,
    began: Instant,
    outcome: Result<StatusCode, (Refusal, AttemptError)>,
) {
    let failed = outcome.is_err();
    let code = outcome.as_ref().map_or_else(|(refusal, _)| refusal.code(), StatusCode::as_str);
    gateway.metrics.attempt_ended(&state.service, code);
    let kept = lock(&gateway.attempt_sampler).sample(gateway.now());
    // Attempts at cold targets are always logged: they are few, and logs have to show all requests that such a target
    // got.
    if !failed && kept.is_none() && !choice.cold {
        return;
    }
    let target = &choice.target;
    let (result, error, status) = match outcome {
        Ok(status) => ("answered", String::new(), status.as_u16()),
        Err((refusal, error)) => (refusal.code(), format!("{error:?}"), 0),
    };
    info!(gateway.log, "attempt"; "event" => "attempt", "id" => text(Some(&state.outgoing.id)),
        "outcome" => result, "error" => error, "status" => status,
        "target" => &target.announcement.id, "addr" => %target.announcement.addr,
        "service" => &state.service, "route" => &state.route.name, "sends" => state.sends,
        "home" => ?target.home(), "software" => &target.announcement.version,
        "affinity" => state.affinity.map_or_else(String::new, |affinity| format!("{:016x}", affinity.hash)),
        "shared_tokens" => state.affinity.map_or(0, |affinity| affinity.tokens),
        "fetch_from" => ?choice.fetch_from, "load" => format!("{:.1}", choice.load), "in_flight" => target.in_flight(),
        "candidates" => choice.candidates, "cold" => choice.cold, "doubtful" => choice.last_resort,
        "list" => choice.list_revision, "version" => state.version,
        "budget_left" => gateway.budget_left(&state.service), "took_ms" => millis_since(began),
        "left_ms" => millis_left(state), "stands_for" => kept.unwrap_or(1));
}

/// An answer is being sent to the client; of a stream, at least the first event has arrived.
pub(super) fn answered(
    gateway: &Gateway,
    state: &RequestState,
    source: &Source,
    status: StatusCode,
) {
    gateway.metrics.answered(status);
    gateway.metrics.answer_started(&state.service, state.arrived.elapsed());
    let kept = lock(&gateway.answer_sampler).sample(gateway.now());
    let Some(stands_for) = kept else {
        return;
    };
    info!(gateway.log, "request answered"; "event" => "answered", "id" => text(Some(&state.outgoing.id)),
        "status" => status.as_u16(), "target" => %source,
        "route" => &state.route.name, "sends" => state.sends, "version" => state.version,
        "elapsed_ms" => millis_since(state.arrived), "stands_for" => stands_for);
}

/// A target said that it is brittle, or that it is so no longer.
pub(super) fn brittleness_changed(gateway: &Gateway, target: &Target, withstands: Option<u32>) {
    info!(gateway.log, "brittleness of a target changed"; "event" => "target_brittle",
        "target" => &target.announcement.id, "service" => &target.announcement.service,
        "withstands" => withstands, "in_flight" => target.in_flight(),
        "load" => target.load(gateway.now(), 0.0, gateway.gateways()));
}

/// A brittle target had no room for a request. Shows what this gateway believed of the target until then.
pub(super) fn rejected_by_brittle(gateway: &Gateway, target: &Target) {
    gateway.metrics.rejected_by_brittle(&target.announcement.service);
    let now = gateway.now();
    let Some(stands_for) = lock(&gateway.rejection_sampler).sample(now) else {
        return;
    };
    let belief = target.belief(now);
    let withstands = gateway.withstands(&target.announcement.service);
    info!(gateway.log, "a brittle target had no room for a request"; "event" => "brittle_rejection",
        "target" => &target.announcement.id, "service" => &target.announcement.service,
        "known_brittle" => withstands.is_some(), "withstands" => withstands,
        "slots" => target.announcement.slots, "in_flight" => target.in_flight(),
        "load" => target.load(now, 0.0, gateway.gateways()), "room" => belief.room,
        "paused" => belief.paused, "limit" => target.admission_limit(), "share" => belief.share, "gateways" => gateway.gateways(),
        "stands_for" => stands_for);
}

/// An answer was relayed to its end.
pub(super) fn ended(gateway: &Gateway, state: &mut RequestState) {
    gateway.metrics.answer_ended(&state.service, state.arrived.elapsed());
    state.disconnect_guard.finish();
}

/// An answer states that its target is shutting down. `first`: no earlier answer of this incarnation of the target did.
/// `known`: the gateway already knew it, from the members or from an earlier answer.
pub(super) fn target_shutting_down(gateway: &Gateway, target: &Target, first: bool, known: bool) {
    gateway.metrics.draining_announced(&target.announcement.service);
    if first {
        info!(gateway.log, "target is shutting down"; "event" => "target_leaving",
            "target" => &target.announcement.id, "addr" => %target.announcement.addr,
            "service" => &target.announcement.service, "told_by_members" => known,
            "in_flight" => target.in_flight(), "news_age_ms" => gateway.update_age_ms());
    }
}

/// A target turned a request away and asked the gateway to back off.
pub(super) fn backoff_requested(gateway: &Gateway, target: &Target, backoff: RetryAfter) {
    gateway.metrics.backoff_requested(&target.announcement.service);
    if let Some(stands_for) = lock(&gateway.backoff_sampler).sample(gateway.now()) {
        info!(gateway.log, "target asked to back off"; "event" => "target_rests",
            "target" => &target.announcement.id, "addr" => %target.announcement.addr,
            "service" => &target.announcement.service, "rest" => ?backoff,
            "in_flight" => target.in_flight(), "stands_for" => stands_for);
    }
}

/// An answer or stream from a target broke off or stalled.
pub(super) fn broke_off(
    gateway: &Gateway,
    state: &RequestState,
    source: &Source,
    refusal: Refusal,
    last_event: &str,
) {
    gateway.metrics.attempt_failed(refusal);
    info!(gateway.log, "answer from target broke off"; "event" => "broke_off",
        "id" => text(Some(&state.outgoing.id)), "reason" => refusal.code(),
        "target" => %source, "route" => &state.route.name,
        "kind" => ?state.route.kind, "last_event" => last_event, "sends" => state.sends,
        "max_attempts" => state.max_sends, "version" => state.version,
        "budget_left" => gateway.budget_left(&state.service),
        "elapsed_ms" => millis_since(state.arrived), "left_ms" => millis_left(state));
}

/// An answer that had fallen silent went on, was replaced by that of another target, or was lost.
pub(super) fn silent_answer(
    gateway: &Gateway,
    state: &RequestState,
    source: &impl Display,
    began: Instant,
    outcome: &str,
) {
    gateway.metrics.silent_answer(&state.service, outcome);
    info!(gateway.log, "an answer was silent while another target was asked"; "event" => "silent_answer",
        "id" => text(Some(&state.outgoing.id)), "outcome" => outcome, "target" => %source,
        "route" => &state.route.name, "sends" => state.sends, "max_attempts" => state.max_sends,
        "budget_left" => gateway.budget_left(&state.service),
        "waited_ms" => millis_since(began), "left_ms" => millis_left(state));
}

/// The stream to a client was cut, since it could not be continued.
pub(super) fn stream_cut(gateway: &Gateway, state: &RequestState, refusal: Refusal) {
    gateway.metrics.stream_cut(refusal);
    info!(gateway.log, "stream to client cut"; "event" => "stream_cut",
        "id" => text(Some(&state.outgoing.id)), "reason" => refusal.code(),
        "route" => &state.route.name, "sends" => state.sends, "version" => state.version,
        "elapsed_ms" => millis_since(state.arrived), "left_ms" => millis_left(state));
}

/// A client resumes a stream by a new request.
pub(super) fn taken_up(
    gateway: &Gateway,
    id: &HeaderValue,
    route: &Route,
    resumption: Resumption<'_>,
    source: OriginSource,
    pin: VersionPin,
    began: Instant,
) {
    gateway.metrics.stream_taken_up(source.label());
    info!(gateway.log, "client resumes a stream"; "event" => "taken_up", "id" => text(Some(id)),
        "began_as" => text(resumption.began_as), "last_event" => text(resumption.last_event),
        "route" => &route.name, "origin" => source.label(), "pin" => ?pin,
        "took_ms" => millis_since(began), "news_age_ms" => gateway.update_age_ms());
}

/// A stream was resumed at another target.
pub(super) fn resumed(gateway: &Gateway, state: &RequestState, source: &Source, last_event: &str) {
    gateway.metrics.stream_resumed();
    info!(gateway.log, "stream resumed at another target"; "event" => "resumed",
        "id" => text(Some(&state.outgoing.id)), "target" => %source,
        "software" => source.target().map(|target| target.announcement.version.as_str()),
        "last_event" => last_event, "sends" => state.sends,
        "elapsed_ms" => millis_since(state.arrived), "left_ms" => millis_left(state));
}

/// The connection of a client was closed whose buffer was full and that read nothing for too long, or until its
/// request's deadline passed.
pub(super) fn client_cut(gateway: &Gateway, unread: usize) {
    gateway.metrics.client_cut("unread");
    info!(gateway.log, "connection of slow client closed"; "event" => "client_cut", "why" => "unread",
        "unread_bytes" => unread, "held_bytes" => gateway.holdings.held());
}

/// Logs and counts, when dropped, that the client disconnected, unless its request was finished before.
pub(super) struct DisconnectGuard {
    gateway: Arc<Gateway>,
    id: HeaderValue,
    arrived: Instant,
    finished: bool,
}

impl DisconnectGuard {
    pub(super) fn new(gateway: &Arc<Gateway>, id: &HeaderValue, arrived: Instant) -> Self {
        DisconnectGuard { gateway: gateway.clone(), id: id.clone(), arrived, finished: false }
    }

    /// Marks the request as finished: the client has its answer, or the gateway itself cut the answer off.
    pub(super) fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.gateway.metrics.client_disconnected();
            info!(self.gateway.log, "client disconnected before its answer was complete"; "event" => "client_left",
                "id" => text(Some(&self.id)), "elapsed_ms" => millis_since(self.arrived));
        }
    }
}
