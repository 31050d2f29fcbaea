//! Hash keys that identify routes, objects and contents in routing decisions.

use std::hash::{DefaultHasher, Hash, Hasher};

use http::{header, request::Parts};
use pollenshed_coordination::steering;
use pollenshed_state::{
    ids::{Digest, ServiceName},
    routes::Route,
};

/// Identifies a route and service in run-time estimates. The key is only valid in this process.
pub fn estimate_key(route: &str, service: &ServiceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (route, service).hash(&mut hasher);
    hasher.finish()
}

/// Identifies the object of a request. All instances compute the same key. Returns `None` if the
/// request names no object or the route does not use affinity.
pub fn object_key(route: &Route, affinity_key: Option<&str>) -> Option<u64> {
    let key = affinity_key.filter(|_| route.affinity)?;
    Some(steering::object_key(&route.name, key))
}

/// Identifies the content of a request. All instances compute the same digest.
pub fn content_digest(parts: &Parts, body: Option<&[u8]>) -> Digest {
    let host = parts.headers.get(header::HOST).map_or(&b""[..], |value| value.as_bytes());
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let method = parts.method.as_str().as_bytes();
    steering::content_digest(&[method, host, target.as_bytes(), body.unwrap_or_default()])
}
