//! Callers, and what they were told.

use crate::soak::fleet::SoakFleet;
use crate::soak::target::{TargetLedger, answer_body};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which a caller gives up.
const PATIENCE: Duration = Duration::from_millis(2500);

/// A message of the protocol.
#[derive(Debug)]
pub struct WireMessage {
    /// Request or status line.
    pub first_line: String,
    fields: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl WireMessage {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.clone())
    }

    fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a length; `None` when it does not arrive whole.
pub async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<WireMessage> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            let mut lines = head.lines();
            let first_line = lines.next()?.to_owned();
            let split = |line: &str| {
                line.split_once(':').map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
            };
            let fields: Vec<(String, String)> = lines.filter_map(split).collect();
            let mut message = WireMessage { first_line, fields, body: String::new() };
            let length: usize =
                message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let bytes: Vec<u8> = buffer.drain(..end + 4 + length).skip(end + 4).collect();
                message.body = String::from_utf8_lossy(&bytes).to_string();
                return Some(message);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

#[derive(Debug)]
struct ToldRequest {
    id: String,
    is_claim: bool,
    /// Status, if an answer came.
    status: Option<u16>,
    is_own_body: bool,
}

/// What all callers were told.
#[derive(Debug, Clone, Default)]
pub struct CallerLedger {
    told: Arc<Mutex<Vec<ToldRequest>>>,
    is_stopped: Arc<AtomicBool>,
}

impl CallerLedger {
    fn lock(&self) -> MutexGuard<'_, Vec<ToldRequest>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the callers.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Requests sent and served.
    pub fn counts(&self) -> (usize, usize) {
        let told = self.lock();
        (told.len(), told.iter().filter(|request| request.status == Some(200)).count())
    }

    /// Broken promises.
    pub fn check(&self, runs: &TargetLedger) -> Vec<String> {
        let told = self.lock();
        let broken = told.iter().filter_map(|request| {
            let runs = runs.runs(&request.id);
            let id = &request.id;
            match request.status {
                _ if request.is_claim && runs > 1 => Some(format!("claim {id} ran {runs} times")),
                Some(status @ (429 | 503 | 408 | 421)) if request.is_claim && runs > 0 => {
                    Some(format!("claim {id} ran and was answered {status}"))
                }
                Some(200) if !request.is_own_body => {
                    Some(format!("request {id} got another body than its own"))
                }
                Some(200) if runs == 0 => Some(format!("request {id} was answered and never ran")),
                Some(404) => Some(format!("request {id} was answered 404 though its route was always there")),
                _ => None,
            }
        });
        broken.collect()
    }
}

/// Sends requests until the ledger says stop, on kept connections where they last.
pub async fn run_caller(fleet: SoakFleet, ledger: CallerLedger, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut kept: Option<TcpStream> = None;
    let mut number = 0u64;
    while !ledger.is_stopped.load(Ordering::Relaxed) {
        number += 1;
        let is_claim = rng.random_bool(0.4);
        let id = format!("{seed:x}-{number:x}");
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match connect(&fleet, rng.random_range(0..usize::MAX)).await {
                Some(stream) => stream,
                None => continue,
            },
        };
        let answer = ask(&mut stream, &id, is_claim).await;
        let keeps = answer.as_ref().is_some_and(|answer| answer.header("connection").is_none());
        record(&ledger, id, is_claim, answer.as_ref());
        if keeps && rng.random_bool(0.9) {
            kept = Some(stream);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

/// Sends reads on new connections and counts the answers.
pub async fn prove_service(fleet: &SoakFleet, ledger: &CallerLedger, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let Some(mut stream) = connect(fleet, number).await else { continue };
        let id = format!("proof-{number}");
        let answer = ask(&mut stream, &id, false).await;
        served += usize::from(answer.as_ref().is_some_and(|answer| answer.status() == 200));
        record(ledger, id, false, answer.as_ref());
    }
    served
}

async fn connect(fleet: &SoakFleet, turn: usize) -> Option<TcpStream> {
    let connect = TcpStream::connect(fleet.caller_address(turn));
    match tokio::time::timeout(PATIENCE, connect).await {
        Ok(Ok(stream)) => Some(stream),
        _ => {
            tokio::time::sleep(Duration::from_millis(20)).await;
            None
        }
    }
}

async fn ask(stream: &mut TcpStream, id: &str, is_claim: bool) -> Option<WireMessage> {
    let (method, path) = if is_claim { ("POST", "/claim/1") } else { ("GET", "/read/1") };
    let body = if is_claim { "Content-Length: 4\r\n\r\nbody" } else { "\r\n" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut buffer = Vec::new();
    tokio::time::timeout(PATIENCE, read_message(stream, &mut buffer)).await.ok()?
}

fn record(ledger: &CallerLedger, id: String, is_claim: bool, answer: Option<&WireMessage>) {
    let status = answer.map(WireMessage::status);
    let is_own_body = answer.is_some_and(|answer| answer.body == answer_body(&id));
    ledger.lock().push(ToldRequest { id, is_claim, status, is_own_body });
}
