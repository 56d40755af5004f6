//! Pool of connections to targets and to the caller ports of other entry VMs.
//!
//! A connection carries one request at a time. It returns to the pool only after its response has
//! ended cleanly, and is closed in all other cases.

use crate::boot_clock::{self, BootTime};
use crate::traffic::body::RequestBody;
use arc_swap::ArcSwap;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum idle time of a connection in the pool.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(15);
/// Maximum number of idle connections per target, unless the target has a lower limit of its own.
pub const MAX_IDLE_PER_TARGET: usize = 8;
/// Maximum number of refused requests that a connection remembers. It is closed instead of being returned to the pool
/// with more.
const MAX_REFUSED_REQUESTS: usize = 32;
/// Size of the read buffer of a connection, and thereby maximum size of a response head, in bytes. A
/// target that sends a longer head fails the attempt.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;

type RequestSender = http1::SendRequest<RequestBody>;
/// Hash that identifies a request over all of its attempts.
pub type RequestHash = u64;

#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    driver: AbortHandle,
    idle_since: BootTime,
    /// Maximum idle time of this connection.
    max_idle_time: Duration,
    /// Requests that were refused on this connection.
    refused: Vec<RequestHash>,
}

impl IdleConnection {
    fn is_fresh(&self, now: BootTime, max_idle: Duration) -> bool {
        now.saturating_sub(self.idle_since) < self.max_idle_time.min(max_idle)
    }
}

type IdleMap = HashMap<SocketAddr, Vec<IdleConnection>>;

/// Maximum number of idle connections by target.
pub type IdleLimits = HashMap<SocketAddr, usize>;

/// Pool of idle connections by address.
#[derive(Debug, Default, Clone)]
pub struct TargetPool {
    idle: Arc<Mutex<IdleMap>>,
    idle_limits: Arc<ArcSwap<IdleLimits>>,
}

/// A connection taken from the pool for one request. Dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    address: SocketAddr,
    sender: Option<RequestSender>,
    driver: AbortHandle,
    idle: Arc<Mutex<IdleMap>>,
    idle_limits: Arc<ArcSwap<IdleLimits>>,
    /// Whether the connection has carried requests before.
    pub is_reused: bool,
    /// Whether the connection is closed instead of being returned to the pool.
    is_reuse_forbidden: bool,
    /// Time for which the connection may stay idle in the pool.
    max_idle_time: Duration,
    /// Requests that were refused on this connection.
    refused: Vec<RequestHash>,
}

impl TargetPool {
    /// Returns an idle connection or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails or times out.
    pub async fn take(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        self.take_fresh(address, MAX_IDLE_TIME).await
    }

    /// Returns a connection that has been idle for less than `max_idle`, or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails or times out.
    pub async fn take_fresh(&self, address: SocketAddr, max_idle: Duration) -> io::Result<PooledConnection> {
        self.take_for(address, max_idle, None).await
    }

    /// Same as [`Self::take_fresh`], for an attempt of a request. The connection has not carried an attempt of it that
    /// was refused: the target might write that refusal once more, and all attempts of a request have the same ID.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails or times out.
    pub async fn take_for(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        request: Option<RequestHash>,
    ) -> io::Result<PooledConnection> {
        match self.take_idle(address, max_idle, request) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Replaces the limits of idle connections. They take effect when connections are returned.
    pub fn set_idle_limits(&self, limits: IdleLimits) {
        self.idle_limits.store(Arc::new(limits));
    }

    /// Closes connections whose maximum idle time has passed.
    pub fn close_idle(&self) {
        let now = boot_clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_fresh(now, MAX_IDLE_TIME));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        request: Option<RequestHash>,
    ) -> Option<PooledConnection> {
        let now = boot_clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let is_suitable =
            |connection: &IdleConnection| request.is_none_or(|hash| !connection.refused.contains(&hash));
        while let Some(index) = connections.iter().rposition(is_suitable) {
            let connection = connections.remove(index);
            if connection.sender.is_ready() && connection.is_fresh(now, max_idle) {
                let mut wrapped = self.wrap(address, connection.sender, connection.driver, true);
                wrapped.refused = connection.refused;
                return Some(wrapped);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(timed_out)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended with an error: {error}");
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
        PooledConnection {
            address,
            sender: Some(sender),
            driver,
            idle: self.idle.clone(),
            idle_limits: self.idle_limits.clone(),
            is_reused,
            is_reuse_forbidden: false,
            max_idle_time: MAX_IDLE_TIME,
            refused: Vec::new(),
        }
    }
}

impl PooledConnection {
    /// Returns the sending half.
    pub fn sender(&mut self) -> Option<&mut RequestSender> {
        self.sender.as_mut()
    }

    /// Returns the address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection after this request instead of returning it to the pool, because a second copy
    /// of this response would be taken for the next response, or because its peer may close it at any time.
    pub fn forbid_reuse(&mut self) {
        self.is_reuse_forbidden = true;
    }

    /// Records that the target has refused a request on this connection.
    pub fn record_refusal(&mut self, request: RequestHash) {
        self.refused.push(request);
        self.is_reuse_forbidden |= self.refused.len() > MAX_REFUSED_REQUESTS;
    }

    /// Sets the time for which the connection may stay idle after this request.
    pub fn set_max_idle_time(&mut self, max_idle_time: Duration) {
        self.max_idle_time = max_idle_time;
    }

    /// Returns the connection to the pool for the next request.
    pub fn return_to_pool(self) {
        let max_idle_time = self.max_idle_time;
        self.return_to_pool_for(max_idle_time);
    }

    /// Returns the connection to the pool, where it may stay idle for at most `max_idle_time`.
    pub fn return_to_pool_for(mut self, max_idle_time: Duration) {
        if self.is_reuse_forbidden {
            return;
        }
        let Some(sender) = self.sender.take() else { return };
        let connection = IdleConnection {
            sender,
            driver: self.driver.clone(),
            idle_since: boot_clock::now(),
            max_idle_time,
            refused: std::mem::take(&mut self.refused),
        };
        let limit = self.idle_limits.load().get(&self.address).copied().unwrap_or(MAX_IDLE_PER_TARGET);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(self.address).or_default();
        if connections.len() < limit {
            connections.push(connection);
        } else {
            connection.driver.abort();
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
