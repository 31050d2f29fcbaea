//! Short keys of routes and objects for the decisions.

use std::hash::{DefaultHasher, Hash, Hasher};

use pollenshed_state::{ids::ServiceName, routes::Route};

/// Identifies a route at a service, for estimates of this process.
pub fn work(route: &str, service: &ServiceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (route, service).hash(&mut hasher);
    hasher.finish()
}

/// Identifies the object of a request, alike in all instances. `None` if it is of no use.
pub fn object(route: &Route, affinity_key: Option<&str>) -> Option<u64> {
    let key = affinity_key.filter(|_| route.affinity)?;
    Some(pollenshed_coordination::steering::object_key(&route.name, key))
}
