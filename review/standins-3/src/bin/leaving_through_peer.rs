//! DRAIN: a machine that has passed on an answer with `Server-Leaving` for a forwarded request sends to that target later.

use review_standins_3::link::{Cut, start_sorting_link};
use review_standins_3::target::Target;
use review_standins_3::vm::Vm;
use review_standins_3::{Attempt, Case, HOST, send_for_answer};
use serde_json::json;
use sniperelay_standin::platform::PlatformStandin;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// `Drain`.
const DRAIN: Duration = Duration::from_secs(2);

#[tokio::main]
async fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = PlatformStandin::start().await.unwrap();
    let config = json!({
        "Version": "00000001",
        "Routes": {"r": {"Host": HOST, "PathPrefix": "/read/", "Kind": "safe", "Timeout": "1200ms", "TargetLatency": "500ms",
            "Priority": 0, "MaxAttempts": 2, "Service": "board"}},
        "Services": {"board": {"HealthPath": "/health", "MaxConnections": 240}},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
    });
    store.put("config/main", config.to_string());
    let vms: Vec<Vm> = (1..=3).map(|number| Vm::start(&case.temporary, number, store.address())).collect();
    let cut = Arc::new(Cut::new(None));
    let mut targets = Vec::new();
    for number in 1..=6 {
        // A target has an address for front-1 and one for the others; both are the same target.
        let [others, first] = [0, 1].map(|_| Target::start(&record, &format!("i-{number}"), 4));
        let address = start_sorting_link(&cut, others.address, Some((vms[0].process, first.address)));
        store.put(&format!("servers/i-{number}"), others.entry("board", address));
        targets.push((others, first));
    }
    for vm in &vms {
        if !vm.is_ready().await {
            case.give_up("an entry VM is not ready");
        }
    }
    sleep(Duration::from_secs(3)).await;

    // Time at which front-1 passed on the first such answer of each target.
    let passed_on: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let traffic = {
        let (record, passed_on, front) = (record.clone(), passed_on.clone(), vms[0].callers);
        async move {
            for number in 0.. {
                let attempt = Attempt {
                    id: format!("q{number}"),
                    path: "/read/150".to_owned(),
                    deadline: Duration::from_millis(1200),
                    headers: String::new(),
                };
                let (record, passed_on) = (record.clone(), passed_on.clone());
                tokio::spawn(async move {
                    let answer = send_for_answer(record, front, attempt).await;
                    let Some(answer) = answer.ok().filter(|answer| answer.header("server-leaving") == "1")
                    else {
                        return;
                    };
                    let body = String::from_utf8_lossy(&answer.body).to_string();
                    let target = body.rsplit(' ').next().unwrap_or("").to_owned();
                    passed_on.lock().unwrap().entry(target).or_insert_with(Instant::now);
                });
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    let traffic = tokio::spawn(traffic);
    sleep(Duration::from_millis(500)).await;
    if case.has_trouble {
        record.log("front-1 is partitioned from all targets");
        cut.send_replace(Some(vms[0].process));
    }
    sleep(Duration::from_millis(2000)).await;
    record.log("targets i-1 to i-5 leave");
    if case.has_trouble {
        record.log("the store is down, so that they can't report it there");
        store.control.is_down.store(true, Ordering::Relaxed);
    }
    for (others, first) in &targets[..5] {
        others.is_leaving.store(true, Ordering::Relaxed);
        first.is_leaving.store(true, Ordering::Relaxed);
    }
    sleep(Duration::from_millis(1500) + DRAIN).await;
    // Those whose answer was passed on more than Drain ago: what they begin for front-1 from now on was sent later.
    let bound: Vec<&Arc<Target>> = {
        let passed_on = passed_on.lock().unwrap();
        let is_bound = |target: &Target| passed_on.get(&target.id).is_some_and(|at| at.elapsed() > DRAIN);
        targets.iter().map(|(_, first)| first).filter(|first| is_bound(first)).collect()
    };
    if bound.is_empty() && case.has_trouble {
        case.give_up("no answer with Server-Leaving was passed on in time");
    }
    let begun = || -> usize { bound.iter().map(|first| first.begun()).sum() };
    let before = begun();
    record.log(format!("front-1 has passed on such answers of {} targets; its partition ends", bound.len()));
    cut.send_replace(None);
    sleep(Duration::from_millis(1500)).await;
    traffic.abort();
    let late = begun() - before;
    let verdict = format!(
        "{late} requests reached targets from front-1 more than Drain after it had passed on their Server-Leaving"
    );
    case.end(late > 0, &verdict);
}
