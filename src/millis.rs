//! Serializes durations as whole milliseconds, for `#[serde(with = "millis")]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serializes a duration as whole milliseconds.
///
/// # Errors
/// When the serializer fails.
pub fn serialize<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
    (duration.as_millis() as u64).serialize(to)
}

/// Deserializes a duration from whole milliseconds.
///
/// # Errors
/// When the value is not a non-negative whole number.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    u64::deserialize(from).map(Duration::from_millis)
}

/// The same for optional durations.
pub mod option {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Serializes a duration as whole milliseconds, or null.
    ///
    /// # Errors
    /// When the serializer fails.
    pub fn serialize<S: Serializer>(duration: &Option<Duration>, to: S) -> Result<S::Ok, S::Error> {
        duration.map(|duration| duration.as_millis() as u64).serialize(to)
    }

    /// Deserializes a duration from whole milliseconds or null.
    ///
    /// # Errors
    /// When the value is neither a non-negative whole number nor null.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(from)?.map(Duration::from_millis))
    }
}
