//! RECOVER: while a machine is partitioned from all targets, requests with heads near `MaxHeaderBytes` keep it from having
//! other requests served.

use review_standins_3::link::{Cut, start_link};
use review_standins_3::target::Target;
use review_standins_3::vm::Vm;
use review_standins_3::{Attempt, Case, HOST, send};
use serde_json::json;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Limit that the configuration states, as in the pages' example.
const MAX_HEADER_BYTES: usize = 16_384;
/// Length of a large head: below the limit.
const LARGE_HEAD_BYTES: usize = 16_370;
/// Time from the start of the partition from which the rule counts.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of the partition.
const CUT: Duration = Duration::from_secs(8);
/// Pause between two first tries at each of two machines.
const PAUSE: Duration = Duration::from_millis(20);
/// Of so many first tries, one has a large head.
const LARGE_EVERY: usize = 20;

fn request(id: String, is_large: bool) -> Attempt {
    let deadline = Duration::from_millis(1200);
    let path = "/read/20".to_owned();
    let mut headers = String::new();
    if is_large {
        let rest = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nCookie: \r\n\r\n",
            deadline.as_millis()
        );
        headers = format!("Cookie: {}\r\n", "c".repeat(LARGE_HEAD_BYTES - rest.len()));
    }
    Attempt { id, path, deadline, headers }
}

#[tokio::main]
async fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = PlatformStandin::start().await.unwrap();
    let cut = Arc::new(Cut::new(None));
    for number in 1..=8 {
        let target = Target::start(&record, &format!("i-{number}"), 4);
        let address = start_link(&cut, target.address);
        store.put(&format!("servers/{}", target.id), target.entry("board", address));
    }
    let config = json!({
        "Version": "00000001",
        "Routes": {"r": {"Host": HOST, "PathPrefix": "/read/", "Kind": "safe", "Timeout": "1200ms", "TargetLatency": "500ms",
            "Priority": 0, "MaxAttempts": 2, "Service": "board"}},
        "Services": {"board": {"HealthPath": "/health", "MaxConnections": 240}},
        "Limits": {"MaxHeaderBytes": MAX_HEADER_BYTES, "MaxBodyBytes": 1_000_000, "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms"},
    });
    store.put("config/main", config.to_string());
    let vms: Vec<Vm> = (1..=4).map(|number| Vm::start(&case.temporary, number, store.address())).collect();
    for vm in &vms {
        if !vm.is_ready().await {
            case.give_up("an entry VM is not ready");
        }
    }
    sleep(Duration::from_secs(3)).await;

    if case.has_trouble {
        record.log("front-1 is partitioned from all targets");
        cut.send_replace(Some(vms[0].process));
    }
    let start = Instant::now();
    let mut tries = Vec::new();
    let mut number = 0;
    while start.elapsed() < CUT {
        let counts = start.elapsed() >= CONTACT;
        for (machine, vm) in vms[..2].iter().enumerate() {
            let is_large = number % LARGE_EVERY == 0;
            let id = format!("{}{number}-{}", if is_large { "large-" } else { "" }, vm.name);
            let sent = tokio::spawn(send(record.clone(), vm.callers, request(id, is_large)));
            if counts {
                tries.push((machine, is_large, sent));
            }
        }
        number += 1;
        sleep(PAUSE).await;
    }
    let mut served = [0_usize; 2];
    let mut all = [0_usize; 2];
    let mut failed_usual = 0;
    for (machine, is_large, answer) in tries {
        let is_served = matches!(answer.await.unwrap(), Ok((200, _)));
        all[machine] += 1;
        served[machine] += usize::from(is_served);
        failed_usual += usize::from(machine == 0 && !is_served && !is_large);
    }
    let share = |machine: usize| served[machine] as f64 / all[machine] as f64;
    let failed = all[0] - served[0];
    let verdict = format!(
        "from Contact on, {} of {} first tries at the partitioned machine were served, {} of {} at another one; {failed_usual} that failed had small heads",
        served[0], all[0], served[1], all[1]
    );
    if share(1) < 0.9 {
        case.give_up(&verdict);
    }
    case.end(share(0) < share(1) * 2.0 / 3.0 && failed as f64 > 10.0 + all[0] as f64 / 50.0, &verdict)
}
