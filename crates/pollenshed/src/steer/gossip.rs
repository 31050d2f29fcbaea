//! Heartbeats between instances: UDP datagrams that carry liveness, request counts per backend
//! server, homes of objects and crashing content.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pollenshed_coordination::{
    membership::rounds_per_beat,
    steering::{AnswerSource, LimitReport},
};
use pollenshed_state::{ids::Incarnation, time::Instant, units::RequestRate};
use pollenshed_transport::listen::StopPhase;
use prost::Message;

use super::{
    assign::{self, AssignAnswer, AssignEnd, AssignQuery},
    core::Core,
    crashes::CrashedContent,
    homes::ClaimList,
    members::{Member, MemberRecord, PeerState, RelayedBeat},
    reader::RENEWAL_MS,
    registration::own_record,
    workspace_limits::{self, wire::LimitDatagram},
};

/// Shortest interval between heartbeats to a peer of the same region.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval that a heartbeat to a peer that has just started announces. The next one follows after
/// the regular interval, which depends on the distance.
const GREETING_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which an instance that is not ready checks whether it has become so.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Factor by which the interval to peers of other regions is longer, in a large region.
const FAR_INTERVAL_FACTOR: u32 = 4;

/// Number of live peers to which an instance of a large region sends each heartbeat.
const RELAY_FANOUT: usize = 3;

/// Every so many rounds, a heartbeat of a large region goes to any known peer as well.
const SILENT_PEER_ROUNDS: usize = 2;

/// Interval that such a heartbeat announces. The next heartbeat mostly arrives by way of others, so
/// it is about a third of the silence after which an instance counts as gone.
const RELAY_ANNOUNCED_INTERVAL: Duration = Duration::from_millis(1_180);

/// Heartbeats in which a new claim or crash is repeated, because datagrams can be lost.
const UPDATE_REPEATS: u64 = 3;

/// Every so many rounds, heartbeats carry all known crashes, for peers that have started or were
/// cut off. Each crash takes about 50 bytes, the rest of a heartbeat about 110.
const ALL_CRASHES_ROUNDS: usize = 8;

/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Maximum number of claims in a datagram.
const MAX_CLAIMS: usize = 80;

/// Maximum number of crashing contents in a datagram.
const MAX_CRASHES: usize = 16;

/// A datagram between instances. It has one of the parts.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PeerDatagram {
    /// State of the sender.
    #[prost(message, optional, tag = "1")]
    pub heartbeat: Option<Heartbeat>,
    /// Question where to send a request.
    #[prost(message, optional, tag = "2")]
    pub query: Option<AssignQuery>,
    /// Answer to a question.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<AssignAnswer>,
    /// Report of the end of a request.
    #[prost(message, optional, tag = "4")]
    pub end: Option<AssignEnd>,
    /// Message about limits of workspaces.
    #[prost(message, optional, tag = "8")]
    pub limit: Option<LimitDatagram>,
}

/// State of an instance as sent to its peers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Heartbeat {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    failure_domain: String,
    #[prost(string, tag = "4")]
    callers_address: String,
    #[prost(string, tag = "5")]
    peer_address: String,
    #[prost(bool, tag = "6")]
    leaving: bool,
    #[prost(bool, tag = "7")]
    ready: bool,
    #[prost(uint64, tag = "8")]
    config_version: u64,
    /// Keys of the backend servers that execute requests of the instance.
    #[prost(fixed32, repeated, tag = "9")]
    servers: Vec<u32>,
    /// Number of these requests for each of `servers`, in the same order.
    #[prost(uint32, repeated, tag = "10")]
    counts: Vec<u32>,
    /// Recent claims of homes by the instance.
    #[prost(message, optional, tag = "11")]
    homes: Option<ClaimList>,
    /// Whether the store answers the calls of the instance.
    #[prost(bool, tag = "12")]
    store_healthy: bool,
    /// Content that crashes backend servers.
    #[prost(message, repeated, tag = "13")]
    crashes: Vec<CrashedContent>,
    /// Time until the next heartbeat to the same peer.
    #[prost(uint64, tag = "14")]
    heartbeat_interval_ms: u64,
    /// How long the store has answered the instance without interruption.
    #[prost(uint64, tag = "15")]
    store_answered_ms: u64,
    /// Number of this heartbeat in the run of the instance.
    #[prost(uint64, tag = "16")]
    beat: u64,
    /// Heartbeats of other instances of a large region.
    #[prost(message, optional, tag = "17")]
    relayed: Option<RelayedBeats>,
    /// Backend servers that limit their requests.
    #[prost(message, repeated, tag = "18")]
    limits: Vec<StatedLimit>,
    /// Time since the last of the answers of `store_answered_ms`.
    #[prost(uint64, optional, tag = "19")]
    store_answer_age_ms: Option<u64>,
    /// For how long the store has answered other instances, of which none may live any more.
    #[prost(message, optional, tag = "20")]
    heard_answers: Option<HeardAnswers>,
}

/// Answers of the store to other instances.
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
struct HeardAnswers {
    /// Time from the first to the last one.
    #[prost(uint64, tag = "1")]
    length_ms: u64,
    /// Time since the last one.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

/// Limit of a backend server, and the requests that the sender counted towards it.
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
struct StatedLimit {
    #[prost(fixed32, tag = "1")]
    server: u32,
    /// Thousandths of a request per second.
    #[prost(uint64, tag = "2")]
    rate: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(uint32, tag = "4")]
    sent: u32,
}

impl StatedLimit {
    fn new(report: &LimitReport) -> StatedLimit {
        let LimitReport { server, rate, age_ms, sent } = *report;
        StatedLimit { server, rate: rate.0, age_ms, sent }
    }

    fn report(&self) -> LimitReport {
        let StatedLimit { server, rate, age_ms, sent } = *self;
        LimitReport { server, rate: RequestRate(rate), age_ms, sent }
    }
}

/// Heartbeats that an instance passes on, in columns: the values at one index of the lists belong
/// to one process.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct RelayedBeats {
    #[prost(fixed32, repeated, tag = "1")]
    keys: Vec<u32>,
    #[prost(uint64, repeated, tag = "2")]
    beats: Vec<u64>,
    /// Bits 0 to 2: ready, leaving, store healthy. Above them, how long the store has answered, in
    /// seconds, at most [`MAX_RELAYED_ANSWERED_S`].
    #[prost(uint32, repeated, tag = "3")]
    states: Vec<u32>,
}

/// Upper bound of the relayed time for which the store has answered. Only the first seconds matter,
/// and a larger number would take another byte.
const MAX_RELAYED_ANSWERED_S: u64 = 15;

impl RelayedBeats {
    fn new(beats: &[RelayedBeat]) -> RelayedBeats {
        let state = |b: &RelayedBeat| {
            let answered_s = (b.store_answered_ms / 1_000).min(MAX_RELAYED_ANSWERED_S) as u32;
            u32::from(b.ready)
                | u32::from(b.leaving) << 1
                | u32::from(b.store_healthy) << 2
                | answered_s << 3
        };
        RelayedBeats {
            keys: beats.iter().map(|b| b.key).collect(),
            beats: beats.iter().map(|b| b.beat).collect(),
            states: beats.iter().map(state).collect(),
        }
    }

    fn beats(&self) -> impl Iterator<Item = RelayedBeat> + '_ {
        let ids = self.keys.iter().zip(&self.beats);
        ids.zip(&self.states).map(|((key, beat), state)| RelayedBeat {
            key: *key,
            beat: *beat,
            ready: state & 1 != 0,
            leaving: state & 2 != 0,
            store_healthy: state & 4 != 0,
            store_answered_ms: u64::from(state >> 3) * 1_000,
        })
    }
}

/// Selects the crashes that a heartbeat carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashSelection {
    /// Only recent ones, which peers may not know yet.
    New,
    All,
}

/// Intervals between heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeartbeatIntervals {
    /// Interval to peers of the same region.
    near: Duration,
    /// The interval to peers of other regions is longer by this factor.
    far_factor: u32,
}

impl HeartbeatIntervals {
    /// Returns the intervals of this instance. They are longer in a large region, where late counts
    /// do no harm, so that the bytes that an instance sends stay bounded.
    fn of(core: &Core) -> HeartbeatIntervals {
        if core.assigns_by_object() {
            return HeartbeatIntervals {
                near: 2 * HEARTBEAT_INTERVAL,
                far_factor: FAR_INTERVAL_FACTOR,
            };
        }
        HeartbeatIntervals { near: HEARTBEAT_INTERVAL, far_factor: 1 }
    }

    fn far(self) -> Duration {
        self.near * self.far_factor
    }
}

/// Sends and receives heartbeats until the process ends.
pub async fn run(core: Rc<Core>) {
    tokio::task::spawn_local(receive(core.clone()));
    let mut round = 0_usize;
    loop {
        {
            let mut fleet = core.fleet.borrow_mut();
            fleet.set_instance_count(core.members.borrow().live_count(core.now()));
            fleet.expire_peer_counts(core.now());
            fleet.expire_peer_limits(core.now());
            fleet.expire_assignments(core.now());
            fleet.observe_object_loads(core.now());
        }
        core.pool.close_expired();
        assign::forget_cancelled(&core);
        let (near, far) = addresses(&core);
        core.peer_count.set(near.len() + far.len());
        let intervals = HeartbeatIntervals::of(&core);
        if (round as u64).is_multiple_of(rounds_per_beat(near.len())) {
            core.beat.set(core.beat.get() + 1);
        }
        let crashes = if round % ALL_CRASHES_ROUNDS < intervals.far_factor as usize {
            CrashSelection::All
        } else {
            CrashSelection::New
        };
        let is_large = core.assigns_by_object();
        if is_large {
            send_with_relayed_beats(&core, &near, round, crashes).await;
        } else {
            send(&core, &near, intervals.near, crashes).await;
        }
        // Each round serves a part of the peers in other regions.
        let far_parts = intervals.far_factor as usize;
        let part: Vec<_> = far.into_iter().skip(round % far_parts).step_by(far_parts).collect();
        if !is_large || core.is_region_representative() {
            send(&core, &part, intervals.far(), crashes).await;
        }
        round += 1;
        sleep_until_next_round(&core, intervals.near).await;
    }
}

/// Waits for the next round. An instance that becomes ready meanwhile tells its peers at once, since
/// those that have just started wait for one that has the tables.
async fn sleep_until_next_round(core: &Core, interval: Duration) {
    let end = tokio::time::Instant::now() + interval;
    while !core.is_ready() && tokio::time::Instant::now() < end {
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
        if core.is_ready() {
            send_to_all(core).await;
        }
    }
    tokio::time::sleep_until(end).await;
}

/// Sends a heartbeat to all peers immediately.
pub async fn send_to_all(core: &Core) {
    let (near, far) = addresses(core);
    let intervals = HeartbeatIntervals::of(core);
    let announced =
        if core.assigns_by_object() { RELAY_ANNOUNCED_INTERVAL } else { intervals.near };
    send(core, &near, announced, CrashSelection::All).await;
    send(core, &far, intervals.far(), CrashSelection::All).await;
}

/// Sends a heartbeat to a few peers of a large region, together with what is known of others. Bytes
/// and messages of an instance then do not grow with the region.
async fn send_with_relayed_beats(
    core: &Core,
    near: &[SocketAddr],
    round: usize,
    crashes: CrashSelection,
) {
    let beats = core.members.borrow_mut().beats_to_relay(core.now());
    let mut targets = core.live_near_addresses();
    fastrand::shuffle(&mut targets);
    targets.truncate(RELAY_FANOUT);
    // Instances that are not known to live may have been cut off or may have started just now.
    if round.is_multiple_of(SILENT_PEER_ROUNDS) || targets.len() < RELAY_FANOUT {
        let any = near.get(fastrand::usize(..near.len().max(1))).copied();
        targets.extend(any.filter(|a| !targets.contains(a)));
    }
    let mut heartbeat = heartbeat(core, RELAY_ANNOUNCED_INTERVAL, crashes);
    heartbeat.relayed = Some(RelayedBeats::new(&beats));
    let datagram = PeerDatagram { heartbeat: Some(heartbeat), ..PeerDatagram::default() };
    let datagram = datagram.encode_to_vec();
    for peer in targets {
        // A lost datagram is made up for by those of others.
        let _ = core.peer_socket.send_to(&datagram, peer).await;
    }
}

async fn send(core: &Core, peers: &[SocketAddr], interval: Duration, crashes: CrashSelection) {
    if peers.is_empty() {
        return;
    }
    let heartbeat = Some(heartbeat(core, interval, crashes));
    let datagram = PeerDatagram { heartbeat, ..PeerDatagram::default() }.encode_to_vec();
    for peer in peers {
        // A lost datagram is made up for by the next heartbeat.
        let _ = core.peer_socket.send_to(&datagram, peer).await;
    }
}

/// Returns the addresses of the peers in this region and of those in other regions.
fn addresses(core: &Core) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let settings = &core.settings;
    let members = core.members.borrow();
    let region = |m: &Member| settings.failure_domains.get(&m.record.failure_domain);
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        members.peers().partition(|m| region(m) == Some(settings.region()));
    let address = |m: &Member| m.record.peer_address;
    let mut near: Vec<_> = near.into_iter().map(address).collect();
    let far: Vec<_> = far.into_iter().map(address).collect();
    if near.is_empty() && far.is_empty() {
        // Seeds may name any port of a machine that runs an instance. All instances use the same
        // peer port.
        let port = settings.peer_address().port();
        let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        near.extend(seeds.filter(|a| *a != settings.peer_address()));
    }
    (near, far)
}

fn heartbeat(core: &Core, interval: Duration, crashes: CrashSelection) -> Heartbeat {
    let heartbeat_interval_ms = interval.as_millis() as u64;
    let record = own_record(core);
    let mut fleet = core.fleet.borrow_mut();
    // In a large region the instance that assigns the requests of an object needs neither.
    let (counts, mut claims) = if core.assigns_by_object() {
        (Vec::new(), Vec::new())
    } else {
        let age_ms = UPDATE_REPEATS * heartbeat_interval_ms;
        (fleet.own_counts(), fleet.homes.recent_claims(age_ms, core.now()))
    };
    let limits = fleet.limit_reports(core.now());
    drop(fleet);
    // If there are too many, only the newest claims are sent.
    claims.drain(..claims.len().saturating_sub(MAX_CLAIMS));
    let crashes_age_ms = match crashes {
        CrashSelection::All => u64::MAX,
        CrashSelection::New => UPDATE_REPEATS * heartbeat_interval_ms,
    };
    let mut crashes = core.quarantine.borrow().export_recent(crashes_age_ms, core.now());
    crashes.truncate(MAX_CRASHES);
    let now = core.now();
    let streak = core.store_streak.get();
    // Once a live instance has had answers for so long, peers hear of them from itself.
    let heard_answers =
        streak.first_hand_report_ms(now).filter(|_| core.store_answered_ms() < RENEWAL_MS);
    Heartbeat {
        instance: record.instance.to_string(),
        incarnation: record.incarnation.0,
        failure_domain: record.failure_domain.to_string(),
        callers_address: record.callers_address.to_string(),
        peer_address: record.peer_address.to_string(),
        leaving: core.stop_phase() > StopPhase::Serving,
        ready: core.is_ready(),
        config_version: core.plan_version().0,
        servers: counts.iter().map(|(server, _)| *server).collect(),
        counts: counts.iter().map(|(_, count)| *count).collect(),
        homes: (!claims.is_empty()).then(|| ClaimList::new(&claims)),
        store_healthy: core.store_is_healthy(),
        store_answered_ms: streak.duration_ms(now),
        store_answer_age_ms: streak.age_ms(now),
        heard_answers: heard_answers.map(|(length_ms, age_ms)| HeardAnswers { length_ms, age_ms }),
        beat: core.beat.get(),
        relayed: None,
        limits: limits.iter().map(StatedLimit::new).collect(),
        heartbeat_interval_ms,
        crashes: crashes.iter().map(CrashedContent::new).collect(),
    }
}

async fn receive(core: Rc<Core>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = core.peer_socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        let Ok(datagram) = PeerDatagram::decode(&buffer[..length]) else {
            log::warn!("gossip: malformed datagram; from={from}");
            continue;
        };
        if let Some(query) = datagram.query {
            assign::handle_query(&core, query, from);
        }
        if let Some(answer) = datagram.answer {
            assign::handle_answer(&core, answer, from);
        }
        if let Some(report) = datagram.end {
            assign::handle_end(&core, &report);
        }
        if let Some(limit) = datagram.limit {
            workspace_limits::handle(&core, limit, from);
        }
        let Some(heartbeat) = datagram.heartbeat else { continue };
        match apply_heartbeat(&core, &heartbeat) {
            // A peer that has just started learns of this instance at once.
            Some(true) => send(&core, &[from], GREETING_INTERVAL, CrashSelection::All).await,
            Some(false) => {}
            None => log::warn!("gossip: invalid datagram; from={from}"),
        }
    }
}

/// Records what a heartbeat tells of the store's answers.
fn record_store_answers(core: &Core, heartbeat: &Heartbeat, now: Instant) {
    let mut streak = core.store_streak.get();
    if let Some(age_ms) = heartbeat.store_answer_age_ms.filter(|_| heartbeat.store_answered_ms > 0)
    {
        streak.record_report(AnswerSource::Peer, heartbeat.store_answered_ms, age_ms, now);
    }
    if let Some(HeardAnswers { length_ms, age_ms }) = heartbeat.heard_answers {
        streak.record_report(AnswerSource::Other, length_ms, age_ms, now);
    }
    core.store_streak.set(streak);
}

/// Applies a heartbeat and returns whether its sender was silent before. An invalid heartbeat is
/// ignored and gives `None`.
fn apply_heartbeat(core: &Core, heartbeat: &Heartbeat) -> Option<bool> {
    let record = MemberRecord {
        instance: heartbeat.instance.parse().ok()?,
        incarnation: Incarnation(heartbeat.incarnation),
        failure_domain: heartbeat.failure_domain.parse().ok()?,
        callers_address: heartbeat.callers_address.parse().ok()?,
        peer_address: heartbeat.peer_address.parse().ok()?,
    };
    if core.members.borrow().is_late(&record, heartbeat.beat) {
        return Some(false);
    }
    let now = core.now();
    let instance = record.instance.clone();
    let state = PeerState {
        leaving: heartbeat.leaving,
        ready: heartbeat.ready,
        store_healthy: heartbeat.store_healthy,
        store_answered_ms: heartbeat.store_answered_ms,
        heartbeat_interval_ms: heartbeat.heartbeat_interval_ms,
        beat: heartbeat.beat,
    };
    record_store_answers(core, heartbeat, now);
    let is_new = core.members.borrow_mut().record_heartbeat(record, state, now);
    if let Some(relayed) = &heartbeat.relayed {
        core.members.borrow_mut().record_relayed(relayed.beats(), now);
    }
    if is_new {
        log::info!("members: live; instance={instance} config={}", heartbeat.config_version);
    }
    let counts = heartbeat.servers.iter().copied().zip(heartbeat.counts.iter().copied()).collect();
    let crashes: Vec<_> = heartbeat.crashes.iter().filter_map(CrashedContent::entry).collect();
    core.quarantine.borrow_mut().merge(&crashes, now);
    let mut fleet = core.fleet.borrow_mut();
    fleet.set_peer_counts(&instance, counts, now);
    fleet.set_peer_limits(
        &instance,
        heartbeat.limits.iter().map(StatedLimit::report).collect(),
        now,
    );
    if let Some(homes) = &heartbeat.homes {
        fleet.homes.merge(homes.claims(), now);
    }
    Some(is_new)
}
