//! LOST: requests that wait in an entry VM when its planned stop ends.
//!
//! Three entry VMs, one service with three targets of 6 slots, as on the sheet of akwaaba-slips. Its requests are those
//! of the row `bulk` on the sheet of akwaaba-slips-grown: 380 ms of work, 4,000 ms aim, 8,000 ms deadline. The targets
//! name a `Server-Limit` in all answers, all the time, and clients send twice as much, all the time: some requests
//! wait, some are refused. The only disruption is planned work: one entry VM gets SIGTERM.
//!
//! Checked: requests of which the stopped entry VM has read everything, whose connection then ended without an
//! answer, and that no target has been given. They count only if their connection ended later than `LossSlack` after
//! their last byte was sent, before their deadline, and no later than 1 s after `Grace`.

use crate::Verdict;
use crate::deployment::{BOUNDS, Route, config, own_network};
use crate::http::{ClientRequest, Outcome, send};
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::{Fleet, Vm};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "jepu9.example";
/// Deadline of the clients and timeout of the route.
const DEADLINE: Duration = Duration::from_millis(8000);
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: f64 = 0.2;
/// Users, each with a new request per interval: 12 requests a second.
const USERS: usize = 60;
const INTERVAL: Duration = Duration::from_millis(5000);
/// Requests a second that each target takes from all machines together.
const SERVER_LIMIT: &str = "2.0";
/// `Ttl` of lookup responses. Every third user keeps them three times as long.
const TTL: Duration = Duration::from_millis(1500);
const RUN_TIME: f64 = 36.0;
const STOP_AT: f64 = 16.0;

struct Sent {
    id: String,
    address: SocketAddr,
    sent_at: f64,
    ended_at: f64,
    outcome: Outcome,
}

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Verdict {
    let network = own_network();
    let store = Store::start(&format!("{network}.200"));
    let targets: Vec<Arc<Target>> = (1..=3)
        .map(|n| {
            Target::start(
                record,
                &format!("{network}.10{n}"),
                &format!("i-{n}"),
                "archive",
                &format!("z{n}"),
                6,
            )
        })
        .collect();
    for target in &targets {
        *target.limit.lock().unwrap() = Some(SERVER_LIMIT.to_owned());
    }
    let route = Route {
        host: HOST,
        prefix: "/bulk/",
        kind: "download",
        service: "archive",
        timeout_ms: 8000,
        latency_ms: 4000,
        priority: 0,
    };
    store.put("config/main", config(7, &[route]));
    for target in &targets {
        store.put(&format!("servers/{}", target.id), target.entry("ready"));
    }
    let fleet = Fleet::new(record, &network, store.address, BOUNDS);
    let mut vms: Vec<Vm> = (1..=3).map(|n| fleet.start(n, &format!("z{n}"))).collect();
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("an entry VM is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let homes = vms[0].resolve(HOST);
    record.say(format!("lookup: {homes:?}"));
    let Some(stopped) = vms.iter().position(|vm| Some(&vm.front) == homes.first()) else {
        return Verdict::NotRun("no home".to_owned());
    };
    let directories: Vec<SocketAddr> = vms.iter().map(|vm| vm.directory).collect();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let end = record.now() + RUN_TIME;
    let users: Vec<_> = (0..USERS)
        .map(|number| {
            let user =
                User { number, directories: directories.clone(), record: record.clone(), sent: sent.clone() };
            std::thread::spawn(move || user.run(end))
        })
        .collect();
    std::thread::sleep(Duration::from_secs_f64(STOP_AT));
    let mut signalled_at = f64::MAX;
    if is_troubled {
        let mut vm = vms.remove(stopped);
        vm.signal("TERM");
        signalled_at = record.now();
        vm.wait_for_end(GRACE);
    }
    users.into_iter().for_each(|user| drop(user.join()));
    let sent = sent.lock().unwrap();
    report(record, &sent, &targets, signalled_at)
}

/// A user with one request open at any time.
struct User {
    number: usize,
    directories: Vec<SocketAddr>,
    record: Arc<Record>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl User {
    fn run(&self, end: f64) {
        std::thread::sleep(Duration::from_millis(80 * self.number as u64));
        let lifetime = if self.number.is_multiple_of(3) { 3 * TTL } else { TTL };
        let mut lookup: (Instant, Vec<SocketAddr>) = (Instant::now(), Vec::new());
        let mut count = 0;
        let mut next = Instant::now();
        while self.record.now() < end {
            if lookup.1.is_empty() || lookup.0.elapsed() > lifetime {
                let first = self.number % self.directories.len();
                let order = self.directories[first..].iter().chain(&self.directories[..first]);
                lookup = (Instant::now(), order.copied().find_map(resolve).unwrap_or(lookup.1));
            }
            count += 1;
            let id = format!("user-{:02}-{count:02}", self.number);
            // Each new connection goes to another one of the addresses.
            if let Some(address) = lookup.1.get((self.number + count) % lookup.1.len().max(1)).copied() {
                self.request(id, address);
            }
            next += INTERVAL;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    fn request(&self, id: String, address: SocketAddr) {
        let request = ClientRequest {
            method: "GET",
            host: HOST.to_owned(),
            path: "/bulk/w380-b90000".to_owned(),
            id: id.clone(),
            deadline: DEADLINE,
            body: Vec::new(),
        };
        let sent_at = self.record.now();
        self.record.log(format!("{id} sent to {address}"));
        let outcome = send(address, &request);
        self.record.log(format!("{id} at {address}: {}", outcome.text()));
        let ended_at = self.record.now();
        self.sent.lock().unwrap().push(Sent { id, address, sent_at, ended_at, outcome });
    }
}

fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let (status, body) = crate::vm::get(directory, &format!("/api/resolve?Name={HOST}&Region=r&Zone=z1"))?;
    let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let addresses = value["Addresses"].as_array()?;
    let addresses: Vec<SocketAddr> =
        addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect();
    (status == 200 && !addresses.is_empty()).then_some(addresses)
}

fn report(record: &Record, sent: &[Sent], targets: &[Arc<Target>], signalled_at: f64) -> Verdict {
    let given: std::collections::HashSet<String> = targets
        .iter()
        .flat_map(|target| {
            target.arrivals.lock().unwrap().iter().map(|arrival| arrival.id.clone()).collect::<Vec<_>>()
        })
        .collect();
    let mut counts = std::collections::BTreeMap::new();
    for request in sent {
        let text = match &request.outcome {
            Outcome::Closed(_) => "closed without an answer".to_owned(),
            outcome => outcome.text(),
        };
        *counts.entry(text).or_insert(0) += 1;
    }
    record.say(format!("{} requests: {counts:?}", sent.len()));
    let is_lost = |request: &&Sent| {
        matches!(request.outcome, Outcome::Closed(_))
            && request.ended_at - request.sent_at > LOSS_SLACK
            && request.ended_at - request.sent_at < DEADLINE.as_secs_f64() * 0.95
            && request.ended_at < signalled_at + GRACE.as_secs_f64() + 1.0
    };
    let lost: Vec<&Sent> = sent.iter().filter(is_lost).collect();
    let unsent: Vec<&&Sent> = lost.iter().filter(|request| !given.contains(&request.id)).collect();
    for request in &unsent {
        record.say(format!(
            "LOST: {} at {}, sent {:.3} s after SIGTERM, cut {:.3} s after SIGTERM, never given to a target",
            request.id,
            request.address,
            request.sent_at - signalled_at,
            request.ended_at - signalled_at
        ));
    }
    record.say(format!(
        "{} requests cut without an answer, {} of them never given to a target",
        lost.len(),
        unsent.len()
    ));
    if unsent.is_empty() { Verdict::Held } else { Verdict::Broken }
}
