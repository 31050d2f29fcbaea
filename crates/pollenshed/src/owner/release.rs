//! Takes backend servers over from live owners without a wait, by asking these owners to release
//! them.
//!
//! See `docs/design.md`, "One owner per backend server". [`ReleaseRound`] and the ownership map
//! make the decisions; this module sends the calls.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use pollenshed_coordination::{
    limits::LoadReport,
    membership::MemberState,
    ownership::{
        InheritedRequests, OwnershipView, ReleaseAnswer, ReleaseRound, sum_inherited_requests,
    },
};
use pollenshed_protocol::peer::{ReleaseReply, ReleaseRequest, ReleasedBackendServer};
use pollenshed_state::{
    ids::{BackendServerName, InstanceName},
    time::Instant,
};
use tonic::Code;

use super::{probe, servers, update_servers};
use crate::{config::ActiveConfig, gossip, instance::Shared, util::lock, wire};

/// Timeout of a `Release` call in gossip periods, so that an unresponsive member does not delay the
/// next attempt.
const CALL_TIMEOUT_PERIODS: u32 = 2;

/// Generation of an instance that knows of no earlier process with its name.
const FIRST_GENERATION: u64 = 1;

/// Requests that former owners still run at each server, by former owner.
type InheritedByServer = BTreeMap<BackendServerName, BTreeMap<InstanceName, InheritedRequests>>;

/// Result of a `Release` call to a member.
enum CallResult {
    Released(ReleaseAnswer),
    /// Nothing listens at its address.
    Gone,
    /// It did not answer in time, or its answer was invalid.
    NoAnswer,
}

/// Starting state of an attempt to have servers released.
struct ReleaseAttempt {
    /// Ownership view of this instance; a result for an older view is not accepted.
    view: Arc<OwnershipView>,
    servers: Vec<BackendServerName>,
    round: ReleaseRound,
}

/// Asks former owners to release gained servers, and updates how many of their requests still run,
/// until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let mut inherited_by_server = InheritedByServer::new();
    loop {
        let _ = tokio::time::timeout(period, shared.owner.release_wake.notified()).await;
        update_inherited(&shared, &mut inherited_by_server).await;
        if let Some(attempt) = prepare_attempt(&shared) {
            run_attempt(&shared, attempt, &mut inherited_by_server).await;
        }
    }
}

/// Prepares an attempt for the gained servers of the own failure domain that this instance does not
/// use yet. Returns `None` if there are none or if this instance may not ask.
///
/// A restarted instance does not ask, because peers can't tell its requests from those of the
/// earlier process with its name.
fn prepare_attempt(shared: &Shared) -> Option<ReleaseAttempt> {
    let now = shared.clock.now();
    let current = shared.config.get()?;
    if shared.is_leaving() || !lock(&shared.fence).may_dispatch(now) {
        return None;
    }
    let membership = lock(&shared.membership);
    if membership.own().generation != FIRST_GENERATION || membership.is_superseded() {
        return None;
    }
    let ownership = lock(&shared.ownership);
    let waiting: BTreeSet<_> = ownership.waiting(now).collect();
    let own_domain = &shared.settings.failure_domain;
    let servers = current.config.services.iter().flat_map(|s| &s.backend_servers);
    let servers = servers.filter(|s| s.failure_domain == *own_domain && waiting.contains(&s.name));
    let servers: Vec<_> = servers.map(|s| s.name.clone()).collect();
    if servers.is_empty() {
        return None;
    }
    let members = membership.members(now).filter(|(r, _)| r.failure_domain == *own_domain);
    let round = ReleaseRound::new(shared.settings.instance.clone(), members);
    Some(ReleaseAttempt { view: ownership.view(), servers, round })
}

/// Asks all members of the failure domain and starts to dispatch to the servers that all of them
/// released.
async fn run_attempt(
    shared: &Arc<Shared>,
    attempt: ReleaseAttempt,
    inherited_by_server: &mut InheritedByServer,
) {
    let ReleaseAttempt { view, servers: requested, mut round } = attempt;
    let began = shared.clock.now();
    loop {
        let unasked = round.take_unasked();
        if unasked.is_empty() {
            break;
        }
        let requests = unasked.into_iter().map(|member| (member, requested.clone()));
        for (member, result) in call_all(shared, requests).await {
            match result {
                CallResult::Released(answer) => round.record_answer(member, answer),
                CallResult::Gone => round.record_gone(member),
                CallResult::NoAnswer => {}
            }
        }
    }
    let released = round.released(&requested);
    let Some(current) = shared.config.get().filter(|_| !released.is_empty()) else { return };
    let reports = read_reports(shared, &current, &released).await;
    let now = shared.clock.now();
    if now.since_ms(began) >= shared.settings.timing.fence_after_ms {
        return;
    }
    {
        let mut ownership = lock(&shared.ownership);
        for (server, by_owner) in released {
            let inherited = sum_inherited_requests(by_owner.values(), now);
            if ownership.accept(&view, &server, inherited, now) {
                log::info!(
                    backend_server:% = server,
                    running = inherited.map_or(0, |i| i.running),
                    former_owners = by_owner.len();
                    "placement: former owners have released a backend server"
                );
                inherited_by_server.insert(server, by_owner);
            }
        }
        servers::apply(shared, &current, &ownership, &reports, now);
    }
    shared.owner.wake_dispatcher();
    shared.owner.probe_now();
}

/// Reads the load reports of released servers, to which no former owner dispatches any more. The
/// result lacks servers that do not answer within the timeout of a call.
async fn read_reports(
    shared: &Arc<Shared>,
    current: &ActiveConfig,
    released: &InheritedByServer,
) -> BTreeMap<BackendServerName, LoadReport> {
    let servers = current.config.services.iter().flat_map(|s| &s.backend_servers);
    let servers = servers.filter(|s| released.contains_key(&s.name)).cloned();
    let reads = servers.map(|server| {
        let shared = shared.clone();
        tokio::task::spawn_blocking(move || {
            let report = probe::read_load_report(&shared, &server)?;
            Some((server.name, report))
        })
    });
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let until = tokio::time::Instant::now() + period * CALL_TIMEOUT_PERIODS;
    let mut reports = BTreeMap::new();
    for read in reads.collect::<Vec<_>>() {
        let read = tokio::time::timeout_at(until, read).await;
        reports.extend(read.ok().and_then(Result::ok).flatten());
    }
    reports
}

/// Asks former owners how many of their requests still run, and passes the sums to the ownership
/// map.
async fn update_inherited(shared: &Arc<Shared>, inherited_by_server: &mut InheritedByServer) {
    let mut by_member: BTreeMap<InstanceName, Vec<BackendServerName>> = BTreeMap::new();
    {
        let ownership = lock(&shared.ownership);
        inherited_by_server.retain(|server, _| ownership.inherited(server).is_some());
    }
    for (server, by_owner) in inherited_by_server.iter() {
        for (member, _) in by_owner.iter().filter(|(_, inherited)| inherited.running > 0) {
            by_member.entry(member.clone()).or_default().push(server.clone());
        }
    }
    if by_member.is_empty() {
        return;
    }
    for (member, result) in call_all(shared, by_member).await {
        let CallResult::Released(answer) = result else { continue };
        for (server, inherited) in answer.released {
            if let Some(by_owner) = inherited_by_server.get_mut(&server) {
                by_owner.insert(member.clone(), inherited);
            }
        }
    }
    let now = shared.clock.now();
    {
        let mut ownership = lock(&shared.ownership);
        for (server, by_owner) in inherited_by_server.iter() {
            ownership.set_inherited(server, sum_inherited_requests(by_owner.values(), now));
        }
    }
    apply_servers(shared, now);
}

/// Brings the scheduler's servers in line with the ownership map, if a configuration is in force.
fn apply_servers(shared: &Shared, now: Instant) {
    if let Some(current) = shared.config.get() {
        update_servers(shared, &current, now);
    }
}

/// Calls all members concurrently and returns the results.
async fn call_all(
    shared: &Arc<Shared>,
    requests: impl IntoIterator<Item = (InstanceName, Vec<BackendServerName>)>,
) -> Vec<(InstanceName, CallResult)> {
    let calls = requests.into_iter().map(|(member, servers)| {
        let shared = shared.clone();
        tokio::spawn(async move {
            let result = call(&shared, &member, &servers).await;
            (member, result)
        })
    });
    let mut results = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        results.extend(call.await.ok());
    }
    results
}

async fn call(shared: &Shared, member: &InstanceName, servers: &[BackendServerName]) -> CallResult {
    let Some((address, own)) = address_of(shared, member) else { return CallResult::NoAnswer };
    let request = ReleaseRequest {
        sender: Some(own),
        backend_servers: servers.iter().map(ToString::to_string).collect(),
    };
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let mut client = shared.control_peers.control(address);
    let call = tokio::time::timeout(period * CALL_TIMEOUT_PERIODS, client.release(request));
    match call.await {
        Ok(Ok(reply)) => read_reply(member, reply.get_ref(), shared.clock.now()),
        Ok(Err(status)) if status.code() == Code::Unavailable => CallResult::Gone,
        _ => CallResult::NoAnswer,
    }
}

fn address_of(
    shared: &Shared,
    member: &InstanceName,
) -> Option<(SocketAddr, pollenshed_protocol::peer::Member)> {
    let membership = lock(&shared.membership);
    let address = membership.record_of(member)?.peer_address;
    Some((address, wire::member_to_wire(membership.own())))
}

fn read_reply(member: &InstanceName, reply: &ReleaseReply, now: Instant) -> CallResult {
    let known: Result<_, _> = reply.known_instances.iter().map(|name| name.parse()).collect();
    let Some(known) = known.ok().filter(|_| reply.instance == member.as_str()) else {
        return CallResult::NoAnswer;
    };
    let released = reply.released.iter().filter_map(|server| {
        let until = now.plus_ms(server.running_left_ms);
        Some((server.name.parse().ok()?, InheritedRequests { running: server.running, until }))
    });
    let released = released.collect();
    CallResult::Released(ReleaseAnswer { settled: reply.settled, known, released })
}

/// Answers a `Release` call: stops dispatching to the servers that the new owner asks for.
pub fn release(shared: &Shared, request: &ReleaseRequest) -> ReleaseReply {
    let now = shared.clock.now();
    let mut reply =
        ReleaseReply { instance: shared.settings.instance.to_string(), ..ReleaseReply::default() };
    let Some(sender) = request.sender.as_ref().and_then(wire::member_from_wire) else {
        return reply;
    };
    let (requester, incarnation) = (sender.instance.clone(), sender.incarnation);
    gossip::merge_sender(shared, sender, now);
    let fence_is_open = lock(&shared.fence).may_dispatch(now);
    reply.known_instances = known_instances(shared, now);
    let mut ownership = lock(&shared.ownership);
    reply.settled = fence_is_open && ownership.is_settled(now);
    let servers = request.backend_servers.iter().filter_map(|name| name.parse().ok());
    for server in servers {
        let was_usable = ownership.is_usable(&server, now);
        if !ownership.release(&server, &requester, incarnation) {
            continue;
        }
        let (running, until) = shared.owner.with_scheduler(|scheduler| {
            scheduler.remove_server(&server);
            scheduler.running_on(&server, now)
        });
        if was_usable {
            log::info!(
                backend_server:% = server, new_owner:% = requester, running;
                "placement: releases a backend server"
            );
        }
        // Rounded up, so that the new owner does not count a slot as free too early.
        let running_left_ms = until.since_us(now).div_ceil(1_000);
        reply.released.push(ReleasedBackendServer {
            name: server.to_string(),
            running,
            running_left_ms,
        });
    }
    reply
}

/// Returns the members of the own failure domain that may dispatch according to this instance's
/// membership table.
fn known_instances(shared: &Shared, now: Instant) -> Vec<String> {
    let membership = lock(&shared.membership);
    let dispatching = membership.members(now).filter(|(record, state)| {
        record.failure_domain == shared.settings.failure_domain
            && !record.leaving
            && *state != MemberState::Dead
    });
    dispatching.map(|(record, _)| record.instance.to_string()).collect()
}
