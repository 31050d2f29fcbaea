//! Hash keys that identify routes, objects and contents in routing decisions.

use std::hash::{DefaultHasher, Hash, Hasher};

use http::{header, request::Parts};
use pollenshed_coordination::steering;
use pollenshed_state::{
    ids::{Digest, ServiceName},
    routes::Route,
};

use super::identity::Identity;

/// Identifies a route and service in run-time estimates. The key is only valid in this process.
pub fn estimate_key(route: &str, service: &ServiceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (route, service).hash(&mut hasher);
    hasher.finish()
}

/// Identifies the object of a request. All instances compute the same key. Returns `None` if the
/// request names no object or the route does not use affinity. Workspaces whose requests run in
/// different regions have no home in common, so their objects have different keys.
pub fn object_key(route: &Route, identity: &Identity, affinity_key: Option<&str>) -> Option<u64> {
    let key = affinity_key.filter(|_| route.affinity)?;
    if identity.home_regions == route.home_regions {
        return Some(steering::object_key(&route.name, key));
    }
    let regions: Vec<&str> = identity.home_regions.iter().map(|region| region.as_str()).collect();
    Some(steering::object_key(&format!("{} {}", route.name, regions.join(" ")), key))
}

/// Identifies the content of a request, of which the workspace is a part. All instances compute the
/// same digest.
pub fn content_digest(parts: &Parts, identity: &Identity, body: Option<&[u8]>) -> Digest {
    let host = parts.headers.get(header::HOST).map_or(&b""[..], |value| value.as_bytes());
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let method = parts.method.as_str().as_bytes();
    let mut content = vec![method, host, target.as_bytes(), body.unwrap_or_default()];
    content.extend(identity.workspace.as_ref().map(|workspace| workspace.name.as_str().as_bytes()));
    steering::content_digest(&content)
}
