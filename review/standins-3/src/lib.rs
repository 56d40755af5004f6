//! Stand-ins for the cases of the review: a record, entry VM processes, targets, links that can be cut, and a
//! client.

pub mod link;
pub mod target;
pub mod vm;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Host of all routes.
pub const HOST: &str = "h.example";

/// Record of what was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Vec<String>>)>);

impl Default for Record {
    fn default() -> Self {
        Self(Arc::new((Instant::now(), Mutex::default())))
    }
}

impl Record {
    /// Adds a line.
    pub fn log(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.now(), text.as_ref());
        self.0.1.lock().unwrap().push(line);
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    fn text(&self) -> String {
        self.0.1.lock().unwrap().join("\n") + "\n"
    }
}

/// Folders of a case, and whether the disruption is left out.
pub struct Case {
    /// Folder of the record.
    pub folder: PathBuf,
    /// Temporary folder for settings.
    pub temporary: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// The record.
    pub record: Record,
}

impl Case {
    /// Reads the folder of the case from the arguments, and `TROUBLE` from the environment.
    pub fn start() -> Self {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let temporary = std::env::temp_dir().join(format!("sniperelay-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).unwrap();
        end_with_processes(temporary.clone());
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        Self { folder, temporary, has_trouble, record: Record::default() }
    }

    /// Writes the record and ends the program: 1 if the rule was broken, 0 if it held.
    pub fn end(&self, is_broken: bool, verdict: &str) -> ! {
        let verdict = format!("{}: {verdict}", if is_broken { "BROKEN" } else { "held" });
        self.record.log(&verdict);
        println!("{verdict}");
        self.write_and_exit(i32::from(is_broken))
    }

    /// Ends the program because the case could not run.
    pub fn give_up(&self, reason: &str) -> ! {
        self.record.log(format!("the case could not run: {reason}"));
        println!("the case could not run: {reason}");
        self.write_and_exit(2)
    }

    fn write_and_exit(&self, code: i32) -> ! {
        std::fs::write(self.folder.join("record.txt"), self.record.text()).unwrap();
        drop(std::fs::remove_dir_all(&self.temporary));
        vm::kill_all();
        std::process::exit(code)
    }
}

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Ends the program with code 2, and all processes with it, when it panics or takes too long.
fn end_with_processes(temporary: PathBuf) {
    let end = move |reason: &str| {
        eprintln!("the case could not run: {reason}");
        vm::kill_all();
        drop(std::fs::remove_dir_all(&temporary));
        std::process::exit(2)
    };
    let end_late = end.clone();
    std::panic::set_hook(Box::new(move |panic| end(&panic.to_string())));
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        end_late("it took too long")
    });
}

/// An HTTP message whose body has a length.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    /// Status of a response; 0 in a request.
    pub status: u16,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` at the end of the connection.
pub async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(message) = take_message(buffer) {
            return Ok(Some(message));
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk).await? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).to_string();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> =
        fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    let length: usize = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    if buffer.len() < end + 4 + length {
        return None;
    }
    let body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    let is_response = first.starts_with("HTTP/");
    let status = first.split(' ').nth(1).filter(|_| is_response).and_then(|status| status.parse().ok());
    Some(Message { first, status: status.unwrap_or(0), headers, body })
}

/// Sends a request without a body on a new connection; `None` without a response within a second.
pub async fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let call = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        read_message(&mut stream, &mut Vec::new()).await.ok()?
    };
    tokio::time::timeout(Duration::from_secs(1), call).await.ok()?
}

/// One attempt of a client.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id of the request.
    pub id: String,
    /// Path.
    pub path: String,
    /// Time that the client waits.
    pub deadline: Duration,
    /// Further header lines.
    pub headers: String,
}

/// Sends an attempt to an entry VM, on a new connection. Returns the status and the reason of a refusal, or why there is
/// no answer.
pub async fn send(record: Record, vm: SocketAddr, attempt: Attempt) -> Result<(u16, String), String> {
    let answer = send_for_answer(record, vm, attempt).await?;
    Ok((answer.status, answer.header("sniperelay-reason").to_owned()))
}

/// Same as [`send`], but returns the answer.
pub async fn send_for_answer(record: Record, vm: SocketAddr, attempt: Attempt) -> Result<Message, String> {
    let Attempt { id, path, deadline, headers } = attempt;
    record.log(format!("client sends {id} GET {path} to {vm}"));
    let call = async {
        let mut stream = TcpStream::connect(vm).await.map_err(|error| error.to_string())?;
        let millis = deadline.as_millis();
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {millis}\r\n{headers}\r\n"
        );
        stream.write_all(request.as_bytes()).await.map_err(|error| error.to_string())?;
        let answer = read_message(&mut stream, &mut Vec::new()).await.map_err(|error| error.to_string())?;
        answer.ok_or_else(|| "the connection was closed".to_owned())
    };
    let answer = tokio::time::timeout(deadline, call).await.unwrap_or(Err("none in time".to_owned()));
    match answer {
        Ok(answer) => {
            let (status, seal) = (answer.status, answer.header("x-response-seal"));
            let reason = answer.header("sniperelay-reason");
            record.log(format!("client gets {status} for {id}, seal '{seal}', reason '{reason}'"));
            Ok(answer)
        }
        Err(error) => {
            record.log(format!("client gets no answer for {id}: {error}"));
            Err(error)
        }
    }
}
