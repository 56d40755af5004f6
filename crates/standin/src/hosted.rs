//! The API of the users' hosted platform, served by the platform stand-in.
//!
//! Exposes the same objects and faults as the project's own platform API. Lists are paginated.

use crate::platform::PlatformStandin;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use sniperelay_platform::api::{ObjectEvent, StoredObject};

/// Path prefix of all objects.
pub const OBJECTS_PATH: &str = "/api/objects/";
/// Maximum number of objects on one page of a list.
const MAX_PAGE_ITEMS: usize = 50;

/// A request to the API of the hosted platform.
#[derive(Debug)]
pub struct HostedRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path after [`OBJECTS_PATH`].
    pub path: &'a str,
    /// Query string.
    pub query: &'a str,
    /// Request body.
    pub body: &'a str,
}

impl HostedRequest<'_> {
    /// Returns the value of a query parameter, without percent-decoding.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Returns the value of a numeric query parameter, or `None` if it is missing or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Handles any request except a watch. Returns the status and the body of the response.
///
/// # Errors
///
/// Returns an error if the request body is not JSON, or if an injected fault drops the response.
pub fn handle_request(
    standin: &PlatformStandin,
    request: &HostedRequest<'_>,
) -> anyhow::Result<(StatusCode, Value)> {
    let is_object = request.path.contains('/');
    match (request.method, is_object) {
        (&Method::GET, true) => Ok(get_object(standin, request.path)),
        (&Method::GET, false) => Ok(list_objects(standin, request)),
        (&Method::POST, false) => create_object(standin, request),
        (&Method::PUT, true) => replace_object(standin, request),
        (&Method::DELETE, true) => write_object(standin, request.path, request.number("Rev"), None),
        _ => Ok((StatusCode::BAD_REQUEST, Value::Null)),
    }
}

/// Returns the body of a watch response.
pub fn events_json(revision: u64, events: &[ObjectEvent]) -> Value {
    let written = events.iter().map(|event| {
        let object = object_json(&event.key, event.version, event.value.as_deref());
        json!({ "Object": object, "Deleted": event.value.is_none() })
    });
    json!({ "events": written.collect::<Vec<_>>(), "StoreRevision": revision })
}

fn get_object(standin: &PlatformStandin, key: &str) -> (StatusCode, Value) {
    match standin.get(key) {
        Some(object) => (StatusCode::OK, stored_json(&object)),
        None => (StatusCode::NOT_FOUND, Value::Null),
    }
}

fn list_objects(standin: &PlatformStandin, request: &HostedRequest<'_>) -> (StatusCode, Value) {
    let prefix = format!("{}/", request.path);
    let after = request.field("after").map(|name| format!("{prefix}{name}"));
    let may_be_old = request.field("AllowStale") == Some("1");
    let (revision, objects) = if may_be_old { standin.list_stale(&prefix) } else { standin.list(&prefix) };
    let rest = objects.iter().filter(|object| after.as_ref().is_none_or(|after| object.key > *after));
    let page: Vec<Value> = rest.clone().take(MAX_PAGE_ITEMS).map(stored_json).collect();
    let has_more = rest.count() > page.len();
    (StatusCode::OK, json!({ "items": page, "HasMore": has_more, "StoreRevision": revision }))
}

fn create_object(
    standin: &PlatformStandin,
    request: &HostedRequest<'_>,
) -> anyhow::Result<(StatusCode, Value)> {
    let object: Value = serde_json::from_str(request.body)?;
    let name = object["Metadata"]["Name"].as_str().unwrap_or("");
    write_object(standin, &format!("{}/{name}", request.path), Some(0), Some(object["Spec"].to_string()))
}

fn replace_object(
    standin: &PlatformStandin,
    request: &HostedRequest<'_>,
) -> anyhow::Result<(StatusCode, Value)> {
    let object: Value = serde_json::from_str(request.body)?;
    if standin.get(request.path).is_none() {
        return Ok((StatusCode::NOT_FOUND, Value::Null));
    }
    write_object(standin, request.path, object["Metadata"]["Rev"].as_u64(), Some(object["Spec"].to_string()))
}

fn write_object(
    standin: &PlatformStandin,
    key: &str,
    expected: Option<u64>,
    value: Option<String>,
) -> anyhow::Result<(StatusCode, Value)> {
    match standin.write(key, expected, value.clone())? {
        Ok(version) => Ok((StatusCode::OK, object_json(key, version, value.as_deref()))),
        Err(0) if expected == Some(0) || value.is_none() => Ok((StatusCode::NOT_FOUND, Value::Null)),
        Err(_) => {
            let current = standin.get(key).map_or(Value::Null, |object| stored_json(&object));
            Ok((StatusCode::CONFLICT, current))
        }
    }
}

fn stored_json(object: &StoredObject) -> Value {
    object_json(&object.key, object.version, Some(&object.value))
}

fn object_json(key: &str, version: u64, value: Option<&str>) -> Value {
    let name = key.split_once('/').map_or(key, |(_, name)| name);
    // A value that is not JSON is returned as a string, like data stored by another writer.
    let spec =
        value.map(|text| serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned())));
    json!({
        "Metadata": { "Name": name, "Rev": version, "Created": version, "Finalizers": [], "DeletionPending": false },
        "Spec": spec,
        "Status": null,
    })
}
