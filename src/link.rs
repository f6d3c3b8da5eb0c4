//! Framed connections between the processes of the project.
//!
//! A frame is a length, a byte that tells whether the rest is compressed, and a [`Message`].
//! Connections give up soon when the other side falls silent, since a cut network says nothing.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::clock::Instant;

/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Messages from this length on are compressed.
const COMPRESS_FROM_BYTES: usize = 1_024;
/// Compression level: the cheapest.
const LEVEL: i32 = 1;
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// How fast a connection gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimeouts {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time that sent bytes stay unacknowledged.
    pub unacknowledged: Duration,
}

/// Connects to `addr` from the address `source`, where one is set: on a host with several.
///
/// # Errors
/// Those of the socket.
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

/// A message that goes over a link.
pub trait Message: Sized {
    /// Encodes it.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when it can't be encoded.
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError>;

    /// Decodes it.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when it can't be decoded.
    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError>;
}

/// A link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be made, or broke.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The other side did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The other side closed the connection.
    #[error("closed by the other side")]
    Closed,
    /// A frame can't be read.
    #[error("a frame can't be read")]
    Garbled,
}

impl LinkError {
    /// The kind of failure, as it stands in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            LinkError::Io(_) => "connection",
            LinkError::Timeout => "timeout",
            LinkError::Closed => "closed",
            LinkError::Garbled => "garbled",
        }
    }
}

/// The half of a connection that sends.
pub struct FrameSender(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// The half of a connection that receives.
pub struct FrameReceiver(FramedRead<Watched, LengthDelimitedCodec>);

/// A connection that notes when bytes came.
struct Watched {
    half: OwnedReadHalf,
    last_read_at: Instant,
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let watched = self.get_mut();
        let polled = Pin::new(&mut watched.half).poll_read(context, buffer);
        if polled.is_ready() {
            watched.last_read_at = Instant::now();
        }
        polled
    }
}

/// Connects to `addr`.
///
/// # Errors
/// [`LinkError`] when no connection comes about in time.
pub async fn dial(
    source: Option<IpAddr>,
    addr: SocketAddr,
    timing: LinkTimeouts,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let connecting = tokio::time::timeout(timing.connect, connect_from(source, addr));
    let stream = connecting.await.map_err(|_| LinkError::Timeout)??;
    Ok(framed(stream, timing)?)
}

/// Makes frames of a connection.
///
/// # Errors
/// When the socket takes none of the options that make it give up.
pub fn framed(stream: TcpStream, timing: LinkTimeouts) -> io::Result<(FrameSender, FrameReceiver)> {
    set_tcp_timeouts(&stream, timing.unacknowledged)?;
    let (read, write) = stream.into_split();
    let codec = || LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let sender = FrameSender(FramedWrite::new(write, codec()));
    let watched = Watched { half: read, last_read_at: Instant::now() };
    Ok((sender, FrameReceiver(FramedRead::new(watched, codec()))))
}

/// Lets a socket fail when sent bytes stay unacknowledged for `silence`, or when the other side
/// answers no probe for about as long.
///
/// # Errors
/// When the socket takes none of the options.
pub fn set_tcp_timeouts(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let whole_second = Duration::from_secs(1);
    let probes =
        TcpKeepalive::new().with_time(silence.max(whole_second)).with_interval(whole_second);
    socket.set_tcp_keepalive(&probes)
}

impl FrameSender {
    /// Sends a message.
    ///
    /// # Errors
    /// [`LinkError`] when the connection is broken.
    pub async fn send<T: Message>(&mut self, message: &T) -> Result<(), LinkError> {
        self.send_encoded(encode(message)?).await
    }

    /// Sends what [`encode`] made of a message.
    ///
    /// # Errors
    /// [`LinkError`] when the connection is broken.
    pub async fn send_encoded(&mut self, frame: Bytes) -> Result<(), LinkError> {
        Ok(self.0.send(frame).await?)
    }
}

/// Makes a frame of a message.
///
/// # Errors
/// [`LinkError::Garbled`] when the message can't be encoded.
pub fn encode<T: Message>(message: &T) -> Result<Bytes, LinkError> {
    let payload = message.to_bytes()?;
    let mut frame = Vec::with_capacity(payload.len() + 1);
    if payload.len() < COMPRESS_FROM_BYTES {
        frame.push(PLAIN);
        frame.extend(payload);
    } else {
        frame.push(COMPRESSED);
        frame.extend((payload.len() as u32).to_le_bytes());
        frame.extend(zstd::bulk::compress(&payload, LEVEL)?);
    }
    Ok(frame.into())
}

impl FrameReceiver {
    /// When bytes last came: a long frame on a busy link takes its time, and is no silence.
    pub fn last_read_at(&self) -> Instant {
        self.0.get_ref().last_read_at
    }

    /// Waits for the next message.
    ///
    /// # Errors
    /// [`LinkError`] when the connection is broken or closed.
    pub async fn receive<T: Message>(&mut self) -> Result<T, LinkError> {
        let frame = self.0.next().await.ok_or(LinkError::Closed)??;
        match frame.split_first() {
            Some((&PLAIN, payload)) => T::from_bytes(payload),
            Some((&COMPRESSED, rest)) => {
                let (len, packed) = rest.split_at_checked(4).ok_or(LinkError::Garbled)?;
                let len = u32::from_le_bytes(len.try_into().map_err(|_| LinkError::Garbled)?);
                let len = (len as usize).min(MAX_FRAME_BYTES);
                T::from_bytes(&zstd::bulk::decompress(packed, len)?)
            }
            _ => Err(LinkError::Garbled),
        }
    }
}
