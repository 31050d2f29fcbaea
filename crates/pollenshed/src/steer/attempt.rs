//! Sends a request to backend servers until one answers or none may be tried any more.

use std::{cell::RefCell, rc::Rc, time::Duration};

use http::{HeaderMap, Method, Request, StatusCode, request::Parts};
use hyper::body::Body;
use pollenshed_coordination::steering::{Choice, ColdLimits, Ended, RefusalReason, RetryBudget};
use pollenshed_platform::heads::{self, CallerHead};
use pollenshed_state::{
    ids::{BackendServerName, Digest, ServiceName},
    routes::{Route, RoutePlan},
    time::Instant,
};
use pollenshed_transport::forward::{Answer, AnswerBody, ExchangeError, RequestBody, exchange};
use tokio::time::timeout;

use super::{
    callers::{Outcome, copy_of, forwarded_head, passed_on},
    core::Core,
    crashes, keys,
};

/// Longest time to connect to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle time up to which a connection carries a request that may run only once. A server can close
/// an idle connection at any time, and a request sent meanwhile is lost.
const FRESH_IDLE: Duration = Duration::from_millis(2_000);

/// Idle time up to which a connection carries other requests.
const ANY_IDLE: Duration = Duration::from_millis(8_000);

/// Servers to which no connection could be made, in one request.
const MAX_UNREACHABLE: u32 = 3;

/// Added to the time in which a server is expected to answer anything.
const PATIENCE_MARGIN_MS: f64 = 300.0;

/// When callers come back whose request was shed by its backend server.
const SHED_RETRY_AFTER_MS: u64 = 200;

/// When callers come back whose request crashes backend servers.
const CRASHING_RETRY_AFTER_MS: u64 = 10_000;

/// Time before which a request must be sent to be worth it.
const MIN_LEFT_MS: u64 = 5;

/// A caller's request that is ready to be sent.
pub struct Outgoing<'a> {
    /// Routes in force when it arrived.
    pub plan: &'a RoutePlan,
    /// Its route.
    pub route: &'a Route,
    /// Its head.
    pub parts: Parts,
    /// What its head says.
    pub caller: CallerHead,
    /// When it arrived.
    pub start: Instant,
    /// Time from its arrival until its final answer.
    pub limit_ms: u64,
}

/// How one attempt ended.
enum Attempted {
    /// The server answered; the body is whole or being passed on.
    Answered(StatusCode, HeaderMap, AnswerBody),
    /// The server refused it as not run, or another server has its address.
    NotRun,
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
struct Running<'a> {
    core: &'a Core,
    server: BackendServerName,
    service: ServiceName,
    work: u64,
    key: Option<u64>,
    waits: bool,
    end: Ended,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.core.now();
        let (end, took) = match self.end {
            Ended::Answered { took_ms, .. } => {
                ("answered", Some(Duration::from_micros((took_ms * 1_000.0) as u64)))
            }
            Ended::Shed => ("shed", None),
            Ended::OtherServer => ("other-server", None),
            Ended::Unreachable => ("unreachable", None),
            Ended::BrokenOff => ("broken-off", None),
            Ended::Silent => ("silent", None),
            Ended::Abandoned => ("abandoned", None),
        };
        self.core.metrics.send(self.service.as_str(), end, took);
        let mut fleet = self.core.fleet.borrow_mut();
        fleet.ended(&self.server, self.work, self.key, self.waits, self.end, now);
    }
}

/// Sends a request until it has a final answer.
pub async fn run(core: &Rc<Core>, outgoing: Outgoing<'_>, body: RequestBody) -> Outcome {
    let service = destination(core, outgoing.route);
    with_budget(core, &service, |budget, now| budget.request(now));
    let work = keys::work(&outgoing.route.name, &service);
    core.fleet.borrow_mut().run_times.expect(work, outgoing.route.target_ms);
    let body_bytes = body.size_hint().lower();
    let content = keys::content(&outgoing.parts, copy_of(&body).flatten().as_deref());
    if core.quarantine.borrow().is_refused(&content, core.now()) {
        return Outcome::refused("crashes-servers", CRASHING_RETRY_AFTER_MS, 0);
    }
    let mut attempts = Attempts {
        core,
        work,
        body_bytes,
        content,
        key: keys::object(outgoing.route, outgoing.caller.affinity_key.as_deref()),
        head: forwarded_head(&outgoing.parts),
        service,
        tried: Vec::new(),
        sent: 0,
        unreachable: 0,
        may_have_run: false,
        planned: RefCell::new(None),
        outgoing,
    };
    let mut outcome = attempts.run(body).await;
    outcome.service = Some((attempts.service, attempts.outgoing.route.rank));
    outcome
}

fn destination(core: &Core, route: &Route) -> ServiceName {
    if let [only] = route.destinations.as_slice() {
        return only.service.clone();
    }
    let mut splits = core.splits.borrow_mut();
    let split = splits.entry(route.name.clone()).or_default();
    route.destinations[split.next(&route.destinations)].service.clone()
}

fn with_budget<T>(
    core: &Core,
    service: &ServiceName,
    act: impl FnOnce(&mut RetryBudget, Instant) -> T,
) -> T {
    let bounds = &core.bounds;
    let mut budgets = core.budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_insert_with(|| {
        RetryBudget::new(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_ms)
    });
    act(budget, core.now())
}

struct Attempts<'a> {
    core: &'a Rc<Core>,
    outgoing: Outgoing<'a>,
    service: ServiceName,
    work: u64,
    key: Option<u64>,
    body_bytes: u64,
    content: Digest,
    head: (Method, String, HeaderMap),
    tried: Vec<BackendServerName>,
    /// Servers that the request was sent to.
    sent: u32,
    unreachable: u32,
    may_have_run: bool,
    /// Choice for the next attempt, if it was made already.
    planned: RefCell<Option<Choice>>,
}

impl Attempts<'_> {
    async fn run(&mut self, mut body: RequestBody) -> Outcome {
        loop {
            let copy = copy_of(&body);
            let left_ms = self.left_ms();
            if left_ms < MIN_LEFT_MS {
                return self.timed_out();
            }
            let (server, patience_ms, waits, cold_rate_per_s) = match self.next_choice(left_ms) {
                Choice::Send { server, expected_ms, patience_ms, waits, cold_rate_per_s, load } => {
                    log::info!(
                        "request: sent; id={} route={} object={} server={server} attempt={} load={load} \
                         expected_ms={expected_ms:.0} left_ms={left_ms}",
                        self.id(),
                        self.outgoing.route.name,
                        self.outgoing.caller.affinity_key.as_deref().unwrap_or("-"),
                        self.sent + 1,
                    );
                    (server, patience_ms, waits, cold_rate_per_s)
                }
                Choice::Refuse { reason, retry_after_ms } => {
                    return self.refused(reason, retry_after_ms);
                }
            };
            let now = self.core.now();
            self.core.fleet.borrow_mut().started(&server, cold_rate_per_s, now);
            let mut running = Running {
                core: self.core,
                server: server.clone(),
                service: self.service.clone(),
                work: self.work,
                key: self.key,
                waits,
                end: Ended::Abandoned,
            };
            let attempted = self.attempt(&mut running, body, patience_ms, left_ms).await;
            drop(running);
            self.tried.push(server.clone());
            let may_repeat = copy.is_some();
            match attempted {
                Attempted::Answered(status, headers, answer) => {
                    self.sent += 1;
                    let failed = status.is_server_error();
                    if !failed || self.at_most_once() || !may_repeat || !self.plan_retry(&server) {
                        let response = passed_on(status, headers, answer);
                        return Outcome {
                            response,
                            reason: "answered",
                            attempts: self.sent,
                            service: None,
                        };
                    }
                    self.may_have_run = true;
                }
                Attempted::NotRun => {
                    self.sent += 1;
                    if !may_repeat || !self.plan_retry(&server) {
                        return self.not_run("shed", SHED_RETRY_AFTER_MS);
                    }
                }
                Attempted::Unreachable => {
                    self.unreachable += 1;
                    if !may_repeat || self.unreachable >= MAX_UNREACHABLE {
                        return self.not_run("unreachable", SHED_RETRY_AFTER_MS);
                    }
                }
                Attempted::BrokenOff(reason) => {
                    self.sent += 1;
                    self.may_have_run = true;
                    if self.at_most_once() || !may_repeat || !self.plan_retry(&server) {
                        return Outcome::own(StatusCode::BAD_GATEWAY, reason, self.sent);
                    }
                }
                Attempted::Silent => {
                    self.sent += 1;
                    self.may_have_run = true;
                }
                Attempted::TimedOut => {
                    self.sent += 1;
                    return self.timed_out();
                }
            }
            body = RequestBody::Whole(copy.flatten());
        }
    }

    fn id(&self) -> &str {
        self.outgoing.caller.request_id.as_deref().unwrap_or("-")
    }

    fn at_most_once(&self) -> bool {
        self.outgoing.route.repeat.at_most_once()
    }

    fn left_ms(&self) -> u64 {
        let spent_ms = self.core.now().since_ms(self.outgoing.start);
        self.outgoing.limit_ms.saturating_sub(spent_ms)
    }

    /// Chooses a server other than `server` for the next attempt and takes it out of the budget.
    /// Returns whether there is one. It comes before the present attempt is given up, so that
    /// nothing is given up for nothing.
    fn plan_retry(&self, server: &BackendServerName) -> bool {
        if self.sent + 1 > self.outgoing.route.max_attempts {
            return false;
        }
        let mut tried = self.tried.clone();
        tried.push(server.clone());
        let choice = self.choose(self.left_ms(), &tried);
        let planned = matches!(choice, Choice::Send { .. }) && self.take_retry();
        if planned {
            *self.planned.borrow_mut() = Some(choice);
        }
        planned
    }

    fn next_choice(&self, left_ms: u64) -> Choice {
        let planned = self.planned.borrow_mut().take();
        planned.unwrap_or_else(|| self.choose(left_ms, &self.tried))
    }

    fn choose(&self, left_ms: u64, tried: &[BackendServerName]) -> Choice {
        let core = self.core;
        let now = core.now();
        let spent_ms = now.since_ms(self.outgoing.start) as f64;
        let target_ms = self.outgoing.route.target_ms.unwrap_or(self.outgoing.limit_ms) as f64;
        let in_region = core.instances_in_region();
        let rules = self.outgoing.plan.services.get(&self.service);
        let cold = ColdLimits {
            instance: &core.settings.instance,
            in_region: &in_region,
            rate_per_s: rules.map_or(0.0, |r| r.cold_requests_per_s),
            burst: core.bounds.cold_slack,
        };
        let request = pollenshed_coordination::steering::Request {
            service: &self.service,
            work: self.work,
            key: self.key,
            bytes: self.body_bytes,
            home_regions: &self.outgoing.route.home_regions,
            target_left_ms: target_ms - spent_ms,
            left_ms: left_ms as f64,
            at_most_once: self.at_most_once(),
            tried,
            draw: fastrand::u64(..),
        };
        core.fleet.borrow_mut().choose(&request, &cold, now)
    }

    /// Takes a further attempt out of the budget.
    fn take_retry(&self) -> bool {
        let instances = self.core.members.borrow().live_count(self.core.now());
        with_budget(self.core, &self.service, |b, now| b.try_retry(instances, now))
    }

    fn refused(&self, reason: RefusalReason, retry_after_ms: u64) -> Outcome {
        let reason = match reason {
            RefusalReason::NoServer => "no-server",
            RefusalReason::Busy => "busy",
            RefusalReason::TooLate => "too-late",
        };
        self.not_run(reason, retry_after_ms)
    }

    /// Refuses the request as not run, or reports a failure if that would not be true.
    fn not_run(&self, reason: &'static str, retry_after_ms: u64) -> Outcome {
        if self.may_have_run {
            return Outcome::own(StatusCode::BAD_GATEWAY, reason, self.sent);
        }
        Outcome::refused(reason, retry_after_ms, self.sent)
    }

    fn timed_out(&self) -> Outcome {
        Outcome::own(StatusCode::GATEWAY_TIMEOUT, "timeout", self.sent)
    }

    async fn attempt(
        &self,
        running: &mut Running<'_>,
        body: RequestBody,
        patience_ms: f64,
        left_ms: u64,
    ) -> Attempted {
        let limit = Duration::from_millis(left_ms);
        match timeout(limit, self.exchange(running, body, patience_ms)).await {
            Ok(attempted) => attempted,
            Err(_) => Attempted::TimedOut,
        }
    }

    async fn exchange(
        &self,
        running: &mut Running<'_>,
        body: RequestBody,
        patience_ms: f64,
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
        let (sent_at, answer) = loop {
            let lease = core.pool.lease(address, max_idle, CONNECT_TIMEOUT).await;
            let (lease, connected) = match lease {
                Ok(lease) => lease,
                Err(e) => {
                    log::info!("backend: unreachable; server={} error={e}", running.server);
                    running.end = Ended::Unreachable;
                    return Attempted::Unreachable;
                }
            };
            if let Some(took) = connected {
                let one_way_ms = took.as_secs_f64() * 1_000.0 / 2.0;
                core.fleet.borrow_mut().measured_link(&domain, one_way_ms);
            }
            let left_ms = self.left_ms();
            if left_ms < MIN_LEFT_MS {
                return Attempted::TimedOut;
            }
            let sent_at = core.now();
            let request = self.request(&running.server, left_ms, body);
            match self.await_head(running, exchange(lease, request), patience_ms, sent_at).await {
                Some(Err(ExchangeError::NotSent)) if copy.is_some() && !max_idle.is_zero() => {
                    // Once more on a new connection.
                    max_idle = Duration::ZERO;
                    body = RequestBody::Whole(copy.clone().flatten());
                }
                Some(answer) => break (sent_at, answer),
                None => {
                    running.end = Ended::Silent;
                    return Attempted::Silent;
                }
            }
        };
        match answer {
            Ok(answer) => self.take(running, answer, sent_at).await,
            Err(ExchangeError::NotSent) => {
                running.end = Ended::Unreachable;
                Attempted::Unreachable
            }
            Err(ExchangeError::BrokenOff(e)) => {
                log::info!(
                    "backend: broke off; id={} server={} error={e}",
                    self.id(),
                    running.server
                );
                running.end = Ended::BrokenOff;
                crashes::broke_off(core, &running.server, self.content);
                Attempted::BrokenOff("broken-off")
            }
        }
    }

    /// Waits for the head of the answer. `None` if the server is silent and another one may be
    /// tried.
    async fn await_head(
        &self,
        running: &Running<'_>,
        answer: impl Future<Output = Result<Answer, ExchangeError>>,
        patience_ms: f64,
        sent_at: Instant,
    ) -> Option<Result<Answer, ExchangeError>> {
        let mut answer = std::pin::pin!(answer);
        if self.at_most_once() {
            return Some(answer.await);
        }
        let patience = Duration::from_millis((patience_ms + PATIENCE_MARGIN_MS) as u64);
        if let Ok(answer) = timeout(patience, answer.as_mut()).await {
            return Some(answer);
        }
        let is_silent = {
            let fleet = self.core.fleet.borrow();
            fleet.server(&running.server).is_none_or(|s| !s.answered_since(sent_at))
        };
        let others = self.sent + 1 < self.outgoing.route.max_attempts;
        if is_silent && others && self.plan_retry(&running.server) {
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
        heads::to_server(&mut headers, left_ms, server);
        *request.headers_mut() = headers;
        request
    }

    async fn take(&self, running: &mut Running<'_>, answer: Answer, sent_at: Instant) -> Attempted {
        let core = self.core;
        let status = answer.status;
        let head = heads::server(status, &answer.headers);
        let now = core.now();
        if let Some(load) = head.load {
            core.fleet.borrow_mut().reported(&running.server, load.running + load.waiting, now);
        }
        let keeps = (!head.closes).then(|| head.keep_alive_ms.map(Duration::from_millis));
        if head.not_run {
            log::info!(
                "backend: not run; id={} server={} status={} load={:?}",
                self.id(),
                running.server,
                status.as_u16(),
                head.load
            );
            running.end = if head.other_server { Ended::OtherServer } else { Ended::Shed };
            let _ = answer.read(keeps).await;
            return Attempted::NotRun;
        }
        let is_ours = head.request_id == self.outgoing.caller.request_id;
        if !is_ours || (status.is_success() && !head.signed) {
            log::warn!(
                "backend: answer of another request; id={} server={} answer_id={:?}",
                self.id(),
                running.server,
                head.request_id
            );
            running.end = Ended::BrokenOff;
            return Attempted::BrokenOff("wrong-answer");
        }
        let took_ms = now.since_us(sent_at) as f64 / 1_000.0;
        let headers = answer.headers.clone();
        match answer.read(keeps).await {
            Ok(body) => {
                running.end = Ended::Answered { failed: status.is_server_error(), took_ms };
                core.quarantine.borrow_mut().completed(self.content, now);
                Attempted::Answered(status, headers, body)
            }
            Err(e) => {
                log::info!(
                    "backend: broke off; id={} server={} error={e}",
                    self.id(),
                    running.server
                );
                running.end = Ended::BrokenOff;
                crashes::broke_off(core, &running.server, self.content);
                Attempted::BrokenOff("broken-off")
            }
        }
    }
}
