//! Short keys of routes and objects for the decisions.

use std::hash::{DefaultHasher, Hash, Hasher};

use http::{header, request::Parts};
use pollenshed_coordination::steering;
use pollenshed_state::{
    ids::{Digest, ServiceName},
    routes::Route,
};

/// Identifies a route at a service, for estimates of this process.
pub fn work(route: &str, service: &ServiceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (route, service).hash(&mut hasher);
    hasher.finish()
}

/// Identifies the object of a request, alike in all instances. `None` if it is of no use.
pub fn object(route: &Route, affinity_key: Option<&str>) -> Option<u64> {
    let key = affinity_key.filter(|_| route.affinity)?;
    Some(steering::object_key(&route.name, key))
}

/// Identifies the content of a request, alike in all instances.
pub fn content(parts: &Parts, body: Option<&[u8]>) -> Digest {
    let host = parts.headers.get(header::HOST).map_or(&b""[..], |value| value.as_bytes());
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let method = parts.method.as_str().as_bytes();
    steering::content_digest(&[method, host, target.as_bytes(), body.unwrap_or_default()])
}
