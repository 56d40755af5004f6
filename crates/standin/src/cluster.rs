//! Runs the platform stand-in, the targets and the entry VMs of a deployment in one process, on real
//! sockets.

use crate::caller::SeedList;
use crate::certificates::{CertificateFiles, Validity, write_certificate_files};
use crate::deployment::DeploymentSpec;
use crate::platform::PlatformStandin;
use crate::target::{RunLedger, TargetStandin};
use anyhow::{Context, Result, ensure};
use sniperelay_config::parse_settings;
use sniperelay_core::edition::{ConfigEdition, EditMark};
use sniperelay_core::vm::{VmRecord, VmRole, VmState};
use sniperelay_node::EntryVm;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

/// Timeout for a cluster to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of requests queued at a target before it refuses more.
const TARGET_QUEUE_LIMIT: u32 = 64;
/// Host of the peer addresses. It differs from that of the targets, because VMs are registered by address,
/// and a UDP port may have the same number as the TCP port of a target.
const PEER_HOST: &str = "127.0.0.2";
/// Operator token of the team `admin`.
pub const ADMIN_TOKEN: &str = "standin-admin-token";

static NEXT_CLUSTER: AtomicU64 = AtomicU64::new(0);

/// Options of the entry VMs of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Name of the routing policy, as in the settings.
    pub policy: String,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time for which callers may cache lookup responses.
    pub lookup_keep: Duration,
    /// Time within which the connections of callers end in a planned stop.
    pub drain_limit: Duration,
    /// Number of traffic threads per entry VM.
    pub traffic_threads: usize,
    /// Keys of the section `[limits]` of the settings, as INI.
    pub limits: String,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            policy: "slot-credit".to_owned(),
            heartbeat: Duration::from_millis(200),
            lookup_keep: Duration::from_millis(1500),
            drain_limit: Duration::from_secs(60),
            traffic_threads: 1,
            limits: String::new(),
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct ClusterStandin {
    /// Specification from which the cluster was started.
    pub spec: DeploymentSpec,
    /// The platform stand-in.
    pub platform: Arc<PlatformStandin>,
    /// Targets by service.
    pub targets: BTreeMap<String, Vec<Arc<TargetStandin>>>,
    /// Counts executions over all targets.
    pub ledger: Arc<RunLedger>,
    /// The running entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// Caller addresses of the entry VMs. Updated when an entry VM is started, not when one is removed.
    pub caller_seeds: SeedList,
    options: ClusterOptions,
    certificate_files: CertificateFiles,
    directory: PathBuf,
    started_entry_vm_count: usize,
}

impl ClusterStandin {
    /// Starts all components and waits until every entry VM is ready; see [`Self::wait_ready`].
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot be started or the cluster is not ready within 20 s.
    pub async fn start(spec: DeploymentSpec, options: ClusterOptions) -> Result<Self> {
        let platform = PlatformStandin::start().await?;
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("sniperelay-{}-{number}", std::process::id()));
        let certificate_files = write_certificate_files(&directory, Validity::Current)?;
        let mut cluster = Self {
            spec,
            platform,
            targets: BTreeMap::new(),
            ledger: Arc::default(),
            entry_vms: Vec::new(),
            caller_seeds: SeedList::default(),
            options,
            certificate_files,
            directory,
            started_entry_vm_count: 0,
        };
        cluster.start_targets().await?;
        for _ in 0..cluster.spec.entry_vm_count {
            cluster.start_entry_vm()?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    async fn start_targets(&mut self) -> Result<()> {
        for service in self.spec.services.clone() {
            let name = service.document.name.clone();
            put_document(&self.platform, &name, &service.text);
            for index in 0..service.target_count {
                self.add_target(&name, service.document.slots_per_target, index).await?;
            }
        }
        Ok(())
    }

    /// Starts another target of a service and registers it with the platform. The target belongs to
    /// the failure domain at position `index`, which wraps around at the number of domains.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn add_target(
        &mut self,
        service: &str,
        slots: u32,
        index: usize,
    ) -> Result<Arc<TargetStandin>> {
        let target = TargetStandin::start(slots, TARGET_QUEUE_LIMIT, self.ledger.clone()).await?;
        let domain = &self.spec.domains[index % self.spec.domains.len()];
        register_vm(
            &self.platform,
            VmRole::Target(service.to_owned()),
            target.address(),
            domain,
            VmState::Live,
        );
        self.targets.entry(service.to_owned()).or_default().push(target.clone());
        Ok(target)
    }

    /// Starts another entry VM, registers it with the platform and returns its caller address.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry VM cannot be started.
    pub fn start_entry_vm(&mut self) -> Result<SocketAddr> {
        let domain = self.spec.domains[self.started_entry_vm_count % self.spec.domains.len()].clone();
        self.started_entry_vm_count += 1;
        let text = self.settings_text(&domain);
        let settings = parse_settings("standin.ini", &text)?;
        let entry_vm = EntryVm::start(settings, None)?;
        let address = entry_vm.caller_address();
        register_vm(&self.platform, VmRole::EntryVm, entry_vm.peer_address(), &domain, VmState::Live);
        self.entry_vms.push(entry_vm);
        *self.caller_seeds.lock().unwrap_or_else(PoisonError::into_inner) = self.caller_addresses();
        Ok(address)
    }

    fn settings_text(&self, domain: &str) -> String {
        let seeds: Vec<String> =
            self.entry_vms.iter().take(3).map(|entry_vm| entry_vm.peer_address().to_string()).collect();
        let options = &self.options;
        format!(
            "[entry-vm]\nfailure-domain = {domain}\ncaller-address = 127.0.0.1:0\npeer-address = {PEER_HOST}:0\n\
             operator-address = 127.0.0.1:0\ntraffic-threads = {}\nlookup-keep-ms = {}\ndrain-limit-ms = {}\n\
             [platform]\naddress = {}\nlist-interval-ms = 500\nstatus-interval-ms = 2000\n\
             [peers]\nseeds = {}\nheartbeat-ms = {}\nca-file = {}\ncertificate-file = {}\nkey-file = {}\n\
             [limits]\n{}\n[routing]\npolicy = {}\n[operators]\nadmin = {ADMIN_TOKEN}\n[log]\nlevel = warn\n",
            options.traffic_threads,
            options.lookup_keep.as_millis(),
            options.drain_limit.as_millis(),
            self.platform.address(),
            seeds.join(", "),
            options.heartbeat.as_millis(),
            self.certificate_files.ca.display(),
            self.certificate_files.certificate.display(),
            self.certificate_files.key.display(),
            options.limits,
            options.policy,
        )
    }

    /// Returns the caller addresses of the running entry VMs.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entry_vms.iter().map(EntryVm::caller_address).collect()
    }

    /// Waits until every entry VM has discovered all services, targets and entry VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 20 s.
    pub async fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.entry_vms.iter().all(|entry_vm| self.is_ready(entry_vm)) {
            ensure!(
                Instant::now() < deadline,
                "the cluster was not ready within {READY_TIMEOUT:?}: {}",
                self.missing_state()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Returns what the entry VMs that are not ready know, for error messages.
    fn missing_state(&self) -> String {
        let unready = self.entry_vms.iter().filter(|entry_vm| !self.is_ready(entry_vm));
        let describe = |entry_vm: &EntryVm| {
            let shared = entry_vm.node_state();
            let services = shared.services.load();
            let targets = services
                .values()
                .map(|entry| entry.dispatcher_handle.read(|dispatcher| dispatcher.targets().len()));
            format!(
                "{} has {} services, {} targets and {} of {} members",
                entry_vm.caller_address(),
                services.len(),
                targets.sum::<usize>(),
                shared.members.load().candidates.len(),
                self.entry_vms.len()
            )
        };
        unready.map(describe).collect::<Vec<_>>().join("; ")
    }

    fn is_ready(&self, entry_vm: &EntryVm) -> bool {
        let shared = entry_vm.node_state();
        let services = shared.services.load();
        let has_targets = |(name, targets): (&String, &Vec<Arc<TargetStandin>>)| {
            services.get(name).is_some_and(|entry| {
                entry.dispatcher_handle.read(|dispatcher| dispatcher.targets().len()) >= targets.len()
            })
        };
        self.targets.iter().all(has_targets) && shared.members.load().candidates.len() == self.entry_vms.len()
    }

    /// Kills all entry VMs, without a planned stop, and removes the certificate files.
    pub fn shut_down(self) {
        self.entry_vms.into_iter().for_each(EntryVm::kill);
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Stores the first version of a service document in the platform.
pub fn put_document(platform: &PlatformStandin, service: &str, text: &str) {
    let edition = ConfigEdition {
        service: service.to_owned(),
        mark: EditMark { edit_id: 1, generation: 1, author: "standin".to_owned(), unix_millis: 0 },
        history: Vec::new(),
        text: text.to_owned(),
    };
    let value = serde_json::to_string(&edition).unwrap_or_default();
    platform.put(&format!("config/{service}"), value);
}

/// Registers a VM with the platform, or replaces its registration.
pub fn register_vm(
    platform: &PlatformStandin,
    role: VmRole,
    address: SocketAddr,
    domain: &str,
    state: VmState,
) {
    let record = VmRecord { role, address, failure_domain: domain.to_owned(), state };
    let value = serde_json::to_string(&record).unwrap_or_default();
    platform.put(&format!("vms/{address}"), value);
}

/// Deregisters a VM from the platform.
pub fn deregister_vm(platform: &PlatformStandin, address: SocketAddr) {
    platform.delete(&format!("vms/{address}"));
}

/// Sends a request to the operator port of an entry VM and returns the status and body of the response.
///
/// # Errors
///
/// Returns an error if no response is received.
pub async fn send_operator_request(
    address: SocketAddr,
    method: http::Method,
    path: &str,
    token: Option<&str>,
    body: &str,
) -> Result<(http::StatusCode, String)> {
    use http_body_util::BodyExt;
    let stream =
        tokio::net::TcpStream::connect(address).await.context("cannot connect to the operator port")?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    let mut builder = http::Request::builder().method(method).uri(path).header("host", "operator");
    if let Some(token) = token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    let response = sender.send_request(builder.body(body.to_owned())?).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
}
