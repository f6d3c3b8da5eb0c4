//! Crowds of clients that leave their requests open just short of the end, at gateways and members.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::client::{Split, writes};

/// Clients of one crowd.
const CLIENTS: std::ops::Range<usize> = 20..80;
/// Bytes of a body, within the limit of the configuration in the soak.
const BODY_BYTES: std::ops::Range<usize> = 2..100_000;
/// How long a crowd stays, in milliseconds.
const STAY_MS: std::ops::Range<u64> = 500..8_000;
/// Chance that a client whose connection was closed comes back at once.
const RETURN_CHANCE: f64 = 0.5;
/// Chance that a client sends its bytes one by one.
const BYTEWISE_CHANCE: f64 = 0.2;

/// What a crowd opens and does not finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opens {
    /// Requests to a gateway.
    Requests,
    /// Configurations and announcements at a member.
    Calls,
    /// Connections on which nothing is sent.
    Nothing,
}

/// Starts a crowd at a process, drawn from `rng`. It leaves by itself.
pub fn start(rng: &mut StdRng, addr: SocketAddr, opens: Opens) -> JoinHandle<()> {
    let clients = rng.random_range(CLIENTS);
    let stay = Duration::from_millis(rng.random_range(STAY_MS));
    let plans: Vec<(Vec<Vec<u8>>, bool)> = (0..clients)
        .map(|number| (draw(rng, opens, number), rng.random_bool(RETURN_CHANCE)))
        .collect();
    tokio::spawn(async move {
        let visits = plans.iter().map(|(sent, returns)| visit(addr, sent, *returns));
        let _ = tokio::time::timeout(stay, futures_util::future::join_all(visits)).await;
    })
}

/// What one client writes, in separate writes. It never ends its request, so that none of them can run.
fn draw(rng: &mut StdRng, opens: Opens, number: usize) -> Vec<Vec<u8>> {
    let length = rng.random_range(BODY_BYTES);
    let split = match rng.random_range(0..4) {
        0 => Split::Whole,
        1 => Split::Chunks(1),
        2 => Split::Extended(100),
        _ => Split::Chunks(rng.random_range(2..20_000)),
    };
    let head = match opens {
        Opens::Nothing => return Vec::new(),
        Opens::Requests => format!(
            "POST /safe/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: crowd-{number}\r\n\
             x-credential: key-a\r\nx-deadline-ms: 10000\r\n{}\r\n",
            split.header(length)
        ),
        Opens::Calls if rng.random_bool(0.5) => {
            format!("PUT /config HTTP/1.1\r\nhost: member\r\n{}\r\n", split.header(length))
        }
        Opens::Calls => format!(
            "PUT /instances/crowd-{number} HTTP/1.1\r\nhost: member\r\n{}\r\n",
            split.header(length)
        ),
    };
    let mut bytes = head.into_bytes();
    bytes.extend(split.unfinished(&vec![b' '; length]));
    bytes.truncate(rng.random_range(1..=bytes.len()));
    if rng.random_bool(BYTEWISE_CHANCE) {
        bytes.truncate(2_000);
        return bytes.chunks(1).map(<[u8]>::to_vec).collect();
    }
    writes(&bytes)
}

/// Sends the bytes and keeps the connection, or comes back with the same bytes as often as it is closed.
async fn visit(addr: SocketAddr, sent: &[Vec<u8>], returns: bool) {
    loop {
        let Ok(mut stream) = TcpStream::connect(addr).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        for bytes in sent {
            if stream.write_all(bytes).await.is_err() {
                break;
            }
        }
        let mut answer = [0; 256];
        while matches!(tokio::io::AsyncReadExt::read(&mut stream, &mut answer).await, Ok(1..)) {}
        if !returns {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
