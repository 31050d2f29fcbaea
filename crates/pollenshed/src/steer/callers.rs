//! Takes the requests of callers and answers them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenshed_platform::headers::{self, RequestHeaders};
use pollenshed_state::{
    ids::ServiceName,
    routes::{MatchError, Route, RoutePlan, RouteRank},
    time::Instant,
};
use pollenshed_transport::{
    forward::{AnswerBody, RequestBody},
    listen::StopPhase,
};
use tokio::time::timeout;

use super::{
    attempt::{self, Outgoing},
    core::Core,
    lookup::plain,
};

/// Bodies up to this size are read whole before a backend server is chosen, so that a slow caller
/// takes no slot and a request that was not run can be sent elsewhere.
const WHOLE_BODY_BYTES: usize = 1024 * 1024;

/// Part of the memory that held bodies may take.
const HELD_BODIES_PART: usize = 4;

/// Time for a request that names none and whose route has none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// When callers come back that were refused because this instance has just started.
const STARTING_RETRY_AFTER_MS: u64 = 300;

/// An answer to a caller and what decided it, for the log.
pub struct Outcome {
    /// The answer.
    pub response: Response<AnswerBody>,
    /// Why it was given, in one word.
    pub reason: &'static str,
    /// Backend servers that the request was sent to.
    pub attempts: u32,
    /// Service and rank of the route, if one was found.
    pub service: Option<(ServiceName, RouteRank)>,
}

impl Outcome {
    /// An answer of this instance itself.
    pub fn own(status: StatusCode, reason: &'static str, attempts: u32) -> Outcome {
        Outcome { response: plain(status), reason, attempts, service: None }
    }

    /// A refusal of a request that has not run.
    pub fn refused(reason: &'static str, retry_after_ms: u64, attempts: u32) -> Outcome {
        let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        Outcome { response, reason, attempts, service: None }
    }
}

/// A request that is not answered yet.
struct InFlight {
    core: Rc<Core>,
    id: String,
    start: Instant,
    is_answered: bool,
}

impl InFlight {
    fn new(core: &Rc<Core>, id: String) -> InFlight {
        core.in_flight.set(core.in_flight.get() + 1);
        InFlight { core: core.clone(), id, start: core.now(), is_answered: false }
    }

    fn took(&self) -> Duration {
        Duration::from_micros(self.core.now().since_us(self.start))
    }

    /// Records the answer.
    fn answered(mut self, outcome: &Outcome) {
        self.is_answered = true;
        let took = self.took();
        log::info!(
            "request: answered; id={} status={} reason={} attempts={} took_ms={} config={}",
            self.id,
            outcome.response.status().as_u16(),
            outcome.reason,
            outcome.attempts,
            took.as_millis(),
            self.core.plan_version(),
        );
        let (service, rank) = match &outcome.service {
            Some((service, rank)) => (service.as_str(), rank.to_string()),
            None => ("none", String::new()),
        };
        self.core.metrics.request(service, &rank, outcome.reason, took);
    }
}

impl Drop for InFlight {
    /// Records a request whose caller left, as its handler is dropped then.
    fn drop(&mut self) {
        self.core.in_flight.set(self.core.in_flight.get() - 1);
        if self.is_answered {
            return;
        }
        let took = self.took();
        let config = self.core.plan_version();
        log::info!(
            "request: cancelled; id={} took_ms={} config={config}",
            self.id,
            took.as_millis()
        );
        self.core.metrics.request("none", "", "cancelled", took);
    }
}

/// Answers a request of a caller.
pub async fn answer(core: Rc<Core>, request: Request<Incoming>) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let caller = headers::parse_request(&parts.headers);
    let id = caller.request_id.clone().unwrap_or_else(|| "-".to_owned());
    let in_flight = InFlight::new(&core, id);
    let outcome = serve(&core, parts, body, caller, in_flight.start).await;
    in_flight.answered(&outcome);
    let mut response = outcome.response;
    if core.stop_phase() > StopPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(
    core: &Rc<Core>,
    parts: Parts,
    body: Incoming,
    caller: RequestHeaders,
    start: Instant,
) -> Outcome {
    let Some(plan) = core.plan() else {
        return Outcome::refused("no-config", STARTING_RETRY_AFTER_MS, 0);
    };
    let Some(host) = host(&parts) else {
        return Outcome::own(StatusCode::BAD_REQUEST, "no-host", 0);
    };
    let route = match plan.route(&host, parts.uri.path()) {
        Ok(route) => route.clone(),
        Err(MatchError::UnknownHost) => {
            return Outcome::own(StatusCode::NOT_FOUND, "unknown-host", 0);
        }
        Err(MatchError::UnknownPath) => {
            return Outcome::own(StatusCode::NOT_FOUND, "unknown-path", 0);
        }
    };
    let limit_ms = time_limit_ms(&route, &caller);
    let read = read_body(core, &plan, &parts.headers, body);
    let (body, held) = match timeout(Duration::from_millis(limit_ms), read).await {
        Ok(Ok(read)) => read,
        Ok(Err(refusal)) => return refusal,
        Err(_) => return Outcome::own(StatusCode::REQUEST_TIMEOUT, "body-timeout", 0),
    };
    let outgoing = Outgoing { plan: &plan, route: &route, parts, caller, start, limit_ms };
    let outcome = attempt::run(core, outgoing, body).await;
    drop(held);
    outcome
}

fn host(parts: &Parts) -> Option<String> {
    let header = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    header.or_else(|| parts.uri.host()).map(str::to_owned)
}

fn time_limit_ms(route: &Route, caller: &RequestHeaders) -> u64 {
    match (route.timeout_ms, caller.deadline_ms) {
        (Some(timeout_ms), Some(deadline_ms)) => timeout_ms.min(deadline_ms),
        (Some(ms), None) | (None, Some(ms)) => ms,
        (None, None) => DEFAULT_TIMEOUT_MS,
    }
}

/// Counts the bytes of a body that is held.
struct Held {
    core: Rc<Core>,
    bytes: usize,
}

impl Held {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.core.held_bytes.set(self.core.held_bytes.get() + bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.core.held_bytes.set(self.core.held_bytes.get() - self.bytes);
    }
}

/// Reads a body whole, or its first part if it is long.
async fn read_body(
    core: &Rc<Core>,
    plan: &RoutePlan,
    headers: &HeaderMap,
    mut body: Incoming,
) -> Result<(RequestBody, Held), Outcome> {
    let max_bytes = plan.caller_limits.max_body_bytes;
    let mut held = Held { core: core.clone(), bytes: 0 };
    if body.size_hint().lower() > max_bytes {
        return Err(Outcome::own(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", 0));
    }
    if body.is_end_stream() && !headers.contains_key(header::TRANSFER_ENCODING) {
        return Ok((RequestBody::Whole(None), held));
    }
    let most_held = core.settings.memory_mb as usize * 1024 * 1024 / HELD_BODIES_PART;
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Outcome::own(StatusCode::BAD_REQUEST, "body-broken-off", 0));
        };
        let Ok(data) = frame.into_data() else { continue };
        if core.held_bytes.get() + data.len() > most_held {
            return Err(Outcome::refused("memory", STARTING_RETRY_AFTER_MS, 0));
        }
        held.add(data.len());
        whole.extend_from_slice(&data);
        if whole.len() as u64 > max_bytes {
            return Err(Outcome::own(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", 0));
        }
        // A body without a length can exceed the limit later, so it is read whole.
        if whole.len() > WHOLE_BODY_BYTES && body.size_hint().exact().is_some() {
            let first = Some(whole.freeze());
            return Ok((RequestBody::Streamed { first, rest: body }, held));
        }
    }
    Ok((RequestBody::Whole(Some(whole.freeze())), held))
}

/// Returns the head of the request for a backend server, without headers of the connection.
pub fn forwarded_head(parts: &Parts) -> (Method, String, HeaderMap) {
    let mut headers = parts.headers.clone();
    headers::strip_hop_by_hop(&mut headers);
    for name in [header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    (parts.method.clone(), target, headers)
}

/// Returns the answer of a backend server for the caller.
pub fn passed_on(
    status: StatusCode,
    mut headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    headers::strip_hop_by_hop(&mut headers);
    headers::strip_load_reports(&mut headers);
    // The length is set from the body, which may have arrived without one.
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Answers requests to the callers' address.
pub fn handler(
    core: Rc<Core>,
) -> impl Fn(
    Request<Incoming>,
    SocketAddr,
) -> std::pin::Pin<Box<dyn Future<Output = Response<AnswerBody>>>>
+ Clone {
    move |request, _| Box::pin(answer(core.clone(), request))
}

/// Returns the bytes of a body that was read whole, to send it again.
pub fn copy_of(body: &RequestBody) -> Option<Option<Bytes>> {
    match body {
        RequestBody::Whole(bytes) => Some(bytes.clone()),
        RequestBody::Streamed { .. } => None,
    }
}
