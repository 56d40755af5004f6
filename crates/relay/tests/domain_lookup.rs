//! Tests of entry VMs in several failure domains: lookups by callers that state their domain, and requests of a domain
//! without targets.

mod common;

use common::{
    Caller, ScriptedAction, ScriptedTarget, config, registration, request, sealed_response,
    start_relay_in_domain,
};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS_PER_DOMAIN: usize = 2;
const WITH_DOMAIN_HOMES: &str = "[routing]\ntolerated-domain-losses = 1\n";

struct Deployment {
    store: Arc<PlatformStandin>,
    /// Two entry VMs of each failure domain, one domain after the other.
    vms: Vec<RunningRelay>,
    targets: Vec<Arc<ScriptedTarget>>,
}

impl Deployment {
    /// Starts one target and two entry VMs in each failure domain.
    async fn start(settings: &str) -> Self {
        let store = PlatformStandin::start().await.unwrap();
        let mut targets = Vec::new();
        for domain in DOMAINS {
            let target =
                ScriptedTarget::start(vec![ScriptedAction::Respond(sealed_response(domain)); 8]).await;
            let mut entry = registration(target.address, "ready");
            entry["Zone"] = domain.into();
            store.put(&format!("servers/{domain}"), entry.to_string());
            targets.push(target);
        }
        store.put("config/main", config("00000001").to_string());
        let start = |index: usize| {
            let domain = DOMAINS[index / VMS_PER_DOMAIN];
            start_relay_in_domain(domain, &format!("vm-{index}"), store.address(), "", "", settings)
        };
        let vms: Vec<RunningRelay> = (0..DOMAINS.len() * VMS_PER_DOMAIN).map(start).collect();
        let deployment = Self { store: store.clone(), vms, targets };
        let count = deployment.vms.len();
        for vm in 0..count {
            let is_complete =
                |vm: &RunningRelay| vm.state().is_ready() && vm.state().entry_vms.load().len() == count;
            deployment.wait_until(vm, is_complete).await;
        }
        deployment
    }

    async fn wait_until(&self, vm: usize, condition: impl Fn(&RunningRelay) -> bool) {
        let reached = async {
            while !condition(&self.vms[vm]) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(10), reached).await.expect("not reached within 10 s");
    }

    fn caller_addresses(&self, domain: usize) -> BTreeSet<SocketAddr> {
        let members = &self.vms[domain * VMS_PER_DOMAIN..][..VMS_PER_DOMAIN];
        members.iter().map(|vm| vm.state().own_record().caller_address).collect()
    }

    /// Sends a lookup to the first entry VM and returns the addresses in the response.
    async fn look_up(&self, query: &str) -> BTreeSet<SocketAddr> {
        let mut caller = Caller::open(self.vms[0].state().own_record().ready_address).await;
        caller.send(&format!("GET /api/resolve?{query} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
        let response = caller.receive().await.unwrap();
        let body = response.split("\r\n\r\n").nth(1).unwrap();
        let decoded: serde_json::Value = serde_json::from_str(body).unwrap();
        let addresses = decoded["Addresses"].as_array().unwrap().iter();
        addresses.map(|address| address.as_str().unwrap().parse().unwrap()).collect()
    }
}

/// Guards against lookups that send callers to other failure domains, and against ones that leave them without an address
/// elsewhere when theirs fails.
#[tokio::test]
async fn lookup_names_the_callers_domain_and_one_address_elsewhere() {
    let deployment = Deployment::start(WITH_DOMAIN_HOMES).await;
    for (index, domain) in DOMAINS.iter().enumerate() {
        let named = deployment.look_up(&format!("Name=h.example&Region=r&Zone={domain}")).await;
        let own = deployment.caller_addresses(index);
        let next = deployment.caller_addresses((index + 1) % DOMAINS.len());
        assert!(named.is_superset(&own), "{domain}: {named:?}");
        assert_eq!(named.len(), 3);
        assert_eq!(named.intersection(&next).count(), 1);
    }
    assert_eq!(deployment.look_up("Name=h.example").await.len(), 6);
    assert_eq!(deployment.look_up("Name=h.example&Zone=elsewhere").await.len(), 6);
}

/// Guards against other lookup responses where the setting is not set: they do not depend on the caller.
#[tokio::test]
async fn lookup_ignores_the_callers_domain_by_default() {
    let deployment = Deployment::start("").await;
    let all = deployment.look_up("Name=h.example").await;
    for domain in DOMAINS {
        assert_eq!(deployment.look_up(&format!("Name=h.example&Zone={domain}")).await, all);
    }
}

/// Guards against requests without a response although other failure domains have targets.
#[tokio::test]
async fn requests_of_a_domain_without_targets_are_served_elsewhere() {
    let deployment = Deployment::start(WITH_DOMAIN_HOMES).await;
    let answered_by = async |id: &str| {
        let mut caller = Caller::open(deployment.vms[0].state().own_record().caller_address).await;
        caller.send(&request("GET", "/read/1", id, "")).await;
        caller.receive().await.unwrap()
    };
    assert!(answered_by("r1").await.ends_with("\r\n\r\na"), "by the target of the own domain");
    deployment.store.delete("servers/a");
    let own_address = deployment.targets[0].address;
    let has_own = |vm: &RunningRelay| {
        vm.state().services.load()["s"]
            .dispatcher_handle
            .read(|dispatcher| dispatcher.targets().find(own_address).is_some())
    };
    deployment.wait_until(0, |vm| !has_own(vm)).await;
    let response = answered_by("r2").await;
    assert!(response.ends_with("\r\n\r\nb") || response.ends_with("\r\n\r\nc"), "{response}");
    deployment.vms[0].state().update_metrics();
    let counters = deployment.vms[0].state().metrics.process();
    assert_eq!(counters.left_domain_without_target.load(Ordering::Relaxed), 1);
    assert_eq!(counters.cross_domain_response_bytes.load(Ordering::Relaxed), 1);
    assert_eq!(deployment.look_up("Name=h.example&Zone=a").await.len(), 6, "the domain has no slots left");
}
