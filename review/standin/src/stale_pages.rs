//! DRAIN: a list of targets whose pages come from states of different age.
//!
//! Three entry VMs. The store has 64 targets, 50 to a page of a list. A list with `AllowStale=1` may return data that is
//! seconds old; each page is a call of its own. During planned work (one target leaves, one entry VM is stopped and
//! started again) the first page comes from the store's present state and the second one from a state that is 2 s old.
//! Without the disruption both pages come from the same state.
//!
//! Checked: requests that reach the leaving target later than `Drain` after the store accepted that it is `draining`,
//! sent on by the restarted entry VM later than `Contact` after its start. The clients sent them after that, too.

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

const HOST: &str = "hulo84.example";
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;
const GRACE: Duration = Duration::from_secs(6);
/// Age of the older state.
const STALE_AGE: Duration = Duration::from_secs(2);
/// Time for which the leaving target goes on serving: `Drain` and many seconds.
const SERVES_ON: Duration = Duration::from_secs(14);
const CLIENTS: usize = 6;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Verdict {
    let network = own_network();
    let store = Store::start(&format!("{network}.200"));
    let start = |n: usize, service: &str| {
        let (ip, zone) = (format!("{network}.{}", 100 + n), format!("z{}", n % 3 + 1));
        Target::start(record, &ip, &format!("i-{n:02}"), service, &zone, 4)
    };
    let board: Vec<Arc<Target>> = (1..=58).map(|n| start(n, "board")).collect();
    let desk: Vec<Arc<Target>> = (59..=64).map(|n| start(n, "desk")).collect();
    let route = |host, prefix, kind, service| Route {
        host,
        prefix,
        kind,
        service,
        timeout_ms: 1500,
        latency_ms: 500,
        priority: 0,
    };
    let routes =
        [route("jepu9.example", "/read/", "safe", "board"), route(HOST, "/claim/", "unsafe", "desk")];
    store.put("config/main", config(7, &routes));
    for target in board.iter().chain(&desk) {
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
    let number = vms[position].number;
    vms[position].signal("TERM");
    vms[position].wait_for_end(GRACE);
    let leaving = &desk[3];
    store.put(&format!("servers/{}", leaving.id), leaving.entry("draining"));
    let drained_at = record.now();
    record.say(format!("the store accepts that {} is draining", leaving.id));
    std::thread::sleep(Duration::from_millis(500));
    if is_troubled {
        *store.stale_ages.lock().unwrap() = vec![Duration::ZERO, STALE_AGE];
        record.say("lists with AllowStale=1: the first page is new, the second one 2 s old");
    }
    vms[position] = fleet.start(number, &format!("z{number}"));
    let started_at = record.now();
    if !vms[position].wait_until_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the entry VM is not ready again".to_owned());
    }
    std::thread::sleep(Duration::from_millis(500));
    store.stale_ages.lock().unwrap().clear();
    std::thread::sleep(Duration::from_secs_f64((started_at + CONTACT + 0.5 - record.now()).max(0.0)));
    let front = vms[position].front;
    let listed = vms[0].resolve(HOST);
    record.say(format!("lookup: {listed:?}; front-{number} is at {front}"));
    if !listed.contains(&front) {
        return Verdict::NotRun("the restarted entry VM is no home".to_owned());
    }
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let end = drained_at + SERVES_ON.as_secs_f64();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, sent) = (record.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut count = 0;
                while record.now() < end + 1.0 {
                    count += 1;
                    let request = ClientRequest {
                        method: "POST",
                        host: HOST.to_owned(),
                        path: "/claim/w87".to_owned(),
                        id: format!("claim-{client}-{count:03}"),
                        deadline: Duration::from_millis(1500),
                        body: vec![b'c'; 4000],
                    };
                    sent.lock().unwrap().insert(request.id.clone(), (record.now(), String::new()));
                    record.log(format!("{} sent to front-{number}", request.id));
                    let text = send(front, &request).text();
                    record.log(format!("{}: {text}", request.id));
                    sent.lock().unwrap().entry(request.id).and_modify(|(_, answer)| *answer = text);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs_f64((end - record.now()).max(0.0)));
    leaving.has_ended.store(true, Ordering::Relaxed);
    store.delete(&format!("servers/{}", leaving.id));
    record.say(format!("{} ends; its entry is removed", leaving.id));
    clients.into_iter().for_each(|client| drop(client.join()));
    let sent = sent.lock().unwrap();
    let arrivals = leaving.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > drained_at + DRAIN)
        .filter(|arrival| sent.get(&arrival.id).is_some_and(|(at, _)| *at > started_at + CONTACT))
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        let after = |at: f64| at - drained_at;
        record.say(format!(
            "DRAIN: {} requests reach {} from {:.3} s to {:.3} s after the acknowledgement, the first one {}",
            late.len(),
            leaving.id,
            after(first.at),
            after(last.at),
            first.id
        ));
    }
    let lost =
        late.iter().filter(|arrival| sent.get(&arrival.id).is_some_and(|(_, text)| text == "502")).count();
    let mut answers = BTreeMap::new();
    sent.values().for_each(|(_, text)| *answers.entry(text.clone()).or_insert(0) += 1);
    record.say(format!(
        "{} requests: {answers:?}; {} reached the leaving target, {lost} of them were cut when it ended",
        sent.len(),
        late.len()
    ));
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
