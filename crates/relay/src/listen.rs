//! Caller connections: reading, pipelining, answers in order.
//!
//! The HTTP library's server answers the requests of one connection one after the other; callers
//! that send several before the first answer would wait for the sum. Here idempotent requests of
//! one connection run side by side, and answers leave in the order of the requests. A request that
//! must not run twice starts only when no other one is under way on its connection, so that it is
//! never behind an answer that closes the connection.

use crate::body::BodyReader;
use crate::exchange::answer_request;
use crate::head::{RequestFault, RequestHead, take_head};
use crate::reply::CallerReply;
use crate::shared_state::RelayState;
use bytes::{Bytes, BytesMut};
use http::Method;
use sniperelay_core::route::CallerLimits;
use sniperelay_node::lifecycle::LifePhase;
use socket2::SockRef;
use std::collections::VecDeque;
use std::mem::MaybeUninit;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Requests of one connection that are under way at once.
const PIPELINE_DEPTH: usize = 16;
/// Time for which bytes of a caller are discarded after the last answer, so that closing does not
/// reset the connection before the caller has read it.
const LINGER: Duration = Duration::from_secs(1);
/// Time within which a caller must take some bytes of an answer.
const WRITE_PATIENCE: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of further requests that are read while earlier ones are under way.
const MAX_UNREAD: usize = 64 * 1024;
/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;
/// Limits before a configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(10),
};

/// Accepts connections until `closing` says so.
pub async fn serve_callers(
    state: Arc<RelayState>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|is_closing| *is_closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if state.connections.load(Ordering::Relaxed) >= state.settings.limits.caller_connections {
                    log::warn!("connection limit reached; a caller was turned away");
                    continue;
                }
                tokio::spawn(serve_connection(state.clone(), stream, closing.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a caller: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Arc<RelayState>, stream: TcpStream, closing: watch::Receiver<bool>) {
    state.connections.fetch_add(1, Ordering::Relaxed);
    let _guard = ConnectionGuard(state.clone());
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot disable delays for a caller: {error}");
    }
    let mut connection = CallerConnection::new(state, stream, closing);
    match connection.run().await {
        Ok(()) => connection.linger().await,
        Err(error) => log::debug!("connection of a caller ended: {error}"),
    }
}

/// Counts an open connection.
struct ConnectionGuard(Arc<RelayState>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request under way; it is cancelled when dropped.
struct RunningRequest {
    method: Method,
    is_idempotent: bool,
    wants_close: bool,
    task: JoinHandle<CallerReply>,
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
}

/// What happens next on a connection.
enum ConnectionStep {
    Read(usize),
    Reply(CallerReply),
    Expired,
    Closing,
}

struct CallerConnection {
    state: Arc<RelayState>,
    stream: TcpStream,
    closing: watch::Receiver<bool>,
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    running: VecDeque<RunningRequest>,
    fault: Option<RequestFault>,
    /// Since when bytes of an incomplete request, or none at all, have been waited for.
    waiting_since: Instant,
}

impl CallerConnection {
    fn new(state: Arc<RelayState>, stream: TcpStream, closing: watch::Receiver<bool>) -> Self {
        Self {
            state,
            stream,
            closing,
            buffer: BytesMut::new(),
            partial: None,
            running: VecDeque::new(),
            fault: None,
            waiting_since: Instant::now(),
        }
    }

    async fn run(&mut self) -> std::io::Result<()> {
        loop {
            self.start_requests().await?;
            if self.fault.is_some() && self.running.is_empty() {
                return self.reply_fault().await;
            }
            match self.next_step().await? {
                ConnectionStep::Read(0) => return Ok(()),
                ConnectionStep::Read(count) => self.note_first_bytes(count),
                ConnectionStep::Reply(reply) => {
                    if self.deliver(reply).await? {
                        return Ok(());
                    }
                }
                // The runtime learns of arrivals between turns; on a VM short of processor time a
                // request may have waited here unseen while the time ran out.
                ConnectionStep::Expired if self.is_between_requests() && has_unread(&self.stream) => {
                    self.waiting_since = Instant::now();
                }
                ConnectionStep::Expired => {
                    if !self.is_between_requests() {
                        self.write_reply(
                            &Method::GET,
                            CallerReply::bare(http::StatusCode::REQUEST_TIMEOUT),
                            true,
                        )
                        .await?;
                    }
                    return Ok(());
                }
                ConnectionStep::Closing => return Ok(()),
            }
        }
    }

    async fn next_step(&mut self) -> std::io::Result<ConnectionStep> {
        let is_idle = self.running.is_empty();
        let has_room = self.running.len() < PIPELINE_DEPTH && self.buffer.len() < MAX_UNREAD;
        let may_read = self.fault.is_none() && has_room;
        let expiry = self.waiting_since + self.patience();
        let is_between = is_idle && self.is_between_requests();
        self.buffer.reserve(READ_BYTES);
        tokio::select! {
            biased;
            reply = next_reply(&mut self.running) => Ok(ConnectionStep::Reply(reply)),
            read = self.stream.read_buf(&mut self.buffer), if may_read => read.map(ConnectionStep::Read),
            () = tokio::time::sleep_until(expiry), if is_idle => Ok(ConnectionStep::Expired),
            _ = self.closing.wait_for(|is_closing| *is_closing), if is_between => Ok(ConnectionStep::Closing),
        }
    }

    /// The time for a request's head begins with its first byte.
    fn note_first_bytes(&mut self, count: usize) {
        if self.partial.is_none() && self.buffer.len() == count {
            self.waiting_since = Instant::now();
        }
    }

    fn limits(&self) -> CallerLimits {
        self.state.routes.load().as_ref().map_or(FIRST_LIMITS, |routes| routes.config.limits)
    }

    fn patience(&self) -> Duration {
        let limits = self.limits();
        if self.is_between_requests() { limits.idle_timeout } else { limits.header_timeout }
    }

    fn is_between_requests(&self) -> bool {
        self.buffer.is_empty() && self.partial.is_none()
    }

    /// Starts what has arrived whole, as far as the order of the connection allows.
    async fn start_requests(&mut self) -> std::io::Result<()> {
        while self.fault.is_none() && self.may_start_more() {
            match self.take_request() {
                Ok(Some((head, body))) => {
                    self.start(head, body);
                    self.waiting_since = Instant::now();
                }
                Ok(None) => return self.send_continue().await,
                Err(fault) => self.fault = Some(fault),
            }
        }
        Ok(())
    }

    /// A process that is stopping starts nothing behind a request that is under way: the answer to
    /// that one closes the connection.
    fn may_start_more(&self) -> bool {
        if self.running.is_empty() {
            return true;
        }
        let is_stopping = self.state.life.phase() != LifePhase::Serving;
        let is_blocked = self.running.back().is_some_and(|last| last.wants_close || !last.is_idempotent);
        let has_room = self.running.len() < PIPELINE_DEPTH;
        has_room && !is_stopping && !is_blocked && !self.holds_claim()
    }

    /// Whether a request that must not run twice is the next to start.
    fn holds_claim(&self) -> bool {
        self.partial
            .as_ref()
            .is_some_and(|partial| partial.body.is_done() && !self.is_idempotent(&partial.head))
    }

    fn take_request(&mut self) -> Result<Option<(RequestHead, Bytes)>, RequestFault> {
        let limits = self.limits();
        if self.partial.is_none() {
            let Some(head) = take_head(&mut self.buffer, limits.header_bytes)? else { return Ok(None) };
            let body = BodyReader::new(head.framing, limits.body_bytes)?;
            self.partial = Some(PartialRequest { head, body });
        }
        let Some(partial) = self.partial.as_mut() else { return Ok(None) };
        let before = partial.body.len();
        partial.body.take_from(&mut self.buffer)?;
        if partial.body.len() > before {
            self.waiting_since = Instant::now();
        }
        if partial.body.len() > self.state.settings.limits.body_bytes {
            return Err(RequestFault::NoRoom);
        }
        if !partial.body.is_done() || (self.holds_claim() && !self.running.is_empty()) {
            return Ok(None);
        }
        let taken = self.partial.take();
        Ok(taken.map(|partial| (partial.head, partial.body.into_content().freeze())))
    }

    fn start(&mut self, head: RequestHead, body: Bytes) {
        let method = head.method.clone();
        let is_idempotent = self.is_idempotent(&head);
        let wants_close = head.wants_close;
        let task = tokio::spawn(answer_request(self.state.clone(), head, body));
        self.running.push_back(RunningRequest { method, is_idempotent, wants_close, task });
    }

    fn is_idempotent(&self, head: &RequestHead) -> bool {
        let routes = self.state.routes.load();
        let route = routes.as_ref().and_then(|routes| routes.table.find(&head.host, head.path()));
        route.is_some_and(|route| route.spec().is_idempotent)
    }

    async fn send_continue(&mut self) -> std::io::Result<()> {
        let is_awaited = self.running.is_empty()
            && self
                .partial
                .as_ref()
                .is_some_and(|partial| partial.head.expects_continue && partial.body.is_empty());
        if is_awaited {
            if let Some(partial) = self.partial.as_mut() {
                partial.head.expects_continue = false;
            }
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        Ok(())
    }

    /// Writes the answer to the oldest request. Returns whether the connection ends with it.
    async fn deliver(&mut self, reply: CallerReply) -> std::io::Result<bool> {
        let Some(request) = self.running.pop_front() else { return Ok(true) };
        let is_stopping = self.state.life.phase() != LifePhase::Serving;
        let closes = request.wants_close || (is_stopping && self.running.is_empty());
        self.write_reply(&request.method, reply, closes).await?;
        self.waiting_since = Instant::now();
        Ok(closes)
    }

    async fn reply_fault(&mut self) -> std::io::Result<()> {
        let Some(fault) = self.fault else { return Ok(()) };
        log::info!("refused a request that cannot be read: {fault:?}");
        self.write_reply(&Method::GET, CallerReply::bare(fault.status()), true).await
    }

    async fn write_reply(
        &mut self,
        method: &Method,
        reply: CallerReply,
        closes: bool,
    ) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        let mut rest = reply.encode(method, closes, &mut buffer);
        let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
        tokio::time::timeout(WRITE_PATIENCE, self.stream.write_all(&buffer)).await.map_err(timed_out)??;
        while !rest.is_empty() {
            let write = tokio::time::timeout(WRITE_PATIENCE, self.stream.write_buf(&mut rest));
            if write.await.map_err(timed_out)?? == 0 {
                return Err(std::io::ErrorKind::WriteZero.into());
            }
        }
        Ok(())
    }

    /// Ends the connection so that the caller can still read the last answer.
    async fn linger(&mut self) {
        self.running.clear();
        if let Err(error) = self.stream.shutdown().await {
            log::debug!("cannot shut down a caller's connection: {error}");
            return;
        }
        let discard = async {
            let mut scratch = [0; 1024];
            while matches!(self.stream.read(&mut scratch).await, Ok(read) if read > 0) {}
        };
        // Time out: the caller keeps the connection open and is cut off.
        drop(tokio::time::timeout(LINGER, discard).await);
    }
}

/// Whether the socket holds bytes that were not read.
fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::<u8>::uninit(); 1];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|count| count > 0)
}

/// The answer to the oldest request; pending while there is none.
async fn next_reply(running: &mut VecDeque<RunningRequest>) -> CallerReply {
    let Some(first) = running.front_mut() else { return std::future::pending().await };
    match (&mut first.task).await {
        Ok(reply) => reply,
        Err(error) => {
            log::error!("a request's task failed: {error}");
            CallerReply::bare(http::StatusCode::BAD_GATEWAY)
        }
    }
}
