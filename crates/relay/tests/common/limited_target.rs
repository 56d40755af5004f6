//! A target that states a limit and records when requests and health checks arrive.

use super::{header, read_message};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A request or health check that has arrived.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Instant,
    pub is_probe: bool,
}

#[derive(Debug)]
pub struct LimitedTarget {
    pub address: SocketAddr,
    instance: String,
    /// Value of the header that states the limit; none while it is empty.
    limit: Mutex<String>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl LimitedTarget {
    /// Starts a target that is registered as `instance`.
    pub async fn start(instance: &str, limit: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            instance: instance.to_owned(),
            limit: Mutex::new(limit.to_owned()),
            arrivals: Mutex::default(),
        });
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        target
    }

    pub fn set_limit(&self, limit: &str) {
        *self.limit.lock().unwrap() = limit.to_owned();
    }

    /// Returns the number of requests and health checks that arrived between two times.
    pub fn count_between(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|arrival| (from..to).contains(&arrival.at)).count()
    }

    /// Returns the number of requests without health checks that arrived between two times.
    pub fn requests_between(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|arrival| !arrival.is_probe && (from..to).contains(&arrival.at)).count()
    }

    /// Returns the largest number of requests and health checks in any time of length `window` after `from`.
    pub fn peak_after(&self, from: Instant, window: Duration) -> usize {
        let starts: Vec<Instant> = self.arrivals.lock().unwrap().iter().map(|arrival| arrival.at).collect();
        let starts = starts.into_iter().filter(|start| *start >= from);
        starts.map(|start| self.count_between(start, start + window)).max().unwrap_or(0)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            let is_probe = request.starts_with("GET /health");
            self.arrivals.lock().unwrap().push(Arrival { at: Instant::now(), is_probe });
            let response = self.response(&request, is_probe);
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn response(&self, request: &str, is_probe: bool) -> String {
        let limit = self.limit.lock().unwrap().clone();
        let limit = if limit.is_empty() { String::new() } else { format!("Server-Limit: {limit}\r\n") };
        let origin = if is_probe {
            format!("X-Instance-Id: {}\r\n", self.instance)
        } else {
            let id = header(request, "x-request-id").unwrap_or_default();
            format!("X-Request-Id: {id}\r\nX-Response-Seal: s\r\n")
        };
        format!("HTTP/1.1 200 OK\r\n{origin}{limit}X-Instance-Load: 0,0,4,100\r\nContent-Length: 2\r\n\r\nok")
    }
}
