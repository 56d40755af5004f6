//! The cases. Each returns an empty text if the rule held, and what broke it otherwise.

use crate::fleet::{Fleet, FleetOptions, HOST, Record, bounds, config, register_crashing_targets};
use crate::http::{Attempt, send};
use crate::load::{DEADLINE_MS, Load, Sent, Stream};
use crate::target::{Target, mode};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Upper bound of the time between the send of a request to a target and the crash of the target.
const SEND_TIME: Duration = Duration::from_millis(100);

type Outcome = Result<String, String>;

/// `Contact` of the users' pages.
const CONTACT: Duration = Duration::from_secs(3);

pub fn run(case: &str, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    match case {
        "limited-partition" => limited_partition(record, has_trouble),
        "cut-owner" => cut_owner(record, has_trouble),
        "lost-forwards" => lost_forwards(record, has_trouble),
        "silent-crashes" => crashes(record, has_trouble, 8, true),
        "few-targets" => crashes(record, has_trouble, 2, false),
        "revoked-key" => revoked_key(record, has_trouble),
        "frozen-peer" => frozen_peer(record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

fn options(zones: &[&'static str]) -> FleetOptions {
    FleetOptions {
        zones: zones.to_vec(),
        cores: vec![0.2; zones.len()],
        bounds: bounds(),
        has_links: false,
        has_peer_links: false,
    }
}

fn start_targets(count: usize, slots: u32, work_ms: u64) -> Vec<Arc<Target>> {
    let zone = |number: usize| ["zone-a", "zone-b"][number % 2];
    (0..count)
        .map(|number| Target::start(number, "board", zone(number), slots, Duration::from_millis(work_ms)))
        .collect()
}

fn reads(vm: usize, per_second: u32) -> Stream {
    Stream { vm, per_second, method: "GET", path: "/board/read/", key: None, name: format!("read-{vm}") }
}

fn claims(vm: usize, per_second: u32) -> Stream {
    Stream { vm, per_second, method: "POST", path: "/board/claim/", key: None, name: format!("claim-{vm}") }
}

/// The check of RECOVER for a partition from all targets: of the clients' first tries from `Contact` after it began, those
/// at the partitioned machine are served less than two thirds as often as those at the others, and more than 10 + 1 in 50
/// fail there.
fn check_recover(
    sent: &[Sent],
    cut_at: Instant,
    end: Instant,
    partitioned: usize,
    others: &[usize],
) -> String {
    let counted = |vms: &[usize]| {
        let tries =
            sent.iter().filter(|one| one.at > cut_at + CONTACT && one.at < end && vms.contains(&one.vm));
        let tries: Vec<&Sent> = tries.collect();
        let served = tries.iter().filter(|one| one.status == Some(200)).count();
        (tries.len(), served)
    };
    let (tries, served) = counted(&[partitioned]);
    let (other_tries, other_served) = counted(others);
    let share = served as f64 / tries.max(1) as f64;
    let other_share = other_served as f64 / other_tries.max(1) as f64;
    let failed = tries - served;
    let text = format!(
        "partitioned machine: {served} of {tries} first tries served; others: {other_served} of {other_tries}"
    );
    println!("{text}");
    let allowed = 10.0 + (tries + other_tries) as f64 / 50.0;
    if share < other_share * 2.0 / 3.0 && failed as f64 > allowed { text } else { String::new() }
}

/// All targets state `Server-Limit`, far above the load; one entry VM is partitioned from all of them.
fn limited_partition(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let options = FleetOptions { has_links: true, ..options(&["zone-a", "zone-b", "zone-c"]) };
    let fleet = Fleet::start(record.clone(), start_targets(8, 4, 60), &config(&["board"]), &options)?;
    for target in &fleet.targets {
        target.behaviour.limit.store(40, Ordering::Relaxed);
    }
    let load = Load::new();
    for vm in 0..3 {
        load.start(&fleet, reads(vm, 30));
        load.start(&fleet, claims(vm, 10));
    }
    std::thread::sleep(Duration::from_secs(5));
    let cut_at = Instant::now();
    if has_trouble {
        record.line(&format!("{} is partitioned from all targets: connections hang", fleet.vms[0].name));
        fleet.vms[0].set_links(mode::HANG);
    }
    std::thread::sleep(Duration::from_secs(9));
    let end = Instant::now();
    record.line("the partition ends");
    fleet.vms[0].set_links(mode::PASS);
    let sent = load.finish(&fleet);
    fleet.record_arrivals();
    Ok(check_recover(&sent, cut_at, end, 0, &[1, 2]))
}

/// Rate and burst of each tenant.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;
const QUOTA_WINDOW: Duration = Duration::from_secs(5);

/// Tenants whose requests come to one entry VM mostly, which is then cut off from the store and the other entry VMs.
fn cut_owner(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    // The first entry VM owns the limits of two of these tenants, by their names.
    let tenants = ["tenant0", "tenant1", "tenant3"];
    let mut config = config(&["board"]);
    for name in tenants {
        let keys = json!([format!("key-of-{name}")]);
        config["Tenants"][name] = json!({"ApiKeys": keys, "RatePerS": RATE, "Burst": BURST});
    }
    let mut options = FleetOptions { has_peer_links: true, ..options(&["a", "b", "c"]) };
    for (name, value) in
        [("QuotaWindow", json!("5s")), ("QuotaOverrun", json!(0.1)), ("QuotaSlack", json!(20))]
    {
        options.bounds[name] = value;
    }
    let fleet = Fleet::start(record.clone(), start_targets(8, 16, 5), &config, &options)?;
    let load = Load::new();
    for name in tenants {
        for (vm, per_second) in [(0, 75), (1, 25), (2, 25)] {
            let key = Some(format!("key-of-{name}"));
            load.start(&fleet, Stream { key, name: format!("{name}-{vm}"), ..reads(vm, per_second) });
        }
    }
    std::thread::sleep(Duration::from_secs(6));
    if has_trouble {
        record.line(&format!("{} is cut off from the store and from the other entry VMs", fleet.vms[0].name));
        fleet.cut_off(0);
    }
    std::thread::sleep(Duration::from_secs(12));
    record.line("the cut ends");
    fleet.restore(0);
    let sent = load.finish(&fleet);
    fleet.record_arrivals();
    let sent_at: HashMap<&str, Instant> = sent.iter().map(|one| (one.id.as_str(), one.at)).collect();
    let mut runs: BTreeMap<String, Vec<(Instant, Instant)>> = BTreeMap::new();
    for arrival in fleet.runs() {
        if let Some(at) = sent_at.get(arrival.id.as_str()) {
            runs.entry(arrival.tenant).or_default().push((*at, arrival.at));
        }
    }
    let allowed = (RATE * QUOTA_WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    let mut broken = Vec::new();
    for (tenant, mut times) in runs {
        times.sort();
        // Both sent and arrived in the window.
        let in_window = |from: Instant| {
            let end = from + QUOTA_WINDOW;
            times.iter().filter(|(sent, arrived)| *sent >= from && *arrived < end).count()
        };
        let windows = times.iter().map(|(sent, _)| (in_window(*sent), *sent));
        let Some((most, from)) = windows.max() else { continue };
        let text =
            format!("{tenant}: {most} requests in 5 s from {:.1}, {allowed} allowed", record.seconds(from));
        println!("{text}");
        if most as f64 > allowed {
            broken.push(text);
        }
    }
    Ok(broken.join("; "))
}

/// `Revoke` of the users' pages.
const REVOKE: Duration = Duration::from_secs(5);
/// Time after the return of the store at which the operator and the targets write again.
const REWRITE_DELAY: Duration = Duration::from_secs(2);

/// A key is taken away; the store returns from a copy that is older than that, and an entry VM that has been stopped as planned
/// starts then.
fn revoked_key(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let mut before = config(&["board"]);
    before["Tenants"]["tenant0"] = json!({"ApiKeys": ["kept-key", "revoked-key"]});
    let mut after = before.clone();
    after["Version"] = json!("00000002");
    after["Tenants"]["tenant0"]["ApiKeys"] = json!(["kept-key"]);
    let mut options = options(&["a", "b", "c"]);
    options.bounds["StrictRevoke"] = json!(true);
    options.bounds["Revoke"] = json!("5000ms");
    let mut fleet = Fleet::start(record.clone(), start_targets(8, 4, 20), &before, &options)?;
    let load = Load::new();
    for vm in 0..3 {
        for key in ["kept", "revoked"] {
            let stream =
                Stream { key: Some(format!("{key}-key")), name: format!("{key}-{vm}"), ..reads(vm, 20) };
            load.start(&fleet, stream);
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    fleet.vms[0].signal("TERM");
    record.line(&format!("{} gets SIGTERM", fleet.vms[0].name));
    std::thread::sleep(Duration::from_millis(600));
    let copy = fleet.store.copy();
    std::thread::sleep(Duration::from_millis(400));
    let revision = fleet.store.put("config/main", after.clone());
    let revoked_at = Instant::now();
    record.line(&format!("version 2, without the key revoked-key, is acknowledged at revision {revision}"));
    sleep_until(revoked_at + Duration::from_secs(3));
    if has_trouble {
        record.line("the store is away");
        fleet.vms.iter().for_each(|vm| vm.view.is_cut.store(true, Ordering::Relaxed));
    }
    sleep_until(revoked_at + Duration::from_millis(5500));
    if has_trouble {
        fleet.store.return_from(&copy);
        fleet.vms.iter().for_each(|vm| vm.view.is_cut.store(false, Ordering::Relaxed));
        record.line("the store is back, from a copy of before version 2");
    }
    // The process has ended within `Grace` and is started again.
    sleep_until(revoked_at + Duration::from_millis(5600));
    fleet.vms[0].kill();
    fleet.vms[0].restart();
    record.line(&format!("{} starts again", fleet.vms[0].name));
    sleep_until(revoked_at + Duration::from_millis(5500) + REWRITE_DELAY);
    if has_trouble {
        fleet.store.put("config/main", after);
        for target in &fleet.targets {
            fleet.store.put(&target.key(), target.entry("ready"));
        }
        record.line("the operator and the targets have written again");
    }
    std::thread::sleep(Duration::from_secs(3));
    let sent = load.finish(&fleet);
    fleet.record_arrivals();
    let ran: BTreeSet<String> = fleet.runs().into_iter().map(|arrival| arrival.id).collect();
    let late = sent.iter().filter(|one| one.id.starts_with("revoked") && one.at > revoked_at + REVOKE);
    let late: Vec<&Sent> = late.filter(|one| ran.contains(&one.id)).collect();
    let Some(last) = late.last() else { return Ok(String::new()) };
    let after = last.at.duration_since(revoked_at).as_secs_f64();
    let text = format!(
        "{} requests with the revoked key ran that were sent later than Revoke; the last one {after:.2} s after its acknowledgement",
        late.len()
    );
    println!("{text}");
    Ok(text)
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// A route with `MaxAttempts` 1. One entry VM is partitioned from all targets, and another one that takes its requests is
/// killed.
fn lost_forwards(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let mut config = config(&["board"]);
    config["Routes"]["read-board"]["MaxAttempts"] = json!(1);
    let options = FleetOptions { has_links: true, ..options(&["zone-a", "zone-b", "zone-c"]) };
    let mut fleet = Fleet::start(record.clone(), start_targets(16, 4, 300), &config, &options)?;
    let load = Load::new();
    load.start(&fleet, reads(0, 100));
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.line(&format!("{} is partitioned from all targets: connections hang", fleet.vms[0].name));
        fleet.vms[0].set_links(mode::HANG);
    }
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.line(&format!("{} is killed", fleet.vms[1].name));
        fleet.vms[1].kill();
    }
    std::thread::sleep(Duration::from_secs(2));
    record.line("the partition ends");
    fleet.vms[0].set_links(mode::PASS);
    load.finish(&fleet);
    fleet.record_arrivals();
    let mut targets: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for target in &fleet.targets {
        for arrival in target.arrivals.lock().unwrap().iter().filter(|arrival| arrival.has_run) {
            targets.entry(arrival.id.clone()).or_default().insert(target.address.clone());
        }
    }
    let beyond: Vec<&String> =
        targets.iter().filter(|(_, ran_at)| ran_at.len() > 1).map(|(id, _)| id).collect();
    let text = format!(
        "{} of {} requests ran at more targets than MaxAttempts: {beyond:?}",
        beyond.len(),
        targets.len()
    );
    println!("{text}");
    Ok(if beyond.len() > 3 { text } else { String::new() })
}

/// A request under which targets crash: they fall silent, or their connections end. It comes again and again, at all entry VMs.
fn crashes(record: &Arc<Record>, has_trouble: bool, target_count: usize, is_silent: bool) -> Outcome {
    let options = options(&["zone-a", "zone-b", "zone-c"]);
    let fleet =
        Fleet::start(record.clone(), start_targets(target_count, 4, 60), &config(&["board"]), &options)?;
    for target in &fleet.targets {
        target.behaviour.is_silent.store(is_silent, Ordering::Relaxed);
        target.behaviour.down_ms.store(3000, Ordering::Relaxed);
        *target.behaviour.poison.lock().unwrap() = has_trouble.then(|| "poison".to_owned());
    }
    register_crashing_targets(fleet.store.clone(), fleet.targets.clone());
    let load = Load::new();
    for vm in 0..3 {
        load.start(&fleet, reads(vm, 10));
    }
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(40) {
        number += 1;
        let vm = &fleet.vms[number % 3];
        let id = format!("poison-{number}");
        let attempt = Attempt {
            method: "GET",
            path: "/board/read/poison",
            host: HOST,
            id: &id,
            deadline_ms: DEADLINE_MS,
            headers: &[],
            body: b"",
        };
        let at = Instant::now();
        let status = send(&vm.callers, &attempt).map(|message| message.status());
        record.line_at(
            at,
            &format!("client sends {id} to {}: {status:?} after {} ms", vm.name, at.elapsed().as_millis()),
        );
        std::thread::sleep(Duration::from_millis(500));
    }
    load.finish(&fleet);
    fleet.record_arrivals();
    let crashes = fleet.targets.iter().flat_map(|target| target.crashes.lock().unwrap().clone());
    let mut crashes: Vec<Instant> = crashes.map(|(at, _)| at).collect();
    crashes.sort();
    let Some(third) = crashes.get(2) else { return Ok(String::new()) };
    // The send of a request precedes its crash by a few milliseconds.
    let late = crashes.iter().filter(|at| at.duration_since(*third) > CONTACT + SEND_TIME).count();
    let text =
        format!("{} targets crashed, {late} of them later than Contact after the third", crashes.len());
    println!("{text}");
    Ok(if late > 3 { text } else { String::new() })
}

/// One entry VM is partitioned from all targets while another one is frozen.
fn frozen_peer(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    // Three large machines are the homes and the readers; the first one, which is partitioned, does not check the frozen one.
    let mut options = FleetOptions { has_links: true, ..options(&["a", "b", "c", "d", "e"]) };
    options.cores = vec![0.4, 0.2, 0.2, 0.4, 0.4];
    let (partitioned, frozen, other) = (0, 3, 4);
    let fleet = Fleet::start(record.clone(), start_targets(8, 4, 60), &config(&["board"]), &options)?;
    let load = Load::new();
    for vm in [partitioned, other] {
        load.start(&fleet, reads(vm, 30));
        load.start(&fleet, claims(vm, 10));
    }
    std::thread::sleep(Duration::from_secs(4));
    let cut_at = Instant::now();
    if has_trouble {
        record.line(&format!(
            "{} is partitioned from all targets: connections hang",
            fleet.vms[partitioned].name
        ));
        fleet.vms[partitioned].set_links(mode::HANG);
    }
    std::thread::sleep(Duration::from_millis(2500));
    if has_trouble {
        record.line(&format!("{} is frozen", fleet.vms[frozen].name));
        fleet.vms[frozen].signal("STOP");
    }
    std::thread::sleep(Duration::from_millis(3700));
    let end = Instant::now();
    record.line("the partition ends");
    fleet.vms[partitioned].set_links(mode::PASS);
    std::thread::sleep(Duration::from_millis(DEADLINE_MS));
    record.line("the freeze ends");
    fleet.vms[frozen].signal("CONT");
    let sent = load.finish(&fleet);
    fleet.record_arrivals();
    Ok(check_recover(&sent, cut_at, end, partitioned, &[other]))
}
