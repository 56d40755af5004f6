//! A target that ends when it begins to run a marked request, and is back at its address after a pause.
//!
//! All of its connections and its listening socket end together. After the pause it is a new instance under a
//! new name, and registers itself. The old registration disappears from the store a little later.

use super::{body, header, read_message, registration, sealed_response};
use sniperelay_standin::platform::PlatformStandin;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time from the end of an instance to the start of the next one.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time from the start of an instance to the removal of the registration of the previous one.
const OLD_REGISTRATION_TIME: Duration = Duration::from_millis(300);
/// Any port of this address. Connections do not originate from it, so none of them takes the port while the
/// target is down.
const ANY_ADDRESS: &str = "127.0.0.2:0";

/// A request by its method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMark {
    pub method: &'static str,
    pub path: &'static str,
    pub body: &'static str,
}

impl RequestMark {
    fn matches(&self, message: &str) -> bool {
        message.starts_with(&format!("{} {} ", self.method, self.path)) && body(message) == self.body
    }
}

/// A request that arrived at a target.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub id: String,
    /// Whether it is the one by which targets end.
    pub is_crashing: bool,
    /// Whether the target began to run it. It does not if it is another instance than the expected one.
    pub is_run: bool,
}

/// A target that ends when it begins to run a marked request.
pub struct CrashingTarget {
    pub address: SocketAddr,
    store: Arc<PlatformStandin>,
    index: usize,
    mark: RequestMark,
    /// Time that any other request takes.
    service_time: Duration,
    /// Whether other requests are held until this is no longer so.
    is_holding: watch::Sender<bool>,
    requests: Mutex<Vec<ReceivedRequest>>,
    /// Times at which an instance ended.
    ends: Mutex<Vec<Instant>>,
    /// Number of instances that have started.
    instances: AtomicUsize,
    /// Number of requests that are held.
    held: AtomicUsize,
    /// Ends the current instance.
    end: Mutex<Arc<Notify>>,
}

impl CrashingTarget {
    /// Starts and registers a target.
    pub async fn start(
        store: Arc<PlatformStandin>,
        index: usize,
        mark: RequestMark,
        service_time: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(ANY_ADDRESS).await.unwrap();
        let target = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            store,
            index,
            mark,
            service_time,
            is_holding: watch::Sender::new(false),
            requests: Mutex::default(),
            ends: Mutex::default(),
            instances: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            end: Mutex::default(),
        });
        target.register_instance();
        tokio::spawn(target.clone().run_instances(listener));
        target
    }

    /// Ends the current instance, as another cause than a request would.
    pub fn kill(&self) {
        self.end.lock().unwrap().notify_one();
    }

    /// Begins or ends to hold all requests other than the marked one.
    pub fn set_holding(&self, is_holding: bool) {
        self.is_holding.send_replace(is_holding);
    }

    /// Returns whether a request is held.
    pub fn holds_request(&self) -> bool {
        self.held.load(Ordering::Relaxed) > 0
    }

    /// Returns the requests received so far, without health checks.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the times at which an instance ended.
    pub fn ends(&self) -> Vec<Instant> {
        self.ends.lock().unwrap().clone()
    }

    /// Returns the name of the current instance, or of the last one while there is none.
    pub fn instance_name(&self) -> String {
        format!("t{}-{}", self.index, self.instances.load(Ordering::Relaxed))
    }

    fn register_instance(&self) {
        self.instances.fetch_add(1, Ordering::Relaxed);
        let key = format!("servers/{}", self.instance_name());
        self.store.put(&key, registration(self.address, "ready").to_string());
    }

    async fn run_instances(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            self.clone().run_instance(listener).await;
            self.held.store(0, Ordering::Relaxed);
            self.ends.lock().unwrap().push(Instant::now());
            let ended = format!("servers/{}", self.instance_name());
            tokio::time::sleep(DOWN_TIME).await;
            listener = TcpListener::bind(self.address).await.unwrap();
            self.register_instance();
            let store = self.store.clone();
            tokio::spawn(async move {
                tokio::time::sleep(OLD_REGISTRATION_TIME).await;
                store.delete(&ended);
            });
        }
    }

    /// Serves connections until the instance ends. All of them end with it.
    async fn run_instance(self: Arc<Self>, listener: TcpListener) {
        let end = Arc::new(Notify::new());
        *self.end.lock().unwrap() = end.clone();
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = end.notified() => return connections.shutdown().await,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    connections.spawn(self.clone().serve(stream));
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer).await {
            let response = if message.starts_with("GET /health") {
                let instance = self.instance_name();
                format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {instance}\r\nX-Instance-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                self.respond(&message).await
            };
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Runs a request. Does not return if the instance ends by it.
    async fn respond(&self, message: &str) -> String {
        let id = header(message, "x-request-id").unwrap_or_default();
        let instance = self.instance_name();
        let is_run = header(message, "x-expect-instance").as_ref() == Some(&instance);
        let is_crashing = self.mark.matches(message);
        let received = ReceivedRequest { at: Instant::now(), id: id.clone(), is_crashing, is_run };
        self.requests.lock().unwrap().push(received);
        if !is_run {
            return format!(
                "HTTP/1.1 421 Misdirected\r\nX-Request-Id: {id}\r\nX-Instance-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        if is_crashing {
            self.kill();
            return std::future::pending().await;
        }
        self.hold().await;
        tokio::time::sleep(self.service_time).await;
        sealed_response("ok").replace("{id}", &id)
    }

    /// Waits until requests are no longer held.
    async fn hold(&self) {
        if !*self.is_holding.borrow() {
            return;
        }
        self.held.fetch_add(1, Ordering::Relaxed);
        self.is_holding.subscribe().wait_for(|is_holding| !is_holding).await.unwrap();
    }
}
