//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A parsed message: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads the next message. Returns `None` if the connection ends, fails or the time is over first.
    pub fn read(&mut self, timeout: Duration) -> Option<Message> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(message) = self.take() {
                return Some(message);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.stream.set_read_timeout(Some(left)).ok()?;
            let mut chunk = [0; 16384];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
            }
        }
    }

    fn take(&mut self) -> Option<Message> {
        let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_string();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let split = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers: Vec<(String, String)> = lines.filter_map(split).collect();
        let mut message = Message { first_line, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if self.buffer.len() < end + 4 + length {
            return None;
        }
        message.body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Some(message)
    }
}

/// Encodes a response.
pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub headers: &'a [(&'a str, String)],
    pub body: &'a [u8],
}

impl Attempt<'_> {
    fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// Sends one request on a new connection. The client leaves at its deadline.
pub fn send(address: &str, attempt: &Attempt<'_>) -> Option<Message> {
    let address = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    send_on(&mut Reader::new(stream), attempt)
}

/// Sends one request on an open connection.
pub fn send_on(reader: &mut Reader, attempt: &Attempt<'_>) -> Option<Message> {
    reader.stream.set_nodelay(true).ok()?;
    reader.stream.write_all(&attempt.encode()).ok()?;
    reader.read(Duration::from_millis(attempt.deadline_ms))
}
