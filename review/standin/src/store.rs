//! Stand-in for the platform's store, by the users' page PROTOCOL.md: objects by kind and name, one revision counter,
//! lists in pages, watches, conditional writes. Every answer is linearizable unless the call has `AllowStale=1`.

use crate::http::{Message, read_message};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of items on a page of a list.
const PAGE_ITEMS: usize = 50;

#[derive(Clone)]
struct Change {
    revision: u64,
    at: Instant,
    key: String,
    /// The object; `None` if it was deleted.
    object: Option<Value>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    changes: Vec<Change>,
}

impl Objects {
    /// Returns the objects under a prefix and the revision, as of a time.
    fn state_at(&self, prefix: &str, at: Instant) -> (u64, BTreeMap<String, Value>) {
        let mut objects = BTreeMap::new();
        let mut revision = 0;
        for change in self.changes.iter().take_while(|change| change.at <= at) {
            revision = change.revision;
            if !change.key.starts_with(prefix) {
                continue;
            }
            match &change.object {
                Some(object) => drop(objects.insert(change.key.clone(), object.clone())),
                None => drop(objects.remove(&change.key)),
            }
        }
        (revision, objects)
    }

    fn get(&self, key: &str) -> Option<Value> {
        let last = self.changes.iter().rev().find(|change| change.key == key)?;
        last.object.clone()
    }

    fn write(&mut self, key: &str, spec: Option<Value>) -> Option<Value> {
        let name = key.split_once('/').map_or(key, |(_, name)| name);
        self.revision += 1;
        let revision = self.revision;
        let created = self.get(key).map_or(json!(revision), |object| object["Metadata"]["Created"].clone());
        let object = spec.map(|spec| {
            json!({
                "Metadata": {"Name": name, "Rev": revision, "Created": created, "Finalizers": [], "DeletionPending": false},
                "Spec": spec, "Status": null,
            })
        });
        self.changes.push(Change { revision, at: Instant::now(), key: key.to_owned(), object: object.clone() });
        object
    }
}

pub struct Store {
    pub address: SocketAddr,
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Ages of the states from which the pages of lists with `AllowStale=1` are answered, in turn.
    pub stale_ages: Mutex<Vec<Duration>>,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("the store's address"),
            objects: Mutex::default(),
            changed: Condvar::new(),
            stale_ages: Mutex::default(),
        });
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a target does. Returns the revision.
    pub fn put(&self, key: &str, spec: Value) -> u64 {
        self.write(key, Some(spec))
    }

    pub fn delete(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    fn write(&self, key: &str, spec: Option<Value>) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.write(key, spec);
        self.changed.notify_all();
        objects.revision
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let prefix = format!("{kind}/");
        let (_, objects) = self.objects.lock().unwrap().state_at(&prefix, Instant::now());
        objects.keys().map(|key| key[prefix.len()..].to_owned()).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            let (status, body) = self.handle(&request);
            let text = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if stream.write_all(format!("{head}{text}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, Value) {
        std::thread::sleep(Duration::from_millis(4));
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let Some(key) = path.strip_prefix("/api/objects/") else { return (404, Value::Null) };
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match (request.word(0), key.contains('/')) {
            ("GET", false) => match field("Watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = field("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(key, since, Duration::from_millis(wait))
                }
                None => self.list(key, field("after"), field("AllowStale").as_deref() == Some("1")),
            },
            ("GET", true) => match self.objects.lock().unwrap().get(key) {
                Some(object) => (200, object),
                None => (404, Value::Null),
            },
            ("POST", false) => {
                let name = body["Metadata"]["Name"].as_str().unwrap_or("").to_owned();
                self.conditional(&format!("{key}/{name}"), Some(0), Some(body["Spec"].clone()))
            }
            ("PUT", true) => {
                let expected = body["Metadata"]["Rev"].as_u64();
                self.conditional(key, expected, Some(body["Spec"].clone()))
            }
            ("DELETE", true) => self.conditional(key, field("Rev").and_then(|text| text.parse().ok()), None),
            _ => (400, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<String>, may_be_old: bool) -> (u16, Value) {
        let mut at = Instant::now();
        if may_be_old {
            let mut ages = self.stale_ages.lock().unwrap();
            if kind == "servers" && !ages.is_empty() {
                let age = ages.remove(0);
                ages.push(age);
                at -= age;
            }
        }
        let prefix = format!("{kind}/");
        let (revision, objects) = self.objects.lock().unwrap().state_at(&prefix, at);
        let after = after.map(|name| format!("{prefix}{name}"));
        let rest: Vec<&Value> =
            objects.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after)).map(|(_, o)| o).collect();
        let items: Vec<&Value> = rest.iter().take(PAGE_ITEMS).copied().collect();
        (200, json!({"items": items, "HasMore": rest.len() > items.len(), "StoreRevision": revision}))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, Value) {
        let prefix = format!("{kind}/");
        let deadline = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            if since > objects.revision {
                return (410, Value::Null);
            }
            let changes = objects.changes.iter().filter(|change| change.revision > since);
            let events: Vec<Value> = changes
                .filter(|change| change.key.starts_with(&prefix))
                .map(|change| match &change.object {
                    Some(object) => json!({"Object": object, "Deleted": false}),
                    None => json!({
                        "Object": {"Metadata": {"Name": change.key[prefix.len()..], "Rev": change.revision}, "Spec": null},
                        "Deleted": true,
                    }),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "StoreRevision": objects.revision}));
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }

    fn conditional(&self, key: &str, expected: Option<u64>, spec: Option<Value>) -> (u16, Value) {
        let mut objects = self.objects.lock().unwrap();
        let current = objects.get(key);
        let revision = current.as_ref().and_then(|object| object["Metadata"]["Rev"].as_u64()).unwrap_or(0);
        match (expected, &current) {
            (Some(0), Some(object)) => return (409, object.clone()),
            (Some(0), None) => {}
            (_, None) => return (404, Value::Null),
            (Some(expected), Some(object)) if expected != revision => return (409, object.clone()),
            _ => {}
        }
        let written = objects.write(key, spec);
        self.changed.notify_all();
        (200, written.unwrap_or(Value::Null))
    }
}
