//! Performs a single attempt: sends a request to one backend server, reads the response and records
//! what it shows about the server.

use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use pollenshed_coordination::steering::{AttemptEnd, Statement};
use pollenshed_platform::headers::{self, StatedRest};
use pollenshed_state::{
    ids::{BackendServerName, FailureDomainName, ServiceName},
    time::Instant,
};
use pollenshed_transport::forward::{
    AnswerHold, BackendResponse, ExchangeError, MaxIdle, OnRead, RequestBody, ResponseBody,
    exchange,
};
use tokio::time::timeout;

use super::{
    assign::{EndReport, UsedAssignment},
    attempt::{Attempts, MIN_REMAINING_MS},
    callers::buffered_body,
    core::Core,
    crashes::{self, BrokenResponse},
    large_answers::LargeAnswer,
};

/// Maximum time to connect to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum idle time of a connection that carries a request which may be executed only once. A
/// server can close an idle connection at any time, and a request sent meanwhile is lost. A server
/// that announces its keep-alive time is trusted to keep it.
const AT_MOST_ONCE_MAX_IDLE: MaxIdle = MaxIdle {
    advertised: Duration::from_millis(7_500),
    unadvertised: Duration::from_millis(2_000),
};

/// Maximum idle time of a connection that carries any other request.
const REPEATABLE_MAX_IDLE: MaxIdle =
    MaxIdle { advertised: Duration::from_secs(30), unadvertised: Duration::from_millis(8_000) };

/// Added to the time after which a server without a response counts as silent.
const SILENCE_MARGIN_MS: f64 = 300.0;

/// Result of one attempt.
pub(super) enum AttemptResult {
    /// The server responded. The body is complete or still being forwarded.
    Answered(StatusCode, HeaderMap, ResponseBody),
    /// The server did not execute the request, or its address belongs to another server.
    NotRun {
        /// Whether the server reported free slots, so that a second try may succeed there.
        has_free_slots: bool,
    },
    /// The request was not sent.
    Unreachable,
    /// The request was not sent, since the server stopped taking requests while it waited for a
    /// connection.
    Withdrawn,
    /// The request may have been executed. Holds the reason for the log and the metrics.
    BrokenOff(&'static str),
    /// The server sent nothing within the time that it usually needs.
    Silent,
    /// The time of the request is over.
    TimedOut,
}

/// An attempt in progress. Its end is recorded on drop, so also if the caller disconnects.
pub(super) struct RunningAttempt<'a> {
    pub(super) core: &'a Core,
    pub(super) server: BackendServerName,
    /// Start time of the run of the server that the request is sent to.
    pub(super) started_at_ms: u64,
    pub(super) service: ServiceName,
    pub(super) estimate_key: u64,
    pub(super) object_key: Option<u64>,
    pub(super) waits: bool,
    pub(super) end: AttemptEnd,
    /// What the server stated with its answer, if it answered.
    pub(super) statement: Option<Statement>,
    /// Assignment of the request, whose end is reported with that of the attempt.
    pub(super) assignment: Option<UsedAssignment>,
    /// Counts the answer if it is a large one.
    pub(super) large_answer: Option<LargeAnswer>,
}

impl Drop for RunningAttempt<'_> {
    fn drop(&mut self) {
        let now = self.core.now();
        let (end, took) = match self.end {
            AttemptEnd::Answered { took_ms, .. } => {
                ("answered", Some(Duration::from_micros((took_ms * 1_000.0) as u64)))
            }
            AttemptEnd::Shed { .. } => ("shed", None),
            AttemptEnd::OtherServer => ("other-server", None),
            AttemptEnd::Unreachable => ("unreachable", None),
            AttemptEnd::BrokenOff => ("broken-off", None),
            AttemptEnd::Silent => ("silent", None),
            AttemptEnd::Abandoned => ("abandoned", None),
        };
        self.core.metrics.record_send(self.service.as_str(), end, took);
        self.core.fleet.borrow_mut().record_end(
            &self.server,
            self.estimate_key,
            self.object_key,
            self.waits,
            self.end,
            now,
        );
        if let Some(assignment) = &mut self.assignment {
            assignment.report = EndReport { end: self.end, statement: self.statement };
        }
    }
}

impl Attempts<'_> {
    /// Sends the request and waits for the result, at most for `left_ms`.
    pub(super) async fn attempt(
        &self,
        running: &mut RunningAttempt<'_>,
        body: RequestBody,
        silence_timeout_ms: f64,
        left_ms: u64,
    ) -> AttemptResult {
        let limit = Duration::from_millis(left_ms);
        match timeout(limit, self.exchange(running, body, silence_timeout_ms)).await {
            Ok(result) => result,
            Err(_) => AttemptResult::TimedOut,
        }
    }

    async fn exchange(
        &self,
        running: &mut RunningAttempt<'_>,
        body: RequestBody,
        silence_timeout_ms: f64,
    ) -> AttemptResult {
        let core = self.core;
        let Some((address, domain, started_at_ms)) =
            core.fleet.borrow().server(&running.server).map(|s| {
                (s.record.address, s.record.failure_domain.clone(), s.record.started_at_ms)
            })
        else {
            return AttemptResult::Unreachable;
        };
        running.started_at_ms = started_at_ms;
        let retry_body = buffered_body(&body);
        let mut body = body;
        let mut max_idle =
            if self.at_most_once() { AT_MOST_ONCE_MAX_IDLE } else { REPEATABLE_MAX_IDLE };
        if let Some(limit_ms) = core.idle_limit.borrow().max_idle_ms(core.now()) {
            max_idle = max_idle.at_most(Duration::from_millis(limit_ms));
        }
        let (sent_at, idle, response) = loop {
            let id = self.routed.caller.request_id.as_deref();
            let lease = core.pool.lease(address, max_idle, CONNECT_TIMEOUT, id).await;
            let (lease, connected) = match lease {
                Ok(lease) => lease,
                Err(e) => {
                    log::info!("backend: unreachable; server={} error={e}", running.server);
                    running.end = AttemptEnd::Unreachable;
                    return AttemptResult::Unreachable;
                }
            };
            if let Some(took) = connected {
                let one_way_ms = took.as_secs_f64() * 1_000.0 / 2.0;
                core.fleet.borrow_mut().record_link_delay(&domain, one_way_ms);
            }
            let left_ms = self.left_ms();
            if left_ms < MIN_REMAINING_MS {
                return AttemptResult::TimedOut;
            }
            if !core.fleet.borrow().takes_requests(&running.server, core.now()) {
                log::info!("request: withdrawn; id={} server={}", self.id(), running.server);
                return AttemptResult::Withdrawn;
            }
            let sent_at = core.now();
            let idle = lease.idle_for;
            let request = self.request(&running.server, left_ms, body);
            match self
                .await_head(running, exchange(lease, request), silence_timeout_ms, sent_at)
                .await
            {
                Some(Err(ExchangeError::NotSent)) if retry_body.is_some() && idle.is_some() => {
                    // The pooled connection was closed: retry once on a new one.
                    max_idle = MaxIdle::NONE;
                    body = RequestBody::Whole(retry_body.clone().flatten());
                }
                Some(response) => break (sent_at, idle, response),
                None => {
                    running.end = AttemptEnd::Silent;
                    return AttemptResult::Silent;
                }
            }
        };
        match response {
            Ok(response) => self.read_response(running, response, sent_at).await,
            Err(ExchangeError::NotSent) => {
                running.end = AttemptEnd::Unreachable;
                AttemptResult::Unreachable
            }
            Err(ExchangeError::BrokenOff(e)) => {
                log::info!(
                    "backend: broke off; id={} server={} error={e}",
                    self.id(),
                    running.server
                );
                running.end = AttemptEnd::BrokenOff;
                self.record_broken_response(running, idle, self.ended_too_soon(&domain, sent_at));
                AttemptResult::BrokenOff("broken-off")
            }
        }
    }

    /// Returns whether an attempt ended sooner than the server could have executed the request. A
    /// server that dropped an idle connection resets it as soon as the next request arrives.
    fn ended_too_soon(&self, domain: &FailureDomainName, sent_at: Instant) -> bool {
        let fleet = self.core.fleet.borrow();
        let took_ms = self.core.now().since_ms(sent_at) as f64;
        fleet.run_times.is_too_soon(self.estimate_key, took_ms - 2.0 * fleet.link_delay_ms(domain))
    }

    /// Records a response that broke off.
    fn record_broken_response(
        &self,
        running: &RunningAttempt<'_>,
        idle: Option<Duration>,
        is_too_soon: bool,
    ) {
        let response = BrokenResponse {
            server: running.server.clone(),
            content: self.content,
            at: self.core.now(),
            idle_ms: idle.map(|idle| idle.as_millis() as u64),
            is_too_soon,
        };
        crashes::record_broken_response(self.core, response);
    }

    /// Waits for the head of the response. Returns `None` if the server is silent and another
    /// server was chosen for the next attempt.
    async fn await_head(
        &self,
        running: &RunningAttempt<'_>,
        response: impl Future<Output = Result<BackendResponse, ExchangeError>>,
        silence_timeout_ms: f64,
        sent_at: Instant,
    ) -> Option<Result<BackendResponse, ExchangeError>> {
        let mut response = std::pin::pin!(response);
        if self.at_most_once() {
            return Some(response.await);
        }
        let silence_timeout =
            Duration::from_millis((silence_timeout_ms + SILENCE_MARGIN_MS) as u64);
        if let Ok(response) = timeout(silence_timeout, response.as_mut()).await {
            return Some(response);
        }
        let is_silent = {
            let fleet = self.core.fleet.borrow();
            fleet.server(&running.server).is_none_or(|s| !s.answered_since(sent_at))
        };
        let may_retry = self.sent_count + 1 < self.routed.route.max_attempts;
        if is_silent && may_retry && self.plan_retry(Some((&running.server, sent_at))).await {
            log::info!("backend: silent; id={} server={}", self.id(), running.server);
            return None;
        }
        Some(response.await)
    }

    fn request(
        &self,
        server: &BackendServerName,
        left_ms: u64,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let (method, target, headers) = &self.head;
        let mut request = Request::new(body);
        *request.method_mut() = method.clone();
        // The target comes from a parsed request, so it is valid.
        *request.uri_mut() = target.parse().unwrap_or_default();
        let mut headers = headers.clone();
        headers::prepare_for_server(&mut headers, left_ms, server);
        *request.headers_mut() = headers;
        request
    }

    /// Records what the server states of itself, and logs what that changes.
    fn record_statement(
        &self,
        running: &mut RunningAttempt<'_>,
        status: StatusCode,
        head: &headers::ResponseHeaders,
    ) {
        let statement = Statement {
            started_at_ms: running.started_at_ms,
            is_leaving: head.is_leaving,
            rest_ms: match head.rest {
                StatedRest::Ms(rest_ms) => Some(rest_ms),
                StatedRest::None | StatedRest::Unreadable => None,
            },
            load: head.load.map(|load| load.running.saturating_add(load.waiting)),
            run_time_percent: head.load.and_then(|load| load.run_time_percent),
            limit: head.limit,
        };
        running.statement = Some(statement);
        let (id, server) = (self.id(), &running.server);
        let now = self.core.now();
        let change = self.core.fleet.borrow_mut().record_statement(server, &statement, now);
        if change.is_leaving {
            log::info!("backend: leaving; id={id} server={server} status={}", status.as_u16());
            if let Some(server) = self.core.fleet.borrow().server(server) {
                self.core.pool.close_idle(server.record.address);
            }
        }
        if change.limit {
            let limit = head.limit.map_or_else(|| "-".to_owned(), |limit| limit.0.to_string());
            log::info!("backend: limit; id={id} server={server} limit_per_1000_s={limit}");
        }
        if let Some(rest_ms) = statement.rest_ms.filter(|_| change.rest) {
            log::info!("backend: rest; id={id} server={server} rest_ms={rest_ms}");
        }
        if head.rest == StatedRest::Unreadable {
            self.core.metrics.record_unreadable_statement("rest");
            log::warn!("backend: unreadable rest; id={id} server={server}");
        }
    }

    /// Returns how an answer is held, at most until the caller stops waiting.
    fn hold(&self, running: &mut RunningAttempt<'_>) -> AnswerHold {
        AnswerHold {
            bodies: self.core.bodies.clone(),
            connection: self.routed.connection,
            deadline: tokio::time::Instant::now() + Duration::from_millis(self.left_ms()),
            on_read: running.large_answer.take().map(|large| Box::new(large) as Box<dyn OnRead>),
        }
    }

    async fn read_response(
        &self,
        running: &mut RunningAttempt<'_>,
        response: BackendResponse,
        sent_at: Instant,
    ) -> AttemptResult {
        let core = self.core;
        let status = response.status;
        let head = headers::parse_response(status, &response.headers);
        let now = core.now();
        // Another server at the address may not know the request. Without an id, its response can't
        // be told from a late copy of one that the connection carried before.
        let is_own_response = head.request_id == self.routed.caller.request_id
            || (head.misdirected && head.request_id.is_none() && response.is_first_on_connection());
        // No request asks for another protocol, so 101 is no response to any, and neither is a status
        // that HTTP does not know.
        let is_final = (200..600).contains(&status.as_u16());
        if !is_own_response || !is_final || (status.is_success() && !head.has_stamp) {
            log::warn!(
                "backend: response to another request; id={} server={} answer_id={:?}",
                self.id(),
                running.server,
                head.request_id
            );
            running.end = AttemptEnd::BrokenOff;
            return AttemptResult::BrokenOff("wrong-answer");
        }
        // What another server at the address states is not about this one.
        if !head.misdirected {
            self.record_statement(running, status, &head);
        }
        let keep_alive =
            (!head.closes_connection).then(|| head.keep_alive_ms.map(Duration::from_millis));
        if head.not_run {
            log::info!(
                "backend: not run; id={} server={} status={} load={:?}",
                self.id(),
                running.server,
                status.as_u16(),
                head.load
            );
            let has_free_slots =
                !head.misdirected && head.load.is_some_and(|load| load.running < load.slots);
            running.end = if head.misdirected {
                AttemptEnd::OtherServer
            } else {
                AttemptEnd::Shed { has_free_slots }
            };
            let _ = response.read(keep_alive, self.hold(running)).await;
            return AttemptResult::NotRun { has_free_slots };
        }
        let took_ms = now.since_us(sent_at) as f64 / 1_000.0;
        let headers = response.headers.clone();
        match response.read(keep_alive, self.hold(running)).await {
            Ok(body) => {
                running.end = AttemptEnd::Answered { failed: status.is_server_error(), took_ms };
                core.quarantine.borrow_mut().record_completion(self.content, now);
                AttemptResult::Answered(status, headers, body)
            }
            Err(e) => {
                log::info!(
                    "backend: broke off; id={} server={} error={e}",
                    self.id(),
                    running.server
                );
                running.end = AttemptEnd::BrokenOff;
                // The connection carried the head of the response, so the server had not dropped
                // it.
                self.record_broken_response(running, None, false);
                AttemptResult::BrokenOff("broken-off")
            }
        }
    }
}
