//! Helpers for the tests of the daemon: small clusters and raw HTTP.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod raw_target;

use sniperelay_standin::cluster::{ClusterOptions, ClusterStandin};
use sniperelay_standin::deployment::{DeploymentSpec, cooperative};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout for one step. It is far above the usual duration of any step, so a timeout means that the
/// condition never becomes true.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a cluster with the services of the `cooperative` deployment and few targets.
pub async fn start_cluster(entry_vms: usize, targets: usize) -> ClusterStandin {
    start_limited_cluster(entry_vms, targets, "").await
}

/// Same as [`start_cluster`], with `limits` added to the `[limits]` section of the settings.
pub async fn start_limited_cluster(entry_vms: usize, targets: usize, limits: &str) -> ClusterStandin {
    start_cluster_with(entry_vms, targets, |options| options.limits = limits.to_owned()).await
}

/// Same as [`start_cluster`], with options that `change` has changed.
pub async fn start_cluster_with(
    entry_vms: usize,
    targets: usize,
    change: impl FnOnce(&mut ClusterOptions),
) -> ClusterStandin {
    let mut spec: DeploymentSpec = cooperative();
    spec.entry_vm_count = entry_vms;
    spec.services.iter_mut().for_each(|service| service.target_count = targets);
    let mut options = ClusterOptions { lookup_keep: Duration::from_millis(500), ..ClusterOptions::default() };
    change(&mut options);
    ClusterStandin::start(spec, options).await.unwrap()
}

/// Waits until a condition is true. Fails the test after [`TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "timeout while waiting: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request and returns everything that the peer sends until it closes the connection.
pub async fn send_raw_request(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the status code of a raw response, or 0 if there is none.
pub fn status_of(response: &str) -> u16 {
    response.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Returns the value of a header of a raw response.
pub fn header_of<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let head = response.split("\r\n\r\n").next()?;
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}
