//! Which versions of a service's software have been listed lately.

use std::collections::HashMap;
use std::time::Duration;

use crate::group::stream_origins::VersionKey;

/// How long a version that is no longer listed is remembered.
const RETENTION: Duration = Duration::from_secs(600);

/// The versions that ceased to be listed, and the time since which all are known.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// When the first directory was applied.
    known_since: Option<Duration>,
    /// When the last target of a version of a service ceased to be listed.
    gone: HashMap<(String, VersionKey), Duration>,
}

impl VersionHistory {
    /// Records that a directory is applied.
    pub fn note_directory(&mut self, now: Duration) {
        self.known_since = self.known_since.or(Some(now));
        self.gone.retain(|_, at| now < *at + RETENTION);
    }

    /// Records that a target of the version is no longer listed.
    pub fn note_gone(&mut self, now: Duration, service: &str, version: VersionKey) {
        self.gone.insert((service.to_owned(), version), now);
    }

    /// The only version of a service that was listed within `window`, which is at most [`RETENTION`]; `None` if there
    /// were others, or if it is not known for so long. `listed`: the versions of the targets that are listed now.
    pub fn only(
        &self,
        now: Duration,
        service: &str,
        window: Duration,
        listed: impl Iterator<Item = VersionKey>,
    ) -> Option<VersionKey> {
        let known_long_enough = self.known_since.is_some_and(|since| now >= since + window);
        if !known_long_enough || window > RETENTION {
            return None;
        }
        let gone = self.gone.iter().filter(|((of, _), at)| of == service && now < **at + window);
        let mut versions = listed.chain(gone.map(|((_, version), _)| *version));
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }
}
