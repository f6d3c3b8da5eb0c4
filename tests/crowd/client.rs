//! Clients of a crowd: each sends its bytes and then leaves its connection open.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long a client tries to connect, and how long it tries to go on sending to a process that no longer reads.
const PATIENCE: Duration = Duration::from_secs(10);
/// Bytes that a client writes at once, unless each piece has a write of its own.
const WRITE_BYTES: usize = 64 * 1_024;

/// Pause after which the next write arrives in a segment of its own.
const SEGMENT_PAUSE: Duration = Duration::from_millis(5);

/// How a body is split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Split {
    /// With its length in the head.
    Whole,
    /// In chunks of this many bytes.
    Chunks(usize),
    /// In chunks of this many bytes, each with a chunk extension.
    Extended(usize),
}

impl Split {
    /// The header that announces a body of this length.
    pub fn header(self, length: usize) -> String {
        match self {
            Split::Whole => format!("content-length: {length}\r\n"),
            Split::Chunks(_) | Split::Extended(_) => "transfer-encoding: chunked\r\n".to_owned(),
        }
    }

    /// The body as it is sent, in pieces of one chunk each, and its end.
    pub fn pieces(self, body: &[u8]) -> Vec<Vec<u8>> {
        let (size, extension) = match self {
            Split::Whole => return vec![body.to_vec()],
            Split::Chunks(size) => (size, ""),
            Split::Extended(size) => (size, ";x=abcdefgh"),
        };
        let chunk = |bytes: &[u8]| {
            let mut piece = format!("{:x}{extension}\r\n", bytes.len()).into_bytes();
            piece.extend_from_slice(bytes);
            piece.extend_from_slice(b"\r\n");
            piece
        };
        body.chunks(size).map(chunk).chain([b"0\r\n\r\n".to_vec()]).collect()
    }

    /// A body of this length short of its last byte, with one byte of it in each write.
    pub fn bytewise(self, length: usize) -> Vec<Vec<u8>> {
        let body = vec![b'x'; length - 1];
        match self {
            Split::Whole => body.chunks(1).map(<[u8]>::to_vec).collect(),
            Split::Chunks(_) | Split::Extended(_) => {
                let mut pieces = self.pieces(&body);
                pieces.pop();
                pieces
            }
        }
    }

    /// The body as it is sent, short of its last byte.
    pub fn unfinished(self, body: &[u8]) -> Vec<u8> {
        let mut bytes = match self {
            Split::Whole => return body[..body.len() - 1].to_vec(),
            Split::Chunks(_) | Split::Extended(_) => self.pieces(body).concat(),
        };
        bytes.pop();
        bytes
    }
}

/// What one client sends, in separate writes.
pub type Writes = Vec<Vec<u8>>;

/// Splits bytes into writes of a usual size.
pub fn writes(bytes: &[u8]) -> Writes {
    bytes.chunks(WRITE_BYTES).map(<[u8]>::to_vec).collect()
}

/// A head of this size, short of its last byte.
pub fn unfinished_head(id: &str, max_bytes: usize) -> Vec<u8> {
    let mut head =
        format!("POST /safe/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nx-long: ");
    head.push_str(&"x".repeat(max_bytes - head.len() - 5));
    head.push_str("\r\n\r");
    head.into_bytes()
}

/// Open connections of a crowd.
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Opens connections from `clients` clients at once, which send what `writes` returns for their number. Returns when
    /// each has sent everything, was closed, or is not read any more.
    pub async fn open(addr: SocketAddr, clients: usize, writes: impl Fn(usize) -> Writes) -> Crowd {
        Crowd::open_paced(addr, clients, Duration::ZERO, writes).await
    }

    /// Like [`Crowd::open`], with a pause after each write, so that each arrives in a segment of its own.
    pub async fn open_paced(
        addr: SocketAddr,
        clients: usize,
        pause: Duration,
        writes: impl Fn(usize) -> Writes,
    ) -> Crowd {
        let mut sending = JoinSet::new();
        for number in 0..clients {
            sending.spawn(send(addr, writes(number), pause));
        }
        Crowd(sending.join_all().await.into_iter().flatten().collect())
    }

    /// Opens connections that each send what `head` returns for their number and this body, short of its last byte.
    pub async fn leave_bodies_open(
        addr: SocketAddr,
        clients: usize,
        (split, body): (Split, &[u8]),
        head: impl Fn(usize) -> Vec<u8>,
    ) -> Crowd {
        let unfinished = split.unfinished(body);
        let sent = |number| writes(&[head(number).as_slice(), unfinished.as_slice()].concat());
        Crowd::open(addr, clients, sent).await
    }

    /// Opens connections that each send what `head` returns for their number and a body of this length short of its last
    /// byte, each byte of it in a segment of its own.
    pub async fn send_bytewise(
        addr: SocketAddr,
        clients: usize,
        (split, length): (Split, usize),
        head: impl Fn(usize) -> Vec<u8>,
    ) -> Crowd {
        let sent = |number| [vec![head(number)], split.bytewise(length)].concat();
        Crowd::open_paced(addr, clients, SEGMENT_PAUSE, sent).await
    }

    /// Opens connections that each send a head of this size, short of its last byte.
    pub async fn leave_heads_open(addr: SocketAddr, clients: usize, max_bytes: usize) -> Crowd {
        let sent = |number| writes(&unfinished_head(&format!("crowd-{number}"), max_bytes));
        Crowd::open(addr, clients, sent).await
    }

    /// Opens connections that send nothing.
    pub async fn idle(addr: SocketAddr, clients: usize) -> Crowd {
        Crowd::open(addr, clients, |_| Vec::new()).await
    }

    /// Number of connections that were opened.
    pub fn opened(&self) -> usize {
        self.0.len()
    }
}

async fn send(addr: SocketAddr, writes: Writes, pause: Duration) -> Option<TcpStream> {
    let connecting = tokio::time::timeout(PATIENCE, TcpStream::connect(addr));
    let mut stream = connecting.await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    for bytes in writes {
        let written = tokio::time::timeout(PATIENCE, stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    Some(stream)
}
