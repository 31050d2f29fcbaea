//! Sends a request to backend servers until one answers or none may be tried any more.

use std::{cell::RefCell, rc::Rc};

use http::{HeaderMap, Method, StatusCode, request::Parts};
use hyper::body::Body;
use pollenshed_coordination::steering::{
    AttemptEnd, Choice, ColdLimits, RefusalReason, RetryBudgetShare,
};
use pollenshed_platform::headers::RequestHeaders;
use pollenshed_state::{
    ids::{BackendServerName, Digest, ServiceName},
    routes::{Route, RoutePlan},
    time::Instant,
};
use pollenshed_transport::forward::RequestBody;

use super::{
    callers::{Outcome, copy_of, forwarded_head, passed_on},
    core::Core,
    exchange::{Attempted, Running},
    keys,
};

/// Servers to which no connection could be made, in one request.
const MAX_UNREACHABLE: u32 = 3;

/// When callers come back whose request was shed by its backend server.
const SHED_RETRY_AFTER_MS: u64 = 200;

/// When callers come back whose request crashes backend servers.
const CRASHING_RETRY_AFTER_MS: u64 = 10_000;

/// Time before which a request must be sent to be worth it.
pub(super) const MIN_LEFT_MS: u64 = 5;

/// A caller's request that is ready to be sent.
pub struct Outgoing<'a> {
    /// Routes in force when it arrived.
    pub plan: &'a RoutePlan,
    /// Its route.
    pub route: &'a Route,
    /// Its head.
    pub parts: Parts,
    /// What its head says.
    pub caller: RequestHeaders,
    /// When it arrived.
    pub start: Instant,
    /// Time from its arrival until its final answer.
    pub limit_ms: u64,
}

/// Sends a request until it has a final answer.
pub async fn run(core: &Rc<Core>, outgoing: Outgoing<'_>, body: RequestBody) -> Outcome {
    let service = destination(core, outgoing.route);
    with_budget(core, &service, |budget, now| budget.record_request(now));
    let work = keys::work(&outgoing.route.name, &service);
    core.fleet.borrow_mut().run_times.set_initial(work, outgoing.route.target_ms);
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
        asked_again: None,
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
    act: impl FnOnce(&mut RetryBudgetShare, Instant) -> T,
) -> T {
    let bounds = &core.bounds;
    let mut budgets = core.budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_insert_with(|| {
        RetryBudgetShare::new(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_ms)
    });
    act(budget, core.now())
}

/// A request on its way through one backend server after another.
pub(super) struct Attempts<'a> {
    pub(super) core: &'a Rc<Core>,
    pub(super) outgoing: Outgoing<'a>,
    pub(super) service: ServiceName,
    pub(super) work: u64,
    pub(super) key: Option<u64>,
    pub(super) body_bytes: u64,
    pub(super) content: Digest,
    pub(super) head: (Method, String, HeaderMap),
    pub(super) tried: Vec<BackendServerName>,
    /// A server that shed the request although it said to have free slots, and is asked once more:
    /// it remembers the object, and another one would run it several times as long.
    pub(super) asked_again: Option<BackendServerName>,
    /// Attempts so far.
    pub(super) sent: u32,
    pub(super) unreachable: u32,
    pub(super) may_have_run: bool,
    /// Choice for the next attempt, if it was made already.
    pub(super) planned: RefCell<Option<Choice>>,
}

impl Attempts<'_> {
    async fn run(&mut self, mut body: RequestBody) -> Outcome {
        loop {
            let copy = copy_of(&body);
            let left_ms = self.left_ms();
            if left_ms < MIN_LEFT_MS {
                return self.timed_out();
            }
            let (server, silence_timeout_ms, waits, cold_rate_per_s) = match self
                .next_choice(left_ms)
            {
                Choice::Send {
                    server,
                    expected_ms,
                    silence_timeout_ms,
                    waits,
                    cold_rate_per_s,
                    load,
                } => {
                    log::info!(
                        "request: sent; id={} route={} object={} server={server} attempt={} load={load} \
                         expected_ms={expected_ms:.0} left_ms={left_ms}",
                        self.id(),
                        self.outgoing.route.name,
                        self.outgoing.caller.affinity_key.as_deref().unwrap_or("-"),
                        self.sent + 1,
                    );
                    (server, silence_timeout_ms, waits, cold_rate_per_s)
                }
                Choice::Refuse { reason, retry_after_ms } => {
                    return self.refused(reason, retry_after_ms);
                }
            };
            let now = self.core.now();
            self.core.fleet.borrow_mut().record_start(&server, cold_rate_per_s, now);
            let mut running = Running {
                core: self.core,
                server: server.clone(),
                service: self.service.clone(),
                work: self.work,
                key: self.key,
                waits,
                end: AttemptEnd::Abandoned,
            };
            let attempted = self.attempt(&mut running, body, silence_timeout_ms, left_ms).await;
            drop(running);
            let asks_again = matches!(attempted, Attempted::NotRun { has_free_slots: true })
                && self.asked_again.as_ref() != Some(&server)
                && self.core.fleet.borrow().may_retry_same_server(&server, self.core.now());
            if asks_again {
                self.asked_again = Some(server);
            } else {
                self.tried.push(server);
            }
            let may_repeat = copy.is_some();
            match attempted {
                Attempted::Answered(status, headers, answer) => {
                    self.sent += 1;
                    let failed = status.is_server_error();
                    if !failed || self.at_most_once() || !may_repeat || !self.plan_retry(None) {
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
                Attempted::NotRun { .. } => {
                    self.sent += 1;
                    if !may_repeat || !self.plan_retry(None) {
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
                    if self.at_most_once() || !may_repeat || !self.plan_retry(None) {
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

    pub(super) fn id(&self) -> &str {
        self.outgoing.caller.request_id.as_deref().unwrap_or("-")
    }

    pub(super) fn at_most_once(&self) -> bool {
        self.outgoing.route.repeat.at_most_once()
    }

    pub(super) fn left_ms(&self) -> u64 {
        let spent_ms = self.core.now().since_ms(self.outgoing.start);
        self.outgoing.limit_ms.saturating_sub(spent_ms)
    }

    /// Chooses a server for the next attempt, other than `given_up`, and takes the attempt out of
    /// the budget. Returns whether there is one. It comes before the present attempt is given up, so
    /// that nothing is given up for nothing.
    pub(super) fn plan_retry(&self, given_up: Option<&BackendServerName>) -> bool {
        if self.sent + 1 > self.outgoing.route.max_attempts {
            return false;
        }
        let mut tried = self.tried.clone();
        tried.extend(given_up.cloned());
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
        let region_instances = core.instances_in_region();
        let rules = self.outgoing.plan.services.get(&self.service);
        let cold = ColdLimits {
            instance: &core.settings.instance,
            region_instances: &region_instances,
            rate_per_s: rules.map_or(0.0, |r| r.cold_requests_per_s),
            burst: core.bounds.cold_slack,
        };
        let request = pollenshed_coordination::steering::Request {
            service: &self.service,
            estimate_key: self.work,
            object_key: self.key,
            bytes: self.body_bytes,
            home_regions: &self.outgoing.route.home_regions,
            target_ms,
            target_left_ms: target_ms - spent_ms,
            left_ms: left_ms as f64,
            at_most_once: self.at_most_once(),
            tried,
            jitter_seed: fastrand::u64(..),
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
}
