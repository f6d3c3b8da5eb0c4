//! Changes of the directory packed for gateways, each once for all gateways that need the same change.

use std::collections::HashMap;
use std::time::Duration;

use super::cursor::{MissingBlob, Progress};
use super::listing::Packer;
use crate::blob::{Blob, Content};
use crate::directory::Directory;
use crate::link::LinkError;
use crate::store::Revision;

/// How long a large blob is reused for all gateways that know the same revision, although the directory has changed
/// since: peers distribute it already, and the gateways get a small change from there. It is short because a target
/// that shuts down must be known to all gateways within some seconds.
const LARGE_BLOB_TTL: Duration = Duration::from_millis(1_000);

/// Returns the revision to start a change from that brings a gateway from `known` to `newest`: `known` rounded down, so
/// that many gateways share one change.
///
/// While thousands of targets start, each of a member's gateways knows another revision, and a change packed for each
/// of them alone is as large as the list. `known` is rounded down to a multiple of the largest power of two that is not
/// above its distance to `newest`, so there are at most two changes for each doubling of the distance, however many
/// gateways there are. A shared change carries at most twice as much as the gateway's own, and what the gateway knows
/// already has no effect. At a start of 10,000 targets, with 100 and 200 gateways up to a hundred batches behind, some
/// 60,000 entries are packed at one moment (`gateway: deltas`).
pub fn shared_base(newest: Revision, known: Revision) -> Revision {
    let Some(exponent) = newest.saturating_sub(known).checked_ilog2() else {
        return known;
    };
    let step = 1 << exponent;
    let base = known - known % step;
    // Base 0 means the whole list, for a gateway that has none.
    if base == 0 { known } else { base }
}

/// A packed change.
struct CachedDelta {
    missing: MissingBlob,
    /// Revision that the change leads to.
    revision: Revision,
    packed_at: Duration,
}

/// Packed changes that lead to the newest directory or, if large, to one of a short time ago, by their base revision.
#[derive(Default)]
pub(super) struct Deltas {
    cached: HashMap<Revision, CachedDelta>,
    packer: Option<Packer>,
}

impl Deltas {
    /// Packs what a gateway lacks that has revision `known`, 0 for none; `None` if it lacks nothing.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be packed.
    pub(super) fn pack(
        &mut self,
        now: Duration,
        directory: &Directory,
        known: Revision,
    ) -> Result<Option<MissingBlob>, LinkError> {
        let newest = directory.revision();
        if newest <= known {
            return Ok(None);
        }
        let usable = |cached: &CachedDelta| {
            let recent = cached.missing.blob.is_large() && now < cached.packed_at + LARGE_BLOB_TTL;
            cached.revision == newest || recent
        };
        self.cached.retain(|_, cached| usable(cached));
        let base = match directory.has_changes_since(known) {
            true => {
                Some(shared_base(newest, known)).filter(|base| directory.has_changes_since(*base))
            }
            // A gateway whose revision is not remembered gets the whole list.
            false => Some(0),
        };
        let base = base.unwrap_or(known);
        if let Some(cached) = self.cached.get(&base).filter(|cached| cached.revision > known) {
            return Ok(Some(cached.missing.clone()));
        }
        let Some(delta) = directory.delta_since(base) else {
            return Ok(None);
        };
        let packer = match &mut self.packer {
            Some(packer) => packer,
            none => none.insert(Packer::new()?),
        };
        let blob = Blob::pack(&Content::Targets(packer.pack(delta)?))?;
        let missing = MissingBlob { blob, advances_to: Progress::Revision(newest) };
        let cached = CachedDelta { missing: missing.clone(), revision: newest, packed_at: now };
        self.cached.insert(base, cached);
        Ok(Some(missing))
    }
}
