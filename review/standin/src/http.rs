//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response that has been read completely.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers; names in lower case.
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

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads one message. Returns `None` if the connection ends before its first byte.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = vec![0; 64 * 1024];
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(invalid("ended within a head")),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { first_line, headers, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(invalid("ended within a body")),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// What a client saw of one request.
#[derive(Debug, Clone)]
pub enum Outcome {
    Answered(Message),
    /// The connection ended without a complete answer.
    Closed(String),
    /// No connection could be made.
    NotConnected,
    /// The client gave up.
    GaveUp,
}

impl Outcome {
    pub fn text(&self) -> String {
        match self {
            Self::Answered(message) => message.status().to_string(),
            Self::Closed(error) => format!("closed without an answer ({error})"),
            Self::NotConnected => "no connection".to_owned(),
            Self::GaveUp => "gave up".to_owned(),
        }
    }
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and waits for its answer until its deadline.
pub fn send(address: SocketAddr, request: &ClientRequest) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Outcome::NotConnected;
    };
    send_on(&mut stream, request)
}

/// Sends a request on a connection and waits for its answer until its deadline.
pub fn send_on(stream: &mut TcpStream, request: &ClientRequest) -> Outcome {
    let started = Instant::now();
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(request.deadline));
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n",
        request.method,
        request.path,
        request.host,
        request.id,
        request.deadline.as_millis()
    );
    if request.method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    head.push_str("\r\n");
    if let Err(error) = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&request.body)) {
        return Outcome::Closed(format!("while sending: {error}"));
    }
    let left = request.deadline.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    match read_message(stream, &mut Vec::new()) {
        Ok(Some(message)) => Outcome::Answered(message),
        Ok(None) => Outcome::Closed("end of the connection".to_owned()),
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            Outcome::GaveUp
        }
        Err(error) => Outcome::Closed(error.to_string()),
    }
}
