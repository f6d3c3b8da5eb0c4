//! Encoding of a store. At the base level it is the encoding of the first build; above it, a marker
//! that can't be a revision comes first, then the level and the store.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::{Error as _, SerializeTuple};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{Document, FirstAnswer, Moving, Revision, Store, Stored};
use crate::claims::Claims;
use crate::compat::base;
use crate::directory::{Directory, Saved as SavedDirectory};
use crate::evacuations::Evacuations;
use crate::level::Level;
use crate::rollout::Rollouts;

/// Takes the place of the revision if a level and a store of that level follow.
const LEVEL_MARKER: Revision = Revision::MAX;
/// Upper bound on the elements of an encoded store; the decoder stops after those that it needs.
const MAX_ELEMENTS: usize = 8;

/// Fields that all encodings have, besides the revision, which precedes them.
// Serde's errors, which callers see, name this type.
#[derive(Serialize, Deserialize)]
struct Rest<'a> {
    templates: Cow<'a, BTreeMap<String, Stored>>,
    drains: Cow<'a, BTreeSet<String>>,
    moving: Cow<'a, BTreeMap<String, Moving>>,
    closed_revision: Revision,
    answers: Cow<'a, BTreeMap<String, FirstAnswer>>,
    answer_order: Cow<'a, VecDeque<String>>,
    claims: Cow<'a, Claims>,
    document: Cow<'a, Option<Document>>,
}

/// A store at the base level, for encodings with field names (JSON).
// Serde's errors, which callers see, name this type.
#[derive(Serialize, Deserialize)]
struct Named<'a> {
    revision: Revision,
    #[serde(flatten)]
    common: Rest<'a>,
    directory: base::Directory,
}

/// Further fields of a store of [`Level::INCARNATIONS`] or above, after the common ones.
#[derive(Serialize, Deserialize)]
struct StartsFields<'a> {
    directory: Cow<'a, Directory>,
    evacuations: Cow<'a, Evacuations>,
    rollouts: Cow<'a, Rollouts>,
    /// Ids of the targets in the directory whose start times are not known yet.
    undated: Vec<String>,
}

/// A store as encoded in logs of format 5, which was written before there were levels.
#[derive(Deserialize)]
#[serde(from = "Format5Fields")]
pub(crate) struct Format5(pub(crate) Store);

#[derive(Deserialize)]
struct Format5Fields {
    revision: Revision,
    common: Rest<'static>,
    directory: Directory,
    evacuations: Evacuations,
    rollouts: Rollouts,
}

impl From<Format5Fields> for Format5 {
    fn from(fields: Format5Fields) -> Self {
        let Format5Fields { revision, common, directory, evacuations, rollouts } = fields;
        let store = common.into_store(revision, Level::INCARNATIONS, directory);
        Format5(Store { evacuations, rollouts, ..store })
    }
}

impl<'a> Rest<'a> {
    fn of(store: &'a Store) -> Self {
        Rest {
            templates: Cow::Borrowed(&store.templates),
            drains: Cow::Borrowed(&store.drains),
            moving: Cow::Borrowed(&store.moving),
            closed_revision: store.closed_revision,
            answers: Cow::Borrowed(&store.answers),
            answer_order: Cow::Borrowed(&store.answer_order),
            claims: Cow::Borrowed(&store.claims),
            document: Cow::Borrowed(&store.document),
        }
    }

    fn into_store(self, revision: Revision, level: Level, directory: Directory) -> Store {
        Store {
            level,
            revision,
            templates: self.templates.into_owned(),
            drains: self.drains.into_owned(),
            moving: self.moving.into_owned(),
            closed_revision: self.closed_revision,
            answers: self.answers.into_owned(),
            answer_order: self.answer_order.into_owned(),
            claims: self.claims.into_owned(),
            document: self.document.into_owned(),
            directory,
            evacuations: Evacuations::default(),
            rollouts: Rollouts::default(),
        }
    }
}

fn base_directory(store: &Store) -> base::Directory {
    SavedDirectory::from(store.directory.clone()).into()
}

fn directory(saved: base::Directory) -> Directory {
    SavedDirectory::from(saved).into()
}

impl Serialize for Store {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let common = Rest::of(self);
        if self.level == Level::BASE {
            let (revision, directory) = (self.revision, base_directory(self));
            return match serializer.is_human_readable() {
                true => Named { revision, common, directory }.serialize(serializer),
                false => (revision, common, directory).serialize(serializer),
            };
        }
        if serializer.is_human_readable() {
            return Err(S::Error::custom(
                "a store above the base level can be written only in the binary format",
            ));
        }
        let starts = StartsFields {
            directory: Cow::Borrowed(&self.directory),
            evacuations: Cow::Borrowed(&self.evacuations),
            rollouts: Cow::Borrowed(&self.rollouts),
            undated: self.directory.undated(),
        };
        let mut tuple = serializer.serialize_tuple(MAX_ELEMENTS)?;
        tuple.serialize_element(&LEVEL_MARKER)?;
        tuple.serialize_element(&self.level)?;
        tuple.serialize_element(&self.revision)?;
        tuple.serialize_element(&common)?;
        tuple.serialize_element(&starts)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Store {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let Named { revision, common, directory: saved } = Named::deserialize(deserializer)?;
            return Ok(common.into_store(revision, Level::BASE, directory(saved)));
        }
        deserializer.deserialize_tuple(MAX_ELEMENTS, StoreVisitor)
    }
}

struct StoreVisitor;

impl<'de> Visitor<'de> for StoreVisitor {
    type Value = Store;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a saved store")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Store, A::Error> {
        let first: Revision = next(&mut seq)?;
        if first != LEVEL_MARKER {
            let common: Rest<'static> = next(&mut seq)?;
            let saved: base::Directory = next(&mut seq)?;
            return Ok(common.into_store(first, Level::BASE, directory(saved)));
        }
        let level: Level = next(&mut seq)?;
        if level > Level::NEWEST {
            let newest = Level::NEWEST;
            let message =
                format!("the store has level {level}, this version supports levels up to {newest}");
            return Err(A::Error::custom(message));
        }
        let revision: Revision = next(&mut seq)?;
        let common: Rest<'static> = next(&mut seq)?;
        let starts: StartsFields<'static> = next(&mut seq)?;
        let directory = starts.directory.into_owned().with_undated(starts.undated);
        let store = common.into_store(revision, level, directory);
        let evacuations = starts.evacuations.into_owned();
        Ok(Store { evacuations, rollouts: starts.rollouts.into_owned(), ..store })
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| A::Error::custom("the saved store is truncated"))
}
