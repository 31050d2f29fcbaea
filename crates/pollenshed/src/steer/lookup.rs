//! Answers callers that ask which instances to use, and the readiness check.

use std::{net::SocketAddr, rc::Rc};

use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use pollenshed_platform::lookup;
use pollenshed_state::ids::RegionName;
use pollenshed_transport::forward::AnswerBody;

use super::core::Core;

/// Time for which callers keep an answer. Short, so that they leave a stopped instance soon.
const TTL_MS: u64 = 2_000;

/// Answers a request to the lookup address.
pub fn answer(core: &Core, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != lookup::LOOKUP_PATH {
        return plain(StatusCode::NOT_FOUND);
    }
    let question = lookup::parse_query(request.uri().query());
    let addresses = instances_for(core, question.region.as_deref());
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_ms = TTL_MS.min(core.bounds.lookup_ttl_max_ms);
    let mut response = Response::new(AnswerBody::from(lookup::encode_response(&addresses, ttl_ms)));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the usable instances of the caller's region, or those of all regions if it has none.
fn instances_for(core: &Core, region: Option<&str>) -> Vec<SocketAddr> {
    let now = core.now();
    let members = core.members.borrow();
    let regions = &core.settings.failure_domains;
    let is_near =
        |r: Option<&RegionName>| region.is_none_or(|asked| r.is_some_and(|r| r.as_str() == asked));
    let own =
        core.is_ready().then_some((core.settings.callers_address, Some(core.settings.region())));
    let all: Vec<_> = members
        .usable(now)
        .map(|m| (m.record.callers_address, regions.get(&m.record.failure_domain)))
        .chain(own)
        .collect();
    let mut near: Vec<_> = all.iter().filter(|(_, r)| is_near(*r)).map(|(a, _)| *a).collect();
    if near.is_empty() {
        near = all.into_iter().map(|(a, _)| a).collect();
    }
    near.sort_unstable();
    if near.len() > lookup::MAX_ADDRESSES {
        fastrand::shuffle(&mut near);
    }
    near
}

/// Answers a request to the readiness address.
pub fn ready(core: &Rc<Core>, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != lookup::READY_PATH {
        return plain(StatusCode::NOT_FOUND);
    }
    plain(if core.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Returns an answer without a body.
pub fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::empty());
    *response.status_mut() = status;
    response
}
