//! Connections to targets and to the caller ports of other entry VMs.
//!
//! One request at a time runs on a connection. A connection is kept only after the answer on it
//! has ended cleanly; whatever else happens closes it.

use crate::boot_clock::{self, BootTime};
use crate::traffic::body::RequestBody;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an unused connection is kept.
const IDLE_LIFETIME: Duration = Duration::from_secs(15);
/// Unused connections kept per target.
const MAX_IDLE_PER_TARGET: usize = 8;

type RequestSender = http1::SendRequest<RequestBody>;

#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    driver: AbortHandle,
    since: BootTime,
    /// Time for which it may stay unused.
    lifetime: Duration,
}

impl IdleConnection {
    fn is_fresh(&self, now: BootTime, max_idle: Duration) -> bool {
        now.saturating_sub(self.since) < self.lifetime.min(max_idle)
    }
}

type IdleMap = HashMap<SocketAddr, Vec<IdleConnection>>;

/// Connections that wait for a request.
#[derive(Debug, Default, Clone)]
pub struct TargetPool {
    idle: Arc<Mutex<IdleMap>>,
}

/// A connection taken for one request; dropping it closes it.
#[derive(Debug)]
pub struct PooledConnection {
    address: SocketAddr,
    sender: Option<RequestSender>,
    driver: AbortHandle,
    idle: Arc<Mutex<IdleMap>>,
    /// Whether it has carried requests before.
    pub is_reused: bool,
}

impl TargetPool {
    /// An unused connection, or a new one.
    ///
    /// # Errors
    ///
    /// When no connection can be made in time.
    pub async fn take(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        self.take_fresh(address, IDLE_LIFETIME).await
    }

    /// An unused connection that was in use within `max_idle`, or a new one.
    ///
    /// # Errors
    ///
    /// When no connection can be made in time.
    pub async fn take_fresh(&self, address: SocketAddr, max_idle: Duration) -> io::Result<PooledConnection> {
        if let Some(connection) = self.take_idle(address, max_idle) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Closes connections that nobody has used for a while.
    pub fn close_idle(&self) {
        let now = boot_clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_fresh(now, IDLE_LIFETIME));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<PooledConnection> {
        let now = boot_clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() && connection.is_fresh(now, max_idle) {
                return Some(self.wrap(address, connection.sender, connection.driver, true));
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(timed_out)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(self.wrap(address, sender, driver.abort_handle(), false))
    }

    fn wrap(
        &self,
        address: SocketAddr,
        sender: RequestSender,
        driver: AbortHandle,
        is_reused: bool,
    ) -> PooledConnection {
        PooledConnection { address, sender: Some(sender), driver, idle: self.idle.clone(), is_reused }
    }
}

impl PooledConnection {
    /// The sending half.
    pub fn sender(&mut self) -> Option<&mut RequestSender> {
        self.sender.as_mut()
    }

    /// Keeps the connection for the next request.
    pub fn return_to_pool(self) {
        self.return_to_pool_for(IDLE_LIFETIME);
    }

    /// Keeps the connection for the next request, unless that comes later than `lifetime`.
    pub fn return_to_pool_for(mut self, lifetime: Duration) {
        let Some(sender) = self.sender.take() else { return };
        let connection =
            IdleConnection { sender, driver: self.driver.clone(), since: boot_clock::now(), lifetime };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(connection);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.driver.abort();
        }
    }
}
