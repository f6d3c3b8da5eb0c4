//! Keeps streams at the version of the software that began them: what two versions write does not fit together.
//!
//! A stream that breaks goes on at a target of the same version only, inside its answer as well as when its client
//! resumes it by another request, at whichever gateway.

use std::time::Duration;

use http::HeaderMap;
use http::header::HeaderValue;

use super::Gateway;
use super::attempt::Source;
use super::exchange::RequestState;
use super::target::Target;
use super::trace;
use crate::clock::Instant;
use crate::configuration::{Route, RouteKind};
use crate::group::stream_origins::{ReportedBy, StreamKey, StreamOrigin, VersionKey, left_s};
use crate::poison::Identity;
use crate::sync::{lock, read};

/// Time after which a member is asked again for the origin of a stream: reports of streams that have just begun reach
/// all members within two reports of loads.
const ASK_INTERVAL: Duration = Duration::from_millis(80);
/// How long members are asked before the origin of a stream counts as unknown.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of streams whose origins wait to be asked for.
const MAX_PENDING: usize = 256;
/// Longest time for which the first event of a stream waits until the member has been sent the stream's origin.
const TELL_TIMEOUT: Duration = Duration::from_millis(20);
/// Age of the last update up to which the directory is taken to hold every version.
const FRESH: Duration = Duration::from_secs(1);

/// Which targets may run a request, by the version of their software.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionPin {
    /// Those of any version.
    Free,
    /// Those of one version, which began the stream.
    Only(VersionKey),
    /// None, since it is not known which version began the stream.
    Unknown,
}

impl VersionPin {
    /// Whether a target may run the request.
    pub(super) fn allows(self, target: &Target) -> bool {
        match self {
            VersionPin::Free => true,
            VersionPin::Only(version) => target.version == version,
            VersionPin::Unknown => false,
        }
    }
}

/// Where the gateway has it from which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OriginSource {
    /// The gateway began the stream itself, or had asked before.
    OwnRecord,
    /// A member told it.
    Member,
    /// No other version has served since the stream can have begun.
    OnlyVersion,
    /// Nobody knows.
    Unknown,
}

impl OriginSource {
    /// Name in logs and metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            OriginSource::OwnRecord => "here",
            OriginSource::Member => "told",
            OriginSource::OnlyVersion => "only_version",
            OriginSource::Unknown => "unknown",
        }
    }
}

/// A client's request that resumes a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Resumption<'a> {
    /// Id of the request that brought the stream's first event, if the client names it.
    pub(super) began_as: Option<&'a HeaderValue>,
    /// Id of the last event that the client has.
    pub(super) last_event: Option<&'a HeaderValue>,
}

impl Gateway {
    /// What a client's request says of a stream that it resumes; `None` if it begins one.
    pub(super) fn resumption<'a>(
        &self,
        route: &Route,
        headers: &'a HeaderMap,
    ) -> Option<Resumption<'a>> {
        let names = self.header_names();
        let (began_as, last_event) =
            (headers.get(&names.resumes), headers.get(&names.last_event_id));
        let resumes = began_as.is_some() || last_event.is_some();
        (route.kind == RouteKind::ResumableStream && resumes)
            .then_some(Resumption { began_as, last_event })
    }

    /// Finds the version that began the stream that a request resumes.
    pub(super) async fn pin_resumed(
        &self,
        id: &HeaderValue,
        route: &Route,
        identity: &Identity<'_>,
        resumption: Resumption<'_>,
    ) -> VersionPin {
        let began = Instant::now();
        let named = resumption.began_as.map(|id| StreamKey::of(identity.team, id.as_bytes()));
        let stream = named.unwrap_or_else(|| StreamKey::of_request(identity));
        let (version, source) = self.find_origin(stream, route).await;
        let version = version.filter(|version| *version != VersionKey::AMBIGUOUS);
        let pin = version.map_or(VersionPin::Unknown, VersionPin::Only);
        trace::taken_up(self, id, route, resumption, source, pin, began);
        pin
    }

    /// The version that began a stream, from this gateway's own record, from the members, or because no other version
    /// served.
    async fn find_origin(
        &self,
        stream: StreamKey,
        route: &Route,
    ) -> (Option<VersionKey>, OriginSource) {
        let give_up_at = Instant::now() + ASK_TIMEOUT;
        if let Some(version) = self.known_origin(stream) {
            return (Some(version), OriginSource::OwnRecord);
        }
        while Instant::now() < give_up_at {
            let told = self.stream_told.notified();
            let mut told = std::pin::pin!(told);
            told.as_mut().enable();
            self.ask_for_origin(stream);
            let asked_again_at = Instant::now() + ASK_INTERVAL;
            while self.run_clock.before(asked_again_at, told.as_mut()).await.is_some() {
                if let Some(version) = self.known_origin(stream) {
                    return (Some(version), OriginSource::Member);
                }
                told.set(self.stream_told.notified());
                told.as_mut().enable();
            }
        }
        self.only_version_or_unknown(route)
    }

    fn known_origin(&self, stream: StreamKey) -> Option<VersionKey> {
        let known = lock(&self.streams);
        known.find(self.now(), stream).map(|origin| origin.version)
    }

    fn ask_for_origin(&self, stream: StreamKey) {
        let mut asked = lock(&self.streams_asked_for);
        if asked.len() < MAX_PENDING && !asked.contains(&stream) {
            asked.push(stream);
        }
        drop(asked);
        self.stream_asked_for.notify_one();
    }

    /// Takes the streams whose origins a member is to be asked for.
    pub(super) fn take_streams_asked_for(&self) -> Vec<StreamKey> {
        std::mem::take(&mut *lock(&self.streams_asked_for))
    }

    /// Records the origins that a member told.
    pub(super) fn receive_origins(&self, origins: &[StreamOrigin]) {
        if origins.is_empty() {
            return;
        }
        let now = self.now();
        let mut known = lock(&self.streams);
        for origin in origins {
            known.record(now, ReportedBy::Remote, *origin);
        }
        drop(known);
        self.stream_told.notify_waiters();
    }

    /// The version of a route's only service, if no other has served since a stream of the route can have begun, as far
    /// as the members knew within [`FRESH`].
    fn only_version_or_unknown(&self, route: &Route) -> (Option<VersionKey>, OriginSource) {
        let version = self.sole_version(route).filter(|_| self.directory_is_fresh());
        (version, if version.is_some() { OriginSource::OnlyVersion } else { OriginSource::Unknown })
    }

    /// The version of a route's only service, if the directory held no other since a stream of the route can have begun.
    fn sole_version(&self, route: &Route) -> Option<VersionKey> {
        let [only] = route.services.as_slice() else {
            return None;
        };
        read(&self.targets).only_version(self.now(), &only.service, 2 * route.timeout)
    }

    /// Whether the directory is taken to hold every incarnation.
    pub(super) fn directory_is_fresh(&self) -> bool {
        lock(&self.fresh_at).is_some_and(|at| at.elapsed() < FRESH)
    }

    /// The service of the route whose version began the stream, if it still has targets of that version.
    pub(super) fn service_of_pin(&self, route: &Route, pin: VersionPin) -> Option<String> {
        let targets = read(&self.targets);
        let serves = |service: &str| targets.of(service).iter().any(|target| pin.allows(target));
        let weighted = route.services.iter().find(|weighted| serves(&weighted.service));
        weighted.map(|weighted| weighted.service.clone())
    }

    /// Records which version began the request's stream. To be called when the first event has arrived and before the
    /// client gets it. While several versions serve, returns only when the member has been sent the origin: the client
    /// may resume the stream from then on, also if this process ends.
    pub(super) async fn note_stream_begun(&self, state: &mut RequestState, source: &Source) {
        if state.route.kind != RouteKind::ResumableStream {
            return;
        }
        self.record_stream_begun(state, source);
        if !state.is_from_peer() && self.sole_version(&state.route).is_none() {
            self.tell_streams_begun().await;
        }
    }

    /// Waits until the member that this gateway follows, if it follows one, has been sent the origins of all streams
    /// begun so far, or for [`TELL_TIMEOUT`].
    async fn tell_streams_begun(&self) {
        let begun = lock(&self.streams).end();
        self.stream_begun.notify_one();
        let mut told = self.streams_told.subscribe();
        let told = told.wait_for(|told| told.is_none_or(|told| told >= begun));
        let in_time = tokio::time::timeout(TELL_TIMEOUT, told).await.is_ok();
        self.metrics.stream_told(in_time);
    }

    fn record_stream_begun(&self, state: &mut RequestState, source: &Source) {
        let version = match source.target() {
            Some(target) => Some(self.certain_version(target)),
            None => source.version(),
        };
        let known = version.filter(|version| *version != VersionKey::AMBIGUOUS);
        state.pin = known.map_or(VersionPin::Unknown, VersionPin::Only);
        if let Some(version) = version.filter(|_| !state.is_from_peer()) {
            let identity = state.identity();
            let by_id = StreamKey::of(identity.team, state.outgoing.id.as_bytes());
            let left = state.client_deadline.saturating_duration_since(Instant::now());
            let left_s = left_s(left);
            let now = self.now();
            let mut streams = lock(&self.streams);
            for stream in [by_id, StreamKey::of_request(&identity)] {
                let origin = StreamOrigin { stream, version, left_s };
                streams.record(now, ReportedBy::Local, origin);
            }
        }
    }
}
