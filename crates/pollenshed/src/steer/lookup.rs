//! Serves lookups, with which callers find instances, and the readiness check.

use std::{net::SocketAddr, rc::Rc};

use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use pollenshed_platform::lookup;
use pollenshed_state::ids::RegionName;
use pollenshed_transport::forward::ResponseBody;

use super::core::Core;

/// How long callers may cache a lookup. It is short, so that they leave a stopped instance soon.
const LOOKUP_TTL_MS: u64 = 2_000;

/// Handles a request to the lookup address.
pub fn handle_lookup(core: &Core, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != lookup::LOOKUP_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let lookup_query = lookup::parse_query(request.uri().query());
    let addresses = instances_for(core, lookup_query.region.as_deref());
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_ms = LOOKUP_TTL_MS.min(core.bounds.lookup_ttl_max_ms);
    let mut response =
        Response::new(ResponseBody::from(lookup::encode_response(&addresses, ttl_ms)));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the usable instances of the caller's region, or of all regions if it has none.
fn instances_for(core: &Core, region: Option<&str>) -> Vec<SocketAddr> {
    let now = core.now();
    let members = core.members.borrow();
    let regions = &core.settings.failure_domains;
    let is_in_region =
        |r: Option<&RegionName>| region.is_none_or(|asked| r.is_some_and(|r| r.as_str() == asked));
    let own =
        core.is_ready().then_some((core.settings.callers_address, Some(core.settings.region())));
    let all: Vec<_> = members
        .usable(now)
        .map(|m| (m.record.callers_address, regions.get(&m.record.failure_domain)))
        .chain(own)
        .collect();
    let mut in_region: Vec<_> =
        all.iter().filter(|(_, r)| is_in_region(*r)).map(|(a, _)| *a).collect();
    // Only the representatives of another large region are known. Callers that ask here are better
    // served by the instances of this region.
    let is_elsewhere = region.is_some_and(|asked| asked != core.settings.region().as_str());
    if in_region.is_empty() || (is_elsewhere && core.assigns_by_object()) {
        in_region = all.into_iter().map(|(a, _)| a).collect();
    }
    in_region.sort_unstable();
    if in_region.len() > lookup::MAX_ADDRESSES {
        fastrand::shuffle(&mut in_region);
    }
    in_region
}

/// Handles a request to the readiness address.
pub fn handle_readiness(core: &Rc<Core>, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != lookup::READY_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    empty_response(if core.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Creates a response without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = status;
    response
}
