//! Parses and classifies callers' HTTP requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER},
};
use pollenshed_protocol::{
    caller::{CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, Outcome, TICKET_HEADER},
    peer::{Header, HttpRequest},
};
use pollenshed_state::{
    config::{Operation, Service},
    ids::{ServiceName, Ticket},
    time::Instant,
    units::ByteSize,
};
use pollenshed_transport::edge::{BodyError, RequestBody, ResponseBody};

use super::{
    admission::Admitted,
    answer::{from_reply, json, refusal},
    claims, dispatch, ticketed, uploads,
};
use crate::{
    config::ActiveConfig,
    instance::Shared,
    lookup::{self, LookupError},
    wire,
};

const RUN_PREFIX: &str = "/v1/run/";

/// A refusal that ends a request before it is dispatched. Boxed, because it is large for an error.
pub(super) type RefusalResponse = Box<Response<ResponseBody>>;

/// Handles one HTTP request of a caller.
pub async fn handle(
    shared: Arc<Shared>,
    request: Request<RequestBody>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if path == "/v1/lookup" {
        return handle_lookup(&shared, &request, peer);
    }
    if path.starts_with(RUN_PREFIX) {
        return match handle_run(shared, request).await {
            Ok(answer) => answer,
            Err(refused) => *refused,
        };
    }
    if path.starts_with(uploads::PREFIX) {
        return uploads::handle(shared, request).await;
    }
    invalid(StatusCode::NOT_FOUND, "no such path; see docs/callers.md")
}

fn handle_lookup(
    shared: &Shared,
    request: &Request<RequestBody>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let query = request.uri().query().unwrap_or_default();
    let field =
        |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let Some(service) = field("service").and_then(|s| s.parse::<ServiceName>().ok()) else {
        return invalid(StatusCode::BAD_REQUEST, "expected ?service=NAME");
    };
    let client = match field("client").map(str::parse) {
        None => peer.ip(),
        Some(Ok(ip)) => ip,
        Some(Err(_)) => return invalid(StatusCode::BAD_REQUEST, "client is not an IP address"),
    };
    match lookup::find_entries(shared, &service, client) {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(LookupError::UnknownService) => {
            invalid(StatusCode::NOT_FOUND, "the configuration has no such service")
        }
        Err(LookupError::NoConfiguration) => {
            unavailable("no-configuration", "no configuration has reached this instance yet")
        }
        Err(LookupError::NoEntry) => unavailable("no-entry", "no entry is alive"),
    }
}

/// A request whose body was read in full and whose service declares the operation.
#[derive(Debug, Clone)]
pub struct ClassifiedRequest {
    /// The request as sent to other instances.
    pub request: HttpRequest,
    /// The declared operation, which gives rank and idempotency.
    pub operation: Operation,
    /// Time after which the caller no longer waits.
    pub deadline: Instant,
    /// The configuration under which the request was classified.
    pub current: Arc<ActiveConfig>,
}

impl ClassifiedRequest {
    /// Returns the service of the request, or `None` if `current` doesn't declare it.
    pub fn service(&self) -> Option<&Service> {
        let name = &self.request.service;
        self.current.config.services.iter().find(|s| s.name.as_str() == name)
    }
}

async fn handle_run(
    shared: Arc<Shared>,
    request: Request<RequestBody>,
) -> Result<Response<ResponseBody>, RefusalResponse> {
    let current = shared.config.get().ok_or_else(|| {
        Box::new(unavailable("no-configuration", "no configuration has reached this instance yet"))
    })?;
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let rest = path.strip_prefix(RUN_PREFIX).unwrap_or_default();
    let (name, path) = match rest.find(['/', '?']) {
        Some(at) if rest.as_bytes()[at] == b'/' => (&rest[..at], rest[at..].to_owned()),
        Some(at) => (&rest[..at], format!("/{}", &rest[at..])),
        None => (rest, "/".to_owned()),
    };
    let config = &current.config;
    let service =
        config.services.iter().find(|s| s.name.as_str() == name).ok_or_else(|| {
            invalid(StatusCode::NOT_FOUND, "the configuration has no such service")
        })?;
    let method = request.method().as_str().to_owned();
    let operation = service.operation(&method, &path).cloned().ok_or_else(|| {
        refuse(StatusCode::METHOD_NOT_ALLOWED, "the service declares no such operation")
    })?;
    let deadline = read_deadline(&shared, &request, &current, &operation)?;
    let ticket = read_ticket(&request)?;
    let key = header(&request, IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
    let caller = header(&request, CALLER_HEADER).unwrap_or("anonymous").to_owned();
    let headers = forwarded_headers(&request);
    let limit = service.max_request_bytes.0;
    let announced = header(&request, CONTENT_LENGTH.as_str()).and_then(|v| v.parse().ok());
    let held = ByteSize(announced.unwrap_or(limit).min(limit));
    let _admitted = Admitted::admit(&shared, operation.rank, held)?;
    let service_name = service.name.to_string();
    let body = request.into_body().read_whole(limit).await.map_err(|e| body_error(&e))?;
    let request = HttpRequest { service: service_name, method, path, headers, body, caller };
    let classified = ClassifiedRequest { request, operation, deadline, current };
    let (rank, started_at) = (classified.operation.rank, shared.clock.now());
    let reply = match (classified.operation.idempotent, ticket, key) {
        (true, _, _) => dispatch::run(&shared, &classified, &new_request_id()).await,
        (false, Some(ticket), _) => ticketed::run(&shared, ticket, classified).await,
        (false, None, Some(key)) => claims::run(&shared, &key, classified).await,
        (false, None, None) => {
            return Err(refuse(
                StatusCode::PRECONDITION_REQUIRED,
                "the operation is not idempotent, so the request needs a ticket; see docs/callers.md",
            ));
        }
    };
    let took = Duration::from_micros(shared.clock.now().since_us(started_at));
    shared.metrics.record_request(rank, wire::outcome_of(&reply), took);
    Ok(from_reply(reply))
}

/// Returns a random id for the attempts of a request without a ticket.
fn new_request_id() -> String {
    format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..))
}

pub(super) fn read_deadline(
    shared: &Shared,
    request: &Request<RequestBody>,
    current: &ActiveConfig,
    operation: &Operation,
) -> Result<Instant, RefusalResponse> {
    let policy = current.config.ranks.iter().find(|p| p.rank == operation.rank);
    let longest_ms = policy.map_or(0, |p| p.deadline_ms);
    let wanted_ms = match header(request, DEADLINE_HEADER) {
        None => longest_ms,
        Some(text) => text.parse().map_err(|_| {
            refuse(StatusCode::BAD_REQUEST, "pollenshed-deadline-ms is not a whole number")
        })?,
    };
    Ok(shared.clock.now().plus_ms(wanted_ms.min(longest_ms)))
}

pub(super) fn read_ticket(
    request: &Request<RequestBody>,
) -> Result<Option<Ticket>, RefusalResponse> {
    match header(request, TICKET_HEADER).map(str::parse::<Ticket>) {
        None => Ok(None),
        Some(Ok(ticket)) => Ok(Some(ticket)),
        Some(Err(e)) => Err(refuse(StatusCode::BAD_REQUEST, &format!("pollenshed-ticket: {e}"))),
    }
}

pub(super) fn header<'a>(request: &'a Request<RequestBody>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

pub(super) fn forwarded_headers(request: &Request<RequestBody>) -> Vec<Header> {
    request
        .headers()
        .iter()
        .filter(|(name, _)| pollenshed_transport::backend::is_forwarded_header(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

/// Builds the refusal for a request whose body could not be read. The request did not run.
pub(super) fn body_error(error: &BodyError) -> RefusalResponse {
    let (status, reason) = (error.status(), error.reason());
    let mut answer = refusal(status, Outcome::NotRun, reason, &error.to_string());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    Box::new(answer)
}

pub(super) fn refuse(status: StatusCode, detail: &str) -> RefusalResponse {
    Box::new(invalid(status, detail))
}

fn invalid(status: StatusCode, detail: &str) -> Response<ResponseBody> {
    refusal(status, Outcome::NotRun, "invalid", detail)
}

fn unavailable(reason: &str, detail: &str) -> Response<ResponseBody> {
    refusal(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason, detail)
}
