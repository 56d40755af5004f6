//! A fleet whose entry VMs can be partitioned from all targets, each for itself.
//!
//! Each entry VM has a store of its own, in which the targets are registered at the addresses of proxies that only this
//! entry VM uses. The registrations of the entry VMs are copied between the stores.

use super::{
    Caller, ScriptedAction, ScriptedTarget, config, registration, request, start_named_relay, status,
};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use sniperelay_standin::soak::proxy::{ProxyMode, SoakProxy};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// First character of the ids of requests that are not idempotent.
pub const CLAIM: char = 'c';
const MIRROR_INTERVAL: Duration = Duration::from_millis(20);

pub struct PartitionedVm {
    store: Arc<PlatformStandin>,
    pub relay: RunningRelay,
    links: Vec<Arc<SoakProxy>>,
}

pub struct PartitionedFleet {
    pub vms: Vec<PartitionedVm>,
    pub targets: Vec<Arc<ScriptedTarget>>,
    peer_overrides: PeerOverrides,
}

/// Entry VMs that reach another one, the second number, at another address than the registered one.
type PeerOverrides = Arc<Mutex<Vec<(usize, usize, SocketAddr)>>>;

/// A request of a steady stream: its id and the status of the response, or `None` without a response.
pub type Outcome = (String, Option<u16>);

impl PartitionedFleet {
    /// Starts targets with this script each, and entry VMs that know each other.
    pub async fn start(vm_count: usize, target_count: usize, script: &[ScriptedAction]) -> Self {
        let mut targets = Vec::new();
        for _ in 0..target_count {
            targets.push(ScriptedTarget::start(script.to_vec()).await);
        }
        let mut vms = Vec::new();
        for index in 0..vm_count {
            vms.push(start_vm(index, &targets).await);
        }
        let stores: Vec<Arc<PlatformStandin>> = vms.iter().map(|vm| vm.store.clone()).collect();
        let peer_overrides = PeerOverrides::default();
        tokio::spawn(mirror_registrations(stores, peer_overrides.clone()));
        let fleet = Self { vms, targets, peer_overrides };
        while !fleet
            .vms
            .iter()
            .all(|vm| vm.relay.state().is_ready() && vm.relay.state().entry_vms.load().len() == vm_count)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fleet
    }

    /// Changes the links between an entry VM and all targets.
    pub fn set_links(&self, vm: usize, mode: ProxyMode) {
        self.vms[vm].links.iter().for_each(|link| link.set_mode(mode));
    }

    /// Registers one target in the place of all others at one entry VM, and waits until it is in use.
    pub async fn replace_targets(&self, vm: usize, target: &ScriptedTarget) {
        self.replace_target_address(vm, target.address).await;
    }

    /// Same as [`Self::replace_targets`], with any address.
    pub async fn replace_target_address(&self, vm: usize, address: SocketAddr) {
        let PartitionedVm { store, relay, .. } = &self.vms[vm];
        store.put("servers/only", registration(address, "ready").to_string());
        (0..self.targets.len()).for_each(|number| store.delete(&format!("servers/i{number}")));
        let is_in_use = || {
            relay.state().services.load()["s"].dispatcher_handle.read(|dispatcher| {
                let mut targets = dispatcher.targets().iter();
                targets.all(|(_, state)| state.address == address)
            })
        };
        while !is_in_use() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Registers all targets with this state at one entry VM.
    pub fn set_target_state(&self, vm: usize, state: &str) {
        let PartitionedVm { store, links, .. } = &self.vms[vm];
        for (number, link) in links.iter().enumerate() {
            store.put(&format!("servers/i{number}"), registration(link.address(), state).to_string());
        }
    }

    /// Writes a configuration to the store of one entry VM and waits until it is active.
    pub async fn put_config(&self, vm: usize, config: &serde_json::Value) {
        let PartitionedVm { store, relay, .. } = &self.vms[vm];
        store.put("config/main", config.to_string());
        let version = u64::from_str_radix(config["Version"].as_str().unwrap(), 16).unwrap();
        while relay.state().routes.load().as_ref().is_none_or(|routes| routes.config.version < version) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Puts a proxy between an entry VM and another one, and waits until the first one uses it.
    pub async fn put_link_between_entry_vms(&self, from: usize, to: usize) -> Arc<SoakProxy> {
        let record = self.vms[to].relay.state().own_record();
        let link = SoakProxy::start(record.peer_address).await.unwrap();
        self.override_peer(from, to, link.address()).await;
        link
    }

    /// Lets an entry VM reach another one at a different address, and waits until it does.
    pub async fn override_peer(&self, from: usize, to: usize, address: SocketAddr) {
        self.peer_overrides.lock().unwrap().push((from, to, address));
        let state = self.vms[from].relay.state();
        while state.entry_vms.load()[&format!("vm{to}")].peer_address != address {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns how many requests with this id have reached targets.
    pub fn arrivals(&self, id: &str) -> usize {
        let header = format!("x-request-id: {id}\r\n");
        let received = self.targets.iter().flat_map(|target| target.received());
        received.filter(|request| request.to_lowercase().contains(&header)).count()
    }

    /// Sends requests to one entry VM at a steady rate, each on a connection of its own. Every third one is not
    /// idempotent.
    pub async fn send_steadily(&self, vm: usize, per_second: u32, time: Duration) -> Vec<Outcome> {
        let address = self.vms[vm].relay.state().own_record().caller_address;
        let pause = Duration::from_secs(1) / per_second;
        let mut tasks = Vec::new();
        for index in 0..time.as_millis() / pause.as_millis() {
            tasks.push(tokio::spawn(async move {
                let (kind, method, path, body) = if index % 3 == 0 {
                    (CLAIM, "POST", "/claim/1", "x")
                } else {
                    ('r', "GET", "/read/1", "")
                };
                let id = format!("{kind}{:08x}", rand::random::<u32>());
                let mut caller = Caller::open(address).await;
                caller.send(&request(method, path, &id, body)).await;
                let response = tokio::time::timeout(Duration::from_secs(3), caller.receive()).await;
                (id, response.ok().flatten().map(|response| status(&response)))
            }));
            tokio::time::sleep(pause).await;
        }
        let mut outcomes = Vec::new();
        for task in tasks {
            outcomes.push(task.await.unwrap());
        }
        outcomes
    }
}

async fn start_vm(index: usize, targets: &[Arc<ScriptedTarget>]) -> PartitionedVm {
    let store = PlatformStandin::start().await.unwrap();
    let mut links = Vec::new();
    for (number, target) in targets.iter().enumerate() {
        let link = SoakProxy::start(target.address).await.unwrap();
        store.put(&format!("servers/i{number}"), registration(link.address(), "ready").to_string());
        links.push(link);
    }
    store.put("config/main", config("00000001").to_string());
    let relay = start_named_relay(&format!("vm{index}"), store.address());
    PartitionedVm { store, relay, links }
}

/// Copies the registration of each entry VM from its own store to all others.
async fn mirror_registrations(stores: Vec<Arc<PlatformStandin>>, overrides: PeerOverrides) {
    loop {
        for (index, own) in stores.iter().enumerate() {
            let key = format!("sniperelay-entry-vms/vm{index}");
            let value = own.get(&key).map(|object| object.value);
            for (other_index, other) in stores.iter().enumerate().filter(|(other, _)| *other != index) {
                let address = find_override(&overrides, other_index, index);
                let value = value.as_ref().map(|value| adapt_record(value, address));
                let copy = other.get(&key).map(|object| object.value);
                match value {
                    Some(value) if copy.as_ref() != Some(&value) => drop(other.put(&key, value)),
                    None if copy.is_some() => other.delete(&key),
                    _ => {}
                }
                mirror_object(own, other, &format!("sniperelay-isolated/vm{index}"));
            }
        }
        tokio::time::sleep(MIRROR_INTERVAL).await;
    }
}

fn mirror_object(own: &PlatformStandin, other: &PlatformStandin, key: &str) {
    match (own.get(key), other.get(key)) {
        (Some(object), None) => drop(other.put(key, object.value)),
        (None, Some(_)) => other.delete(key),
        _ => {}
    }
}

fn find_override(overrides: &PeerOverrides, from: usize, to: usize) -> Option<SocketAddr> {
    let overrides = overrides.lock().unwrap();
    let found = overrides.iter().find(|(other_from, other_to, _)| (*other_from, *other_to) == (from, to));
    found.map(|(_, _, address)| *address)
}

/// Returns the registration of an entry VM as another one sees it. Its capacity is lower than the other's own: the
/// entry VMs with the highest capacity read the store themselves, so that each one reads its own store.
fn adapt_record(record: &str, peer_address: Option<SocketAddr>) -> String {
    let mut record: serde_json::Value = serde_json::from_str(record).unwrap();
    record["capacity"] = (record["capacity"].as_u64().unwrap() - 1).into();
    if let Some(address) = peer_address {
        record["peers"] = address.to_string().into();
    }
    record.to_string()
}

/// An address at which connections are neither accepted nor refused, as behind a partition.
pub struct UnreachableTarget {
    pub address: SocketAddr,
    _listener: TcpListener,
    _waiting: Vec<TcpStream>,
}

impl UnreachableTarget {
    /// Opens connections that nobody accepts until the system lets further ones wait.
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut waiting = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
        {
            waiting.push(stream.unwrap());
        }
        Self { address, _listener: listener, _waiting: waiting }
    }
}
