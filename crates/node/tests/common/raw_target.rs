//! Target that writes scripted bytes, whether they are HTTP or not.

use super::{header_of, wait_until};
use sniperelay_core::vm::{VmRole, VmState};
use sniperelay_standin::cluster::{ClusterStandin, deregister_vm, register_vm};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One step of a scripted response. In texts, `{attempt}` stands for the attempt ID of the request.
#[derive(Debug, Clone)]
pub enum RawStep {
    /// Writes a text.
    Write(String),
    /// Writes a text again and again, with this pause in between, until the peer closes the connection.
    Repeat(String, Duration),
    /// Waits.
    Pause(Duration),
    /// Closes the connection.
    Close,
}

/// A request received by a [`RawTarget`].
#[derive(Debug, Clone)]
pub struct RawRequest {
    /// Number of requests received before this one, on all connections. Probes are not counted.
    pub index: usize,
    /// Head of the request.
    pub head: String,
}

type Script = Box<dyn Fn(&RawRequest) -> Vec<RawStep> + Send + Sync>;

/// A running scripted target.
pub struct RawTarget {
    pub address: SocketAddr,
    /// Requests received, without probes.
    pub requests: Mutex<Vec<RawRequest>>,
    /// Connections accepted.
    pub connections: AtomicUsize,
    /// Connections that the peer closed during [`RawStep::Repeat`].
    pub closed_by_peer: AtomicUsize,
    /// Bytes written by [`RawStep::Repeat`].
    pub repeated_bytes: AtomicU64,
    script: Script,
    /// Script for probes; a valid response if there is none.
    probe_steps: Option<Vec<RawStep>>,
}

/// Returns a complete response with an attempt ID.
pub fn valid_response(body: &str) -> Vec<RawStep> {
    let length = body.len();
    vec![RawStep::Write(format!(
        "HTTP/1.1 200 OK\r\nSniperelay-Attempt: {{attempt}}\r\nContent-Length: {length}\r\n\r\n{body}"
    ))]
}

impl RawTarget {
    pub async fn start(script: impl Fn(&RawRequest) -> Vec<RawStep> + Send + Sync + 'static) -> Arc<Self> {
        Self::start_with_probe_steps(None, script).await
    }

    pub async fn start_with_probe_steps(
        probe_steps: Option<Vec<RawStep>>,
        script: impl Fn(&RawRequest) -> Vec<RawStep> + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            requests: Mutex::default(),
            connections: AtomicUsize::new(0),
            closed_by_peer: AtomicUsize::new(0),
            repeated_bytes: AtomicU64::new(0),
            script: Box::new(script),
            probe_steps,
        });
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(server.clone().serve(stream));
            }
        });
        target
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let attempt = header_of(&head, "sniperelay-attempt").unwrap_or("none").to_owned();
            for step in self.steps_for(head) {
                if !self.perform(step, &attempt, &mut stream).await {
                    return;
                }
            }
        }
    }

    fn steps_for(&self, head: String) -> Vec<RawStep> {
        if head.starts_with("GET /load") {
            return self.probe_steps.clone().unwrap_or_else(|| valid_response("{}"));
        }
        let request = {
            let mut requests = self.requests.lock().unwrap();
            let request = RawRequest { index: requests.len(), head };
            requests.push(request.clone());
            request
        };
        (self.script)(&request)
    }

    /// Performs one step. Returns whether the connection is still open.
    async fn perform(&self, step: RawStep, attempt: &str, stream: &mut TcpStream) -> bool {
        match step {
            RawStep::Write(text) => {
                stream.write_all(text.replace("{attempt}", attempt).as_bytes()).await.is_ok()
            }
            RawStep::Repeat(text, pause) => {
                while stream.write_all(text.as_bytes()).await.is_ok() {
                    self.repeated_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
                    if !pause.is_zero() {
                        tokio::time::sleep(pause).await;
                    }
                }
                self.closed_by_peer.fetch_add(1, Ordering::Relaxed);
                false
            }
            RawStep::Pause(duration) => {
                tokio::time::sleep(duration).await;
                true
            }
            RawStep::Close => false,
        }
    }
}

/// Reads the head of a request. Requests to these targets have no body.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Replaces all targets of a service by scripted ones, and waits until every entry VM uses only these.
pub async fn use_raw_targets(cluster: &ClusterStandin, service: &str, targets: &[&Arc<RawTarget>]) {
    for target in &cluster.targets[service] {
        deregister_vm(&cluster.platform, target.address());
    }
    let mut addresses: Vec<SocketAddr> = targets.iter().map(|target| target.address).collect();
    addresses.sort_unstable();
    for address in &addresses {
        let role = VmRole::Target(service.to_owned());
        register_vm(&cluster.platform, role, *address, "erie-shore", VmState::Live);
    }
    wait_until("all entry VMs use the scripted targets", || {
        cluster.entry_vms.iter().all(|entry_vm| {
            let services = entry_vm.node_state().services.load();
            services[service].dispatcher_handle.read(|dispatcher| {
                let targets = dispatcher.targets().iter().map(|(_, target)| target);
                let mut live: Vec<SocketAddr> =
                    targets.filter(|target| target.is_usable()).map(|target| target.address).collect();
                live.sort_unstable();
                live == addresses
            })
        })
    })
    .await;
}
