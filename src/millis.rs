//! Durations in documents, as whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Writes whole milliseconds.
///
/// # Errors
/// Those of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
    (duration.as_millis() as u64).serialize(to)
}

/// Reads whole milliseconds.
///
/// # Errors
/// When there is no whole number.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    u64::deserialize(from).map(Duration::from_millis)
}

/// The same for a duration that may be missing.
pub mod option {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Writes whole milliseconds or null.
    ///
    /// # Errors
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(duration: &Option<Duration>, to: S) -> Result<S::Ok, S::Error> {
        duration.map(|duration| duration.as_millis() as u64).serialize(to)
    }

    /// Reads whole milliseconds or null.
    ///
    /// # Errors
    /// When there is no whole number.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(from)?.map(Duration::from_millis))
    }
}
