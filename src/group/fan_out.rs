//! Who passes a large parcel on to whom: the gateways of one member that have it, and how many fetch
//! it from each.
//!
//! A gateway that has taken a parcel may be named to others at once, so that it spreads as fast as it
//! doubles; one that is slow to pass it on is named less, since it has few places free, and one that
//! did not pass it on is not named again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Notify;

use crate::blob::BlobId;

/// Gateways that fetch a parcel from one other at the same time. On 10 Mbit/s four pieces of 21 KB
/// take 70 ms, in which that gateway's clients wait for it at worst.
const PLACES: u32 = 4;
/// Parcels that are remembered. Who lacks an older one is sent it by the member.
const KEPT: usize = 32;

/// A gateway that passes parcels on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Where others fetch from it.
    pub addr: SocketAddr,
    /// Data hall that it stands in.
    pub data_hall: String,
}

#[derive(Debug)]
struct Holder {
    neighbour: Neighbour,
    /// Places that are free.
    places: u32,
}

#[derive(Debug)]
struct Spread {
    parcel: BlobId,
    holders: Vec<Holder>,
    /// Wakes one of those that wait for a place.
    room: Arc<Notify>,
}

/// Parcels that spread, the newest last.
#[derive(Debug, Default)]
pub struct FanOut(VecDeque<Spread>);

impl FanOut {
    /// Names a gateway that has the parcel and a place free, in the data hall of `to` if there is one,
    /// and takes the place.
    pub fn lend(&mut self, parcel: BlobId, to: &Neighbour) -> Option<SocketAddr> {
        let spread = self.known(parcel)?;
        let free = spread.holders.iter_mut();
        let free = free.filter(|holder| holder.places > 0 && holder.neighbour.addr != to.addr);
        let near = |holder: &Holder| holder.neighbour.data_hall == to.data_hall;
        let holder = free.max_by_key(|holder| (near(holder), holder.places))?;
        holder.places -= 1;
        Some(holder.neighbour.addr)
    }

    /// A gateway has the parcel.
    pub fn hold(&mut self, parcel: BlobId, neighbour: &Neighbour) {
        let spread = self.spread(parcel);
        if spread.holders.iter().any(|holder| holder.neighbour.addr == neighbour.addr) {
            return;
        }
        spread.holders.push(Holder { neighbour: neighbour.clone(), places: PLACES });
        (0..PLACES).for_each(|_| spread.room.notify_one());
    }

    /// A gateway that was named has passed the parcel on.
    pub fn passed_on(&mut self, parcel: BlobId, from: SocketAddr) {
        let Some(spread) = self.known(parcel) else {
            return;
        };
        let mut holders = spread.holders.iter_mut();
        if let Some(holder) = holders.find(|holder| holder.neighbour.addr == from) {
            holder.places += 1;
            spread.room.notify_one();
        }
    }

    /// A gateway that was named did not pass the parcel on.
    pub fn failed(&mut self, parcel: BlobId, from: SocketAddr) {
        if let Some(spread) = self.known(parcel) {
            spread.holders.retain(|holder| holder.neighbour.addr != from);
        }
    }

    /// A gateway is gone, and all that it had.
    pub fn forget(&mut self, gone: SocketAddr) {
        for spread in &mut self.0 {
            spread.holders.retain(|holder| holder.neighbour.addr != gone);
        }
    }

    /// What wakes one of those that wait for a place.
    pub fn room(&mut self, parcel: BlobId) -> Arc<Notify> {
        self.spread(parcel).room.clone()
    }

    fn known(&mut self, parcel: BlobId) -> Option<&mut Spread> {
        self.0.iter_mut().find(|spread| spread.parcel == parcel)
    }

    /// How a parcel spreads; from now on, if it is new.
    fn spread(&mut self, parcel: BlobId) -> &mut Spread {
        let known = self.0.iter().position(|spread| spread.parcel == parcel);
        let at = known.unwrap_or_else(|| {
            if self.0.len() >= KEPT {
                self.0.pop_front();
            }
            self.0.push_back(Spread { parcel, holders: Vec::new(), room: Arc::default() });
            self.0.len() - 1
        });
        &mut self.0[at]
    }
}
