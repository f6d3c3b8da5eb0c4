//! How a store is saved: as the first build knows it while the group is at the base level, else behind a mark that
//! can't be a revision.

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

/// Stands in place of the revision where a level and a store of that level follow.
const LEVEL_FOLLOWS: Revision = Revision::MAX;
/// Most elements of a saved store.
const ELEMENTS: usize = 8;

/// What is alike in every form, but for the revision, which comes first.
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

/// A store at the base level, with its fields by name.
#[derive(Serialize, Deserialize)]
struct Named<'a> {
    revision: Revision,
    #[serde(flatten)]
    rest: Rest<'a>,
    directory: base::Directory,
}

/// A store of [`Level::INCARNATIONS`] and above, behind what is alike.
#[derive(Serialize, Deserialize)]
struct Starts<'a> {
    directory: Cow<'a, Directory>,
    evacuations: Cow<'a, Evacuations>,
    rollouts: Cow<'a, Rollouts>,
    /// Targets of the directory that are known by their identity alone.
    undated: Vec<String>,
}

/// A store as it was in logs of format 5, which had no levels.
#[derive(Deserialize)]
#[serde(from = "Format5Fields")]
pub(crate) struct Format5(pub(crate) Store);

#[derive(Deserialize)]
struct Format5Fields {
    revision: Revision,
    rest: Rest<'static>,
    directory: Directory,
    evacuations: Evacuations,
    rollouts: Rollouts,
}

impl From<Format5Fields> for Format5 {
    fn from(fields: Format5Fields) -> Self {
        let Format5Fields { revision, rest, directory, evacuations, rollouts } = fields;
        let store = rest.into_store(revision, Level::INCARNATIONS, directory);
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
        let rest = Rest::of(self);
        if self.level == Level::BASE {
            let (revision, directory) = (self.revision, base_directory(self));
            return match serializer.is_human_readable() {
                true => Named { revision, rest, directory }.serialize(serializer),
                false => (revision, rest, directory).serialize(serializer),
            };
        }
        if serializer.is_human_readable() {
            return Err(S::Error::custom("a store above the base level has no text form"));
        }
        let starts = Starts {
            directory: Cow::Borrowed(&self.directory),
            evacuations: Cow::Borrowed(&self.evacuations),
            rollouts: Cow::Borrowed(&self.rollouts),
            undated: self.directory.undated(),
        };
        let mut tuple = serializer.serialize_tuple(ELEMENTS)?;
        tuple.serialize_element(&LEVEL_FOLLOWS)?;
        tuple.serialize_element(&self.level)?;
        tuple.serialize_element(&self.revision)?;
        tuple.serialize_element(&rest)?;
        tuple.serialize_element(&starts)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Store {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let Named { revision, rest, directory: saved } = Named::deserialize(deserializer)?;
            return Ok(rest.into_store(revision, Level::BASE, directory(saved)));
        }
        deserializer.deserialize_tuple(ELEMENTS, StoreVisitor)
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
        if first != LEVEL_FOLLOWS {
            let rest: Rest<'static> = next(&mut seq)?;
            let saved: base::Directory = next(&mut seq)?;
            return Ok(rest.into_store(first, Level::BASE, directory(saved)));
        }
        let level: Level = next(&mut seq)?;
        if level > Level::NEWEST {
            let newest = Level::NEWEST;
            let why = format!("the store has level {level}, this version knows up to {newest}");
            return Err(A::Error::custom(why));
        }
        let revision: Revision = next(&mut seq)?;
        let rest: Rest<'static> = next(&mut seq)?;
        let starts: Starts<'static> = next(&mut seq)?;
        let directory = starts.directory.into_owned().with_undated(starts.undated);
        let store = rest.into_store(revision, level, directory);
        let evacuations = starts.evacuations.into_owned();
        Ok(Store { evacuations, rollouts: starts.rollouts.into_owned(), ..store })
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| A::Error::custom("a saved store is cut short"))
}
