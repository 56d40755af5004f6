//! LOST: a process whose memory is used up by request bodies.
//!
//! Three entry VMs with 260 MB, as on the sheets of today. Users of a route with a long body send 30,000,000 bytes
//! each, well within `MaxBodyBytes` (64 MiB) and at 40 Mbit/s each, so that all of them together stay below the link of
//! a machine (1,000 Mbit/s). Usually 4 of them send at the same time. Others send small requests that run at most
//! once, on connections that they keep. The disruption is `burst`: 2.5 times as many long bodies, for 6 s.
//!
//! Like the platform, the script kills a process whose memory exceeds 260 MB. Checked: requests on kept connections
//! that had been given to a target when their connection was closed without an answer; more than three break the rule.

use crate::Verdict;
use crate::deployment::{BOUNDS, Route, config, own_network};
use crate::kept_connections::{Cut, send_claims};
use crate::memory::watch_memory;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::{Fleet, Vm};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "jepu9.example";
const MEMORY_LIMIT_MB: u64 = 260;
const BODY_BYTES: usize = 30_000_000;
/// Pace of a user's link: 40 Mbit/s.
const BYTES_PER_SECOND: f64 = 5_000_000.0;
/// Users with long bodies, and users with long bodies in the burst: 2.5 times as many.
const USUAL_UPLOADS: usize = 4;
const BURST_UPLOADS: usize = 10;
const KEPT_CONNECTIONS: usize = 12;
const RUN_TIME: f64 = 24.0;
const BURST_AT: f64 = 8.0;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Verdict {
    let network = own_network();
    let store = Store::start(&format!("{network}.200"));
    let start = |n: usize, service: &str| {
        let ip = format!("{network}.1{n:02}");
        Target::start(record, &ip, &format!("i-{n}"), service, &format!("z{}", n % 3 + 1), 6)
    };
    let targets: Vec<Arc<Target>> =
        (1..=4).map(|n| start(n, "claims")).chain((5..=8).map(|n| start(n, "bundles"))).collect();
    let route = |prefix, service, timeout_ms, priority| Route {
        host: HOST,
        prefix,
        kind: "unsafe",
        service,
        timeout_ms,
        latency_ms: 3000,
        priority,
    };
    store.put(
        "config/main",
        config(7, &[route("/claim/", "claims", 4000, 0), route("/bundle/", "bundles", 12_000, 1)]),
    );
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
    let Some(position) = vms.iter().position(|vm| Some(&vm.front) == homes.first()) else {
        return Verdict::NotRun("no home".to_owned());
    };
    let home = vms.remove(position);
    let address = home.front;
    let end = record.now() + RUN_TIME;
    let guard = watch_memory(record, home, MEMORY_LIMIT_MB, end + 8.0);
    let cuts = Arc::new(Mutex::new(Vec::new()));
    let mut users: Vec<_> = (0..KEPT_CONNECTIONS)
        .map(|number| {
            let (record, cuts) = (record.clone(), cuts.clone());
            std::thread::spawn(move || send_claims(&record, address, HOST, number, end, &cuts))
        })
        .collect();
    let upload = |number: usize, until: f64| {
        let record = record.clone();
        std::thread::spawn(move || send_bundles(&record, address, number, until))
    };
    users.extend((0..USUAL_UPLOADS).map(|number| upload(number, end)));
    std::thread::sleep(Duration::from_secs_f64(BURST_AT));
    if is_troubled {
        record.say(format!("burst: {BURST_UPLOADS} users with long bodies instead of {USUAL_UPLOADS}"));
        let until = record.now() + 6.0;
        users.extend((USUAL_UPLOADS..BURST_UPLOADS).map(|number| upload(number, until)));
    }
    users.into_iter().for_each(|user| drop(user.join()));
    let Ok((_, peak_mb, was_killed)) = guard.join() else {
        return Verdict::NotRun("the watch of the memory failed".to_owned());
    };
    let given: HashSet<String> = targets
        .iter()
        .flat_map(|target| {
            target.arrivals.lock().unwrap().iter().map(|arrival| arrival.id.clone()).collect::<Vec<_>>()
        })
        .collect();
    let cuts: std::sync::MutexGuard<'_, Vec<Cut>> = cuts.lock().unwrap();
    let lost: Vec<&Cut> = cuts.iter().filter(|cut| given.contains(&cut.id)).collect();
    for cut in &lost {
        record
            .say(format!("LOST: {} was given to a target, then {} at {:.3} s", cut.id, cut.outcome, cut.at));
    }
    record.say(format!(
        "peak of the process: {peak_mb} MB; killed: {was_killed}; {} requests on kept connections lost, 3 are allowed",
        lost.len()
    ));
    if lost.len() > 3 { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests with long bodies, one after the other.
fn send_bundles(record: &Record, address: SocketAddr, number: usize, until: f64) {
    let mut count = 0;
    while record.now() < until {
        count += 1;
        let id = format!("bundle-{number:02}-{count:02}");
        record.log(format!("{id} begins to send {BODY_BYTES} bytes"));
        let answer = send_bundle(address, &id);
        let text = answer.unwrap_or_else(|error| format!("closed without an answer ({error})"));
        record.log(format!("{id}: {text}"));
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn send_bundle(address: SocketAddr, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(Duration::from_secs(12)))?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let head = format!(
        "POST /bundle/w300 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 12000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'b'; 50_000];
    let started = Instant::now();
    for sent in (0..BODY_BYTES).step_by(piece.len()) {
        let due = Duration::from_secs_f64(sent as f64 / BYTES_PER_SECOND);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
        stream.write_all(&piece)?;
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer[9..]).into_owned())
}
