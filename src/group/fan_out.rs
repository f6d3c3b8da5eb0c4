//! Peer-to-peer distribution of large blobs: which gateways of this member have a blob, and which of them the next
//! gateway fetches it from.
//!
//! A gateway becomes a source as soon as it has the blob, so the number of sources can double with each round of
//! fetches. A slow source has few uploads free and so is assigned less often; one that failed to deliver a blob is not
//! assigned again for it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Notify;

use crate::blob::BlobId;

/// Concurrent uploads of a blob by one gateway. On a link of 10 Mbit/s, four blobs of 21 KB take 70 ms, which is the
/// longest that this gateway's clients wait for them.
const MAX_UPLOADS: u32 = 4;
/// Blobs whose sources are tracked. A gateway that lacks an older one is sent it by the member.
const MAX_BLOBS: usize = 32;

/// A gateway that takes part in peer-to-peer distribution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerGateway {
    /// Address where it serves blobs.
    pub addr: SocketAddr,
    /// Its data hall.
    pub data_hall: String,
}

#[derive(Debug)]
struct Holder {
    gateway: PeerGateway,
    free_uploads: u32,
}

#[derive(Debug)]
struct Distribution {
    blob: BlobId,
    holders: Vec<Holder>,
    /// Notifies one waiting gateway's task for each upload that becomes free.
    upload_freed: Arc<Notify>,
}

/// Blobs in distribution, the newest last.
#[derive(Debug, Default)]
pub struct FanOut(VecDeque<Distribution>);

impl FanOut {
    /// Picks a gateway that has the blob and a free upload, if possible in the data hall of `to`, and takes the upload.
    pub fn assign_source(&mut self, blob: BlobId, to: &PeerGateway) -> Option<SocketAddr> {
        let distribution = self.find(blob)?;
        let free = distribution.holders.iter_mut();
        let free = free.filter(|holder| holder.free_uploads > 0 && holder.gateway.addr != to.addr);
        let near = |holder: &Holder| holder.gateway.data_hall == to.data_hall;
        let holder = free.max_by_key(|holder| (near(holder), holder.free_uploads))?;
        holder.free_uploads -= 1;
        Some(holder.gateway.addr)
    }

    /// Records that a gateway has the blob.
    pub fn add_holder(&mut self, blob: BlobId, gateway: &PeerGateway) {
        let distribution = self.find_or_insert(blob);
        if distribution.holders.iter().any(|holder| holder.gateway.addr == gateway.addr) {
            return;
        }
        distribution.holders.push(Holder { gateway: gateway.clone(), free_uploads: MAX_UPLOADS });
        (0..MAX_UPLOADS).for_each(|_| distribution.upload_freed.notify_one());
    }

    /// Frees the upload of a source that delivered the blob, or whose receiver disconnected.
    pub fn release_upload(&mut self, blob: BlobId, from: SocketAddr) {
        let Some(distribution) = self.find(blob) else {
            return;
        };
        let mut holders = distribution.holders.iter_mut();
        if let Some(holder) = holders.find(|holder| holder.gateway.addr == from) {
            holder.free_uploads += 1;
            distribution.upload_freed.notify_one();
        }
    }

    /// Drops a source that did not deliver the blob.
    pub fn fetch_failed(&mut self, blob: BlobId, from: SocketAddr) {
        if let Some(distribution) = self.find(blob) {
            distribution.holders.retain(|holder| holder.gateway.addr != from);
        }
    }

    /// Drops a disconnected gateway as a source of all blobs.
    pub fn remove_gateway(&mut self, gateway: SocketAddr) {
        for distribution in &mut self.0 {
            distribution.holders.retain(|holder| holder.gateway.addr != gateway);
        }
    }

    /// Notified once for each upload of the blob that becomes free.
    pub fn upload_freed(&mut self, blob: BlobId) -> Arc<Notify> {
        self.find_or_insert(blob).upload_freed.clone()
    }

    fn find(&mut self, blob: BlobId) -> Option<&mut Distribution> {
        self.0.iter_mut().find(|distribution| distribution.blob == blob)
    }

    /// Finds a blob's distribution, or starts it and drops the oldest if there are too many.
    fn find_or_insert(&mut self, blob: BlobId) -> &mut Distribution {
        let known = self.0.iter().position(|distribution| distribution.blob == blob);
        let at = known.unwrap_or_else(|| {
            if self.0.len() >= MAX_BLOBS {
                self.0.pop_front();
            }
            self.0.push_back(Distribution {
                blob,
                holders: Vec::new(),
                upload_freed: Arc::default(),
            });
            self.0.len() - 1
        });
        &mut self.0[at]
    }
}
