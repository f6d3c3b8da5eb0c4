//! Framed TCP connections between members and gateways.
//!
//! A frame is a length, a byte that says whether the rest is compressed, and a [`Message`]. Connections have
//! short timeouts, since a network partition closes no connection.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::{Decoder, FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::clock::Instant;
use crate::serving::buffers::ClientBuffer;

/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a frame that are counted with their connection.
const UNCOUNTED_FRAME_BYTES: usize = 8 * 1024;
/// Messages of at least this size are compressed.
const COMPRESSION_MIN_BYTES: usize = 1_024;
/// Compression level of zstd: the fastest of the regular ones.
const COMPRESSION_LEVEL: i32 = 1;
/// Marks a frame whose message is not compressed.
const PLAIN: u8 = 0;
/// Marks a frame whose message is compressed, after its length of 4 bytes.
const COMPRESSED: u8 = 1;

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimeouts {
    /// For opening the connection.
    pub connect: Duration,
    /// For the acknowledgement of sent bytes by the peer's TCP stack.
    pub unacknowledged: Duration,
}

/// Connects to `addr`, from the local address `source` where one is set.
///
/// # Errors
/// Errors of the socket.
pub async fn connect_from(source: Option<IpAddr>, addr: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(addr).await;
    };
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(addr).await
}

/// A message that is sent in a frame.
pub trait Message: Sized {
    /// Encodes the message.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when the message can't be encoded.
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError>;

    /// Decodes a message.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when the bytes can't be decoded.
    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError>;
}

/// Failure of a connection between processes.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be opened, or failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The peer did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The peer closed the connection.
    #[error("closed by the other side")]
    Closed,
    /// A message can't be encoded or decoded, or is not valid here.
    #[error("a frame can't be read")]
    Garbled,
}

impl LinkError {
    /// Name of the failure in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            LinkError::Io(_) => "connection",
            LinkError::Timeout => "timeout",
            LinkError::Closed => "closed",
            LinkError::Garbled => "garbled",
        }
    }
}

/// The sending half of a connection.
pub struct FrameSender(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// The receiving half of a connection.
pub struct FrameReceiver(FramedRead<TimedRead, CountedCodec>);

/// Decodes frames, and counts the bytes of a frame while it arrives and is decoded.
struct CountedCodec {
    codec: LengthDelimitedCodec,
    /// The account of the connection, if it has one.
    client: Option<Arc<ClientBuffer>>,
    /// Bytes counted.
    counted: usize,
}

impl CountedCodec {
    /// Counts bytes until there are `bytes`, if there is memory for them.
    fn count(&mut self, bytes: usize) -> io::Result<()> {
        let Some(client) = &self.client else {
            return Ok(());
        };
        let more = bytes.saturating_sub(self.counted);
        if more > 0 && !client.try_reserve(more) {
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, "no memory for a frame"));
        }
        self.counted += more;
        Ok(())
    }

    /// Records that a frame was received and decoded.
    fn finish(&mut self) {
        if let Some(client) = &self.client {
            client.release(std::mem::take(&mut self.counted));
            client.record_frame();
        }
    }
}

impl Decoder for CountedCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, arrived: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if arrived.len() > UNCOUNTED_FRAME_BYTES {
            self.count(arrived.len())?;
        }
        self.codec.decode(arrived)
    }
}

/// The receiving half of a socket, with the time of the last read.
struct TimedRead {
    half: OwnedReadHalf,
    last_read_at: Instant,
}

impl AsyncRead for TimedRead {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let timed = self.get_mut();
        let polled = Pin::new(&mut timed.half).poll_read(context, buffer);
        if polled.is_ready() {
            timed.last_read_at = Instant::now();
        }
        polled
    }
}

/// Opens a framed connection to `addr`, from the local address `source` where one is set.
///
/// # Errors
/// [`LinkError`] when it can't be opened in time.
pub async fn dial(
    source: Option<IpAddr>,
    addr: SocketAddr,
    timeouts: LinkTimeouts,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let connecting = tokio::time::timeout(timeouts.connect, connect_from(source, addr));
    let stream = connecting.await.map_err(|_| LinkError::Timeout)??;
    Ok(framed(stream, timeouts)?)
}

/// Splits a connection into a sender and a receiver of frames, and sets its timeout for unacknowledged bytes.
///
/// # Errors
/// When a socket option can't be set.
pub fn framed(
    stream: TcpStream,
    timeouts: LinkTimeouts,
) -> io::Result<(FrameSender, FrameReceiver)> {
    set_tcp_timeouts(&stream, timeouts.unacknowledged)?;
    let (read, write) = stream.into_split();
    let codec = || LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let sender = FrameSender(FramedWrite::new(write, codec()));
    let timed = TimedRead { half: read, last_read_at: Instant::now() };
    let codec = CountedCodec { codec: codec(), client: None, counted: 0 };
    Ok((sender, FrameReceiver(FramedRead::new(timed, codec))))
}

/// Makes a connection fail when sent bytes stay unacknowledged for `timeout`, or when the peer answers no keep-alive
/// probes for about that time (at least a second). Also disables Nagle's algorithm.
///
/// # Errors
/// When a socket option can't be set.
pub fn set_tcp_timeouts(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let whole_second = Duration::from_secs(1);
    let probes =
        TcpKeepalive::new().with_time(timeout.max(whole_second)).with_interval(whole_second);
    socket.set_tcp_keepalive(&probes)
}

impl FrameSender {
    /// Sends a message.
    ///
    /// # Errors
    /// [`LinkError`] when the message can't be encoded or the connection has failed.
    pub async fn send<T: Message>(&mut self, message: &T) -> Result<(), LinkError> {
        self.send_encoded(encode(message)?).await
    }

    /// Sends a message that [`encode`] has encoded.
    ///
    /// # Errors
    /// [`LinkError`] when the connection has failed.
    pub async fn send_encoded(&mut self, frame: Bytes) -> Result<(), LinkError> {
        Ok(self.0.send(frame).await?)
    }
}

/// Encodes a message as a frame, compressed if it is large.
///
/// # Errors
/// [`LinkError::Garbled`] when the message can't be encoded.
pub fn encode<T: Message>(message: &T) -> Result<Bytes, LinkError> {
    let payload = message.to_bytes()?;
    let mut frame = Vec::with_capacity(payload.len() + 1);
    if payload.len() < COMPRESSION_MIN_BYTES {
        frame.push(PLAIN);
        frame.extend(payload);
    } else {
        frame.push(COMPRESSED);
        frame.extend((payload.len() as u32).to_le_bytes());
        frame.extend(zstd::bulk::compress(&payload, COMPRESSION_LEVEL)?);
    }
    Ok(frame.into())
}

impl FrameReceiver {
    /// Counts the memory of frames to `client` from now on.
    pub(crate) fn counted(mut self, client: Arc<ClientBuffer>) -> Self {
        self.0.decoder_mut().client = Some(client);
        self
    }

    /// When data was last read from the socket. This advances while a long frame arrives over a busy link, so that
    /// the peer doesn't count as unresponsive meanwhile.
    pub fn last_read_at(&self) -> Instant {
        self.0.get_ref().last_read_at
    }

    /// Waits for the next message.
    ///
    /// # Errors
    /// [`LinkError`] when the connection has failed or is closed, or the message can't be decoded.
    pub async fn receive<T: Message>(&mut self) -> Result<T, LinkError> {
        let frame = self.0.next().await.ok_or(LinkError::Closed)??;
        let message = self.decode(&frame)?;
        drop(frame);
        self.0.decoder_mut().finish();
        Ok(message)
    }

    fn decode<T: Message>(&mut self, frame: &[u8]) -> Result<T, LinkError> {
        match frame.split_first() {
            Some((&PLAIN, payload)) => T::from_bytes(payload),
            Some((&COMPRESSED, rest)) => {
                let (len, packed) = rest.split_at_checked(4).ok_or(LinkError::Garbled)?;
                let len = u32::from_le_bytes(len.try_into().map_err(|_| LinkError::Garbled)?);
                let len = (len as usize).min(MAX_FRAME_BYTES);
                self.0.decoder_mut().count(frame.len() + len)?;
                T::from_bytes(&zstd::bulk::decompress(packed, len)?)
            }
            _ => Err(LinkError::Garbled),
        }
    }
}
