//! The list of targets as it goes to gateways.
//!
//! Targets go by columns: what is alike in all of them then costs next to nothing once compressed,
//! and a gateway that starts needs all of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use zstd::bulk::Compressor;

use crate::compat::base::Columns;
use crate::compat::parts;
use crate::directory::{Announcement, Born, DirectoryDelta, Listed, Moved};
use crate::link::LinkError;
use crate::store::Revision;

/// Compression level of a whole list, which is made once and sent to many.
const LEVEL: i32 = 9;
/// Largest list, in bytes.
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// What a gateway lacks of the directory, packed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PackedDelta {
    /// Revision after applying it.
    pub revision: Revision,
    bytes: Vec<u8>,
}

/// Tag of [`StartColumns`] behind the columns of the first build.
const START_COLUMNS: u8 = 1;

/// What the columns of the first build do not say.
#[derive(Serialize, Deserialize)]
struct StartColumns {
    /// Short forms of the starts of targets that changed their state or home.
    moved_targets: Vec<u64>,
    /// In milliseconds, as below.
    moved_cold_left: Vec<u32>,
    born: Vec<Born>,
    versions: Vec<String>,
    cold_left: Vec<u32>,
}

/// Packs deltas, with working memory that is taken once: some megabytes, which the allocator could
/// not use again if each packing took them anew among smaller pieces.
pub struct Packer(Compressor<'static>);

impl Packer {
    /// Takes the working memory.
    ///
    /// # Errors
    /// [`LinkError`] when there is none.
    pub fn new() -> Result<Self, LinkError> {
        Ok(Packer(Compressor::new(LEVEL)?))
    }

    /// Packs a delta; gateways have no use for sequences, which are left out.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be encoded.
    pub fn pack(&mut self, delta: DirectoryDelta) -> Result<PackedDelta, LinkError> {
        let mut changed = delta.changed;
        // Homes in a row cost nothing.
        changed.sort_by_key(|listed| listed.home);
        let column = |of: fn(&Announcement) -> &String| {
            changed.iter().map(|listed| of(&listed.announcement).clone()).collect()
        };
        let moved = &delta.moved;
        let starts = StartColumns {
            moved_targets: moved.iter().map(|moved| moved.target).collect(),
            moved_cold_left: moved.iter().map(|moved| millis(moved.cold_left)).collect(),
            born: changed.iter().map(|listed| listed.announcement.born).collect(),
            versions: column(|announcement| &announcement.version),
            cold_left: changed.iter().map(|listed| millis(listed.announcement.cold_left)).collect(),
        };
        let columns = Columns {
            revision: delta.revision,
            whole: delta.whole,
            removed: delta.removed,
            moved_targets: moved.iter().map(|moved| moved.identity).collect(),
            moved_states: moved.iter().map(|moved| moved.state).collect(),
            moved_homes: moved.iter().map(|moved| moved.home).collect(),
            ids: column(|announcement| &announcement.id),
            services: column(|announcement| &announcement.service),
            data_halls: column(|announcement| &announcement.data_hall),
            addrs: changed.iter().map(|listed| listed.announcement.addr).collect(),
            slots: changed.iter().map(|listed| listed.announcement.slots).collect(),
            states: changed.iter().map(|listed| listed.announcement.state).collect(),
            homes: changed.iter().map(|listed| listed.home).collect(),
        };
        let mut plain = parts::encode(&columns)?;
        parts::add(&mut plain, START_COLUMNS, &starts)?;
        let bytes = self.0.compress(&plain)?;
        Ok(PackedDelta { revision: columns.revision, bytes })
    }
}

impl PackedDelta {
    /// Unpacks it.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be decoded.
    pub fn unpack(&self) -> Result<DirectoryDelta, LinkError> {
        let plain = zstd::bulk::Decompressor::upper_bound(&self.bytes).unwrap_or(MAX_BYTES);
        let plain = zstd::bulk::decompress(&self.bytes, plain.min(MAX_BYTES))?;
        let (columns, parts) = parts::decode::<Columns>(&plain)?;
        let starts = match parts.get(START_COLUMNS)? {
            Some(starts) => starts,
            None => StartColumns::unknown(&columns),
        };
        let Columns { revision, whole, .. } = columns;
        let moved = starts.moved_targets.into_iter().zip(columns.moved_targets);
        let moved = moved.zip(columns.moved_states).zip(starts.moved_cold_left);
        let moved = moved.zip(columns.moved_homes);
        let moved = moved.map(|((((target, identity), state), cold_left), home)| {
            let cold_left = Duration::from_millis(cold_left.into());
            Moved { target, identity, state, cold_left, home }
        });
        let moved = moved.collect();
        let incarnations = columns.ids.into_iter().zip(starts.born);
        let services = columns.services.into_iter().zip(starts.versions);
        let places = incarnations.zip(services).zip(columns.addrs);
        let places = places.zip(columns.data_halls).zip(columns.slots);
        let states = columns.states.into_iter().zip(starts.cold_left);
        let listed = places.zip(states).zip(columns.homes);
        let changed = listed.map(|((place, (state, cold_left)), home)| {
            let (((((id, born), (service, version)), addr), data_hall), slots) = place;
            let cold_left = Duration::from_millis(cold_left.into());
            let announcement = Announcement {
                id,
                born,
                service,
                version,
                addr,
                data_hall,
                slots,
                state,
                cold_left,
                sequence: 0,
            };
            Listed { announcement, home }
        });
        let changed = changed.collect();
        Ok(DirectoryDelta { revision, whole, changed, moved, removed: columns.removed })
    }
}

impl StartColumns {
    /// What a member of the first build knows: it tells targets apart by their identity.
    fn unknown(columns: &Columns) -> Self {
        let (moved, listed) = (columns.moved_targets.len(), columns.ids.len());
        StartColumns {
            moved_targets: columns.moved_targets.clone(),
            moved_cold_left: vec![0; moved],
            born: vec![Born::default(); listed],
            versions: vec![String::new(); listed],
            cold_left: vec![0; listed],
        }
    }
}

/// In whole milliseconds, rounded up: what is cold must not seem warm.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}
