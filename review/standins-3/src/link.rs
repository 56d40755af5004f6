//! Links between entry VMs and targets: a proxy before each target, which knows the process at the other end of a
//! connection and can cut it off from all targets.

use crate::target::listen;
use socket2::SockRef;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The process that is cut off from all targets, if there is one.
pub type Cut = watch::Sender<Option<u32>>;

/// Starts a link to a target, and returns its address. The connections of a process that is cut off are reset, and so are its
/// new ones.
pub fn start_link(cut: &Arc<Cut>, target: SocketAddr) -> SocketAddr {
    start_sorting_link(cut, target, None)
}

/// Same as [`start_link`]. The connections of one process lead to an address of the target of their own, so that its requests
/// can be told from those of others.
pub fn start_sorting_link(
    cut: &Arc<Cut>,
    target: SocketAddr,
    apart: Option<(u32, SocketAddr)>,
) -> SocketAddr {
    let listener = listen("127.0.3.1:0".parse().unwrap());
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept(cut.clone(), listener, target, apart));
    address
}

async fn accept(cut: Arc<Cut>, listener: TcpListener, target: SocketAddr, apart: Option<(u32, SocketAddr)>) {
    while let Ok((inbound, remote)) = listener.accept().await {
        let cut = cut.subscribe();
        tokio::spawn(async move {
            let is_apart = belongs_to(apart.map(|(process, _)| process), remote).await;
            let server = apart.filter(|_| is_apart).map_or(target, |(_, server)| server);
            pass_on(cut, inbound, remote, server).await;
        });
    }
}

async fn pass_on(
    mut cut: watch::Receiver<Option<u32>>,
    mut inbound: TcpStream,
    remote: SocketAddr,
    target: SocketAddr,
) {
    let is_open = {
        let process = *cut.borrow_and_update();
        !belongs_to(process, remote).await
    };
    if is_open {
        let Ok(mut outbound) = TcpStream::connect(target).await else { return };
        drop((inbound.set_nodelay(true), outbound.set_nodelay(true)));
        let copy = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
        tokio::select! {
            _ = copy => return,
            () = wait_for_cut(cut, remote) => {}
        }
    }
    // A linger time of zero makes the close a reset.
    drop(SockRef::from(&inbound).set_linger(Some(Duration::ZERO)));
}

async fn wait_for_cut(mut cut: watch::Receiver<Option<u32>>, remote: SocketAddr) {
    while cut.changed().await.is_ok() {
        let process = *cut.borrow_and_update();
        if belongs_to(process, remote).await {
            return;
        }
    }
    std::future::pending().await
}

/// Returns whether the socket with this local address is one of the process; false without a process.
async fn belongs_to(process: Option<u32>, local: SocketAddr) -> bool {
    let Some(process) = process else { return false };
    tokio::task::spawn_blocking(move || has_socket(process, local)).await.unwrap_or(false)
}

/// Returns whether a process has a socket with this local address. Earlier connections from the same port may still be
/// listed, without a socket.
fn has_socket(process: u32, local: SocketAddr) -> bool {
    let IpAddr::V4(ip) = local.ip() else { return false };
    let key = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), local.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let find_inode = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.get(1) == Some(&key.as_str())).then(|| format!("socket:[{}]", fields[9]))
    };
    let sockets: Vec<String> = table.lines().skip(1).filter_map(find_inode).collect();
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    let mut links = descriptors.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    links.any(|link| sockets.iter().any(|socket| *socket == link.to_string_lossy()))
}
