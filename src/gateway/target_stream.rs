//! A connection to a target, bounded in what it may read without any result.
//!
//! Bytes that are no answer may come without end: interim answers, or the zeros of a chunk's size. The HTTP library
//! consumes them as they arrive, so neither its buffer nor the time of a single read bounds them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::fair_read::FairRead;

/// Bytes that may be read without the head of an answer or a piece of its body. Heads are at most 64 KiB long, and the
/// library reads up to as much ahead.
pub const MAX_FRUITLESS_BYTES: usize = 256 * 1024;

/// Bytes read from a connection since the last result: the head of an answer or a piece of its body.
#[derive(Debug, Default)]
pub struct FruitlessBytes(AtomicUsize);

impl FruitlessBytes {
    /// Records a result, or that a request is sent.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// If they are more than [`MAX_FRUITLESS_BYTES`] without a result.
    pub fn count(&self, read: usize) -> io::Result<()> {
        if self.0.fetch_add(read, Ordering::Relaxed) + read <= MAX_FRUITLESS_BYTES {
            return Ok(());
        }
        let why = format!("no answer within {MAX_FRUITLESS_BYTES} bytes");
        Err(io::Error::new(io::ErrorKind::InvalidData, why))
    }
}

/// A connection to a target.
pub(super) struct TargetStream {
    stream: TcpStream,
    turn: FairRead,
    fruitless: Arc<FruitlessBytes>,
}

impl TargetStream {
    pub(super) fn new(stream: TcpStream, fruitless: Arc<FruitlessBytes>) -> Self {
        TargetStream { stream, turn: FairRead::default(), fruitless }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.turn.poll_turn(context).is_pending() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        match Pin::new(&mut this.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                let read = buffer.filled().len() - before;
                this.turn.note_read(read);
                Poll::Ready(this.fruitless.count(read))
            }
            Poll::Pending => {
                this.turn.note_empty();
                Poll::Pending
            }
            failed => failed,
        }
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of an answer, each piece of which is a result.
pub(super) struct TargetBody {
    body: Incoming,
    fruitless: Arc<FruitlessBytes>,
}

impl TargetBody {
    /// The body of an answer whose head has just arrived.
    pub(super) fn new(body: Incoming, fruitless: Arc<FruitlessBytes>) -> Self {
        fruitless.reset();
        TargetBody { body, fruitless }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            this.fruitless.reset();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
