//! CONFIG: an entry VM that has missed more changes of a large configuration than fit into one response.
//!
//! Five entry VMs: three of them read the store, the others follow these. The configuration has 5,271 routes and 1,046,903 bytes
//! (`ValueBytes` is 1,048,576) and changes each 0.33 s for 8 s, as in two `config_storm` of the site files. The disruption is
//! `node_freeze`: one of the followers stands still for 5 s meanwhile. The last version adds a route.
//!
//! Checked: requests on the added route that are sent directly to the entry VM later than `ConfigApply` after the
//! acknowledgement of that version and later than `Contact` after the end of the freeze, and are refused with 404.

use crate::Verdict;
use crate::deployment::{BOUNDS, Route, config, own_network};
use crate::http::{ClientRequest, send};
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use crate::vm::{Fleet, Vm};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const HOST: &str = "jepu9.example";
const MORE_ROUTES: usize = 5270;
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
const CHANGES: u32 = 24;
/// Number of the change after which the follower stands still.
const FREEZE_AFTER: u32 = 4;
const FREEZE_TIME: f64 = 5.0;
const CONTACT: f64 = 3.0;
const CONFIG_APPLY: f64 = 2.0;
/// Time for which the entry VM is checked.
const CHECK_TIME: f64 = 40.0;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Verdict {
    let network = own_network();
    let store = Store::start(&format!("{network}.200"));
    let target = Target::start(record, &format!("{network}.101"), "i-1", "claims", "z1", 6);
    let text = config_text(1, false);
    store.put_text("config/main", &text);
    record.say(format!("the configuration has {} bytes", text.len()));
    store.put(&format!("servers/{}", target.id), target.entry("ready"));
    let fleet = Fleet::new(record, &network, store.address, BOUNDS);
    let vms: Vec<Vm> = (1..=5).map(|n| fleet.start(n, &format!("z{}", n % 4))).collect();
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("an entry VM is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(6));
    let is_follower = |vm: &&Vm| fleet.log_contains(vm.number, "store followed through");
    let Some(follower) = vms.iter().find(is_follower) else {
        return Verdict::NotRun("no entry VM follows another one".to_owned());
    };
    record.say(format!("front-{} follows another entry VM", follower.number));
    let versions: Vec<String> =
        (1..=CHANGES).map(|change| config_text(1 + change, change == CHANGES)).collect();
    let begin = record.now();
    let wait_until = |time: f64| std::thread::sleep(Duration::from_secs_f64((time - record.now()).max(0.0)));
    let mut frozen_at = f64::MAX;
    let mut resumed_at = begin;
    for (change, text) in (1..).zip(&versions) {
        wait_until(begin + CHANGE_INTERVAL.as_secs_f64() * f64::from(change));
        store.put_text("config/main", text);
        if is_troubled && change == FREEZE_AFTER {
            follower.signal("STOP");
            frozen_at = record.now();
        }
        let next_at = begin + CHANGE_INTERVAL.as_secs_f64() * f64::from(change + 1);
        if frozen_at + FREEZE_TIME < next_at {
            wait_until(frozen_at + FREEZE_TIME);
            follower.signal("CONT");
            resumed_at = record.now();
            frozen_at = f64::MAX;
        }
    }
    let acknowledged_at = record.now();
    record.say(format!("the store has accepted {CHANGES} versions; the last one adds the route /new/"));
    let begin = (acknowledged_at + CONFIG_APPLY).max(resumed_at + CONTACT) + 0.5;
    std::thread::sleep(Duration::from_secs_f64((begin - record.now()).max(0.0)));
    let mut refused = 0;
    let mut number = 0;
    while record.now() < begin + CHECK_TIME {
        for vm in &vms {
            number += 1;
            let request = ClientRequest {
                method: "GET",
                host: HOST.to_owned(),
                path: "/new/w10".to_owned(),
                id: format!("req-{number:04}"),
                deadline: Duration::from_millis(1200),
                body: Vec::new(),
            };
            let text = send(vm.front, &request).text();
            record.log(format!("{} on the added route to front-{}: {text}", request.id, vm.number));
            if text == "404" {
                refused += 1;
                if refused == 1 || refused % 10 == 0 {
                    record.say(format!(
                        "CONFIG: front-{} refuses {} with 404, {:.1} s after the acknowledgement ({refused} so far)",
                        vm.number,
                        request.id,
                        record.now() - acknowledged_at
                    ));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    for line in fleet.log_lines(follower.number, "cannot read from the reader").iter().rev().take(1) {
        record.say(format!("log of front-{}: {line}", follower.number));
    }
    record.say(format!("front-{} says that it is ready: {}", follower.number, follower.is_ready()));
    record.say(format!("{refused} of {number} requests on the added route were refused with 404"));
    if refused > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Returns a version of the configuration.
fn config_text(version: u32, has_new_route: bool) -> String {
    let route = |prefix| Route {
        host: HOST,
        prefix,
        kind: "safe",
        service: "claims",
        timeout_ms: 1200 + u64::from(version % 7) * 10,
        latency_ms: 200,
        priority: 0,
    };
    let mut routes = vec![route("/old/")];
    if has_new_route {
        routes.push(route("/new/"));
    }
    let mut value = config(version, &routes);
    if let Some(routes) = value["Routes"].as_object_mut() {
        for number in 0..MORE_ROUTES {
            let route = json!({
                "Host": "more.example", "PathPrefix": format!("/lepu{number}/"), "Kind": "safe", "Timeout": "1200ms",
                "TargetLatency": "200ms", "Priority": 0, "MaxAttempts": 2,
                "WeightedServices": [{"Service": "claims", "Weight": 1}],
            });
            routes.insert(format!("r-m{number}"), route);
        }
    }
    value.to_string()
}
