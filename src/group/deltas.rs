//! Changes of the directory as they go to gateways, each packed once for all that know about the same.

use std::collections::HashMap;
use std::time::Duration;

use super::cursor::{Brings, Piece};
use super::listing::Packer;
use crate::blob::{Blob, Content};
use crate::directory::Directory;
use crate::link::LinkError;
use crate::store::Revision;

/// How long a large parcel stays the one for all gateways that know the same, though the directory has
/// changed since: gateways pass it on already, and get the rest as a small change from there. A leaving
/// target must be known everywhere within some seconds.
const LARGE_KEPT_FOR: Duration = Duration::from_millis(1_000);

/// The revision that a gateway with `known` is brought from to `newest`: an earlier one that many share.
///
/// While thousands of targets start, each of a member's gateways knows another revision, and a change packed for each
/// of them alone is as large as the list. Rounded down, two gateways share a change where their distances to the newest
/// are alike, so that there are two changes for each doubling of the distance at most, however many gateways there are. A
/// shared change brings at most twice as much as the gateway's own, and what it knows already changes nothing. At a start of
/// 10,000 targets, 100 and 200 gateways late by up to a hundred batches, some 60,000 entries are packed at one moment
/// (`gateway: deltas`).
pub fn shared_base(newest: Revision, known: Revision) -> Revision {
    let Some(octave) = newest.saturating_sub(known).checked_ilog2() else {
        return known;
    };
    let grid = 1 << octave;
    let base = known - known % grid;
    // Nothing stands for a gateway that has no list at all.
    if base == 0 { known } else { base }
}

/// A packed change.
struct Kept {
    piece: Piece,
    revision: Revision,
    /// When it was packed.
    at: Duration,
}

/// The newest directory, as packed for gateways by what they know.
#[derive(Default)]
pub(super) struct Deltas {
    kept: HashMap<Revision, Kept>,
    packer: Option<Packer>,
}

impl Deltas {
    /// Packs what a gateway lacks that has revision `known`, 0 for none.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be packed.
    pub(super) fn pack(
        &mut self,
        now: Duration,
        directory: &Directory,
        known: Revision,
    ) -> Result<Option<Piece>, LinkError> {
        let newest = directory.revision();
        if newest <= known {
            return Ok(None);
        }
        let holds = |kept: &Kept| {
            let lately = kept.piece.parcel.is_large() && now < kept.at + LARGE_KEPT_FOR;
            kept.revision == newest || lately
        };
        self.kept.retain(|_, kept| holds(kept));
        let base = match directory.remembers(known) {
            true => Some(shared_base(newest, known)).filter(|base| directory.remembers(*base)),
            // Whoever knows a revision that is not remembered gets the whole list.
            false => Some(0),
        };
        let base = base.unwrap_or(known);
        if let Some(kept) = self.kept.get(&base).filter(|kept| kept.revision > known) {
            return Ok(Some(kept.piece.clone()));
        }
        let Some(delta) = directory.since(base) else {
            return Ok(None);
        };
        let packer = match &mut self.packer {
            Some(packer) => packer,
            none => none.insert(Packer::new()?),
        };
        let parcel = Blob::pack(&Content::Targets(packer.pack(delta)?))?;
        let piece = Piece { parcel, brings: Brings::Revision(newest) };
        let kept = Kept { piece: piece.clone(), revision: newest, at: now };
        self.kept.insert(base, kept);
        Ok(Some(piece))
    }
}
