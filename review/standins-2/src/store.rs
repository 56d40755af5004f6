//! The platform's store: objects, lists, watches and conditional writes, as the users' page states them.
//!
//! Each entry VM has a listener of its own, so that it can be partitioned from the store, and can be given targets at the
//! addresses of its own links.

use crate::http::{Message, Reader, response};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: Value,
}

/// All objects at one revision.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    rev: u64,
    objects: BTreeMap<String, Object>,
}

#[derive(Debug, Default)]
struct Contents {
    /// Number of times that the store has returned from an older copy.
    era: u64,
    rev: u64,
    /// Revision before which the history is gone.
    first_rev: u64,
    objects: BTreeMap<String, Object>,
    /// Revision, key and object of each change; a deletion has no spec.
    changes: Vec<(u64, String, Option<Object>)>,
}

#[derive(Debug, Default)]
pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

/// What one entry VM sees of the store.
#[derive(Debug, Default)]
pub struct View {
    /// Calls of this entry VM are neither answered nor executed, and new connections hang.
    pub is_cut: AtomicBool,
    /// Addresses of targets, and the addresses of this entry VM's links to them.
    pub links: Mutex<HashMap<String, String>>,
}

impl Store {
    /// Writes an object, as the operator and the targets do. One that stays the same is no change.
    pub fn put(&self, key: &str, spec: Value) -> u64 {
        let mut contents = self.contents.lock().unwrap();
        if let Some(object) = contents.objects.get(key)
            && object.spec == spec
        {
            return object.rev;
        }
        let rev = contents.write(key, Some(spec));
        drop(contents);
        self.changed.notify_all();
        rev
    }

    pub fn delete(&self, key: &str) {
        self.contents.lock().unwrap().write(key, None);
        self.changed.notify_all();
    }

    /// Returns a copy of all objects.
    pub fn copy(&self) -> StoreCopy {
        let contents = self.contents.lock().unwrap();
        StoreCopy { rev: contents.rev, objects: contents.objects.clone() }
    }

    /// Returns from an older copy: what was written since is gone, and its revisions are given out again.
    pub fn return_from(&self, copy: &StoreCopy) {
        let mut contents = self.contents.lock().unwrap();
        contents.era += 1;
        contents.rev = copy.rev;
        contents.first_rev = copy.rev;
        contents.objects = copy.objects.clone();
        contents.changes.clear();
        drop(contents);
        self.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = self.contents.lock().unwrap();
        contents.objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Starts a listener and returns its address.
    pub fn listen(self: &Arc<Self>, view: Arc<View>) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (store.clone(), view.clone());
                std::thread::spawn(move || store.serve(stream, &view));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream, view: &View) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Some(message) = reader.read(Duration::from_secs(60)) {
            if view.is_cut.load(Ordering::Relaxed) {
                return hang(view);
            }
            let answer = self.handle(&message, view);
            if view.is_cut.load(Ordering::Relaxed) {
                return hang(view);
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, message: &Message, view: &View) -> Vec<u8> {
        let target = message.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return self.contents.lock().unwrap().answer("400 Bad Request", &json!({}));
        };
        let field = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let number = |name: &str| field(name).and_then(|value| value.parse::<u64>().ok());
        match (message.word(0), rest.split_once('/')) {
            ("GET", None) => match number("Watch") {
                Some(since) => self.watch(rest, since, number("WaitMs").unwrap_or(0), view),
                None => self.list(rest, field("after"), view),
            },
            ("GET", Some((kind, _))) => {
                let contents = self.contents.lock().unwrap();
                match contents.objects.get(rest) {
                    Some(object) => contents.answer("200 OK", &encode(kind, rest, object, view)),
                    None => contents.answer("404 Not Found", &json!({})),
                }
            }
            ("POST", None) => {
                let body: Value = serde_json::from_slice(&message.body).unwrap_or_default();
                let key = format!("{rest}/{}", body["Metadata"]["Name"].as_str().unwrap_or(""));
                self.write(rest, &key, Some(0), Some(body["Spec"].clone()), view)
            }
            ("PUT", Some((kind, _))) => {
                let body: Value = serde_json::from_slice(&message.body).unwrap_or_default();
                self.write(kind, rest, body["Metadata"]["Rev"].as_u64(), Some(body["Spec"].clone()), view)
            }
            ("DELETE", Some((kind, _))) => self.write(kind, rest, number("Rev"), None, view),
            _ => self.contents.lock().unwrap().answer("400 Bad Request", &json!({})),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>, view: &View) -> Vec<u8> {
        let contents = self.contents.lock().unwrap();
        let prefix = format!("{kind}/");
        let from = format!("{prefix}{}", after.unwrap_or(""));
        let all = contents
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_none() || **key > from));
        let items: Vec<Value> = all.map(|(key, object)| encode(kind, key, object, view)).collect();
        contents.answer("200 OK", &json!({"items": items, "HasMore": false, "StoreRevision": contents.rev}))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64, view: &View) -> Vec<u8> {
        let prefix = format!("{kind}/");
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut contents = self.contents.lock().unwrap();
        let era = contents.era;
        loop {
            // Such a revision does not exist, or its history is gone.
            if contents.era != era || since > contents.rev || since < contents.first_rev {
                return contents.answer("410 Gone", &json!({}));
            }
            let new =
                contents.changes.iter().filter(|(rev, key, _)| *rev > since && key.starts_with(&prefix));
            let events: Vec<Value> = new
                .map(|(rev, key, object)| match object {
                    Some(object) => json!({"Object": encode(kind, key, object, view), "Deleted": false}),
                    None => {
                        let gone = Object { rev: *rev, created: *rev, spec: Value::Null };
                        json!({"Object": encode(kind, key, &gone, view), "Deleted": true})
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || view.is_cut.load(Ordering::Relaxed) {
                return contents.answer("200 OK", &json!({"events": events, "StoreRevision": contents.rev}));
            }
            contents = self.changed.wait_timeout(contents, left.min(Duration::from_millis(100))).unwrap().0;
        }
    }

    fn write(
        &self,
        kind: &str,
        key: &str,
        expected: Option<u64>,
        spec: Option<Value>,
        view: &View,
    ) -> Vec<u8> {
        let mut contents = self.contents.lock().unwrap();
        let present = contents.objects.get(key).cloned();
        if present.is_none() && expected != Some(0) {
            return contents.answer("404 Not Found", &json!({}));
        }
        if let Some(object) = &present
            && expected.is_some_and(|expected| expected != object.rev)
        {
            return contents.answer("409 Conflict", &encode(kind, key, object, view));
        }
        let object = match (&spec, &present) {
            (Some(spec), Some(object)) if *spec == object.spec => object.clone(),
            _ => {
                let rev = contents.write(key, spec.clone());
                Object {
                    rev,
                    created: present.map_or(rev, |object| object.created),
                    spec: spec.unwrap_or(Value::Null),
                }
            }
        };
        self.changed.notify_all();
        contents.answer("200 OK", &encode(kind, key, &object, view))
    }
}

impl Contents {
    /// Encodes an answer, which states the era.
    fn answer(&self, status: &str, body: &Value) -> Vec<u8> {
        let headers = [("Content-Type", "application/json".to_owned()), ("Store-Era", self.era.to_string())];
        response(status, &headers, body.to_string().as_bytes())
    }

    fn write(&mut self, key: &str, spec: Option<Value>) -> u64 {
        self.rev += 1;
        let created = self.objects.get(key).map_or(self.rev, |object| object.created);
        let object = spec.map(|spec| Object { rev: self.rev, created, spec });
        match &object {
            Some(object) => drop(self.objects.insert(key.to_owned(), object.clone())),
            None => drop(self.objects.remove(key)),
        }
        self.changes.push((self.rev, key.to_owned(), object));
        self.rev
    }
}

/// Holds a connection open without an answer while the entry VM is partitioned from the store.
fn hang(view: &View) {
    while view.is_cut.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn encode(kind: &str, key: &str, object: &Object, view: &View) -> Value {
    let name = key.split_once('/').map_or(key, |(_, name)| name);
    let mut spec = object.spec.clone();
    if kind == "sniperelay-entry-vms" {
        // The other entry VMs are reached through links of this one's own; its own registration stays as it wrote it.
        for field in ["peers", "ready"] {
            let link =
                spec[field].as_str().and_then(|address| view.links.lock().unwrap().get(address).cloned());
            if let Some(link) = link {
                spec[field] = link.into();
            }
        }
    }
    if kind == "servers"
        && let Some(link) =
            spec["Address"].as_str().and_then(|address| view.links.lock().unwrap().get(address).cloned())
    {
        spec["Address"] = link.into();
    }
    json!({
        "Metadata": {"Name": name, "Rev": object.rev, "Created": object.created, "Finalizers": [], "DeletionPending": false},
        "Spec": spec, "Status": null,
    })
}
