//! One attempt: a request to one backend server, and what its end tells of the server.

use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use pollenshed_coordination::steering::AttemptEnd;
use pollenshed_platform::headers;
use pollenshed_state::{
    ids::{BackendServerName, FailureDomainName, ServiceName},
    time::Instant,
};
use pollenshed_transport::forward::{
    Answer, AnswerBody, ExchangeError, MaxIdle, RequestBody, exchange,
};
use tokio::time::timeout;

use super::{
    attempt::{Attempts, MIN_LEFT_MS},
    callers::copy_of,
    core::Core,
    crashes::{self, Broken},
};

/// Longest time to connect to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle time up to which a connection carries a request that may run only once. A server can close
/// an idle connection at any time, and a request sent meanwhile is lost. One that names its time is
/// trusted to keep it.
const FRESH_IDLE: MaxIdle =
    MaxIdle { named: Duration::from_millis(7_500), unnamed: Duration::from_millis(2_000) };

/// Idle time up to which a connection carries other requests.
const ANY_IDLE: MaxIdle =
    MaxIdle { named: Duration::from_secs(30), unnamed: Duration::from_millis(8_000) };

/// Added to the time in which a server is expected to answer anything.
const PATIENCE_MARGIN_MS: f64 = 300.0;

/// How one attempt ended.
pub(super) enum Attempted {
    /// The server answered; the body is whole or being passed on.
    Answered(StatusCode, HeaderMap, AnswerBody),
    /// The server refused it as not run, or another server has its address.
    NotRun {
        /// The server said that it has free slots, so another try may succeed there.
        has_free_slots: bool,
    },
    /// It was not sent.
    Unreachable,
    /// It may have run.
    BrokenOff(&'static str),
    /// The server is silent.
    Silent,
    /// The time of the request is over.
    TimedOut,
}

/// Records the end of an attempt, also if the caller leaves and the attempt is dropped.
pub(super) struct Running<'a> {
    pub(super) core: &'a Core,
    pub(super) server: BackendServerName,
    pub(super) service: ServiceName,
    pub(super) work: u64,
    pub(super) key: Option<u64>,
    pub(super) waits: bool,
    pub(super) end: AttemptEnd,
}

impl Drop for Running<'_> {
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
        self.core.metrics.send(self.service.as_str(), end, took);
        let mut fleet = self.core.fleet.borrow_mut();
        fleet.record_end(&self.server, self.work, self.key, self.waits, self.end, now);
    }
}

impl Attempts<'_> {
    /// Sends the request and waits for its end, at most for `left_ms`.
    pub(super) async fn attempt(
        &self,
        running: &mut Running<'_>,
        body: RequestBody,
        silence_timeout_ms: f64,
        left_ms: u64,
    ) -> Attempted {
        let limit = Duration::from_millis(left_ms);
        match timeout(limit, self.exchange(running, body, silence_timeout_ms)).await {
            Ok(attempted) => attempted,
            Err(_) => Attempted::TimedOut,
        }
    }

    async fn exchange(
        &self,
        running: &mut Running<'_>,
        body: RequestBody,
        silence_timeout_ms: f64,
    ) -> Attempted {
        let core = self.core;
        let Some((address, domain)) = core
            .fleet
            .borrow()
            .server(&running.server)
            .map(|s| (s.record.address, s.record.failure_domain.clone()))
        else {
            return Attempted::Unreachable;
        };
        let copy = copy_of(&body);
        let mut body = body;
        let mut max_idle = if self.at_most_once() { FRESH_IDLE } else { ANY_IDLE };
        if let Some(limit_ms) = core.idle_limit.borrow().max_idle_ms(core.now()) {
            max_idle = max_idle.at_most(Duration::from_millis(limit_ms));
        }
        let (sent_at, idle, answer) = loop {
            let lease = core.pool.lease(address, max_idle, CONNECT_TIMEOUT).await;
            let (lease, connected) = match lease {
                Ok(lease) => lease,
                Err(e) => {
                    log::info!("backend: unreachable; server={} error={e}", running.server);
                    running.end = AttemptEnd::Unreachable;
                    return Attempted::Unreachable;
                }
            };
            if let Some(took) = connected {
                let one_way_ms = took.as_secs_f64() * 1_000.0 / 2.0;
                core.fleet.borrow_mut().record_link_delay(&domain, one_way_ms);
            }
            let left_ms = self.left_ms();
            if left_ms < MIN_LEFT_MS {
                return Attempted::TimedOut;
            }
            let sent_at = core.now();
            let idle = lease.idle_for;
            let request = self.request(&running.server, left_ms, body);
            match self
                .await_head(running, exchange(lease, request), silence_timeout_ms, sent_at)
                .await
            {
                Some(Err(ExchangeError::NotSent)) if copy.is_some() && idle.is_some() => {
                    // Once more on a new connection.
                    max_idle = MaxIdle::NONE;
                    body = RequestBody::Whole(copy.clone().flatten());
                }
                Some(answer) => break (sent_at, idle, answer),
                None => {
                    running.end = AttemptEnd::Silent;
                    return Attempted::Silent;
                }
            }
        };
        match answer {
            Ok(answer) => self.take(running, answer, sent_at).await,
            Err(ExchangeError::NotSent) => {
                running.end = AttemptEnd::Unreachable;
                Attempted::Unreachable
            }
            Err(ExchangeError::BrokenOff(e)) => {
                log::info!(
                    "backend: broke off; id={} server={} error={e}",
                    self.id(),
                    running.server
                );
                running.end = AttemptEnd::BrokenOff;
                self.broke_off(running, idle, self.ended_too_soon(&domain, sent_at));
                Attempted::BrokenOff("broken-off")
            }
        }
    }

    /// Returns whether a request ended sooner than it could have run. A server that forgot a
    /// connection resets it as soon as the first request after its idle time arrives.
    fn ended_too_soon(&self, domain: &FailureDomainName, sent_at: Instant) -> bool {
        let fleet = self.core.fleet.borrow();
        let took_ms = self.core.now().since_ms(sent_at) as f64;
        fleet.run_times.is_too_soon(self.work, took_ms - 2.0 * fleet.link_delay_ms(domain))
    }

    /// Records an answer that broke off.
    fn broke_off(&self, running: &Running<'_>, idle: Option<Duration>, is_too_soon: bool) {
        let answer = Broken {
            server: running.server.clone(),
            content: self.content,
            at: self.core.now(),
            idle_ms: idle.map(|idle| idle.as_millis() as u64),
            is_too_soon,
        };
        crashes::broke_off(self.core, answer);
    }

    /// Waits for the head of the answer. `None` if the server is silent and another one may be
    /// tried.
    async fn await_head(
        &self,
        running: &Running<'_>,
        answer: impl Future<Output = Result<Answer, ExchangeError>>,
        silence_timeout_ms: f64,
        sent_at: Instant,
    ) -> Option<Result<Answer, ExchangeError>> {
        let mut answer = std::pin::pin!(answer);
        if self.at_most_once() {
            return Some(answer.await);
        }
        let patience = Duration::from_millis((silence_timeout_ms + PATIENCE_MARGIN_MS) as u64);
        if let Ok(answer) = timeout(patience, answer.as_mut()).await {
            return Some(answer);
        }
        let is_silent = {
            let fleet = self.core.fleet.borrow();
            fleet.server(&running.server).is_none_or(|s| !s.answered_since(sent_at))
        };
        let others = self.sent + 1 < self.outgoing.route.max_attempts;
        if is_silent && others && self.plan_retry(Some(&running.server)) {
            log::info!("backend: silent; id={} server={}", self.id(), running.server);
            return None;
        }
        Some(answer.await)
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
        // The target was parsed from a request already.
        *request.uri_mut() = target.parse().unwrap_or_default();
        let mut headers = headers.clone();
        headers::prepare_for_server(&mut headers, left_ms, server);
        *request.headers_mut() = headers;
        request
    }

    async fn take(&self, running: &mut Running<'_>, answer: Answer, sent_at: Instant) -> Attempted {
        let core = self.core;
        let status = answer.status;
        let head = headers::parse_response(status, &answer.headers);
        let now = core.now();
        if let Some(load) = head.load {
            core.fleet.borrow_mut().record_load(&running.server, load.running + load.waiting, now);
        }
        let keeps =
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
            let _ = answer.read(keeps).await;
            return Attempted::NotRun { has_free_slots };
        }
        let is_ours = head.request_id == self.outgoing.caller.request_id;
        if !is_ours || (status.is_success() && !head.has_stamp) {
            log::warn!(
                "backend: answer of another request; id={} server={} answer_id={:?}",
                self.id(),
                running.server,
                head.request_id
            );
            running.end = AttemptEnd::BrokenOff;
            return Attempted::BrokenOff("wrong-answer");
        }
        let took_ms = now.since_us(sent_at) as f64 / 1_000.0;
        let headers = answer.headers.clone();
        match answer.read(keeps).await {
            Ok(body) => {
                running.end = AttemptEnd::Answered { failed: status.is_server_error(), took_ms };
                core.quarantine.borrow_mut().record_completion(self.content, now);
                Attempted::Answered(status, headers, body)
            }
            Err(e) => {
                log::info!(
                    "backend: broke off; id={} server={} error={e}",
                    self.id(),
                    running.server
                );
                running.end = AttemptEnd::BrokenOff;
                // The connection carried the head of the answer, so it was not forgotten.
                self.broke_off(running, None, false);
                Attempted::BrokenOff("broken-off")
            }
        }
    }
}
