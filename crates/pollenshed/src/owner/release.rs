//! Takes backend servers over from live owners without a wait, by asking them to release them.
//!
//! See `docs/design.md`, "One owner per backend server". The decisions are those of
//! [`ReleaseRound`] and of the ownership map.

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
use crate::{config::InForce, gossip, instance::Shared, util::lock, wire};

/// Calls take at most this many gossip periods, so that a silent member does not delay the next try.
const TIMEOUT_PERIODS: u32 = 2;

/// Generation of an instance that has met no earlier process of its name.
const FIRST_GENERATION: u64 = 1;

/// Requests of former owners at each server, by the instance that dispatched them.
type Counts = BTreeMap<BackendServerName, BTreeMap<InstanceName, InheritedRequests>>;

/// What came of asking a member.
enum Answer {
    Released(ReleaseAnswer),
    /// Nothing listens at its address.
    Gone,
    /// It did not answer in time, or not as expected.
    Silent,
}

/// What a try starts from.
struct Wanted {
    view: Arc<OwnershipView>,
    servers: Vec<BackendServerName>,
    round: ReleaseRound,
}

/// Asks for gained servers, and counts the former owners' requests down, until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let mut counts = Counts::new();
    loop {
        let _ = tokio::time::timeout(period, shared.owner.gained.notified()).await;
        count_down(&shared, &mut counts).await;
        if let Some(wanted) = wanted(&shared) {
            ask(&shared, wanted, &mut counts).await;
        }
    }
}

/// Returns the waiting servers of the own failure domain and the members to ask.
///
/// A restarted instance does not ask: peers can't tell its requests from those of the process that
/// had its name before.
fn wanted(shared: &Shared) -> Option<Wanted> {
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
    Some(Wanted { view: ownership.view(), servers, round })
}

/// Asks all members and starts to dispatch to the servers that all of them released.
async fn ask(shared: &Arc<Shared>, wanted: Wanted, counts: &mut Counts) {
    let Wanted { view, servers: wanted, mut round } = wanted;
    let began = shared.clock.now();
    loop {
        let unasked = round.take_unasked();
        if unasked.is_empty() {
            break;
        }
        let requests = unasked.into_iter().map(|member| (member, wanted.clone()));
        for (member, answer) in call_all(shared, requests).await {
            match answer {
                Answer::Released(answer) => round.record_answer(member, answer),
                Answer::Gone => round.record_gone(member),
                Answer::Silent => {}
            }
        }
    }
    let released = round.released(&wanted);
    let Some(current) = shared.config.get().filter(|_| !released.is_empty()) else { return };
    let reports = read_reports(shared, &current, &released).await;
    let now = shared.clock.now();
    if now.since_ms(began) >= shared.settings.timing.fence_after_ms {
        return;
    }
    {
        let mut ownership = lock(&shared.ownership);
        for (server, running) in released {
            let inherited = sum_inherited_requests(running.values(), now);
            if ownership.accept(&view, &server, inherited, now) {
                log::info!(
                    backend_server:% = server,
                    running = inherited.map_or(0, |i| i.running),
                    former_owners = running.len();
                    "placement: former owners have released a backend server"
                );
                counts.insert(server, running);
            }
        }
        servers::apply(shared, &current, &ownership, &reports, now);
    }
    shared.owner.wake_dispatcher();
    shared.owner.probe_now();
}

/// Reads the load of released servers, whose former owners have stopped by now. A server that does
/// not answer soon has none.
async fn read_reports(
    shared: &Arc<Shared>,
    current: &InForce,
    released: &Counts,
) -> BTreeMap<BackendServerName, LoadReport> {
    let servers = current.config.services.iter().flat_map(|s| &s.backend_servers);
    let servers = servers.filter(|s| released.contains_key(&s.name)).cloned();
    let reads = servers.map(|server| {
        let shared = shared.clone();
        tokio::task::spawn_blocking(move || {
            let report = probe::read(&shared, &server)?;
            Some((server.name, report))
        })
    });
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let until = tokio::time::Instant::now() + period * TIMEOUT_PERIODS;
    let mut reports = BTreeMap::new();
    for read in reads.collect::<Vec<_>>() {
        let read = tokio::time::timeout_at(until, read).await;
        reports.extend(read.ok().and_then(Result::ok).flatten());
    }
    reports
}

/// Asks former owners how many of their requests still run.
async fn count_down(shared: &Arc<Shared>, counts: &mut Counts) {
    let mut by_member: BTreeMap<InstanceName, Vec<BackendServerName>> = BTreeMap::new();
    {
        let ownership = lock(&shared.ownership);
        counts.retain(|server, _| ownership.inherited(server).is_some());
    }
    for (server, running) in counts.iter() {
        for (member, _) in running.iter().filter(|(_, inherited)| inherited.running > 0) {
            by_member.entry(member.clone()).or_default().push(server.clone());
        }
    }
    if by_member.is_empty() {
        return;
    }
    for (member, answer) in call_all(shared, by_member).await {
        let Answer::Released(answer) = answer else { continue };
        for (server, inherited) in answer.released {
            if let Some(running) = counts.get_mut(&server) {
                running.insert(member.clone(), inherited);
            }
        }
    }
    let now = shared.clock.now();
    {
        let mut ownership = lock(&shared.ownership);
        for (server, running) in counts.iter() {
            ownership.set_inherited(server, sum_inherited_requests(running.values(), now));
        }
    }
    use_servers(shared, now);
}

fn use_servers(shared: &Shared, now: Instant) {
    if let Some(current) = shared.config.get() {
        update_servers(shared, &current, now);
    }
}

/// Asks members at the same time and returns the answers that came.
async fn call_all(
    shared: &Arc<Shared>,
    requests: impl IntoIterator<Item = (InstanceName, Vec<BackendServerName>)>,
) -> Vec<(InstanceName, Answer)> {
    let calls = requests.into_iter().map(|(member, servers)| {
        let shared = shared.clone();
        tokio::spawn(async move {
            let answer = call(&shared, &member, &servers).await;
            (member, answer)
        })
    });
    let mut answers = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        answers.extend(call.await.ok());
    }
    answers
}

async fn call(shared: &Shared, member: &InstanceName, servers: &[BackendServerName]) -> Answer {
    let Some((address, own)) = address_of(shared, member) else { return Answer::Silent };
    let request = ReleaseRequest {
        sender: Some(own),
        backend_servers: servers.iter().map(ToString::to_string).collect(),
    };
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let mut client = shared.control_peers.control(address);
    let call = tokio::time::timeout(period * TIMEOUT_PERIODS, client.release(request));
    match call.await {
        Ok(Ok(reply)) => read(member, reply.get_ref(), shared.clock.now()),
        Ok(Err(status)) if status.code() == Code::Unavailable => Answer::Gone,
        _ => Answer::Silent,
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

fn read(member: &InstanceName, reply: &ReleaseReply, now: Instant) -> Answer {
    let known: Result<_, _> = reply.known_instances.iter().map(|name| name.parse()).collect();
    let Some(known) = known.ok().filter(|_| reply.instance == member.as_str()) else {
        return Answer::Silent;
    };
    let released = reply.released.iter().filter_map(|server| {
        let until = now.plus_ms(server.running_left_ms);
        Some((server.name.parse().ok()?, InheritedRequests { running: server.running, until }))
    });
    let released = released.collect();
    Answer::Released(ReleaseAnswer { settled: reply.settled, known, released })
}

/// Stops dispatching to the servers that a new owner asks for.
pub fn release(shared: &Shared, request: &ReleaseRequest) -> ReleaseReply {
    let now = shared.clock.now();
    let mut reply =
        ReleaseReply { instance: shared.settings.instance.to_string(), ..ReleaseReply::default() };
    let Some(sender) = request.sender.as_ref().and_then(wire::member_from_wire) else {
        return reply;
    };
    let (to, incarnation) = (sender.instance.clone(), sender.incarnation);
    gossip::merge_sender(shared, sender, now);
    let is_open = lock(&shared.fence).may_dispatch(now);
    reply.known_instances = known_instances(shared, now);
    let mut ownership = lock(&shared.ownership);
    reply.settled = is_open && ownership.is_settled(now);
    let servers = request.backend_servers.iter().filter_map(|name| name.parse().ok());
    for server in servers {
        let was_usable = ownership.is_usable(&server, now);
        if !ownership.release(&server, &to, incarnation) {
            continue;
        }
        let (running, until) = shared.owner.with_scheduler(|scheduler| {
            scheduler.remove_server(&server);
            scheduler.running_on(&server, now)
        });
        if was_usable {
            log::info!(
                backend_server:% = server, new_owner:% = to, running;
                "placement: releases a backend server"
            );
        }
        // Rounded up, so that a slot does not count as free too early.
        let running_left_ms = until.since_us(now).div_ceil(1_000);
        reply.released.push(ReleasedBackendServer {
            name: server.to_string(),
            running,
            running_left_ms,
        });
    }
    reply
}

/// Returns the members of the own failure domain that may dispatch, as far as this instance knows.
fn known_instances(shared: &Shared, now: Instant) -> Vec<String> {
    let membership = lock(&shared.membership);
    let may_dispatch = membership.members(now).filter(|(record, state)| {
        record.failure_domain == shared.settings.failure_domain
            && !record.leaving
            && *state != MemberState::Dead
    });
    may_dispatch.map(|(record, _)| record.instance.to_string()).collect()
}
