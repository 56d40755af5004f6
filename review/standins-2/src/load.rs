//! Clients that send requests at a steady rate, each on a new connection, and what became of the requests.

use crate::fleet::{Fleet, HOST};
use crate::http::{Attempt, send};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that a client has sent.
#[derive(Debug, Clone)]
pub struct Sent {
    pub at: Instant,
    pub id: String,
    /// Index of the entry VM.
    pub vm: usize,
    /// Status of the answer; `None` if there was none until the deadline.
    pub status: Option<u16>,
    pub after: Duration,
}

/// Clients of one run.
pub struct Load {
    sent: Arc<Mutex<Vec<Sent>>>,
    is_stopped: Arc<AtomicBool>,
}

/// Requests at a steady rate.
#[derive(Debug, Clone)]
pub struct Stream {
    pub vm: usize,
    pub per_second: u32,
    pub method: &'static str,
    pub path: &'static str,
    /// API key, where the deployment has tenants.
    pub key: Option<String>,
    /// First part of the request ids.
    pub name: String,
}

pub const DEADLINE_MS: u64 = 1200;

impl Load {
    pub fn new() -> Self {
        Self { sent: Arc::default(), is_stopped: Arc::default() }
    }

    /// Starts a stream of requests.
    pub fn start(&self, fleet: &Fleet, stream: Stream) {
        let address = fleet.vms[stream.vm].callers.clone();
        let (sent, is_stopped) = (self.sent.clone(), self.is_stopped.clone());
        std::thread::spawn(move || {
            let mut next = Instant::now();
            let mut number = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                next += Duration::from_secs(1) / stream.per_second;
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                number += 1;
                let (address, sent, stream) = (address.clone(), sent.clone(), stream.clone());
                std::thread::spawn(move || {
                    let one = send_one(&address, &stream, number);
                    sent.lock().unwrap().push(one);
                });
            }
        });
    }

    /// Ends all streams, waits for the last answers and returns all requests in the order of their sending.
    pub fn finish(&self, fleet: &Fleet) -> Vec<Sent> {
        self.is_stopped.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(DEADLINE_MS + 500));
        let mut sent = self.sent.lock().unwrap().clone();
        sent.sort_by_key(|one| one.at);
        for one in &sent {
            let answer = one.status.map_or("no answer".to_owned(), |status| status.to_string());
            let name = &fleet.vms[one.vm].name;
            let text =
                format!("client sends {} to {name}: {answer} after {} ms", one.id, one.after.as_millis());
            fleet.record.line_at(one.at, &text);
        }
        sent
    }
}

fn send_one(address: &str, stream: &Stream, number: u64) -> Sent {
    let id = format!("{}-{number}", stream.name);
    let path = format!("{}{number}", stream.path);
    let headers: Vec<(&str, String)> = stream.key.iter().map(|key| ("X-Credential", key.clone())).collect();
    let attempt = Attempt {
        method: stream.method,
        path: &path,
        host: HOST,
        id: &id,
        deadline_ms: DEADLINE_MS,
        headers: &headers,
        body: b"",
    };
    let at = Instant::now();
    let status = send(address, &attempt).map(|message| message.status());
    Sent { at, id, vm: stream.vm, status, after: at.elapsed() }
}
