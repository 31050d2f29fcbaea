//! Handles the requests of callers.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenshed_coordination::steering::BodyKind;
use pollenshed_platform::headers::{self, RequestHeaders};
use pollenshed_state::{
    ids::ServiceName,
    routes::{MatchError, Route, RoutePlan, RouteRank, Workspace},
    time::Instant,
};
use pollenshed_transport::{
    forward::{HeldShare, RequestBody, ResponseBody},
    listen::StopPhase,
};
use tokio::time::timeout;

use super::{
    attempt::{self, RoutedRequest},
    core::Core,
    identity::{self, Identity},
    large_answers,
    lookup::empty_response,
    workspace_limits,
};

/// Size up to which a body of known length is buffered before a backend server is chosen. Buffering
/// keeps a slow caller from occupying a slot, and allows a request that was not executed to be sent
/// to another server.
const MAX_BUFFERED_BODY_BYTES: usize = 1024 * 1024;

/// Timeout of a request if neither the caller nor the route sets one.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// `Retry-After` of a request that is refused because this instance has no configuration yet, or no
/// memory for its body.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 300;

/// Reason of a response that comes from a backend server.
pub const ANSWERED: &str = "answered";

/// A response to a caller, with the details that are logged and counted.
pub struct Outcome {
    /// Response that the caller gets.
    pub response: Response<ResponseBody>,
    /// Reason for the response: one word, used as a log field and a metric label.
    pub reason: &'static str,
    /// Number of attempts in which the request was sent to a backend server.
    pub attempts: u32,
    /// Service and rank of the route. `None` if no route was found.
    pub service: Option<(ServiceName, RouteRank)>,
    /// Workspace on whose behalf the request came, if it is known.
    pub workspace: Option<Arc<Workspace>>,
}

impl Outcome {
    /// Creates a response without a body that does not come from a backend server.
    pub fn local(status: StatusCode, reason: &'static str, attempts: u32) -> Outcome {
        Outcome {
            response: empty_response(status),
            reason,
            attempts,
            service: None,
            workspace: None,
        }
    }

    /// Creates a refusal (503) of a request that was not executed.
    pub fn refused(reason: &'static str, retry_after_ms: u64, attempts: u32) -> Outcome {
        Outcome::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms, attempts)
    }

    /// Creates a response to a request that was not executed and never will be. `status` is one that
    /// promises this.
    pub fn not_run(
        status: StatusCode,
        reason: &'static str,
        retry_after_ms: u64,
        attempts: u32,
    ) -> Outcome {
        let mut response = empty_response(status);
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        Outcome { response, reason, attempts, service: None, workspace: None }
    }

    /// Returns how the request ended, in one word for the requests of a workspace.
    fn result(&self) -> &'static str {
        let status = self.response.status();
        if self.reason == "answered" {
            "answered"
        } else if status.is_client_error() || headers::promises_not_run(status) {
            "refused"
        } else {
            "failed"
        }
    }

    /// Returns whether the response is one of this instance that promises that the request did not
    /// run and never will.
    pub fn promises_not_run(&self) -> bool {
        self.reason != ANSWERED && headers::promises_not_run(self.response.status())
    }
}

/// A caller's request in progress. It counts towards `in_flight` until it is dropped.
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

    fn elapsed(&self) -> Duration {
        Duration::from_micros(self.core.now().since_us(self.start))
    }

    /// Logs and counts the response.
    fn record_response(mut self, outcome: &Outcome) {
        self.is_answered = true;
        let took = self.elapsed();
        log::info!(
            "request: answered; id={} status={} reason={} workspace={} attempts={} took_ms={} config={}",
            self.id,
            outcome.response.status().as_u16(),
            outcome.reason,
            outcome.workspace.as_ref().map_or("-", |workspace| workspace.name.as_str()),
            outcome.attempts,
            took.as_millis(),
            self.core.plan_version(),
        );
        let (service, rank) = match &outcome.service {
            Some((service, rank)) => (service.as_str(), rank.to_string()),
            None => ("none", String::new()),
        };
        self.core.metrics.record_request(service, &rank, outcome.reason, took);
        if let Some(workspace) = &outcome.workspace {
            let result = outcome.result();
            self.core.metrics.record_workspace_request(workspace.name.as_str(), result);
        }
    }
}

impl Drop for InFlight {
    /// Logs and counts a request that was cancelled: its handler is dropped without a response when
    /// the caller disconnects.
    fn drop(&mut self) {
        self.core.in_flight.set(self.core.in_flight.get() - 1);
        if self.is_answered {
            return;
        }
        let took = self.elapsed();
        let config = self.core.plan_version();
        log::info!(
            "request: cancelled; id={} took_ms={} config={config}",
            self.id,
            took.as_millis()
        );
        self.core.metrics.record_request("none", "", "cancelled", took);
    }
}

/// Handles a request of a caller.
pub async fn handle(
    core: Rc<Core>,
    request: Request<Incoming>,
    connection: SocketAddr,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let caller = headers::parse_request(&parts.headers);
    let id = caller.request_id.clone().unwrap_or_else(|| "-".to_owned());
    let in_flight = InFlight::new(&core, id);
    let outcome = process(&core, parts, body, caller, in_flight.start, connection).await;
    in_flight.record_response(&outcome);
    let mut response = outcome.response;
    if core.stop_phase() > StopPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn process(
    core: &Rc<Core>,
    mut parts: Parts,
    body: Incoming,
    caller: RequestHeaders,
    start: Instant,
    connection: SocketAddr,
) -> Outcome {
    let Some(plan) = core.plan() else {
        return Outcome::refused("no-config", UNAVAILABLE_RETRY_AFTER_MS, 0);
    };
    let Some(host) = host(&parts) else {
        return Outcome::local(StatusCode::BAD_REQUEST, "no-host", 0);
    };
    let route = match plan.route(&host, parts.uri.path()) {
        Ok(route) => route.clone(),
        Err(MatchError::UnknownHost) => {
            return Outcome::local(StatusCode::NOT_FOUND, "unknown-host", 0);
        }
        Err(MatchError::UnknownPath) => {
            return Outcome::local(StatusCode::NOT_FOUND, "unknown-path", 0);
        }
    };
    let identity = match identity::identify(&plan, &route, &mut parts.headers) {
        Ok(identity) => identity,
        Err(e) => {
            let limit = Duration::from_millis(time_limit_ms(&route, &caller));
            discard_body(&parts.headers, body, plan.caller_limits.max_body_bytes, limit);
            return e.outcome();
        }
    };
    let workspace = identity.workspace.clone();
    if let Some(refusal) = large_answers::refusal(core, &route) {
        return refusal;
    }
    let limit_ms = time_limit_ms(&route, &caller);
    let read = read_body(core, &plan, &parts.headers, body, connection);
    let (body, held) = match timeout(Duration::from_millis(limit_ms), read).await {
        Ok(Ok(read)) => read,
        Ok(Err(refusal)) => return refusal,
        Err(_) => return Outcome::local(StatusCode::REQUEST_TIMEOUT, "body-timeout", 0),
    };
    let admission = match workspace_limits::admit(core, &identity).await {
        Ok(admission) => admission,
        Err(mut refusal) => {
            refusal.workspace = workspace;
            return refusal;
        }
    };
    let routed = RoutedRequest {
        plan: &plan,
        route: &route,
        identity,
        parts,
        caller,
        start,
        limit_ms,
        connection,
    };
    let mut outcome = attempt::run(core, routed, body).await;
    admission.settle(core, &outcome);
    drop(held);
    outcome.workspace = workspace;
    outcome
}

/// Reads a body that is not needed while its request is answered, and drops it. A connection that is
/// closed with unread bytes is reset, which would cost a caller that writes its whole body first the
/// answer. A caller that waits for `100 Continue` sends no body after it.
fn discard_body(headers: &HeaderMap, mut body: Incoming, max_bytes: u64, limit: Duration) {
    let is_too_large = body.size_hint().lower() > max_bytes;
    if body.is_end_stream() || is_too_large || headers.contains_key(header::EXPECT) {
        return;
    }
    tokio::task::spawn_local(timeout(limit, async move {
        let mut read_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
            if read_bytes > max_bytes {
                return;
            }
        }
    }));
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

/// Reads a body completely, or only its beginning if it is long.
async fn read_body(
    core: &Rc<Core>,
    plan: &RoutePlan,
    headers: &HeaderMap,
    mut body: Incoming,
    connection: SocketAddr,
) -> Result<(RequestBody, HeldShare), Outcome> {
    let max_bytes = plan.caller_limits.max_body_bytes;
    let mut held = core.bodies.share(BodyKind::Request, connection);
    if body.size_hint().lower() > max_bytes {
        return Err(Outcome::local(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", 0));
    }
    if body.is_end_stream() && !headers.contains_key(header::TRANSFER_ENCODING) {
        return Ok((RequestBody::Whole(None), held));
    }
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Outcome::local(StatusCode::BAD_REQUEST, "body-broken-off", 0));
        };
        let Ok(data) = frame.into_data() else { continue };
        if !held.try_add(data.len()) {
            return Err(Outcome::refused("memory", UNAVAILABLE_RETRY_AFTER_MS, 0));
        }
        buffered.extend_from_slice(&data);
        if buffered.len() as u64 > max_bytes {
            return Err(Outcome::local(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", 0));
        }
        // A body of unknown length may still exceed the size limit, so it is never streamed.
        if buffered.len() > MAX_BUFFERED_BODY_BYTES && body.size_hint().exact().is_some() {
            let first = Some(buffered.freeze());
            return Ok((RequestBody::Streamed { first, rest: body }, held));
        }
    }
    Ok((RequestBody::Whole(Some(buffered.freeze())), held))
}

/// Returns method, target and headers of the request to a backend server, without hop-by-hop
/// headers and with the name of the workspace. The name is set last, as callers choose which headers
/// are hop-by-hop.
pub fn backend_request_head(parts: &Parts, identity: &Identity) -> (Method, String, HeaderMap) {
    let mut headers = parts.headers.clone();
    headers::strip_hop_by_hop(&mut headers);
    if let Some(workspace) = &identity.workspace {
        headers::set_workspace(&mut headers, &workspace.name);
    }
    for name in [header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    (parts.method.clone(), target, headers)
}

/// Converts the response of a backend server into the response to the caller.
pub fn response_for_caller(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    headers::strip_hop_by_hop(&mut headers);
    headers::strip_server_reports(&mut headers);
    // The body determines the length: the response may have arrived without the header.
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns the handler for the listener of the callers' address.
pub fn handler(
    core: Rc<Core>,
) -> impl Fn(
    Request<Incoming>,
    SocketAddr,
) -> std::pin::Pin<Box<dyn Future<Output = Response<ResponseBody>>>>
+ Clone {
    move |request, connection| Box::pin(handle(core.clone(), request, connection))
}

/// Returns the body if it is buffered and can be sent again. The inner `None` is an absent body.
pub fn buffered_body(body: &RequestBody) -> Option<Option<Bytes>> {
    match body {
        RequestBody::Whole(bytes) => Some(bytes.clone()),
        RequestBody::Streamed { .. } => None,
    }
}
