//! LOST: after a SIGTERM, a request at which a target is at work is broken off and answered with 503, if a further attempt
//! of it has found no connection.

use review_standins_3::target::Target;
use review_standins_3::vm::Vm;
use review_standins_3::{Attempt, Case, HOST, send};
use rustix::process::Signal;
use serde_json::json;
use sniperelay_standin::platform::PlatformStandin;
use std::time::Duration;
use tokio::time::sleep;

/// Time that clients wait, and timeout of the route.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time from the SIGTERM to the request. A request that is sent within 3 s has to be answered.
const SENT_AFTER: Duration = Duration::from_millis(2800);
/// Work on the request: it ends before the last sixth of `Grace`, which begins 5 s after the SIGTERM.
const WORK_MS: u64 = 1900;

fn report(id: impl Into<String>, millis: u64) -> Attempt {
    Attempt { id: id.into(), path: format!("/report/{millis}"), deadline: DEADLINE, headers: String::new() }
}

#[tokio::main]
async fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = PlatformStandin::start().await.unwrap();
    let targets = ["i-1", "i-2"].map(|id| Target::start(&record, id, 4));
    for target in &targets {
        store.put(&format!("servers/{}", target.id), target.entry("reports", target.address));
    }
    let config = json!({
        "Version": "00000001",
        "Routes": {"r": {"Host": HOST, "PathPrefix": "/report/", "Kind": "safe", "Timeout": "5s", "TargetLatency": "2s",
            "Priority": 0, "MaxAttempts": 3, "Service": "reports"}},
        "Services": {"reports": {"HealthPath": "/health", "MaxConnections": 240}},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
    });
    store.put("config/main", config.to_string());
    let vms: Vec<Vm> = (1..=2).map(|number| Vm::start(&case.temporary, number, store.address())).collect();
    for vm in &vms {
        if !vm.is_ready().await {
            case.give_up("an entry VM is not ready");
        }
    }
    sleep(Duration::from_secs(3)).await;
    let front = vms[0].callers;

    record.log("usual traffic: most reports take 0.1 s, some 1.5 s");
    let mut usual = Vec::new();
    for number in 0..220 {
        let (millis, pause) = if number < 10 { (1500, 200) } else { (100, 30) };
        usual.push(tokio::spawn(send(record.clone(), front, report(format!("usual-{number}"), millis))));
        sleep(Duration::from_millis(pause)).await;
    }
    for answer in usual {
        if !matches!(answer.await.unwrap(), Ok((200, _))) {
            case.give_up("usual traffic is not served");
        }
    }

    sleep(Duration::from_millis(300)).await;
    if case.has_trouble {
        record.log("SIGTERM of front-1");
        vms[0].signal(Signal::TERM);
    }
    sleep(SENT_AFTER).await;
    let asked = tokio::spawn(send(record.clone(), front, report("asked", WORK_MS)));
    sleep(Duration::from_millis(100)).await;
    let Some(idle) = targets.iter().find(|target| !target.is_working()) else {
        case.give_up("no target is idle")
    };
    idle.fill_up();
    let answer = asked.await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let is_broken_off = targets.iter().any(|target| target.dropped().contains(&"asked".to_owned()));
    match answer {
        Ok((200, _)) => case.end(false, "the request got its target's answer"),
        other if is_broken_off => {
            case.end(true, &format!("the request was broken off while its target was at work: {other:?}"))
        }
        other => case.give_up(&format!("the request did not run: {other:?}")),
    }
}
