//! Sends requests through a peer gateway while this one can't reach their targets.
//!
//! The peer makes a single attempt at one target per request and never sends it on to a third gateway; further attempts
//! are up to the gateway that took the request from the client, which alone counts them against the route's maximum and
//! the retry budget. Peers speak HTTP/1.1 on the port at which they serve blobs, with the headers of [`header`] besides
//! those that a target gets. Gateways of earlier builds are not named by members, and close such a connection unread.

pub(super) mod client;
pub mod selection;
pub(super) mod server;

use super::refusal::Refusal;

/// Path of the call by which a gateway makes sure that its peer sends requests on behalf of others.
const GREETING_PATH: &str = "/latchmount/peer";

/// Headers between gateways, which neither clients nor targets see.
mod header {
    use http::HeaderName;

    /// Version of the configuration by which the request was routed.
    pub(super) const VERSION: HeaderName = HeaderName::from_static("latchmount-via-version");
    /// Service that was drawn by the route's weights.
    pub(super) const SERVICE: HeaderName = HeaderName::from_static("latchmount-via-service");
    /// Keys of the targets that the request was sent to, in hexadecimal, separated by commas.
    pub(super) const TRIED: HeaderName = HeaderName::from_static("latchmount-via-tried");
    /// Only version of the software at which the request may run, in the form of `SOFTWARE`; absent if any may.
    pub(super) const ONLY_SOFTWARE: HeaderName =
        HeaderName::from_static("latchmount-via-only-software");
    /// Key of the only target that the request may be sent to, in hexadecimal: the peer dispatches to it. Absent if any
    /// may.
    pub(super) const ONLY_TARGET: HeaderName =
        HeaderName::from_static("latchmount-via-only-target");
    /// In the answer to a greeting: present if the peer obeys `ONLY_TARGET`, which gateways of earlier builds don't.
    pub(super) const DISPATCHES: HeaderName = HeaderName::from_static("latchmount-via-dispatches");
    /// In the answer to a greeting: present if the peer obeys `ONLY_SOFTWARE`, which gateways of earlier builds don't.
    pub(super) const KEEPS_SOFTWARE: HeaderName =
        HeaderName::from_static("latchmount-via-keeps-software");
    /// In an answer: key of the target that was tried last, in hexadecimal.
    pub(super) const TARGET: HeaderName = HeaderName::from_static("latchmount-via-target");
    /// In an answer: version of the software of the target that answered, as in [`VersionKey`]; in hexadecimal.
    ///
    /// [`VersionKey`]: crate::group::stream_origins::VersionKey
    pub(super) const SOFTWARE: HeaderName = HeaderName::from_static("latchmount-via-software");
    /// In an answer that does not come from a target: code of the peer's refusal.
    pub(super) const REFUSAL: HeaderName = HeaderName::from_static("latchmount-via-refusal");

    /// All headers of requests.
    pub(super) const OF_REQUESTS: [HeaderName; 5] =
        [VERSION, SERVICE, TRIED, ONLY_SOFTWARE, ONLY_TARGET];
}

/// Whether a refusal concerns only the peer that gave it, so that another one may serve the request.
fn concerns_peer_only(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::CutOff
            | Refusal::ConnectFailed
            | Refusal::Stopping
            | Refusal::NoConfiguration
            | Refusal::Stale
            | Refusal::NoRoute
            | Refusal::UnknownKey
            | Refusal::NoRoom
            | Refusal::BadRequest
            | Refusal::BodyTooLarge
            | Refusal::BodyTooSlow
    )
}

/// Encodes the key of a target.
fn encode_key(key: u64) -> String {
    format!("{key:x}")
}

/// Decodes the key of a target.
fn decode_key(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
