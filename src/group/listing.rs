//! Encoding of changes of the directory, up to the whole list of targets, for gateways.
//!
//! Targets are encoded by columns and compressed: values that are alike in all targets then take next to no space. This
//! counts most for a gateway that starts, which needs all targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use zstd::bulk::Compressor;

use crate::compat::base::Columns;
use crate::compat::parts;
use crate::directory::{Announcement, Born, DirectoryDelta, Listed, Moved};
use crate::link::LinkError;
use crate::store::Revision;

/// Compression level of zstd; high, since a whole list is packed once and sent to many gateways.
const COMPRESSION_LEVEL: i32 = 9;
/// Largest size of a list when unpacked.
const MAX_UNPACKED_BYTES: usize = 64 * 1024 * 1024;

/// A change of the directory, encoded and compressed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PackedDelta {
    /// Revision of the directory after the change is applied.
    pub revision: Revision,
    bytes: Vec<u8>,
}

/// Tag of the [`AddedColumns`] that follow the [`Columns`].
const ADDED_COLUMNS: u8 = 1;

/// Columns added since the first build in production, which reads only [`Columns`].
#[derive(Serialize, Deserialize)]
struct AddedColumns {
    /// Keys of the incarnations of the targets of [`DirectoryDelta::moved`], of which only state, remaining cold time
    /// or home changed.
    moved_targets: Vec<u64>,
    /// Remaining cold times of the moved targets, in milliseconds; those of `cold_left` are in milliseconds too.
    moved_cold_left: Vec<u32>,
    born: Vec<Born>,
    versions: Vec<String>,
    cold_left: Vec<u32>,
}

/// Packs deltas. The compressor's working memory is allocated once: it takes some megabytes, which the allocator could
/// not reuse if each call allocated them anew among smaller allocations.
pub struct Packer(Compressor<'static>);

impl Packer {
    /// Allocates the working memory.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be allocated.
    pub fn new() -> Result<Self, LinkError> {
        Ok(Packer(Compressor::new(COMPRESSION_LEVEL)?))
    }

    /// Packs a delta. The sequence numbers of announcements are left out, since gateways do not use them.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be encoded.
    pub fn pack(&mut self, delta: DirectoryDelta) -> Result<PackedDelta, LinkError> {
        let mut changed = delta.changed;
        // Homes in ascending order compress best.
        changed.sort_by_key(|listed| listed.home);
        let column = |of: fn(&Announcement) -> &String| {
            changed.iter().map(|listed| of(&listed.announcement).clone()).collect()
        };
        let moved = &delta.moved;
        let added = AddedColumns {
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
        parts::add(&mut plain, ADDED_COLUMNS, &added)?;
        let bytes = self.0.compress(&plain)?;
        Ok(PackedDelta { revision: columns.revision, bytes })
    }
}

impl PackedDelta {
    /// Unpacks the delta.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be decoded.
    pub fn unpack(&self) -> Result<DirectoryDelta, LinkError> {
        let plain_bytes =
            zstd::bulk::Decompressor::upper_bound(&self.bytes).unwrap_or(MAX_UNPACKED_BYTES);
        let plain = zstd::bulk::decompress(&self.bytes, plain_bytes.min(MAX_UNPACKED_BYTES))?;
        let (columns, parts) = parts::decode::<Columns>(&plain)?;
        let added = match parts.get(ADDED_COLUMNS)? {
            Some(added) => added,
            None => AddedColumns::defaults(&columns),
        };
        let Columns { revision, whole, .. } = columns;
        let moved = added.moved_targets.into_iter().zip(columns.moved_targets);
        let moved = moved.zip(columns.moved_states).zip(added.moved_cold_left);
        let moved = moved.zip(columns.moved_homes);
        let moved = moved.map(|((((target, identity), state), cold_left), home)| {
            let cold_left = Duration::from_millis(cold_left.into());
            Moved { target, identity, state, cold_left, home }
        });
        let moved = moved.collect();
        let incarnations = columns.ids.into_iter().zip(added.born);
        let services = columns.services.into_iter().zip(added.versions);
        let places = incarnations.zip(services).zip(columns.addrs);
        let places = places.zip(columns.data_halls).zip(columns.slots);
        let states = columns.states.into_iter().zip(added.cold_left);
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

impl AddedColumns {
    /// Values for a list of a member of the first build, which identifies targets by their id alone.
    fn defaults(columns: &Columns) -> Self {
        let (moved, listed) = (columns.moved_targets.len(), columns.ids.len());
        AddedColumns {
            moved_targets: columns.moved_targets.clone(),
            moved_cold_left: vec![0; moved],
            born: vec![Born::default(); listed],
            versions: vec![String::new(); listed],
            cold_left: vec![0; listed],
        }
    }
}

/// In whole milliseconds, rounded up so that a cold target never seems warm.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}
