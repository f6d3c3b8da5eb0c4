//! HTTP/1.1, as far as the stand-ins need it: requests and answers with a length, answers in chunks, kept connections.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request or an answer: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, ahead: Vec::new() }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Connection::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    fn fill(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn bytes(&mut self, count: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads the first line and the headers.
    pub fn read_head(&mut self, until: Instant) -> io::Result<Message> {
        let mut message = Message { first: self.line(until)?, ..Message::default() };
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// The next chunk of a body in chunks; empty at its end.
    pub fn read_chunk(&mut self, until: Instant) -> io::Result<Vec<u8>> {
        let length = self.line(until)?;
        let length = usize::from_str_radix(length.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.bytes(length, until)?;
        self.line(until)?;
        Ok(chunk)
    }

    /// Reads a message whole: its body has a length, comes in chunks, or is empty.
    pub fn read(&mut self, until: Instant) -> io::Result<Message> {
        let mut message = self.read_head(until)?;
        let chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let chunk = self.read_chunk(until)?;
                if chunk.is_empty() {
                    return Ok(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        message.body = self.bytes(length.unwrap_or(0), until)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes a message with a body of known length.
pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let mut connection = Connection::open(addr, timeout)?;
    let host = addr.to_string();
    let mut all = vec![("Host", host.as_str()), ("Connection", "close")];
    all.extend_from_slice(headers);
    if let Some(own) = headers.iter().find(|(name, _)| *name == "Host") {
        all.retain(|(name, value)| *name != "Host" || *value == own.1);
        all.dedup();
    }
    connection.write(&encode(&format!("{method} {path} HTTP/1.1"), &all, body))?;
    connection.read(until)
}

/// Accepts connections until the process ends; each gets a thread that runs `serve`.
pub fn listen(listener: TcpListener, serve: impl Fn(Connection) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}
