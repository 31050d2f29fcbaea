//! In a large region, one instance assigns all requests of an object to backend servers.
//!
//! The instance that received a request asks it with one datagram, sends the request itself, and
//! reports the end with another one. So the instance that assigns counts the requests of its
//! objects exactly, and what a server does is learnt once and not by each instance. If no answer
//! arrives in time, the asking instance chooses by the same order of servers. See docs/platform.md,
//! "Large regions".

use std::{cell::OnceCell, net::SocketAddr, rc::Rc, time::Duration};

use pollenshed_coordination::steering::{
    self, AttemptEnd, Choice, ColdLimits, Fleet, RefusalReason, Request, ServerKey, Statement,
    server_key,
};
use pollenshed_state::{
    ids::{BackendServerName, InstanceName, RegionName},
    routes::RoutePlan,
    time::Instant,
    units::RequestRate,
};
use prost::Message;
use tokio::{sync::oneshot, time::timeout};

use super::{core::Core, gossip::PeerDatagram, keys};

/// Time within which the assigning instance answers. It covers a pause of a machine that has used
/// up its share of a core, and leaves most of the target for the request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(90);

/// Time for which an instance that did not answer in time is not asked.
const SILENT_ASSIGNER_MS: u64 = 800;

/// Time after the deadline of a request at which its assignment expires without a report.
const EXPIRY_MARGIN_MS: u64 = 300;

/// Longest time in a query. Callers wait much shorter.
const MAX_TIME_MS: f64 = 3_600_000.0;

/// Question where to send a request.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AssignQuery {
    /// Random id of the assignment.
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    route: String,
    #[prost(string, tag = "3")]
    service: String,
    #[prost(fixed64, tag = "4")]
    object: u64,
    #[prost(double, tag = "5")]
    target_ms: f64,
    #[prost(double, tag = "6")]
    target_left_ms: f64,
    #[prost(double, tag = "7")]
    left_ms: f64,
    #[prost(bool, tag = "8")]
    at_most_once: bool,
    #[prost(bool, tag = "9")]
    has_large_body: bool,
    #[prost(uint64, tag = "10")]
    bytes: u64,
    /// Servers that the request was sent to already, and those that decline requests of the sender.
    #[prost(fixed32, repeated, tag = "11")]
    tried: Vec<ServerKey>,
    #[prost(string, repeated, tag = "12")]
    home_regions: Vec<String>,
    /// Server that has not answered the request for `silent_ms`. Another one is only needed if it
    /// has answered no other request since.
    #[prost(fixed32, optional, tag = "13")]
    silent_server: Option<ServerKey>,
    #[prost(uint64, tag = "14")]
    silent_ms: u64,
    /// Urgency; 0 is the most urgent.
    #[prost(uint32, tag = "15")]
    rank: u32,
    /// Key of the workspace.
    #[prost(fixed64, optional, tag = "16")]
    workspace: Option<u64>,
}

/// Answer to an [`AssignQuery`].
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AssignAnswer {
    #[prost(fixed64, tag = "1")]
    id: u64,
    /// The server, or `None` if the request is to be refused.
    #[prost(fixed32, optional, tag = "2")]
    server: Option<ServerKey>,
    #[prost(uint32, tag = "3")]
    load: u32,
    #[prost(double, tag = "4")]
    expected_ms: f64,
    #[prost(double, tag = "5")]
    silence_timeout_ms: f64,
    #[prost(bool, tag = "6")]
    waits: bool,
    /// Number of the [`RefusalReason`].
    #[prost(uint32, tag = "7")]
    reason: u32,
    #[prost(uint64, tag = "8")]
    retry_after_ms: u64,
}

/// Report of the end of an assigned request.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AssignEnd {
    #[prost(fixed64, tag = "1")]
    id: u64,
    /// Number of the variant of [`AttemptEnd`].
    #[prost(uint32, tag = "2")]
    end: u32,
    /// The answer was a server error, or the server that shed the request reported free slots.
    #[prost(bool, tag = "3")]
    flag: bool,
    #[prost(double, tag = "4")]
    took_ms: f64,
    /// Load that the server reported with its answer.
    #[prost(uint32, optional, tag = "5")]
    load: Option<u32>,
    /// The server answered, so that it stated a limit or lifted it.
    #[prost(bool, tag = "6")]
    has_statement: bool,
    /// Limit that it stated, in thousandths of a request per second.
    #[prost(uint64, optional, tag = "7")]
    limit: Option<u64>,
    /// It stated that it leaves.
    #[prost(bool, tag = "8")]
    is_leaving: bool,
    /// Start time of the run of the server that answered.
    #[prost(uint64, tag = "9")]
    started_at_ms: u64,
    /// How long work takes on its machine, in percent of the usual time, if it stated that.
    #[prost(uint32, optional, tag = "10")]
    run_time_percent: Option<u32>,
}

impl AssignEnd {
    fn new(id: u64, report: &EndReport) -> AssignEnd {
        let EndReport { end, statement } = *report;
        let (number, flag, took_ms) = match end {
            AttemptEnd::Abandoned => (0, false, 0.0),
            AttemptEnd::Answered { failed, took_ms } => (1, failed, took_ms),
            AttemptEnd::Shed { has_free_slots } => (2, has_free_slots, 0.0),
            AttemptEnd::OtherServer => (3, false, 0.0),
            AttemptEnd::Unreachable => (4, false, 0.0),
            AttemptEnd::BrokenOff => (5, false, 0.0),
            AttemptEnd::Silent => (6, false, 0.0),
        };
        let has_statement = statement.is_some();
        // A rest holds for the instance that was turned away.
        let Statement { started_at_ms, is_leaving, load, run_time_percent, limit, rest_ms: _ } =
            statement.unwrap_or_default();
        let limit = limit.map(|rate| rate.0);
        AssignEnd {
            id,
            end: number,
            flag,
            took_ms,
            load,
            has_statement,
            limit,
            is_leaving,
            started_at_ms,
            run_time_percent,
        }
    }

    fn end(&self) -> Option<AttemptEnd> {
        Some(match self.end {
            0 => AttemptEnd::Abandoned,
            1 if self.took_ms.is_finite() => {
                AttemptEnd::Answered { failed: self.flag, took_ms: self.took_ms.max(0.0) }
            }
            2 => AttemptEnd::Shed { has_free_slots: self.flag },
            3 => AttemptEnd::OtherServer,
            4 => AttemptEnd::Unreachable,
            5 => AttemptEnd::BrokenOff,
            6 => AttemptEnd::Silent,
            _ => return None,
        })
    }

    /// Returns what the server stated with its answer, if it answered.
    fn statement(&self) -> Option<Statement> {
        let limit = self.limit.map(RequestRate);
        self.has_statement.then_some(Statement {
            started_at_ms: self.started_at_ms,
            is_leaving: self.is_leaving,
            rest_ms: None,
            load: self.load,
            run_time_percent: self.run_time_percent,
            limit,
        })
    }
}

const REASONS: [RefusalReason; 4] =
    [RefusalReason::NoServer, RefusalReason::Busy, RefusalReason::TooLate, RefusalReason::Reserved];

impl AssignAnswer {
    fn new(id: u64, choice: &Choice) -> AssignAnswer {
        let mut answer = AssignAnswer { id, ..AssignAnswer::default() };
        match choice {
            Choice::Send { server, load, expected_ms, silence_timeout_ms, waits, .. } => {
                answer.server = Some(server_key(server));
                answer.load = *load;
                answer.expected_ms = *expected_ms;
                answer.silence_timeout_ms = *silence_timeout_ms;
                answer.waits = *waits;
            }
            Choice::Refuse { reason, retry_after_ms } => {
                answer.reason = REASONS.iter().position(|r| r == reason).unwrap_or(0) as u32;
                answer.retry_after_ms = *retry_after_ms;
            }
        }
        answer
    }
}

/// How an assigned request ended, and what its server reported of itself.
#[derive(Debug, Clone, Copy)]
pub struct EndReport {
    /// How the request ended. Without an update it was not sent.
    pub end: AttemptEnd,
    /// What the server stated with its answer, if it answered.
    pub statement: Option<Statement>,
}

impl EndReport {
    /// The report of a request that was not sent.
    const NOT_SENT: EndReport = EndReport { end: AttemptEnd::Abandoned, statement: None };
}

/// An assignment that this instance uses. Its end is reported when it is dropped.
pub struct UsedAssignment {
    core: Rc<Core>,
    id: u64,
    /// Peer that made the assignment, or `None` if this instance did.
    assigner: Option<SocketAddr>,
    /// How the request ended.
    pub report: EndReport,
}

impl Drop for UsedAssignment {
    fn drop(&mut self) {
        match self.assigner {
            Some(assigner) => report_end(&self.core, assigner, self.id, &self.report),
            None => self.core.fleet.borrow_mut().drop_assignment(self.id),
        }
    }
}

fn report_end(core: &Core, to: SocketAddr, id: u64, report: &EndReport) {
    let datagram =
        PeerDatagram { end: Some(AssignEnd::new(id, report)), ..PeerDatagram::default() };
    // A lost report is made up for by the expiry of the assignment.
    let _ = core.peer_socket.try_send_to(&datagram.encode_to_vec(), to);
}

/// A request for which a server is needed, with what the assigning instance needs beside it.
pub struct Wanted<'a> {
    /// The request.
    pub request: Request<'a>,
    /// Name of its route.
    pub route: &'a str,
    /// Server that has not answered the request, and since when.
    pub silent: Option<(&'a BackendServerName, Instant)>,
}

/// Chooses the server of a request, in a large region by asking the instance that assigns the
/// requests of its object.
pub async fn choose(
    core: &Rc<Core>,
    wanted: &Wanted<'_>,
    plan: &RoutePlan,
) -> (Choice, Option<UsedAssignment>) {
    let request = &wanted.request;
    if !core.assigns_by_object() {
        return (with_cold_limits(core, request, plan, Fleet::choose), None);
    }
    let Some(object) = request.object_key else {
        return (with_cold_limits(core, request, plan, Fleet::choose_ranked), None);
    };
    match assigner_of(core, object) {
        Some(Assigner::Peer(instance, address)) => {
            let id = fastrand::u64(..);
            match ask(core, id, address, object, wanted).await {
                Some(answer) => accept(core, address, answer, request, plan),
                None => {
                    log::info!("assign: no answer in time; assigner={instance}");
                    let until = core.now().plus_ms(SILENT_ASSIGNER_MS);
                    core.silent_assigners.borrow_mut().insert(instance, until);
                    report_end(core, address, id, &EndReport::NOT_SENT);
                    (with_cold_limits(core, request, plan, Fleet::choose_ranked), None)
                }
            }
        }
        Some(Assigner::Own) => {
            let id = fastrand::u64(..);
            let choice = assign(core, id, request, plan, wanted.silent);
            let used = matches!(choice, Choice::Send { .. }).then(|| UsedAssignment {
                core: core.clone(),
                id,
                assigner: None,
                report: EndReport::NOT_SENT,
            });
            (choice, used)
        }
        None => (with_cold_limits(core, request, plan, Fleet::choose_ranked), None),
    }
}

/// Calls `choose` with the limits on requests to cold servers that hold for this instance.
fn with_cold_limits(
    core: &Core,
    request: &Request<'_>,
    plan: &RoutePlan,
    choose: impl FnOnce(&mut Fleet, &Request<'_>, &ColdLimits<'_>, Instant) -> Choice,
) -> Choice {
    let known = OnceCell::new();
    let region_instances = || known.get_or_init(|| core.instances_in_region()).as_slice();
    let rules = plan.services.get(request.service);
    let cold = ColdLimits {
        instance: &core.settings.instance,
        region_instances: &region_instances,
        rate_per_s: rules.map_or(0.0, |r| r.cold_requests_per_s),
        burst: core.bounds.cold_slack,
    };
    choose(&mut core.fleet.borrow_mut(), request, &cold, core.now())
}

enum Assigner {
    Own,
    Peer(InstanceName, SocketAddr),
}

/// Returns the instance of this region that assigns the requests of an object: the first usable one
/// by rendezvous hash, without those that were silent a moment ago.
fn assigner_of(core: &Core, object: u64) -> Option<Assigner> {
    let now = core.now();
    let silent = core.silent_assigners.borrow();
    let is_silent = |name: &InstanceName| silent.get(name).is_some_and(|until| now < *until);
    let members = core.members.borrow();
    let own_region = core.settings.region();
    let regions = &core.settings.failure_domains;
    let peers = members
        .usable(now)
        .filter(|m| regions.get(&m.record.failure_domain) == Some(own_region))
        .filter(|m| !is_silent(&m.record.instance))
        .map(|m| (&m.record.instance, Some(m.record.peer_address)));
    let own = core.is_ready().then_some((&core.settings.instance, None));
    let (instance, address) =
        peers.chain(own).max_by_key(|(name, _)| (steering::assigner_rank(object, name), *name))?;
    Some(match address {
        Some(address) => Assigner::Peer(instance.clone(), address),
        None => Assigner::Own,
    })
}

/// Returns the servers that must not be assigned to a request: those that it was sent to, and those
/// that have told this instance that they take no requests.
fn barred_servers(core: &Core, request: &Request<'_>) -> Vec<ServerKey> {
    let fleet = core.fleet.borrow();
    let declining = fleet.declining_servers(request.service, core.now());
    request.tried.iter().chain(declining).map(server_key).collect()
}

async fn ask(
    core: &Core,
    id: u64,
    address: SocketAddr,
    object: u64,
    wanted: &Wanted<'_>,
) -> Option<AssignAnswer> {
    let request = &wanted.request;
    let query = AssignQuery {
        id,
        route: wanted.route.to_owned(),
        service: request.service.to_string(),
        object,
        target_ms: request.target_ms,
        target_left_ms: request.target_left_ms,
        left_ms: request.left_ms,
        at_most_once: request.at_most_once,
        has_large_body: request.has_large_body,
        bytes: request.bytes,
        tried: barred_servers(core, request),
        home_regions: request.home_regions.iter().map(ToString::to_string).collect(),
        silent_server: wanted.silent.map(|(server, _)| server_key(server)),
        silent_ms: wanted.silent.map_or(0, |(_, since)| core.now().since_ms(since)),
        rank: request.rank,
        workspace: request.workspace,
    };
    let datagram = PeerDatagram { query: Some(query), ..PeerDatagram::default() };
    let (sender, receiver) = oneshot::channel();
    core.awaited_answers.borrow_mut().insert(id, sender);
    let answered = async {
        core.peer_socket.send_to(&datagram.encode_to_vec(), address).await.ok()?;
        receiver.await.ok()
    };
    let answer = timeout(ANSWER_TIMEOUT, answered).await.ok().flatten();
    core.awaited_answers.borrow_mut().remove(&id);
    answer
}

/// Turns an answer into a choice. If this instance knows that the server must not be used, it
/// chooses itself.
fn accept(
    core: &Rc<Core>,
    assigner: SocketAddr,
    answer: AssignAnswer,
    request: &Request<'_>,
    plan: &RoutePlan,
) -> (Choice, Option<UsedAssignment>) {
    let Some(key) = answer.server else {
        let reason = REASONS.get(answer.reason as usize).copied().unwrap_or(RefusalReason::Busy);
        return (Choice::Refuse { reason, retry_after_ms: answer.retry_after_ms }, None);
    };
    let used = UsedAssignment {
        core: core.clone(),
        id: answer.id,
        assigner: Some(assigner),
        report: EndReport::NOT_SENT,
    };
    let server = core.fleet.borrow().allowed_server(key, request, core.now());
    match server {
        Some(server) => {
            let choice = Choice::Send {
                server,
                load: answer.load,
                expected_ms: answer.expected_ms,
                silence_timeout_ms: answer.silence_timeout_ms,
                waits: answer.waits,
                // The assigning instance limits the rate.
                cold_rate_per_s: f64::INFINITY,
            };
            (choice, Some(used))
        }
        None => (with_cold_limits(core, request, plan, Fleet::choose_ranked), None),
    }
}

/// Chooses a server as the instance that assigns the requests of the object, and counts the
/// request.
fn assign(
    core: &Core,
    id: u64,
    request: &Request<'_>,
    plan: &RoutePlan,
    silent: Option<(&BackendServerName, Instant)>,
) -> Choice {
    let now = core.now();
    let has_answered = silent.is_some_and(|(name, since)| {
        core.fleet.borrow().server(name).is_some_and(|s| s.answered_since(since))
    });
    if has_answered {
        return Choice::Refuse { reason: RefusalReason::Busy, retry_after_ms: 0 };
    }
    let choice = with_cold_limits(core, request, plan, Fleet::choose_ranked);
    if let Choice::Send { server, waits, cold_rate_per_s, .. } = &choice {
        let assignment = steering::Assignment {
            server: server.clone(),
            estimate_key: request.estimate_key,
            object_key: request.object_key,
            waits: *waits,
            expires_at: now.plus_ms(request.left_ms as u64 + EXPIRY_MARGIN_MS),
        };
        core.fleet.borrow_mut().record_assignment(id, assignment, *cold_rate_per_s, now);
    }
    choice
}

/// Answers a query of a peer.
pub fn handle_query(core: &Core, query: AssignQuery, from: SocketAddr) {
    let Some(choice) = choice_for(core, &query) else { return };
    let answer = AssignAnswer::new(query.id, &choice);
    let datagram = PeerDatagram { answer: Some(answer), ..PeerDatagram::default() };
    // Without an answer the peer chooses itself.
    let _ = core.peer_socket.try_send_to(&datagram.encode_to_vec(), from);
}

fn choice_for(core: &Core, query: &AssignQuery) -> Option<Choice> {
    let plan = core.plan().filter(|_| core.is_ready())?;
    let times_ms = [query.target_ms, query.target_left_ms, query.left_ms];
    if !times_ms.iter().all(|ms| ms.abs() <= MAX_TIME_MS) {
        return None;
    }
    let service = query.service.parse().ok()?;
    let home_regions: Vec<RegionName> =
        query.home_regions.iter().map(|r| r.parse().ok()).collect::<Option<_>>()?;
    let estimate_key = keys::estimate_key(&query.route, &service);
    let (tried, silent) = {
        let mut fleet = core.fleet.borrow_mut();
        fleet.run_times.set_initial(estimate_key, Some(query.target_ms as u64));
        let name = |key: &ServerKey| fleet.server_by_key(*key).map(|s| s.record.name.clone());
        let tried: Vec<BackendServerName> = query.tried.iter().filter_map(name).collect();
        (tried, query.silent_server.as_ref().and_then(name))
    };
    let silent_since = Instant::from_ms(core.now().as_ms().saturating_sub(query.silent_ms));
    let request = Request {
        service: &service,
        estimate_key,
        object_key: Some(query.object),
        home_regions: &home_regions,
        bytes: query.bytes,
        target_ms: query.target_ms,
        target_left_ms: query.target_left_ms,
        left_ms: query.left_ms,
        at_most_once: query.at_most_once,
        has_large_body: query.has_large_body,
        rank: query.rank,
        workspace: query.workspace,
        tried: &tried,
        jitter_seed: fastrand::u64(..),
    };
    let silent = silent.as_ref().map(|name| (name, silent_since));
    Some(assign(core, query.id, &request, &plan, silent))
}

/// Hands an answer to the request that waits for it. If none does any more, the assignment is
/// given back.
pub fn handle_answer(core: &Core, answer: AssignAnswer, from: SocketAddr) {
    let waiting = core.awaited_answers.borrow_mut().remove(&answer.id);
    let (id, is_assigned) = (answer.id, answer.server.is_some());
    let is_delivered = waiting.is_some_and(|sender| sender.send(answer).is_ok());
    if is_assigned && !is_delivered {
        report_end(core, from, id, &EndReport::NOT_SENT);
    }
}

/// Forgets the questions of requests that were cancelled before an answer arrived.
pub fn forget_cancelled(core: &Core) {
    core.awaited_answers.borrow_mut().retain(|_, sender| !sender.is_closed());
}

/// Applies the report of a peer.
pub fn handle_end(core: &Core, report: &AssignEnd) {
    let Some(end) = report.end() else { return };
    let statement = report.statement();
    core.fleet.borrow_mut().end_assignment(report.id, end, statement.as_ref(), core.now());
}
