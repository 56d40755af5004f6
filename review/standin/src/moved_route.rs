//! DRAIN: requests that wait for a service when a configuration moves its route away.
//!
//! Three entry VMs, two services with eight targets of 4 slots. Requests are those of the row `bulk` of the sheet of
//! akwaaba-slips-grown: 380 ms of work, 4,000 ms aim, 8,000 ms deadline. Clients send twice what a service can do, all the
//! time. Two targets of the first service leave (planned work). The disruption is a configuration, sent just before, that
//! moves the route to the second service (planned work, too).
//!
//! Checked: requests that reach a leaving target later than `Drain` after the store accepted that it is
//! `draining`.

use crate::Verdict;
use crate::deployment::{BOUNDS, Route, config, own_network};
use crate::http::{ClientRequest, send};
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::{Fleet, Vm};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HOST: &str = "jepu9.example";
const DRAIN: f64 = 2.0;
const DEADLINE: Duration = Duration::from_millis(8000);
/// Requests a second: the targets of a service can do 8 x 4 / 0.38 = 84.
const REQUESTS_PER_SECOND: u32 = 168;
/// Times, counted from the first request.
const CHANGE_AT: f64 = 12.0;
const DRAIN_AT: f64 = 12.05;
const END_AT: f64 = 18.0;
/// Time for which the leaving target goes on serving: `Drain` and a little longer.
const SERVES_ON: f64 = 3.5;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Verdict {
    let network = own_network();
    let store = Store::start(&format!("{network}.200"));
    let start = |n: usize, service: &str| {
        let (ip, zone) = (format!("{network}.{}", 100 + n), format!("z{}", n % 3 + 1));
        Target::start(record, &ip, &format!("i-{n}"), service, &zone, 4)
    };
    let targets: Vec<Arc<Target>> =
        (1..=8).map(|n| start(n, "archive")).chain((9..=16).map(|n| start(n, "archive-new"))).collect();
    let route = |service| Route {
        host: HOST,
        prefix: "/bulk/",
        kind: "download",
        service,
        timeout_ms: 8000,
        latency_ms: 4000,
        priority: 0,
    };
    store.put("config/main", config(7, &[route("archive")]));
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
    let leaving = &targets[..2];
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut senders = Vec::new();
    let traffic_start = record.now();
    let (mut number, mut is_changed, mut drained_at, mut has_ended) = (0u32, false, f64::MAX, false);
    while record.now() - traffic_start < END_AT {
        let due = traffic_start + f64::from(number) / f64::from(REQUESTS_PER_SECOND);
        std::thread::sleep(Duration::from_secs_f64((due - record.now()).max(0.0)));
        let time = record.now() - traffic_start;
        if time >= CHANGE_AT && !is_changed {
            is_changed = true;
            if is_troubled {
                store.put("config/main", config(12, &[route("archive-new")]));
                record.say("the store accepts configuration 0000000c: the route goes to archive-new");
            }
        }
        if time >= DRAIN_AT && drained_at == f64::MAX {
            for target in leaving {
                store.put(&format!("servers/{}", target.id), target.entry("draining"));
                record.say(format!("the store accepts that {} is draining", target.id));
            }
            drained_at = record.now();
        }
        if record.now() > drained_at + SERVES_ON && !has_ended {
            has_ended = true;
            for target in leaving {
                target.has_ended.store(true, Ordering::Relaxed);
                store.delete(&format!("servers/{}", target.id));
                record.say(format!("{} ends; its entry is removed", target.id));
            }
        }
        let address = homes[number as usize % homes.len()];
        number += 1;
        let id = format!("req-{number:05}");
        let (record, answers) = (record.clone(), answers.clone());
        senders.push(std::thread::spawn(move || {
            let request = ClientRequest {
                method: "GET",
                host: HOST.to_owned(),
                path: "/bulk/w380-b90000".to_owned(),
                id: id.clone(),
                deadline: DEADLINE,
                body: Vec::new(),
            };
            record.log(format!("{id} sent to {address}"));
            let text = send(address, &request).text();
            record.log(format!("{id} at {address}: {text}"));
            *answers.lock().unwrap().entry(text).or_insert(0) += 1;
        }));
    }
    senders.into_iter().for_each(|sender| drop(sender.join()));
    record.say(format!("{number} requests: {:?}", answers.lock().unwrap()));
    let mut late = 0;
    for target in leaving {
        let arrivals = target.arrivals.lock().unwrap();
        for arrival in arrivals.iter().filter(|arrival| arrival.at > drained_at + DRAIN) {
            late += 1;
            let after = arrival.at - drained_at;
            record.say(format!(
                "DRAIN: {} reaches {} {after:.3} s after the acknowledgement",
                arrival.id, target.id
            ));
        }
    }
    record.say(format!("{late} requests reached a leaving target later than Drain"));
    if late == 0 { Verdict::Held } else { Verdict::Broken }
}
