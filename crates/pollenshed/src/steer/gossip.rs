//! Datagrams between instances: who lives, and how many requests run where.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pollenshed_state::ids::Incarnation;
use pollenshed_transport::listen::StopPhase;
use prost::Message;
use tokio::net::UdpSocket;

use super::{
    core::Core,
    crashes::CrashedContent,
    homes::ClaimList,
    members::{Member, MemberRecord, PeerState},
    registration::own_record,
};

/// Shortest pause between two heartbeats to a peer of the own region.
const PERIOD: Duration = Duration::from_millis(250);

/// Peers in the own region up to which the shortest pause is kept and far peers are told as often.
/// Balance suffers where loads are told late, so only regions whose bytes need it do with less.
const NEAR_AT_FULL_PACE: usize = 40;

/// Heartbeats to near peers for each one to a peer of another region, in a large region.
const FAR_TURNS: u32 = 4;

/// Heartbeats that repeat a claim or a crash, as a datagram can be lost.
const NEWS_REPEATS: u64 = 3;

/// Turns after which all crashes are told again, to peers that have started or were cut off. Each one
/// takes some 50 bytes of a heartbeat of about 110.
const CRASHES_TURNS: usize = 8;

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Homes of objects in one datagram.
const MAX_CLAIMS: usize = 80;

/// Crashing contents in one datagram.
const MAX_CRASHES: usize = 16;

/// State of an instance as its peers receive it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Heartbeat {
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
    /// Keys of the backend servers on which requests of the instance run.
    #[prost(fixed32, repeated, tag = "9")]
    servers: Vec<u32>,
    /// Requests that run, one number for each of `servers`.
    #[prost(uint32, repeated, tag = "10")]
    counts: Vec<u32>,
    /// Homes that the instance chose lately.
    #[prost(message, optional, tag = "11")]
    homes: Option<ClaimList>,
    /// The store answers the calls of the instance.
    #[prost(bool, tag = "12")]
    steady: bool,
    /// Content that crashes backend servers.
    #[prost(message, repeated, tag = "13")]
    crashes: Vec<CrashedContent>,
    /// Time until the next heartbeat to the same peer.
    #[prost(uint64, tag = "14")]
    pause_ms: u64,
    /// Time for which the store has answered the instance without a break.
    #[prost(uint64, tag = "15")]
    store_answered_ms: u64,
}

/// Which crashes a heartbeat tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crashes {
    /// Those that its receivers may not know.
    New,
    All,
}

/// Pauses between two heartbeats to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pace {
    near: Duration,
    /// Heartbeats to near peers for each one to a far peer.
    far_turns: u32,
}

impl Pace {
    /// Returns the pauses in a region with `near` other instances. They grow with the region, so
    /// that the bytes of an instance stay bounded.
    fn new(near: usize) -> Pace {
        if near <= NEAR_AT_FULL_PACE {
            return Pace { near: PERIOD, far_turns: 1 };
        }
        Pace { near: 2 * PERIOD, far_turns: FAR_TURNS }
    }

    fn far(self) -> Duration {
        self.near * self.far_turns
    }
}

/// Sends and receives heartbeats until the process ends.
pub async fn run(core: Rc<Core>, socket: Rc<UdpSocket>) {
    tokio::task::spawn_local(receive(core.clone(), socket.clone()));
    let mut turn = 0_usize;
    loop {
        {
            let mut fleet = core.fleet.borrow_mut();
            fleet.set_instance_count(core.members.borrow().live_count(core.now()));
            fleet.expire_peer_counts(core.now());
            fleet.observe_object_loads(core.now());
        }
        core.pool.expire();
        let (near, far) = addresses(&core);
        let pace = Pace::new(near.len());
        let crashes = if turn % CRASHES_TURNS < pace.far_turns as usize {
            Crashes::All
        } else {
            Crashes::New
        };
        send(&core, &socket, &near, pace.near, crashes).await;
        // Each turn serves a part of the far peers.
        let turns = pace.far_turns as usize;
        let part: Vec<_> = far.into_iter().skip(turn % turns).step_by(turns).collect();
        send(&core, &socket, &part, pace.far(), crashes).await;
        turn += 1;
        tokio::time::sleep(pace.near).await;
    }
}

/// Tells all peers the state of this instance at once.
pub async fn send_to_all(core: &Core, socket: &UdpSocket) {
    let (near, far) = addresses(core);
    let pace = Pace::new(near.len());
    send(core, socket, &near, pace.near, Crashes::All).await;
    send(core, socket, &far, pace.far(), Crashes::All).await;
}

async fn send(
    core: &Core,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    pause: Duration,
    crashes: Crashes,
) {
    if peers.is_empty() {
        return;
    }
    let datagram = heartbeat(core, pause, crashes).encode_to_vec();
    for peer in peers {
        // A datagram that is lost is followed by the next one.
        let _ = socket.send_to(&datagram, peer).await;
    }
}

/// Returns the peers of the own region and the others.
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
        // Seeds are other ports of machines that run an instance; peers use one port everywhere.
        let port = settings.peer_address().port();
        let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        near.extend(seeds.filter(|a| *a != settings.peer_address()));
    }
    (near, far)
}

fn heartbeat(core: &Core, pause: Duration, crashes: Crashes) -> Heartbeat {
    let pause_ms = pause.as_millis() as u64;
    let record = own_record(core);
    let counts = core.fleet.borrow().own_counts();
    let mut claims =
        core.fleet.borrow_mut().homes.recent_claims(NEWS_REPEATS * pause_ms, core.now());
    // The newest ones, if they do not all fit.
    claims.drain(..claims.len().saturating_sub(MAX_CLAIMS));
    let crashes_age_ms = match crashes {
        Crashes::All => u64::MAX,
        Crashes::New => NEWS_REPEATS * pause_ms,
    };
    let mut crashes = core.quarantine.borrow().export_recent(crashes_age_ms, core.now());
    crashes.truncate(MAX_CRASHES);
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
        steady: core.store_is_steady(),
        store_answered_ms: core.store_streak.get().duration_ms(core.now()),
        pause_ms,
        crashes: crashes.iter().map(CrashedContent::new).collect(),
    }
}

async fn receive(core: Rc<Core>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(PERIOD).await;
            continue;
        };
        let Ok(heartbeat) = Heartbeat::decode(&buffer[..length]) else {
            log::warn!("gossip: unreadable datagram; from={from}");
            continue;
        };
        if take(&core, &heartbeat).is_none() {
            log::warn!("gossip: unusable datagram; from={from}");
        }
    }
}

fn take(core: &Core, heartbeat: &Heartbeat) -> Option<()> {
    let record = MemberRecord {
        instance: heartbeat.instance.parse().ok()?,
        incarnation: Incarnation(heartbeat.incarnation),
        failure_domain: heartbeat.failure_domain.parse().ok()?,
        callers_address: heartbeat.callers_address.parse().ok()?,
        peer_address: heartbeat.peer_address.parse().ok()?,
    };
    let now = core.now();
    let instance = record.instance.clone();
    let state = PeerState {
        leaving: heartbeat.leaving,
        ready: heartbeat.ready,
        steady: heartbeat.steady,
        store_answered_ms: heartbeat.store_answered_ms,
        pause_ms: heartbeat.pause_ms,
    };
    let is_new = core.members.borrow_mut().heard(record, state, now);
    if is_new {
        log::info!("members: heard; instance={instance} config={}", heartbeat.config_version);
    }
    let counts = heartbeat.servers.iter().copied().zip(heartbeat.counts.iter().copied()).collect();
    let crashes: Vec<_> = heartbeat.crashes.iter().filter_map(CrashedContent::entry).collect();
    core.quarantine.borrow_mut().merge(&crashes, now);
    let mut fleet = core.fleet.borrow_mut();
    fleet.set_peer_counts(&instance, counts, now);
    if let Some(homes) = &heartbeat.homes {
        fleet.homes.merge(homes.claims(), now);
    }
    Some(())
}
