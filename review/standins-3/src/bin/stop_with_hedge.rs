//! LOST: after a SIGTERM, a request at which a target is at work is broken off and answered with 503, if a further attempt
//! of it has found no connection.

use review_standins_3::target::Target;
use review_standins_3::vm::Vm;
use review_standins_3::{Attempt, Case, HOST, read_message, send};
use rustix::process::Signal;
use serde_json::json;
use sniperelay_standin::platform::PlatformStandin;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time that clients wait, and timeout of the route.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time from the SIGTERM to the request. A request that is sent within 3 s has to be answered.
const SENT_AFTER: Duration = Duration::from_millis(2800);
/// Work on the request: it ends before the last sixth of `Grace`, which begins 5 s after the SIGTERM.
const WORK_MS: u64 = 1900;

/// Connections that a target accepts from all callers combined.
const MAX_CONNECTIONS: usize = 12;
/// Time after which a target closes idle connections.
const TARGET_IDLE_SECONDS: u64 = 2;
/// Time before the request at which other callers fill up the connections of one target.
const FILLED_BEFORE: Duration = Duration::from_millis(2700);

/// Keeps a connection to a target as another caller does, with a health check from time to time.
async fn keep_connection(target: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(target).await?;
    let mut buffer = Vec::new();
    loop {
        stream.write_all(format!("GET /health HTTP/1.1\r\nHost: {target}\r\n\r\n").as_bytes()).await?;
        if read_message(&mut stream, &mut buffer).await?.is_none() {
            return Ok(());
        }
        sleep(Duration::from_millis(700)).await;
    }
}

/// Another caller, which connects again when it has no connection.
async fn keep_caller(target: SocketAddr) {
    loop {
        drop(keep_connection(target).await);
        sleep(Duration::from_millis(5)).await;
    }
}

fn report(id: impl Into<String>, millis: u64) -> Attempt {
    Attempt { id: id.into(), path: format!("/report/{millis}"), deadline: DEADLINE, headers: String::new() }
}

#[tokio::main]
async fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = PlatformStandin::start().await.unwrap();
    // The machines are in zone z, and prefer the target there.
    let targets =
        ["i-1", "i-2"].map(|id| Target::start_limited(&record, id, 4, MAX_CONNECTIONS, TARGET_IDLE_SECONDS));
    for (target, zone) in targets.iter().zip(["z", "y"]) {
        store.put(&format!("servers/{}", target.id), target.entry_in_zone("reports", target.address, zone));
    }
    let config = json!({
        "Version": "00000001",
        "Routes": {"r": {"Host": HOST, "PathPrefix": "/report/", "Kind": "safe", "Timeout": "5s", "TargetLatency": "2s",
            "Priority": 0, "MaxAttempts": 3, "Service": "reports"}},
        "Services": {"reports": {"HealthPath": "/health", "MaxConnections": MAX_CONNECTIONS}},
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
    sleep(SENT_AFTER - FILLED_BEFORE).await;
    let [local, remote] = &targets;
    record.log(format!(
        "other callers open connections to {}, which has {}",
        remote.id,
        remote.connections()
    ));
    for _ in 0..MAX_CONNECTIONS {
        tokio::spawn(keep_caller(remote.address));
    }
    sleep(FILLED_BEFORE).await;
    if !remote.is_full() {
        case.give_up("the other target is not at its limit of connections");
    }
    let asked = tokio::spawn(send(record.clone(), front, report("asked", WORK_MS)));
    sleep(Duration::from_millis(100)).await;
    if !local.is_working() {
        case.give_up("the request went to the other target first");
    }
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
