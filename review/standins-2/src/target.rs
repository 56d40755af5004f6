//! Targets, and the links through which an entry VM reaches them.

use crate::http::{Message, Reader, response};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A request that has reached a target.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub tenant: String,
    /// Whether the target has begun to run it.
    pub has_run: bool,
}

/// How a target behaves.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// Requests whose path contains this text crash the target.
    pub poison: Mutex<Option<String>>,
    /// Time for which the target is down after a crash.
    pub down_ms: AtomicU64,
    /// Whether a target that crashes falls silent: its connections hang until it is back.
    pub is_silent: AtomicBool,
    /// Requests a second that the target states in `Server-Limit`; 0 for none.
    pub limit: AtomicU32,
}

pub struct Target {
    pub service: String,
    pub zone: String,
    pub address: String,
    pub slots: u32,
    pub work: Duration,
    pub behaviour: Behaviour,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Crashes: the time, and the request that was running.
    pub crashes: Mutex<Vec<(Instant, String)>>,
    id: Mutex<(String, u64)>,
    number: usize,
    incarnation: AtomicU64,
    is_up: AtomicBool,
    running: Mutex<u32>,
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Target {
    pub fn start(number: usize, service: &str, zone: &str, slots: u32, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = Arc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap().to_string(),
            slots,
            work,
            behaviour: Behaviour::default(),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            id: Mutex::new((format!("i-{service}-{number}-0"), now_ms())),
            number,
            incarnation: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            running: Mutex::new(0),
        });
        target.clone().accept(listener);
        target
    }

    pub fn id(&self) -> String {
        self.id.lock().unwrap().0.clone()
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id())
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    pub fn entry(&self, state: &str) -> Value {
        let (_, born) = *self.id.lock().unwrap();
        json!({
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": state, "WarmupLeft": "0ms", "Sequence": 1, "born": born,
        })
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        std::thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            let incarnation = self.incarnation.load(Ordering::Relaxed);
            loop {
                if self.has_ended(incarnation) {
                    return;
                }
                if !self.is_up() {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let target = self.clone();
                        std::thread::spawn(move || target.serve(stream, incarnation));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Ends the process of the target: the listener and all connections are closed. It is back after a while, as a new
    /// incarnation with another id.
    fn crash(self: &Arc<Self>, request: &str) {
        if !self.is_up.swap(false, Ordering::Relaxed) {
            return;
        }
        self.crashes.lock().unwrap().push((Instant::now(), request.to_owned()));
        let target = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(target.behaviour.down_ms.load(Ordering::Relaxed)));
            let incarnation = target.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
            *target.id.lock().unwrap() =
                (format!("i-{}-{}-{incarnation}", target.service, target.number), now_ms());
            *target.running.lock().unwrap() = 0;
            let listener = loop {
                match TcpListener::bind(&target.address) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(20)),
                }
            };
            target.is_up.store(true, Ordering::Relaxed);
            target.accept(listener);
        });
    }

    /// Returns whether the process of this incarnation has ended, as its connections show.
    fn has_ended(&self, incarnation: u64) -> bool {
        let is_silent = self.behaviour.is_silent.load(Ordering::Relaxed);
        self.incarnation.load(Ordering::Relaxed) != incarnation || !(self.is_up() || is_silent)
    }

    fn is_current(&self, incarnation: u64) -> bool {
        self.is_up() && self.incarnation.load(Ordering::Relaxed) == incarnation
    }

    fn serve(self: Arc<Self>, stream: TcpStream, incarnation: u64) {
        drop(stream.set_nonblocking(false));
        drop(stream.set_nodelay(true));
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(watched) = stream.try_clone() else { return };
        let target = self.clone();
        // A crash ends all connections.
        std::thread::spawn(move || {
            while !target.has_ended(incarnation) && watched.peer_addr().is_ok() {
                std::thread::sleep(Duration::from_millis(5));
            }
            drop(watched.shutdown(Shutdown::Both));
        });
        let mut reader = Reader::new(stream);
        while let Some(message) = reader.read(Duration::from_secs(30)) {
            let answer = if self.is_current(incarnation) { self.handle(&message) } else { None };
            while !self.is_up() && !self.has_ended(incarnation) {
                std::thread::sleep(Duration::from_millis(5));
            }
            let Some(answer) = answer else { break };
            if !self.is_current(incarnation) || writer.write_all(&answer).is_err() {
                break;
            }
        }
        drop(writer.shutdown(Shutdown::Both));
    }

    fn load(&self) -> (&'static str, String) {
        let running = *self.running.lock().unwrap();
        (
            "X-Instance-Load",
            format!("{},{},{},100", running.min(self.slots), running.saturating_sub(self.slots), self.slots),
        )
    }

    /// Returns the answer, or `None` if the target crashes.
    fn handle(self: &Arc<Self>, message: &Message) -> Option<Vec<u8>> {
        let (id, _) = self.id.lock().unwrap().clone();
        let path = message.word(1).to_owned();
        if path == "/health" {
            return Some(response("200 OK", &[("X-Instance-Id", id), self.load()], b""));
        }
        let request = message.header("x-request-id").unwrap_or("").to_owned();
        if message.header("x-expect-instance").is_some_and(|expected| expected != id) {
            return Some(response("421 Misdirected Request", &[("X-Instance-Id", id)], b""));
        }
        let note = |has_run| {
            let tenant = message.header("x-tenant").unwrap_or("").to_owned();
            let arrival =
                Arrival { at: Instant::now(), id: request.clone(), path: path.clone(), tenant, has_run };
            self.arrivals.lock().unwrap().push(arrival);
        };
        let mut headers = vec![("X-Request-Id", request.clone()), self.load()];
        let limit = self.behaviour.limit.load(Ordering::Relaxed);
        if limit > 0 {
            headers.push(("Server-Limit", limit.to_string()));
        }
        let mut running = self.running.lock().unwrap();
        if *running >= self.slots * 3 {
            drop(running);
            note(false);
            headers.push(("X-Not-Executed", "1".to_owned()));
            return Some(response("503 Service Unavailable", &headers, b""));
        }
        *running += 1;
        drop(running);
        note(true);
        let is_poison =
            self.behaviour.poison.lock().unwrap().as_ref().is_some_and(|text| path.contains(text.as_str()));
        if is_poison {
            std::thread::sleep(Duration::from_millis(5));
            self.crash(&request);
            return None;
        }
        std::thread::sleep(self.work);
        let mut running = self.running.lock().unwrap();
        *running = running.saturating_sub(1);
        drop(running);
        headers[1] = self.load();
        headers.push(("X-Response-Seal", format!("seal-{request}")));
        Some(response("200 OK", &headers, format!("answer to {request}").as_bytes()))
    }
}

/// How a link treats connections.
pub mod mode {
    /// Passes all bytes.
    pub const PASS: u8 = 0;
    /// Loses all bytes; new connections hang.
    pub const HANG: u8 = 1;
}

/// A link between one entry VM and one address.
pub struct Link {
    pub address: String,
    to: String,
    pub mode: AtomicU8,
}

impl Link {
    pub fn start(to: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.2:0").unwrap();
        let link = Arc::new(Self {
            address: listener.local_addr().unwrap().to_string(),
            to: to.to_owned(),
            mode: AtomicU8::new(mode::PASS),
        });
        let (shared, to) = (link.clone(), to.to_owned());
        std::thread::spawn(move || shared.accept(listener, &to));
        link
    }

    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::Relaxed);
    }

    pub fn leads_to(&self, vm: &crate::fleet::EntryVm) -> bool {
        self.to == vm.ready || self.to == vm.peers
    }

    fn is(&self, mode: u8) -> bool {
        self.mode.load(Ordering::Relaxed) == mode
    }

    /// Waits until a partition ends. Returns whether there was one.
    fn waits(&self) -> bool {
        let is_cut = self.is(mode::HANG);
        while self.is(mode::HANG) {
            std::thread::sleep(Duration::from_millis(5));
        }
        is_cut
    }

    fn accept(self: &Arc<Self>, listener: TcpListener, to: &str) {
        for stream in listener.incoming().flatten() {
            let (link, to) = (self.clone(), to.to_owned());
            std::thread::spawn(move || link.pass(stream, &to));
        }
    }

    fn pass(self: Arc<Self>, near: TcpStream, to: &str) {
        // A connection that is opened behind a partition hangs, and is closed when the partition ends.
        if self.waits() {
            return;
        }
        let Ok(far) = TcpStream::connect(to) else { return };
        drop(near.set_nodelay(true));
        drop(far.set_nodelay(true));
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
        let link = self.clone();
        std::thread::spawn(move || link.copy(near2, far2));
        self.copy(far, near);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        drop(from.set_read_timeout(Some(Duration::from_millis(10))));
        let mut chunk = [0; 16384];
        loop {
            let count = match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => count,
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    continue;
                }
                Err(_) => break,
            };
            // Bytes that are held up by a partition are lost, and their connection is closed when it ends.
            if self.waits() || to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        drop(from.shutdown(Shutdown::Both));
        drop(to.shutdown(Shutdown::Both));
    }
}
