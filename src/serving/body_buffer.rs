//! A body that arrives in pieces, in one piece of memory that is counted as it grows.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;

use super::buffers::ClientBuffer;

/// Bodies of at least this size use memory that an earlier one has left, if there is any, in bytes: new memory costs a
/// page fault for each page.
const SPARE_MIN_BYTES: usize = 256 * 1024;
/// Smallest memory for a body that does not arrive in one piece, in bytes.
const MIN_GROWTH_BYTES: usize = 4 * 1024;

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// It is larger than the listener allows.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// It broke off or is malformed.
    #[error("the body broke off or is malformed")]
    BrokeOff,
    /// It did not arrive in time, or its connection is closed to make room for others.
    #[error("the body came too slowly")]
    TooSlow,
    /// The memory of the listener is used up.
    #[error("no memory is left for the body")]
    NoMemory,
}

impl BodyError {
    /// HTTP status of the answer to such a request, which was not run. Callers repeat it after all but the first two.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::BrokeOff => StatusCode::BAD_REQUEST,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Reads a body of at most `max_bytes`, while the process waits for the client.
pub(super) async fn read<B>(
    client: &Arc<ClientBuffer>,
    body: B,
    max_bytes: usize,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let _waiting = client.start_waiting();
    tokio::select! {
        read = gather(client, body, max_bytes) => read,
        () = client.wait_for_close() => Err(BodyError::TooSlow),
    }
}

async fn gather<B>(
    client: &Arc<ClientBuffer>,
    mut body: B,
    max_bytes: usize,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact().map(|length| length as usize);
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLarge { max_bytes });
    }
    let mut gathered = client.new_body(announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::BrokeOff)?;
        let piece = frame.into_data().unwrap_or_default();
        if gathered.length() + piece.len() > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        if !gathered.push(&piece).await {
            return Err(BodyError::NoMemory);
        }
    }
    Ok(gathered.into_body())
}

/// A body that has not arrived completely. The bytes are copied, since a piece refers to the whole buffer that it was
/// read into.
pub(crate) struct BodyBuffer {
    client: Arc<ClientBuffer>,
    bytes: Vec<u8>,
    /// Bytes counted in the ledger: the capacity of `bytes`.
    counted: usize,
    /// Length that the sender announced, if it did.
    announced: Option<usize>,
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        self.client.release(self.counted);
    }
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of `announced` bytes, where that is known.
    pub(super) fn new(client: Arc<ClientBuffer>, announced: Option<usize>) -> Self {
        BodyBuffer { client, bytes: Vec::new(), counted: 0, announced }
    }

    /// Appends a piece. Waits for memory that is being freed; returns false if there is none.
    pub(crate) async fn push(&mut self, piece: &[u8]) -> bool {
        self.use_spare(piece.len());
        let growth = self.growth(piece.len());
        if growth > 0 && !self.client.reserve(growth).await {
            return false;
        }
        self.append(piece, growth);
        true
    }

    /// Like [`BodyBuffer::push`], but returns false at once if there is no memory as it is.
    pub(crate) fn try_push(&mut self, piece: &[u8]) -> bool {
        let growth = self.growth(piece.len());
        if growth > 0 && !self.client.try_reserve(growth) {
            return false;
        }
        self.append(piece, growth);
        true
    }

    /// Goes on in memory that an earlier body has left, once this one is large enough.
    fn use_spare(&mut self, piece: usize) {
        let needed = self.bytes.len() + piece;
        if needed < SPARE_MIN_BYTES || needed <= self.counted {
            return;
        }
        let Some(mut spare) = self.client.take_spare(self.announced.unwrap_or(needed)) else {
            return;
        };
        let more = spare.capacity() - self.counted;
        if self.client.reserve_free(more) {
            spare.extend_from_slice(&self.bytes);
            self.counted += more;
            self.bytes = spare;
        }
    }

    /// Bytes of memory that are missing for a piece: the capacity doubles, up to the announced length.
    fn growth(&self, piece: usize) -> usize {
        let needed = self.bytes.len() + piece;
        if needed <= self.counted {
            return 0;
        }
        let doubled = (2 * self.counted).max(MIN_GROWTH_BYTES);
        let most = self.announced.unwrap_or(usize::MAX);
        let first = self.bytes.is_empty() && self.announced.is_none_or(|length| length == piece);
        let capacity = if first { needed } else { doubled.min(most).max(needed) };
        capacity - self.counted
    }

    fn append(&mut self, piece: &[u8], growth: usize) {
        self.counted += growth;
        self.bytes.reserve_exact(self.counted - self.bytes.len());
        self.bytes.extend_from_slice(piece);
    }

    /// Bytes that have arrived.
    pub(crate) fn length(&self) -> usize {
        self.bytes.len()
    }

    /// The bytes, and how many are counted for them. The caller takes over the count.
    fn take(&mut self) -> (Vec<u8>, usize) {
        let unused = self.counted - self.bytes.len();
        // A large piece that is mostly used is kept as it is for a later body.
        if unused > self.counted / 4 || self.counted < SPARE_MIN_BYTES {
            self.bytes.shrink_to_fit();
            self.counted -= unused;
            self.client.release(unused);
        }
        (std::mem::take(&mut self.bytes), std::mem::take(&mut self.counted))
    }

    /// The complete body of a request, counted until its last copy is dropped.
    pub(crate) fn into_body(mut self) -> Bytes {
        let (body, counted) = self.take();
        if body.is_empty() {
            self.client.release(counted);
            return Bytes::new();
        }
        Bytes::from_owner(CountedBytes { bytes: body, counted, client: self.client.clone() })
    }

    /// An answer, counted until the client has read it.
    pub(crate) fn into_answer(mut self) -> Bytes {
        let (answer, counted) = self.take();
        if answer.is_empty() {
            self.client.release(counted);
            return Bytes::new();
        }
        self.client.wrap_unread(Bytes::from(answer), counted)
    }
}

/// The body of a request, counted until dropped.
struct CountedBytes {
    bytes: Vec<u8>,
    counted: usize,
    client: Arc<ClientBuffer>,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.client.release(self.counted);
        if bytes.capacity() >= SPARE_MIN_BYTES {
            self.client.keep_spare(bytes);
        }
    }
}
