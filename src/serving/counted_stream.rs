//! A connection of a client whose read buffer is counted.
//!
//! The HTTP library doubles its read buffer when reads fill it. This happens only while there is memory for it: otherwise
//! reads are kept shorter than the buffer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

use super::buffers::ClientBuffer;
use crate::fair_read::FairRead;

/// Size of a read buffer that is counted with its connection, in bytes.
const FREE_READ_BYTES: usize = 8 * 1024;

/// A connection of a client.
pub(super) struct CountedStream {
    stream: Take<TcpStream>,
    client: Arc<ClientBuffer>,
    /// Size of the read buffer that is counted.
    counted: usize,
    /// Bytes of a head that have arrived.
    head: usize,
    turn: FairRead,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, client: Arc<ClientBuffer>) -> Self {
        let (stream, turn) = (stream.take(0), FairRead::default());
        CountedStream { stream, client, counted: FREE_READ_BYTES, head: 0, turn }
    }

    /// How many bytes may be read into a buffer with room for `offered`.
    fn allowed(&mut self, offered: usize) -> usize {
        if offered <= self.counted {
            return offered;
        }
        if self.client.reserve_free(offered - self.counted) {
            self.counted = offered;
            return offered;
        }
        FREE_READ_BYTES - 1
    }

    /// Counts the bytes of a head, all of which stay in the read buffer until it is complete.
    fn count_head(&mut self, read: usize) -> io::Result<()> {
        if self.client.in_request() {
            self.head = 0;
            return Ok(());
        }
        self.head += read;
        if self.head <= self.counted {
            return Ok(());
        }
        if !self.client.try_reserve(self.head - self.counted) {
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, "no memory for a long head"));
        }
        self.counted = self.head;
        Ok(())
    }
}

impl AsyncRead for CountedStream {
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
        let allowed = this.allowed(buffer.remaining());
        this.stream.set_limit(allowed as u64);
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        if polled.is_pending() {
            this.turn.note_empty();
        }
        if !matches!(polled, Poll::Ready(Ok(()))) {
            return polled;
        }
        let read = buffer.filled().len() - before;
        this.turn.note_read(read);
        Poll::Ready(this.count_head(read))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_shutdown(context)
    }
}
