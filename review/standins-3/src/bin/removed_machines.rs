//! DRAIN: the directory names machines of a lost zone that were lost more than `Contact` + 3 s before.

use review_standins_3::target::{Target, listen};
use review_standins_3::vm::Vm;
use review_standins_3::{Case, get};
use rustix::process::Signal;
use serde_json::json;
use sniperelay_standin::platform::PlatformStandin;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Zones, of which one is lost.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Zone that is lost: its machines and targets.
const LOST_ZONE: &str = "zone-b";
/// Number of machines of each zone.
const MACHINES: usize = 5;
/// Number of hosts with a route, each with homes of its own.
const HOSTS: usize = 12;
/// Time after the loss from which the directory may not name a machine: `Contact` + 3 s.
const LIMIT: Duration = Duration::from_secs(6);
/// Time for which the directory is asked after the loss.
const ASKED_FOR: Duration = Duration::from_secs(20);
/// Pause between two questions: fewer than the clients of a small deployment ask.
const PAUSE: Duration = Duration::from_millis(50);

#[tokio::main]
async fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = PlatformStandin::start().await.unwrap();
    for (number, zone) in ZONES.iter().cycle().take(9).enumerate() {
        let target = Target::start(&record, &format!("i-{number}"), 4);
        store.put(&format!("servers/{}", target.id), target.entry_in_zone("board", target.address, zone));
    }
    let routes: serde_json::Map<String, serde_json::Value> = (0..HOSTS)
        .map(|number| {
            let route = json!({"Host": format!("h{number}.example"), "PathPrefix": "/read/", "Kind": "safe", "Timeout": "1200ms",
                "TargetLatency": "500ms", "Priority": 0, "MaxAttempts": 2, "Service": "board"});
            (format!("r{number}"), route)
        })
        .collect();
    let config = json!({
        "Version": "00000001", "Routes": routes,
        "Services": {"board": {"HealthPath": "/health", "MaxConnections": 240}},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
    });
    store.put("config/main", config.to_string());
    let names = ZONES
        .iter()
        .flat_map(|zone| (1..=MACHINES).map(move |number| (*zone, format!("front-{zone}-{number}"))));
    let vms: Vec<Vm> = names
        .enumerate()
        .map(|(index, (zone, name))| {
            Vm::start_in_zone(&case.temporary, index + 1, store.address(), &name, zone, 1)
        })
        .collect();
    for vm in &vms {
        if !vm.is_ready().await {
            case.give_up("an entry VM is not ready");
        }
    }
    sleep(Duration::from_secs(4)).await;

    // All machines of a zone lose power. Their addresses do not respond from then on. The targets of the zone stay, so that
    // only machines are lost.
    let (lost, others): (Vec<&Vm>, Vec<&Vm>) = vms.iter().partition(|vm| vm.zone == LOST_ZONE);
    let mut silent: Vec<TcpListener> = Vec::new();
    if case.has_trouble {
        for vm in &lost {
            record
                .log(format!("{} loses power: its process is killed, its addresses do not respond", vm.name));
            vm.signal(Signal::KILL);
        }
        sleep(Duration::from_millis(20)).await;
        silent = lost.iter().flat_map(|vm| vm.addresses.iter().map(|address| listen(*address))).collect();
    }
    let start = Instant::now();
    let (mut asked, mut naming, mut last) = (0, 0, Duration::ZERO);
    while start.elapsed() < ASKED_FOR {
        let (vm, host) = (others[asked % others.len()], asked / others.len() % HOSTS);
        let zone = ZONES[asked % ZONES.len()];
        let path = format!("/api/resolve?Name=h{host}.example&Region=r&Zone={zone}");
        let at = start.elapsed();
        let Some(answer) = get(vm.directory, &path).await.filter(|answer| answer.status == 200) else {
            case.give_up(&format!("the directory of {} does not answer", vm.name))
        };
        let text = String::from_utf8_lossy(&answer.body).to_string();
        record.log(format!("{} answers for h{host}.example in {zone}: {text}", vm.name));
        asked += 1;
        let is_named = |vm: &&Vm| text.contains(&format!("\"{}\"", vm.callers));
        let (names_lost, names_running) = (lost.iter().any(is_named), others.iter().any(is_named));
        if case.has_trouble && at > LIMIT && names_lost && names_running {
            record.log(format!("that names a machine which was lost {:.1} s before", at.as_secs_f64()));
            naming += 1;
            last = at;
        }
        sleep(PAUSE).await;
    }
    drop(silent);
    let verdict = format!(
        "{naming} of {asked} answers of the directory named a machine beside a running one more than 6 s after its loss, the last one {:.1} s after it",
        last.as_secs_f64()
    );
    case.end(naming > 3, &verdict)
}
