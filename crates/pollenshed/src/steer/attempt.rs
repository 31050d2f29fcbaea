//! Sends a request to one backend server after another until it has a final response.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use http::{HeaderMap, Method, StatusCode, request::Parts};
use hyper::body::Body;
use pollenshed_coordination::steering::{
    AttemptEnd, Choice, RefusalReason, Request, RetryBudgetShare,
};
use pollenshed_platform::headers::{self, RequestHeaders};
use pollenshed_state::{
    ids::{BackendServerName, Digest, ServiceName},
    routes::{Repeatability, Route, RoutePlan},
    time::Instant,
};
use pollenshed_transport::forward::RequestBody;

use super::{
    assign::{self, UsedAssignment, Wanted},
    callers::{ANSWERED, Outcome, backend_request_head, buffered_body, response_for_caller},
    core::Core,
    exchange::{AttemptResult, RunningAttempt},
    identity::Identity,
    keys,
    large_answers::{self, LargeAnswer},
};

/// Failed connection attempts after which a request is refused.
const MAX_UNREACHABLE_SERVERS: u32 = 3;

/// `Retry-After` of a request that the backend server shed.
const SHED_RETRY_AFTER_MS: u64 = 200;

/// `Retry-After` of a request whose content crashes backend servers.
const CRASHING_RETRY_AFTER_MS: u64 = 10_000;

/// Minimum remaining time with which a request is still sent. With less, it times out.
pub(super) const MIN_REMAINING_MS: u64 = 5;

/// A caller's request after routing, ready to be sent.
pub struct RoutedRequest<'a> {
    /// Configuration in force when the request arrived.
    pub plan: &'a RoutePlan,
    /// Route that the request matched.
    pub route: &'a Route,
    /// On whose behalf the request comes.
    pub identity: Identity,
    /// Method, target and headers as received.
    pub parts: Parts,
    /// Values of the platform headers.
    pub caller: RequestHeaders,
    /// When the request arrived.
    pub start: Instant,
    /// Time from the arrival within which the caller gets a response.
    pub limit_ms: u64,
    /// Connection of the caller.
    pub connection: SocketAddr,
}

/// Sends a request to backend servers until there is a final outcome.
pub async fn run(core: &Rc<Core>, routed: RoutedRequest<'_>, body: RequestBody) -> Outcome {
    let service = choose_service(core, routed.route);
    with_retry_budget(core, &service, |budget, now| budget.record_request(now));
    let estimate_key = keys::estimate_key(&routed.route.name, &service);
    core.fleet.borrow_mut().run_times.set_initial(estimate_key, routed.route.target_ms);
    let body_bytes = body.size_hint().lower();
    let content = {
        let body = buffered_body(&body).flatten();
        keys::content_digest(&routed.parts, &routed.identity, body.as_deref())
    };
    if core.quarantine.borrow().is_refused(&content, core.now()) {
        return Outcome::refused("crashes-servers", CRASHING_RETRY_AFTER_MS, 0);
    }
    let mut attempts = Attempts {
        core,
        estimate_key,
        body_bytes,
        content,
        object_key: keys::object_key(
            routed.route,
            &routed.identity,
            routed.caller.affinity_key.as_deref(),
        ),
        head: backend_request_head(&routed.parts, &routed.identity),
        service,
        tried: Vec::new(),
        retried_server: None,
        sent_count: 0,
        unreachable_count: 0,
        may_have_run: false,
        planned_choice: RefCell::new(None),
        routed,
    };
    let mut outcome = attempts.run(body).await;
    outcome.service = Some((attempts.service, attempts.routed.identity.rank));
    outcome
}

fn choose_service(core: &Core, route: &Route) -> ServiceName {
    if let [only] = route.destinations.as_slice() {
        return only.service.clone();
    }
    let mut weighted_splits = core.weighted_splits.borrow_mut();
    let split = weighted_splits.entry(route.name.clone()).or_default();
    route.destinations[split.next(&route.destinations)].service.clone()
}

fn with_retry_budget<T>(
    core: &Core,
    service: &ServiceName,
    act: impl FnOnce(&mut RetryBudgetShare, Instant) -> T,
) -> T {
    let bounds = &core.bounds;
    let mut retry_budgets = core.retry_budgets.borrow_mut();
    let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
        RetryBudgetShare::new(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_ms)
    });
    act(budget, core.now())
}

/// State of a request across its attempts.
pub(super) struct Attempts<'a> {
    pub(super) core: &'a Rc<Core>,
    pub(super) routed: RoutedRequest<'a>,
    pub(super) service: ServiceName,
    pub(super) estimate_key: u64,
    pub(super) object_key: Option<u64>,
    pub(super) body_bytes: u64,
    pub(super) content: Digest,
    pub(super) head: (Method, String, HeaderMap),
    pub(super) tried: Vec<BackendServerName>,
    /// A server that shed the request although it reported free slots. It is tried once more,
    /// because it has the object in memory and another server would take several times as long.
    pub(super) retried_server: Option<BackendServerName>,
    /// Attempts in which the request was sent.
    pub(super) sent_count: u32,
    pub(super) unreachable_count: u32,
    pub(super) may_have_run: bool,
    /// Server for the next attempt, if it was chosen before the current attempt ended.
    pub(super) planned_choice: RefCell<Option<(Choice, Option<UsedAssignment>)>>,
}

impl Attempts<'_> {
    async fn run(&mut self, mut body: RequestBody) -> Outcome {
        loop {
            let retry_body = buffered_body(&body);
            let left_ms = self.left_ms();
            if left_ms < MIN_REMAINING_MS {
                return self.timed_out();
            }
            let (choice, assignment) = self.next_choice(left_ms).await;
            let (server, silence_timeout_ms, waits, cold_rate_per_s) = match choice {
                Choice::Send {
                    server,
                    expected_ms,
                    silence_timeout_ms,
                    waits,
                    cold_rate_per_s,
                    load,
                } => {
                    log::info!(
                        "request: sent; id={} route={} workspace={} object={} server={server} attempt={} \
                         load={load} assigned={} expected_ms={expected_ms:.0} left_ms={left_ms}",
                        self.id(),
                        self.routed.route.name,
                        self.routed.identity.workspace_name(),
                        self.routed.caller.affinity_key.as_deref().unwrap_or("-"),
                        self.sent_count + 1,
                        assignment.is_some(),
                    );
                    (server, silence_timeout_ms, waits, cold_rate_per_s)
                }
                Choice::Refuse { reason, retry_after_ms } => {
                    return self.refused(reason, retry_after_ms);
                }
            };
            let now = self.core.now();
            {
                let mut fleet = self.core.fleet.borrow_mut();
                fleet.record_start(&server, cold_rate_per_s, now);
                if assignment.is_none() {
                    fleet.count_towards_limit(&server, now);
                }
            }
            let mut running = RunningAttempt {
                core: self.core,
                server: server.clone(),
                started_at_ms: 0,
                service: self.service.clone(),
                estimate_key: self.estimate_key,
                object_key: self.object_key,
                waits,
                end: AttemptEnd::Abandoned,
                statement: None,
                assignment,
                large_answer: LargeAnswer::start(self.core, self.routed.route, &server),
            };
            let result = self.attempt(&mut running, body, silence_timeout_ms, left_ms).await;
            drop(running);
            let retries_same_server =
                matches!(result, AttemptResult::NotRun { has_free_slots: true })
                    && self.retried_server.as_ref() != Some(&server)
                    && self.core.fleet.borrow().may_retry_same_server(&server, self.core.now());
            if retries_same_server {
                self.retried_server = Some(server);
            } else {
                self.tried.push(server);
            }
            let may_repeat = retry_body.is_some();
            match result {
                AttemptResult::Answered(status, headers, response_body) => {
                    self.sent_count += 1;
                    if self.at_most_once() && headers::promises_not_run(status) {
                        // The server doesn't state that it did not run the request, so its status
                        // can't be passed on as that promise.
                        return Outcome::local(
                            StatusCode::BAD_GATEWAY,
                            "unstated-refusal",
                            self.sent_count,
                        );
                    }
                    let failed = status.is_server_error();
                    if !failed || self.at_most_once() || !may_repeat || !self.plan_retry(None).await
                    {
                        let response = response_for_caller(status, headers, response_body);
                        return Outcome {
                            response,
                            reason: ANSWERED,
                            attempts: self.sent_count,
                            service: None,
                            workspace: None,
                        };
                    }
                    self.may_have_run = true;
                }
                AttemptResult::NotRun { .. } => {
                    self.sent_count += 1;
                    if !may_repeat || !self.plan_retry(None).await {
                        return self.not_run("shed", self.shed_retry_after_ms());
                    }
                }
                AttemptResult::Unreachable => {
                    self.unreachable_count += 1;
                    if !may_repeat || self.unreachable_count >= MAX_UNREACHABLE_SERVERS {
                        return self.not_run("unreachable", SHED_RETRY_AFTER_MS);
                    }
                }
                AttemptResult::Withdrawn if may_repeat => {}
                AttemptResult::Withdrawn => {
                    return self.not_run("shed", self.shed_retry_after_ms());
                }
                AttemptResult::BrokenOff(reason) => {
                    self.sent_count += 1;
                    self.may_have_run = true;
                    if self.at_most_once() || !may_repeat || !self.plan_retry(None).await {
                        return Outcome::local(StatusCode::BAD_GATEWAY, reason, self.sent_count);
                    }
                }
                AttemptResult::Silent => {
                    self.sent_count += 1;
                    self.may_have_run = true;
                }
                AttemptResult::TimedOut => {
                    self.sent_count += 1;
                    return self.timed_out();
                }
            }
            body = RequestBody::Whole(retry_body.flatten());
        }
    }

    pub(super) fn id(&self) -> &str {
        self.routed.caller.request_id.as_deref().unwrap_or("-")
    }

    pub(super) fn at_most_once(&self) -> bool {
        self.routed.route.repeat.is_at_most_once()
    }

    pub(super) fn left_ms(&self) -> u64 {
        let spent_ms = self.core.now().since_ms(self.routed.start);
        self.routed.limit_ms.saturating_sub(spent_ms)
    }

    /// Chooses a server other than `given_up` for the next attempt and takes the attempt out of the
    /// retry budget. Returns whether both succeeded.
    /// `given_up` is a server that has not answered, and when the request was sent to it.
    ///
    /// The choice is made before the current attempt is given up, so that a request is only given
    /// up if there is a server that can take it.
    pub(super) async fn plan_retry(&self, given_up: Option<(&BackendServerName, Instant)>) -> bool {
        if self.sent_count + 1 > self.routed.route.max_attempts {
            return false;
        }
        let mut tried = self.tried.clone();
        tried.extend(given_up.map(|(server, _)| server.clone()));
        let (choice, assignment) = self.choose(self.left_ms(), &tried, given_up).await;
        let planned = matches!(choice, Choice::Send { .. }) && self.take_retry();
        if planned {
            *self.planned_choice.borrow_mut() = Some((choice, assignment));
        }
        planned
    }

    async fn next_choice(&self, left_ms: u64) -> (Choice, Option<UsedAssignment>) {
        let planned = self.planned_choice.borrow_mut().take();
        match planned {
            Some(planned) => planned,
            None => self.choose(left_ms, &self.tried, None).await,
        }
    }

    async fn choose(
        &self,
        left_ms: u64,
        tried: &[BackendServerName],
        silent: Option<(&BackendServerName, Instant)>,
    ) -> (Choice, Option<UsedAssignment>) {
        let core = self.core;
        let tried = &large_answers::with_full_servers(core, self.routed.route, tried)[..];
        let spent_ms = core.now().since_ms(self.routed.start) as f64;
        let route = self.routed.route;
        let target_ms = route.target_ms.unwrap_or(self.routed.limit_ms) as f64;
        let request = Request {
            service: &self.service,
            estimate_key: self.estimate_key,
            object_key: self.object_key,
            bytes: self.body_bytes,
            home_regions: &self.routed.identity.home_regions,
            target_ms,
            target_left_ms: target_ms - spent_ms,
            left_ms: left_ms as f64,
            at_most_once: self.at_most_once(),
            has_large_body: route.repeat == Repeatability::AtMostOnceLarge,
            rank: self.routed.identity.rank.0,
            workspace: self.routed.identity.workspace_key(),
            tried,
            jitter_seed: fastrand::u64(..),
        };
        assign::choose(core, &Wanted { request, route: &route.name, silent }, self.routed.plan)
            .await
    }

    /// Takes one retry out of the budget of the service.
    fn take_retry(&self) -> bool {
        let instances = self.core.members.borrow().known_count();
        with_retry_budget(self.core, &self.service, |b, now| b.try_retry(instances, now))
    }

    /// Returns after what time the caller of a shed request should come back.
    fn shed_retry_after_ms(&self) -> u64 {
        let fleet = self.core.fleet.borrow();
        let home_regions = &self.routed.identity.home_regions;
        fleet
            .return_after_ms(&self.service, home_regions, fastrand::u64(..), self.core.now())
            .unwrap_or(SHED_RETRY_AFTER_MS)
    }

    fn refused(&self, reason: RefusalReason, retry_after_ms: u64) -> Outcome {
        let identity = &self.routed.identity;
        let level = {
            let fleet = self.core.fleet.borrow();
            fleet.room_level(&self.service, identity.rank.0, self.core.now())
        };
        log::info!(
            "request: refused; id={} service={} rank={} workspace={} reason={reason} open={:.2} \
             open_beyond_usual={:.2} retry_after_ms={retry_after_ms}",
            self.id(),
            self.service,
            identity.rank,
            identity.workspace_name(),
            level.as_ref().map_or(1.0, |level| level.open_ratio),
            level.as_ref().map_or(1.0, |level| level.open_beyond_usual_ratio),
        );
        let reason = match reason {
            RefusalReason::NoServer => "no-server",
            RefusalReason::Busy => "busy",
            RefusalReason::TooLate => "too-late",
            RefusalReason::Reserved => "reserved",
        };
        self.not_run(reason, retry_after_ms)
    }

    /// Reports the request as not executed, or as failed if an earlier attempt may have executed
    /// it.
    fn not_run(&self, reason: &'static str, retry_after_ms: u64) -> Outcome {
        if self.may_have_run {
            return Outcome::local(StatusCode::BAD_GATEWAY, reason, self.sent_count);
        }
        Outcome::refused(reason, retry_after_ms, self.sent_count)
    }

    fn timed_out(&self) -> Outcome {
        Outcome::local(StatusCode::GATEWAY_TIMEOUT, "timeout", self.sent_count)
    }
}
