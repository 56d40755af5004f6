//! LOST: processes whose memory is used up by the changes of the configuration that they keep.
//!
//! Three entry VMs with 160 MB, the smallest machines of the grown sheets. The configuration has 5,601 routes: the first
//! one and four times 1,400 more (`big_config` of akwaaba-slips-grown). The disruption is `config_storm` as in the
//! site files: a change each 0.33 s for 4 s, again and again with a pause of 2 s. Without it, the configuration stays.
//! Users send small requests that run at most once, on connections that they keep.
//!
//! Like the platform, the script kills a process whose memory exceeds 160 MB; it isn't started again. Checked: requests
//! on kept connections that had been given to a target when their connection was closed without an answer; more than
//! three break the rule.

use crate::Verdict;
use crate::deployment::{BOUNDS, Route, config, own_network};
use crate::kept_connections::{Cut, send_claims};
use crate::memory::watch_memory;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::{Fleet, Vm};
use serde_json::json;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HOST: &str = "jepu9.example";
const MEMORY_LIMIT_MB: u64 = 160;
const MORE_ROUTES: usize = 4 * 1400;
const CONNECTIONS_PER_HOME: usize = 8;
/// Changes of a storm, their distance, and the pause after a storm.
const STORM_CHANGES: u32 = 12;
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
const STORM_PAUSE: Duration = Duration::from_secs(2);
const STORMS: u32 = 15;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Verdict {
    let network = own_network();
    let store = Store::start(&format!("{network}.200"));
    let start = |n: usize| {
        let ip = format!("{network}.1{n:02}");
        Target::start(record, &ip, &format!("i-{n}"), "claims", &format!("z{}", n % 3 + 1), 6)
    };
    let targets: Vec<Arc<Target>> = (1..=4).map(start).collect();
    let size = put_config(&store, 1, 600);
    record.say(format!("the configuration has {} routes and {size} bytes", MORE_ROUTES + 1));
    for target in &targets {
        store.put(&format!("servers/{}", target.id), target.entry("ready"));
    }
    let fleet = Fleet::new(record, &network, store.address, BOUNDS);
    let vms: Vec<Vm> = (1..=3).map(|n| fleet.start(n, &format!("z{n}"))).collect();
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("an entry VM is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let homes = vms[0].resolve(HOST);
    record.say(format!("lookup: {homes:?}"));
    if homes.is_empty() {
        return Verdict::NotRun("no home".to_owned());
    }
    let storm_time = CHANGE_INTERVAL * STORM_CHANGES + STORM_PAUSE;
    let end = record.now() + (storm_time * STORMS).as_secs_f64();
    let guards: Vec<_> =
        vms.into_iter().map(|vm| watch_memory(record, vm, MEMORY_LIMIT_MB, end + 2.0)).collect();
    let cuts = Arc::new(Mutex::new(Vec::new()));
    let users: Vec<_> = (0..CONNECTIONS_PER_HOME * homes.len())
        .map(|number| {
            let (record, cuts, address): (_, _, SocketAddr) =
                (record.clone(), cuts.clone(), homes[number % homes.len()]);
            std::thread::spawn(move || send_claims(&record, address, HOST, number, end, &cuts))
        })
        .collect();
    let mut version = 1;
    for _ in 0..STORMS {
        for _ in 0..STORM_CHANGES {
            if is_troubled {
                version += 1;
                // Each version changes the timeout of the users' route, as `config_change` (timeout) does.
                put_config(&store, version, 600 + u64::from(version % 7) * 10);
            }
            std::thread::sleep(CHANGE_INTERVAL);
        }
        record.log(format!("{} versions so far", version));
        std::thread::sleep(STORM_PAUSE);
        if users.iter().all(std::thread::JoinHandle::is_finished) {
            break;
        }
    }
    users.into_iter().for_each(|user| drop(user.join()));
    let peaks: Vec<(usize, u64, bool)> = guards.into_iter().filter_map(|guard| guard.join().ok()).collect();
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
    for (number, peak, was_killed) in &peaks {
        record.say(format!("front-{number}: peak {peak} MB, killed: {was_killed}"));
    }
    record
        .say(format!("{version} versions; {} requests on kept connections lost, 3 are allowed", lost.len()));
    if lost.len() > 3 { Verdict::Broken } else { Verdict::Held }
}

/// Writes a version of the configuration. Returns its size in bytes.
fn put_config(store: &Store, version: u32, timeout_extra_ms: u64) -> usize {
    let route = Route {
        host: HOST,
        prefix: "/claim/",
        kind: "unsafe",
        service: "claims",
        timeout_ms: 3400 + timeout_extra_ms,
        latency_ms: 3000,
        priority: 0,
    };
    let mut value = config(version, &[route]);
    if let Some(routes) = value["Routes"].as_object_mut() {
        for number in 0..MORE_ROUTES {
            let route = json!({
                "Host": "more.example", "PathPrefix": format!("/lepu{number}/"), "Kind": "safe", "Timeout": "1200ms",
                "TargetLatency": "200ms", "Priority": 0, "Service": "claims", "MaxAttempts": 2,
            });
            routes.insert(format!("r-more-{number}"), route);
        }
    }
    let text = value.to_string();
    store.put_text("config/main", &text);
    text.len()
}
