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

/// Time for which the store keeps a change that a later one of the same object has replaced.
const HISTORY: Duration = Duration::from_secs(20);

struct Change {
    revision: u64,
    at: Instant,
    key: String,
    /// The object as JSON text; `None` if it was deleted.
    object: Option<Arc<str>>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    changes: Vec<Change>,
    /// Revision of the latest change that has been discarded.
    discarded: u64,
}

impl Objects {
    /// Returns the objects under a prefix and the revision, as of a time.
    fn state_at(&self, prefix: &str, at: Instant) -> (u64, BTreeMap<String, Arc<str>>) {
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

    fn get(&self, key: &str) -> Option<Arc<str>> {
        let last = self.changes.iter().rev().find(|change| change.key == key)?;
        last.object.clone()
    }

    /// Returns the revision of an object; 0 if there is none.
    fn revision_of(&self, key: &str) -> u64 {
        let last = self.changes.iter().rev().find(|change| change.key == key);
        last.filter(|change| change.object.is_some()).map_or(0, |change| change.revision)
    }

    /// Writes or deletes an object. `spec` is JSON text.
    fn write(&mut self, key: &str, spec: Option<&str>) -> Option<Arc<str>> {
        let name = key.split_once('/').map_or(key, |(_, name)| name);
        self.revision += 1;
        let revision = self.revision;
        let object: Option<Arc<str>> = spec.map(|spec| {
            let name = json!(name);
            format!(
                "{{\"Metadata\":{{\"Name\":{name},\"Rev\":{revision},\"Created\":{revision},\"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{spec},\"Status\":null}}"
            )
            .into()
        });
        self.discard_replaced(key);
        self.changes.push(Change {
            revision,
            at: Instant::now(),
            key: key.to_owned(),
            object: object.clone(),
        });
        object
    }

    /// Discards the changes of an object that are older than the history, but for the last one.
    fn discard_replaced(&mut self, key: &str) {
        let Some(last) = self.changes.iter().rposition(|change| change.key == key) else { return };
        let last = self.changes[last].revision;
        let is_old =
            |change: &Change| change.key == key && change.revision < last && change.at.elapsed() > HISTORY;
        let discarded =
            self.changes.iter().filter(|change| is_old(change)).map(|change| change.revision).max();
        self.discarded = self.discarded.max(discarded.unwrap_or(0));
        self.changes.retain(|change| !is_old(change));
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
        self.write(key, Some(&spec.to_string()))
    }

    /// Writes an object given as JSON text.
    pub fn put_text(&self, key: &str, spec: &str) -> u64 {
        self.write(key, Some(spec))
    }

    pub fn delete(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    fn write(&self, key: &str, spec: Option<&str>) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.write(key, spec);
        self.changed.notify_all();
        objects.revision
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            let (status, text) = self.handle(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if stream.write_all(format!("{head}{text}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        std::thread::sleep(Duration::from_millis(4));
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let Some(key) = path.strip_prefix("/api/objects/") else { return (404, nothing()) };
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
                Some(object) => (200, object.to_string()),
                None => (404, nothing()),
            },
            ("POST", false) => {
                let name = body["Metadata"]["Name"].as_str().unwrap_or("").to_owned();
                self.conditional(&format!("{key}/{name}"), Some(0), Some(&body["Spec"].to_string()))
            }
            ("PUT", true) => {
                let expected = body["Metadata"]["Rev"].as_u64();
                self.conditional(key, expected, Some(&body["Spec"].to_string()))
            }
            ("DELETE", true) => self.conditional(key, field("Rev").and_then(|text| text.parse().ok()), None),
            _ => (400, nothing()),
        }
    }

    fn list(&self, kind: &str, after: Option<String>, may_be_old: bool) -> (u16, String) {
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
        let is_left = |key: &&String| after.as_ref().is_none_or(|after| *key > after);
        let rest: Vec<&str> =
            objects.iter().filter(|(key, _)| is_left(key)).map(|(_, object)| &**object).collect();
        let items = &rest[..rest.len().min(PAGE_ITEMS)];
        let has_more = rest.len() > items.len();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"HasMore\":{has_more},\"StoreRevision\":{revision}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let prefix = format!("{kind}/");
        let deadline = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            if since > objects.revision || since < objects.discarded {
                return (410, nothing());
            }
            let changes = objects.changes.iter().filter(|change| change.revision > since);
            let events: Vec<String> = changes
                .filter(|change| change.key.starts_with(&prefix))
                .map(|change| match &change.object {
                    Some(object) => format!("{{\"Object\":{object},\"Deleted\":false}}"),
                    None => json!({
                        "Object": {"Metadata": {"Name": change.key[prefix.len()..], "Rev": change.revision}, "Spec": null},
                        "Deleted": true,
                    })
                    .to_string(),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), objects.revision);
                return (200, format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"));
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }

    fn conditional(&self, key: &str, expected: Option<u64>, spec: Option<&str>) -> (u16, String) {
        let mut objects = self.objects.lock().unwrap();
        let revision = objects.revision_of(key);
        let current = objects.get(key);
        match (expected, &current) {
            (Some(0), Some(object)) => return (409, object.to_string()),
            (Some(0), None) => {}
            (_, None) => return (404, nothing()),
            (Some(expected), Some(object)) if expected != revision => return (409, object.to_string()),
            _ => {}
        }
        let written = objects.write(key, spec);
        self.changed.notify_all();
        (200, written.map_or_else(nothing, |object| object.to_string()))
    }
}

fn nothing() -> String {
    "null".to_owned()
}
