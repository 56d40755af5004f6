//! Test stand-in for the platform's object API over HTTP and JSON.
//!
//! Faults that can be injected: an outage (new connections are closed without a response), silence (calls are
//! accepted and never answered), single watches that are never answered, delayed responses, responses lost after the write was applied, and a change log without its earlier entries,
//! so that watches are rejected.

use crate::hosted::{self, HostedRequest, MAX_PAGE_ITEMS};
use crate::recent_states::RecentStates;
use anyhow::Result;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use sniperelay_platform::api::{EventList, ObjectEvent, ObjectList, StoredObject};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Maximum number of changes retained for watches.
const MAX_LOG_EVENTS: usize = 4096;

#[derive(Debug, Default)]
struct ObjectStore {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
    log: VecDeque<ObjectEvent>,
    /// Revision of the latest change that was discarded from the log.
    discarded_revision: u64,
}

impl ObjectStore {
    fn append(&mut self, key: &str, value: Option<String>) -> u64 {
        self.revision += 1;
        self.log.push_back(ObjectEvent { key: key.to_owned(), version: self.revision, value });
        while self.log.len() > MAX_LOG_EVENTS {
            self.discarded_revision =
                self.log.pop_front().map_or(self.discarded_revision, |event| event.version);
        }
        self.revision
    }

    fn version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |object| object.version)
    }

    fn put(&mut self, key: &str, value: String) -> u64 {
        let version = self.append(key, Some(value.clone()));
        self.objects.insert(key.to_owned(), StoredObject { key: key.to_owned(), version, value });
        version
    }

    fn delete(&mut self, key: &str) -> u64 {
        self.objects.remove(key);
        self.append(key, None)
    }
}

/// Copy of all objects; see [`PlatformStandin::restore`].
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: u64,
    objects: Vec<StoredObject>,
}

/// Injected faults and counters.
#[derive(Debug, Default)]
pub struct PlatformControl {
    /// Whether every new connection is closed without a response.
    pub is_down: AtomicBool,
    /// Whether calls are accepted and never answered, also not after this is cleared.
    pub is_silent: AtomicBool,
    /// Calls that are accepted and never answered, while others are answered.
    silent_calls: Mutex<Option<SilentCalls>>,
    /// Notified when the connections of silent calls are broken.
    broken: tokio::sync::Notify,
    /// Delay of each response, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of upcoming writes that are applied but whose response is lost.
    pub responses_to_lose: AtomicU64,
    /// Calls received. Each accepted connection counts as one call, however many requests it carries.
    pub calls: AtomicU64,
    /// Calls received while `is_down` was set.
    pub calls_while_down: AtomicU64,
    /// Calls by second since the start.
    calls_by_second: Mutex<BTreeMap<u64, u64>>,
}

/// Calls that are accepted and never answered. The paths contain a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SilentCalls {
    /// Watches that wait for changes.
    WaitingWatches(&'static str),
    /// Watches, whether or not they wait.
    Watches(&'static str),
    /// All calls.
    All(&'static str),
}

impl SilentCalls {
    fn contains(&self, uri: &http::Uri) -> bool {
        let waits = |query: &str| {
            let wait = query
                .split('&')
                .find_map(|pair| pair.strip_prefix("WaitMs=").or_else(|| pair.strip_prefix("wait_ms=")));
            wait.is_some_and(|wait| wait != "0")
        };
        match self {
            Self::WaitingWatches(part) => uri.path().contains(part) && uri.query().is_some_and(waits),
            Self::Watches(part) => {
                uri.path().contains(part) && uri.query().is_some_and(|query| query.contains("Watch="))
            }
            Self::All(part) => uri.path().contains(part),
        }
    }
}

impl PlatformControl {
    /// Replaces the calls that are never answered.
    pub fn set_silent_calls(&self, calls: Option<SilentCalls>) {
        *self.silent_calls.lock().unwrap_or_else(PoisonError::into_inner) = calls;
    }

    /// Closes the connections of all calls that have not been answered and never will be.
    pub fn break_silent_calls(&self) {
        self.broken.notify_waiters();
    }

    fn is_unanswered(&self, uri: &http::Uri) -> bool {
        let calls = self.silent_calls.lock().unwrap_or_else(PoisonError::into_inner);
        self.is_silent.load(Ordering::Relaxed) || calls.as_ref().is_some_and(|calls| calls.contains(uri))
    }
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    store: Mutex<ObjectStore>,
    /// Revision and objects that lists return to callers that accept old ones, if not the current ones.
    frozen: Mutex<Option<(u64, Vec<StoredObject>)>>,
    /// States by prefix from which lists are returned to callers that accept old ones, one state a call and page.
    stale_states: Mutex<BTreeMap<String, VecDeque<StoreCopy>>>,
    /// States of the last moments; see [`Self::answer_stale_lists_from`].
    recent_states: Mutex<Option<RecentStates>>,
    /// Number of times that the store has returned from a copy; sent in responses of the hosted API.
    history: AtomicU64,
    changed: watch::Sender<u64>,
    started: Instant,
    /// Maximum number of objects on one page of a list of the hosted API.
    page_items: AtomicUsize,
    /// Injected faults and counters.
    pub control: PlatformControl,
}

impl PlatformStandin {
    /// Starts a stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let standin = Arc::new(Self {
            address: listener.local_addr()?,
            store: Mutex::default(),
            frozen: Mutex::default(),
            stale_states: Mutex::default(),
            recent_states: Mutex::default(),
            history: AtomicU64::new(0),
            changed: watch::Sender::new(0),
            started: Instant::now(),
            page_items: AtomicUsize::new(MAX_PAGE_ITEMS),
            control: PlatformControl::default(),
        });
        tokio::spawn(standin.clone().accept(listener));
        Ok(standin)
    }

    /// Returns the address of the HTTP API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object without an API call, a version check or injected faults. Returns the new version.
    pub fn put(&self, key: &str, value: impl Into<String>) -> u64 {
        let version = self.lock().put(key, value.into());
        self.announce_change(version);
        version
    }

    /// Deletes an object without an API call, a version check or injected faults.
    pub fn delete(&self, key: &str) {
        let version = self.lock().delete(key);
        self.announce_change(version);
    }

    /// Reads an object without an API call.
    pub fn get(&self, key: &str) -> Option<StoredObject> {
        self.lock().objects.get(key).cloned()
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Discards all recorded changes, so that watches from an earlier revision are rejected.
    pub fn discard_changes(&self) {
        let mut store = self.lock();
        store.discarded_revision = store.revision;
        store.log.clear();
    }

    /// Returns a copy of the objects as they are now.
    pub fn take_copy(&self) -> StoreCopy {
        let (revision, objects) = self.list("");
        StoreCopy { revision, objects }
    }

    /// Returns from a copy: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut store = self.lock();
        store.objects = copy.objects.iter().map(|object| (object.key.clone(), object.clone())).collect();
        store.revision = copy.revision;
        store.log.clear();
        store.discarded_revision = copy.revision;
        drop(store);
        self.history.fetch_add(1, Ordering::Relaxed);
        if let Some(states) = self.lock_recent_states().as_mut() {
            states.restart(copy.clone());
        }
        self.changed.send_replace(copy.revision);
    }

    /// From now on, lists and watches that may be old return the objects as they are now.
    pub fn freeze_stale_lists(&self) {
        let frozen = self.list("");
        *self.frozen.lock().unwrap_or_else(PoisonError::into_inner) = Some(frozen);
    }

    /// From now on, each page of a list that may be old is read from a state that held within the last `max_age`, chosen by
    /// `seed`.
    pub fn answer_stale_lists_from(&self, max_age: Duration, seed: u64) {
        let states = RecentStates::starting_with(self.take_copy(), max_age, seed);
        *self.lock_recent_states() = Some(states);
    }

    /// Sets the maximum number of objects on one page of a list of the hosted API.
    pub fn set_page_items(&self, count: usize) {
        self.page_items.store(count, Ordering::Relaxed);
    }

    /// Returns the maximum number of objects on one page of a list of the hosted API.
    pub fn page_items(&self) -> usize {
        self.page_items.load(Ordering::Relaxed)
    }

    fn lock_recent_states(&self) -> MutexGuard<'_, Option<RecentStates>> {
        self.recent_states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce_change(&self, version: u64) {
        if let Some(states) = self.lock_recent_states().as_mut() {
            states.record(self.take_copy());
        }
        self.changed.send_replace(version);
    }

    /// From now on, each page of a list under `prefix` that may be old is read from the next of these states. The first one
    /// follows the last one.
    pub fn set_stale_states(&self, prefix: &str, states: Vec<StoreCopy>) {
        self.lock_stale_states().insert(prefix.to_owned(), states.into());
    }

    fn next_stale_state(&self, prefix: &str) -> Option<StoreCopy> {
        let mut all_states = self.lock_stale_states();
        let states = all_states.get_mut(prefix)?;
        let state = states.front()?.clone();
        states.rotate_left(1);
        Some(state)
    }

    fn lock_stale_states(&self) -> MutexGuard<'_, BTreeMap<String, VecDeque<StoreCopy>>> {
        self.stale_states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a revision and the objects whose keys start with `prefix`, as they were at some time before.
    pub fn list_stale(&self, prefix: &str) -> (u64, Vec<StoredObject>) {
        let recent = || self.lock_recent_states().as_mut().and_then(RecentStates::choose);
        if let Some(StoreCopy { revision, mut objects }) = self.next_stale_state(prefix).or_else(recent) {
            objects.retain(|object| object.key.starts_with(prefix));
            return (revision, objects);
        }
        let Some((revision, mut objects)) =
            self.frozen.lock().unwrap_or_else(PoisonError::into_inner).clone()
        else {
            return self.list(prefix);
        };
        objects.retain(|object| object.key.starts_with(prefix));
        (revision, objects)
    }

    /// Returns the changes under a prefix in the state that [`Self::freeze_stale_lists`] keeps; `None` without one.
    fn changes_in_frozen(&self, prefix: &str, since: u64) -> Option<EventList> {
        let revision = self.frozen.lock().unwrap_or_else(PoisonError::into_inner).as_ref()?.0;
        let mut list = self.changes_since(prefix, since.min(revision))?;
        list.events.retain(|event| event.version > since && event.version <= revision);
        Some(EventList { revision, events: list.events })
    }

    /// Returns the largest number of calls received within one second since the start.
    pub fn peak_calls_per_second(&self) -> u64 {
        let counts = self.control.calls_by_second.lock().unwrap_or_else(PoisonError::into_inner);
        counts.values().copied().max().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, ObjectStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.count_call();
            if self.control.is_down.load(Ordering::Relaxed) {
                self.control.calls_while_down.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let standin = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| standin.clone().handle(request));
                // A lost response ends the connection with an error; this is intended.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    fn count_call(&self) {
        self.control.calls.fetch_add(1, Ordering::Relaxed);
        let second = self.started.elapsed().as_secs();
        let mut counts = self.control.calls_by_second.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(second).or_default() += 1;
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
        if self.control.is_unanswered(request.uri()) {
            self.control.broken.notified().await;
            anyhow::bail!("the connection of a silent call is broken");
        }
        let delay = self.control.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let (parts, body) = request.into_parts();
        let value = String::from_utf8(body.collect().await?.to_bytes().to_vec())?;
        let path = parts.uri.path().to_owned();
        if let Some(rest) = path.strip_prefix(hosted::OBJECTS_PATH) {
            let mut response = self.handle_hosted(&parts, rest, &value).await?;
            let history = http::HeaderValue::from(self.history.load(Ordering::Relaxed));
            response.headers_mut().insert("store-era", history);
            return Ok(response);
        }
        let (resource, key) = path.trim_start_matches('/').split_once('/').unwrap_or(("", ""));
        let expected = parts.headers.get("if-match").and_then(|version| version.to_str().ok()?.parse().ok());
        let response = match (&parts.method, resource) {
            (&Method::GET, "objects") => self.get_response(key),
            (&Method::GET, "list") => self.list_response(key),
            (&Method::GET, "watch") => self.watch_response(key, parts.uri.query().unwrap_or("")).await,
            (&Method::PUT, "objects") => self.write_response(key, expected, Some(value))?,
            (&Method::DELETE, "objects") => self.write_response(key, expected, None)?,
            _ => empty_response(StatusCode::BAD_REQUEST),
        };
        Ok(response)
    }

    /// Handles a request to the API of the users' hosted platform.
    async fn handle_hosted(
        &self,
        parts: &http::request::Parts,
        path: &str,
        body: &str,
    ) -> Result<Response<Full<Bytes>>> {
        let hosted_request =
            HostedRequest { method: &parts.method, path, query: parts.uri.query().unwrap_or(""), body };
        if let Some(since) = hosted_request.number("Watch") {
            let wait = Duration::from_millis(hosted_request.number("WaitMs").unwrap_or(0));
            if hosted_request.field("AllowStale") == Some("1")
                && let Some(list) = self.changes_in_frozen(&format!("{path}/"), since)
            {
                return Ok(json_response(StatusCode::OK, &hosted::events_body(list.revision, &list.events)));
            }
            return Ok(match self.wait_for_changes(&format!("{path}/"), since, wait).await {
                None => empty_response(StatusCode::GONE),
                Some(list) => {
                    json_response(StatusCode::OK, &hosted::events_body(list.revision, &list.events))
                }
            });
        }
        let (status, value) = hosted::handle_request(self, &hosted_request)?;
        Ok(json_response(status, &value))
    }

    fn get_response(&self, key: &str) -> Response<Full<Bytes>> {
        self.get(key).map_or_else(
            || empty_response(StatusCode::NOT_FOUND),
            |object| json_response(StatusCode::OK, &object),
        )
    }

    fn list_response(&self, prefix: &str) -> Response<Full<Bytes>> {
        let (revision, items) = self.list(prefix);
        json_response(StatusCode::OK, &ObjectList { revision, items })
    }

    async fn watch_response(&self, prefix: &str, query: &str) -> Response<Full<Bytes>> {
        let number = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .find_map(|(_, value)| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let wait = Duration::from_millis(number("wait_ms"));
        match self.wait_for_changes(prefix, number("since"), wait).await {
            None => empty_response(StatusCode::GONE),
            Some(list) => json_response(StatusCode::OK, &list),
        }
    }

    /// Waits up to `wait` for changes under a prefix after revision `since`, and returns them. Returns
    /// `None` if changes after `since` have been discarded from the log.
    async fn wait_for_changes(&self, prefix: &str, since: u64, wait: Duration) -> Option<EventList> {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let list = self.changes_since(prefix, since)?;
            let has_events = !list.events.is_empty();
            if has_events || tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return Some(list);
            }
        }
    }

    fn changes_since(&self, prefix: &str, since: u64) -> Option<EventList> {
        let store = self.lock();
        if since < store.discarded_revision || since > store.revision {
            return None;
        }
        let events = store.log.iter().filter(|event| event.version > since && event.key.starts_with(prefix));
        Some(EventList { revision: store.revision, events: events.cloned().collect() })
    }

    fn write_response(
        &self,
        key: &str,
        expected: Option<u64>,
        value: Option<String>,
    ) -> Result<Response<Full<Bytes>>> {
        match self.write(key, expected, value)? {
            Ok(version) => Ok(json_response(StatusCode::OK, &serde_json::json!({"version": version}))),
            Err(current) => Ok(json_response(StatusCode::CONFLICT, &serde_json::json!({"version": current}))),
        }
    }

    /// Returns the current revision and the objects whose keys start with `prefix`.
    pub fn list(&self, prefix: &str) -> (u64, Vec<StoredObject>) {
        let store = self.lock();
        let items = store.objects.values().filter(|object| object.key.starts_with(prefix));
        (store.revision, items.cloned().collect())
    }

    /// Writes an object, or deletes it if `value` is `None`, if its version equals `expected`. A missing
    /// object has version 0; without `expected`, nothing is written. The inner `Ok` holds the new
    /// version, the inner `Err` the current one.
    ///
    /// # Errors
    ///
    /// Returns an error after the write was applied, if an injected fault drops the response.
    pub fn write(
        &self,
        key: &str,
        expected: Option<u64>,
        value: Option<String>,
    ) -> Result<std::result::Result<u64, u64>> {
        let mut store = self.lock();
        let current = store.version(key);
        if expected != Some(current) {
            return Ok(Err(current));
        }
        let version = match value {
            Some(value) => store.put(key, value),
            None => store.delete(key),
        };
        drop(store);
        self.announce_change(version);
        let lost_response =
            self.control
                .responses_to_lose
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        anyhow::ensure!(lost_response.is_err(), "response dropped by an injected fault");
        Ok(Ok(version))
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
