//! Caller connections: reading, pipelining, ordered responses.
//!
//! The server of the HTTP library handles the requests of a connection one after the other, so that
//! a caller that pipelines several requests would wait for the sum of their latencies. Here the
//! idempotent requests of a connection run concurrently, and the responses are sent in the order of
//! the requests. A non-idempotent request starts only when no other request of its connection is in
//! flight, so that it never follows a response that closes the connection.

use crate::body_memory::{BodyMemory, StoredBody};
use crate::caller_response::{CallerResponse, ConnectionReuse, RelayRefusal};
use crate::connection_end::{ConnectionEnd, MAX_LATE_BYTES, report_cancelled, report_late_bytes};
use crate::connection_room::ConnectionPlace;
use crate::request_body::BodyReader;
use crate::request_handler::{RequestOrigin, SHUTDOWN_RETRY_AFTER, handle_request};
use crate::request_head::{BodyFraming, RequestError, RequestHead, parse_head};
use crate::shared_state::{ConnectionGuard, RelayState};
use bytes::BytesMut;
use http::{HeaderValue, Method};
use sniperelay_core::connection_table::{ConnectionHolder, RECENT_USE};
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::route::CallerLimits;
use sniperelay_hosted::headers::{REQUEST_ID, read_api_key, read_deadline};
use sniperelay_node::lifecycle::LifecyclePhase;
use sniperelay_node::traffic::caller_connection::{FIRST_REQUEST_GRACE, take_backlog};
use socket2::SockRef;
use std::collections::VecDeque;
use std::mem::MaybeUninit;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Maximum number of requests of one connection that are in flight.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Maximum time for which a caller's bytes are discarded after the last response, so that closing the
/// connection does not reset it before the caller has read the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// [`LINGER_TIMEOUT`] at the end of a graceful shutdown, which leaves a fifth of the grace period for it.
const SHUTDOWN_LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for writing the head of a response together with a small body, and for each further write.
/// The caller of a large response must accept some bytes of the body within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a caller waits for a response if neither it nor a route states one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a caller may retry a request whose body finds no room: a large body arrives within seconds.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller may retry a request that is refused at the limit of connections: other requests end by then.
const CONNECTION_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Number of buffered bytes from which no more bytes are read from a connection until earlier requests
/// have been handled.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Minimum free buffer space for each read, in bytes.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Limits that apply until a configuration has been read.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(10),
};

/// Accepts connections until `drain` becomes true. The connections that wait to be accepted then are
/// served, too.
pub async fn serve_callers(state: Arc<RelayState>, listener: TcpListener, mut drain: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain.wait_for(|is_draining| *is_draining) => break,
        };
        match accepted {
            Ok((stream, caller)) => start_connection(&state, stream, caller.ip(), &drain),
            Err(error) => {
                log::warn!("cannot accept a caller connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    for (stream, caller) in take_backlog(listener) {
        start_connection(&state, stream, caller.ip(), &drain);
    }
}

/// Starts to serve a connection, unless there is no room for it. The connection counts as open
/// from here on, so that a shutdown does not end before its task has run.
fn start_connection(
    state: &Arc<RelayState>,
    stream: TcpStream,
    caller: IpAddr,
    drain: &watch::Receiver<bool>,
) {
    let Some(place) = state.connection_room.accept(caller, &state.decisions) else { return };
    let guard = ConnectionGuard::open(state);
    let connection = CallerConnection::new(state.clone(), stream, caller, drain.clone(), place);
    tokio::spawn(serve_connection(connection, guard));
}

async fn serve_connection(mut connection: CallerConnection, _guard: ConnectionGuard) {
    if let Err(error) = connection.stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a caller connection: {error}");
    }
    let end = connection.serve().await.unwrap_or_else(|error| {
        log::debug!("caller connection ended: {error}");
        ConnectionEnd::Failed
    });
    connection.finish(end).await;
}

/// A request in flight. Dropping it cancels the request.
struct RunningRequest {
    id: Option<HeaderValue>,
    method: Method,
    is_idempotent: bool,
    wants_close: bool,
    task: JoinHandle<CallerResponse>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request whose body is being read.
struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
    memory: BodyMemory,
    /// Time at which the caller no longer waits for a response. The memory of the body is released then.
    expires_at: Instant,
}

/// Next event on a connection.
enum ConnectionEvent {
    Read(usize),
    Response(CallerResponse),
    TimedOut,
    Draining,
    /// Another connection needs the place of this one.
    MakingRoom,
    /// The process ends soon, and the rest of a request has not arrived.
    Ending,
}

struct CallerConnection {
    state: Arc<RelayState>,
    stream: TcpStream,
    /// Address of the caller.
    caller: IpAddr,
    drain: watch::Receiver<bool>,
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    /// Requests in flight, in the order in which they were received.
    running: VecDeque<RunningRequest>,
    /// Reason for which the last request was rejected. It is sent after the responses to the requests in
    /// flight, and the connection is closed.
    error: Option<RequestError>,
    /// Time since which the connection has waited for the rest of a request or for a new request.
    waiting_since: Instant,
    /// Idle timeout in force when the last response was written. It stays in force for this connection, because
    /// the response states a time that is derived from it.
    stated_idle_timeout: Duration,
    /// Whether a request has been received.
    has_request: bool,
    /// Whether no request has begun, and the connection has not been counted as idle for that.
    awaits_first_request: bool,
    opened_at: Instant,
    place: ConnectionPlace,
}

impl CallerConnection {
    fn new(
        state: Arc<RelayState>,
        stream: TcpStream,
        caller: IpAddr,
        drain: watch::Receiver<bool>,
        place: ConnectionPlace,
    ) -> Self {
        Self {
            state,
            stream,
            caller,
            drain,
            buffer: BytesMut::new(),
            partial: None,
            running: VecDeque::new(),
            error: None,
            waiting_since: Instant::now(),
            stated_idle_timeout: Duration::ZERO,
            has_request: false,
            awaits_first_request: true,
            opened_at: Instant::now(),
            place,
        }
    }

    async fn serve(&mut self) -> std::io::Result<ConnectionEnd> {
        loop {
            self.start_requests().await?;
            if self.error.is_some() && self.running.is_empty() {
                self.send_error().await?;
                return Ok(ConnectionEnd::Responded);
            }
            match self.next_event().await? {
                ConnectionEvent::Read(0) => return Ok(ConnectionEnd::CallerClosed),
                ConnectionEvent::Read(count) => self.reset_timeout_at_first_byte(count),
                ConnectionEvent::Response(response) => {
                    if self.deliver_response(response).await? {
                        return Ok(ConnectionEnd::Responded);
                    }
                }
                // The runtime learns of received bytes only when it polls for events. On a VM that is
                // short of CPU time, a request may have arrived unnoticed while the timeout expired or
                // the shutdown began.
                ConnectionEvent::TimedOut | ConnectionEvent::Draining | ConnectionEvent::MakingRoom
                    if self.is_between_requests() && has_unread_bytes(&self.stream) =>
                {
                    self.place.resume();
                    self.waiting_since = Instant::now();
                    tokio::task::yield_now().await;
                }
                ConnectionEvent::MakingRoom => return Ok(ConnectionEnd::MadeRoom),
                ConnectionEvent::TimedOut if self.awaits_first_request => {
                    self.awaits_first_request = false;
                    if self.place.is_provisional() {
                        return Ok(ConnectionEnd::MadeRoom);
                    }
                    self.place.set_idle();
                }
                // The configuration may have raised the timeout meanwhile.
                ConnectionEvent::TimedOut if Instant::now() < self.read_expiry() => {}
                ConnectionEvent::TimedOut if self.is_between_requests() => {
                    return Ok(ConnectionEnd::IdleTimeout);
                }
                ConnectionEvent::TimedOut => {
                    let response = CallerResponse::status_only(http::StatusCode::REQUEST_TIMEOUT);
                    self.write_response(&Method::GET, response, ConnectionReuse::Closed).await?;
                    return Ok(ConnectionEnd::Responded);
                }
                ConnectionEvent::Draining => return Ok(ConnectionEnd::ShuttingDown),
                ConnectionEvent::Ending => {
                    let refusal = RelayRefusal::not_run(RefusalReason::Stopping, SHUTDOWN_RETRY_AFTER);
                    let response = CallerResponse::from_refusal(&refusal);
                    self.write_response(&Method::GET, response, ConnectionReuse::Closed).await?;
                    return Ok(ConnectionEnd::Responded);
                }
            }
        }
    }

    async fn next_event(&mut self) -> std::io::Result<ConnectionEvent> {
        let is_idle = self.running.is_empty();
        let has_room = self.running.len() < MAX_PIPELINED_REQUESTS && self.buffer.len() < MAX_BUFFERED_BYTES;
        let may_read = self.error.is_none() && has_room;
        let expiry = self.next_expiry();
        let is_between = is_idle && self.is_between_requests();
        let ending = self.state.stop_deadline.wait_until_too_late(|| Duration::ZERO);
        let grace = if self.has_request { Duration::ZERO } else { FIRST_REQUEST_GRACE };
        let may_close_at = self.opened_at + grace;
        let drain = &mut self.drain;
        let draining = async {
            // The sender lives as long as the process.
            drop(drain.wait_for(|is_draining| *is_draining).await);
            tokio::time::sleep_until(may_close_at).await;
        };
        self.buffer.reserve(READ_CHUNK_BYTES);
        tokio::select! {
            biased;
            response = next_response(&mut self.running) => Ok(ConnectionEvent::Response(response)),
            read = self.stream.read_buf(&mut self.buffer), if may_read => read.map(ConnectionEvent::Read),
            () = tokio::time::sleep_until(expiry), if is_idle => Ok(ConnectionEvent::TimedOut),
            () = draining, if is_between => Ok(ConnectionEvent::Draining),
            () = self.place.wait_for_end(), if is_between => Ok(ConnectionEvent::MakingRoom),
            () = ending, if is_idle && !is_between => Ok(ConnectionEvent::Ending),
        }
    }

    /// Restarts the timeout at the first byte of a request: the header timeout starts there.
    fn reset_timeout_at_first_byte(&mut self, count: usize) {
        if self.partial.is_none() && self.buffer.len() == count {
            self.waiting_since = Instant::now();
        }
    }

    fn limits(&self) -> CallerLimits {
        self.state.routes.load().as_ref().map_or(DEFAULT_LIMITS, |routes| routes.config.limits)
    }

    fn read_timeout(&self) -> Duration {
        let limits = self.limits();
        if self.is_between_requests() {
            limits.idle_timeout.max(self.stated_idle_timeout)
        } else {
            limits.header_timeout
        }
    }

    /// Returns the time at which the connection no longer waits for the rest of a request, or for a new one.
    fn read_expiry(&self) -> Instant {
        let expiry = self.waiting_since + self.read_timeout();
        let large = self.partial.as_ref().filter(|partial| partial.memory.is_large());
        large.map_or(expiry, |partial| expiry.min(partial.expires_at))
    }

    /// Returns the time at which the connection counts as idle without having had a request, or [`Self::read_expiry`].
    fn next_expiry(&self) -> Instant {
        let expiry = self.read_expiry();
        if self.awaits_first_request { expiry.min(self.opened_at + RECENT_USE) } else { expiry }
    }

    fn is_between_requests(&self) -> bool {
        self.buffer.is_empty() && self.partial.is_none()
    }

    /// Starts the requests that are complete, as far as the ordering rules of the connection allow.
    async fn start_requests(&mut self) -> std::io::Result<()> {
        while self.error.is_none() && self.may_start_more() {
            match self.take_request() {
                Ok(Some((head, body))) => {
                    self.has_request = true;
                    self.start_request(head, body);
                    self.waiting_since = Instant::now();
                }
                Ok(None) => return self.send_continue().await,
                Err(error) => {
                    self.partial = None;
                    self.error = Some(error);
                }
            }
        }
        Ok(())
    }

    /// Returns whether another request may start. During a shutdown no request starts while another one
    /// is in flight, because the response to that one closes the connection.
    fn may_start_more(&self) -> bool {
        if self.running.is_empty() {
            return true;
        }
        let is_stopping = self.state.lifecycle.phase() != LifecyclePhase::Serving;
        let is_blocked = self.running.back().is_some_and(|last| last.wants_close || !last.is_idempotent);
        let has_room = self.running.len() < MAX_PIPELINED_REQUESTS;
        has_room && !is_stopping && !is_blocked && !self.is_next_non_idempotent()
    }

    /// Returns whether the next request is complete and not idempotent.
    fn is_next_non_idempotent(&self) -> bool {
        self.partial
            .as_ref()
            .is_some_and(|partial| partial.body.is_done() && !self.is_idempotent(&partial.head))
    }

    fn take_request(&mut self) -> Result<Option<(RequestHead, StoredBody)>, RequestError> {
        let limits = self.limits();
        if self.partial.is_none() {
            let Some(head) = parse_head(&mut self.buffer, limits.header_bytes)? else { return Ok(None) };
            self.awaits_first_request = false;
            if !self.place.begin_request(self.holder_of(&head), &self.state.decisions) {
                return Err(RequestError::ConnectionLimit);
            }
            let body = BodyReader::new(head.framing, limits.body_bytes)?;
            let own_limit = self.state.settings.limits.body_bytes;
            if matches!(head.framing, BodyFraming::Length(length) if length > own_limit) {
                return Err(RequestError::NoRoom);
            }
            let memory = BodyMemory::open(&self.state.request_memory, head.framing)?;
            let expires_at = Instant::now() + self.caller_timeout(&head);
            self.partial = Some(PartialRequest { head, body, memory, expires_at });
        }
        let Some(partial) = self.partial.as_mut() else { return Ok(None) };
        let before = partial.body.len();
        partial.body.read_from(&mut self.buffer)?;
        if partial.body.len() > before {
            self.waiting_since = Instant::now();
        }
        if partial.body.len() > self.state.settings.limits.body_bytes {
            return Err(RequestError::NoRoom);
        }
        partial.memory.cover(partial.body.len())?;
        if !partial.body.is_done() || (self.is_next_non_idempotent() && !self.running.is_empty()) {
            return Ok(None);
        }
        let taken = self.partial.take();
        Ok(taken.map(|partial| (partial.head, partial.memory.store(partial.body.into_content().freeze()))))
    }

    /// Returns whose connection it is by the API key of a request.
    fn holder_of(&self, head: &RequestHead) -> ConnectionHolder {
        let routes = self.state.routes.load();
        let accounts = routes.as_ref().and_then(|routes| routes.accounts.as_ref());
        let account = accounts.and_then(|accounts| accounts.find(&read_api_key(&head.headers)?));
        account
            .map_or(ConnectionHolder::Address(self.caller), |account| ConnectionHolder::Account(account.id()))
    }

    /// Returns the time for which the caller waits for a response to a request.
    fn caller_timeout(&self, head: &RequestHead) -> Duration {
        let routes = self.state.routes.load();
        let route = routes.as_ref().and_then(|routes| routes.table.find(&head.host, head.path()));
        let route_timeout = route.map_or(DEFAULT_CALLER_TIMEOUT, |route| route.spec().timeout);
        // A deadline that cannot be read is refused once the request is complete.
        let stated = read_deadline(&head.headers).ok().flatten();
        stated.map_or(route_timeout, |stated| stated.min(route_timeout))
    }

    fn start_request(&mut self, head: RequestHead, body: StoredBody) {
        let id = head.headers.get(REQUEST_ID).cloned();
        let method = head.method.clone();
        let is_idempotent = self.is_idempotent(&head);
        let wants_close = head.wants_close;
        let task =
            tokio::spawn(handle_request(self.state.clone(), self.caller, head, body, RequestOrigin::Caller));
        self.running.push_back(RunningRequest { id, method, is_idempotent, wants_close, task });
    }

    fn is_idempotent(&self, head: &RequestHead) -> bool {
        let routes = self.state.routes.load();
        let route = routes.as_ref().and_then(|routes| routes.table.find(&head.host, head.path()));
        route.is_some_and(|route| route.spec().is_idempotent)
    }

    async fn send_continue(&mut self) -> std::io::Result<()> {
        let is_continue_awaited = self.running.is_empty()
            && self
                .partial
                .as_ref()
                .is_some_and(|partial| partial.head.expects_continue && partial.body.is_empty());
        if is_continue_awaited {
            if let Some(partial) = self.partial.as_mut() {
                partial.head.expects_continue = false;
            }
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        Ok(())
    }

    /// Writes the response to the oldest request. Returns whether it closes the connection.
    async fn deliver_response(&mut self, response: CallerResponse) -> std::io::Result<bool> {
        let Some(request) = self.running.pop_front() else { return Ok(true) };
        let is_stopping = self.state.lifecycle.phase() != LifecyclePhase::Serving;
        let close_connection = request.wants_close || (is_stopping && self.running.is_empty());
        let reuse = if close_connection { ConnectionReuse::Closed } else { self.state_idle_timeout() };
        self.write_response(&request.method, response, reuse).await?;
        self.waiting_since = Instant::now();
        if self.running.is_empty() && self.is_between_requests() {
            self.place.set_idle();
        }
        Ok(close_connection)
    }

    /// Returns what to state about the reuse of this connection: no time if it may have to end earlier.
    fn state_idle_timeout(&mut self) -> ConnectionReuse {
        if self.state.connection_room.is_nearly_full() {
            return ConnectionReuse::Idle { seconds: 0 };
        }
        self.stated_idle_timeout = self.limits().idle_timeout;
        ConnectionReuse::within(self.stated_idle_timeout)
    }

    async fn send_error(&mut self) -> std::io::Result<()> {
        let Some(error) = self.error else { return Ok(()) };
        if error != RequestError::ConnectionLimit {
            log::info!("request rejected before it was completely read: {error:?}");
        }
        let response = match error {
            RequestError::ConnectionLimit => {
                self.state.metrics.process().early_refusals.fetch_add(1, Ordering::Relaxed);
                let refusal = RelayRefusal::not_run(RefusalReason::ConnectionLimit, CONNECTION_RETRY_AFTER);
                CallerResponse::from_refusal(&refusal)
            }
            RequestError::NoRoom => {
                self.state.metrics.process().early_refusals.fetch_add(1, Ordering::Relaxed);
                let refusal = RelayRefusal::not_run(RefusalReason::NoMemory, NO_ROOM_RETRY_AFTER);
                CallerResponse::from_refusal(&refusal)
            }
            _ => CallerResponse::status_only(error.status()),
        };
        self.write_response(&Method::GET, response, ConnectionReuse::Closed).await
    }

    async fn write_response(
        &mut self,
        method: &Method,
        mut response: CallerResponse,
        reuse: ConnectionReuse,
    ) -> std::io::Result<()> {
        // Held until the response has been written.
        let _memory = response.memory.take();
        let mut buffer = BytesMut::new();
        let mut rest = response.encode(method, reuse, &mut buffer);
        let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
        tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&buffer)).await.map_err(timed_out)??;
        while !rest.is_empty() {
            let write = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_buf(&mut rest));
            if write.await.map_err(timed_out)?? == 0 {
                return Err(std::io::ErrorKind::WriteZero.into());
            }
        }
        Ok(())
    }

    /// Cancels the requests in flight and closes the connection.
    ///
    /// An idle connection is closed without reading from it: a request that crosses the close is reset unread,
    /// and its caller may repeat it.
    async fn finish(&mut self, end: ConnectionEnd) {
        let idle = self.waiting_since.elapsed();
        for request in self.running.drain(..) {
            report_cancelled(&self.state, end, request.id.as_ref());
        }
        if end == ConnectionEnd::IdleTimeout {
            self.state.metrics.process().connections_timed_out.fetch_add(1, Ordering::Relaxed);
        }
        if end == ConnectionEnd::MadeRoom {
            self.place.report_end(&self.state.decisions);
        }
        if end == ConnectionEnd::Failed {
            return;
        }
        self.place.set_ending();
        if let Err(error) = self.stream.shutdown().await {
            log::debug!("cannot shut down a caller connection: {error}");
            return;
        }
        if !end.follows_response() {
            let is_shutting_down = end == ConnectionEnd::ShuttingDown;
            let timeout = if is_shutting_down { SHUTDOWN_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
            // After the timeout the connection is closed anyway.
            drop(tokio::time::timeout(timeout, self.await_caller_close()).await);
            return;
        }
        let late_bytes = self.linger().await;
        if !late_bytes.is_empty() {
            report_late_bytes(&self.state, end, &late_bytes, idle);
        }
    }

    /// Waits until the caller has closed its side, without reading; for ever if it sends anything. The caller may still be receiving an earlier
    /// response, and closing the socket with unread bytes would reset it.
    async fn await_caller_close(&mut self) {
        if matches!(self.stream.peek(&mut [0; 1]).await, Ok(1..)) {
            std::future::pending().await
        }
    }

    /// Discards what the caller still sends, so that it can read the last response. Returns the first bytes.
    async fn linger(&mut self) -> BytesMut {
        let mut late_bytes = BytesMut::new();
        let discard = async {
            let mut scratch = [0; 1024];
            while let Ok(count @ 1..) = self.stream.read(&mut scratch).await {
                let room = MAX_LATE_BYTES - late_bytes.len();
                late_bytes.extend_from_slice(&scratch[..count.min(room)]);
            }
        };
        // On a timeout, the caller has kept the connection open; it is closed anyway.
        drop(tokio::time::timeout(LINGER_TIMEOUT, discard).await);
        late_bytes
    }
}

/// Returns whether the socket has unread bytes.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::<u8>::uninit(); 1];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|count| count > 0)
}

/// Waits for the response to the oldest request; never completes if there is no request in flight.
async fn next_response(running: &mut VecDeque<RunningRequest>) -> CallerResponse {
    let Some(first) = running.front_mut() else { return std::future::pending().await };
    match (&mut first.task).await {
        Ok(response) => response,
        Err(error) => {
            log::error!("request task failed: {error}");
            CallerResponse::status_only(http::StatusCode::BAD_GATEWAY)
        }
    }
}
