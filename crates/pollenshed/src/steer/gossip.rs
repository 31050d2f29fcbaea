//! Datagrams between instances: who lives, and how many requests run where.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pollenshed_coordination::limits::QuarantineEntry;
use pollenshed_state::ids::{Digest, Incarnation};
use pollenshed_transport::listen::StopPhase;
use prost::Message;
use tokio::net::UdpSocket;

use super::{
    core::Core,
    homes::ClaimList,
    members::{MemberRecord, PeerState},
    reader::own_record,
};

/// Pause between two datagrams to a peer.
const PERIOD: Duration = Duration::from_millis(250);

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
    crashes: Vec<Crashes>,
}

/// Content and the backend servers that it crashed.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Crashes {
    #[prost(bytes = "vec", tag = "1")]
    content: Vec<u8>,
    #[prost(string, repeated, tag = "2")]
    servers: Vec<String>,
    #[prost(uint64, tag = "3")]
    ttl_left_ms: u64,
}

impl Crashes {
    fn entry(&self) -> Option<QuarantineEntry> {
        Some(QuarantineEntry {
            content: Digest::from_bytes(self.content.as_slice().try_into().ok()?),
            crashed: self.servers.iter().filter_map(|name| name.parse().ok()).collect(),
            ttl_left_ms: self.ttl_left_ms,
        })
    }
}

/// Sends and receives heartbeats until the process ends.
pub async fn run(core: Rc<Core>, socket: Rc<UdpSocket>) {
    tokio::task::spawn_local(receive(core.clone(), socket.clone()));
    loop {
        core.fleet.borrow_mut().expire_peers(core.now());
        core.pool.expire();
        send(&core, &socket).await;
        tokio::time::sleep(PERIOD).await;
    }
}

/// Tells all peers the state of this instance at once.
pub async fn send(core: &Core, socket: &UdpSocket) {
    let datagram = heartbeat(core).encode_to_vec();
    for peer in addresses(core) {
        // A datagram that is lost is followed by the next one.
        let _ = socket.send_to(&datagram, peer).await;
    }
}

fn addresses(core: &Core) -> Vec<SocketAddr> {
    let members = core.members.borrow();
    let mut addresses: Vec<_> = members.peers().map(|m| m.record.peer_address).collect();
    if addresses.is_empty() {
        // Seeds are other ports of machines that run an instance; peers use one port everywhere.
        let port = core.settings.peer_address().port();
        let seeds = core.settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        addresses.extend(seeds.filter(|a| *a != core.settings.peer_address()));
    }
    addresses
}

fn heartbeat(core: &Core) -> Heartbeat {
    let record = own_record(core);
    let counts = core.fleet.borrow().own_counts();
    let mut claims = core.fleet.borrow_mut().homes.recent(core.now());
    // The newest ones, if they do not all fit.
    claims.drain(..claims.len().saturating_sub(MAX_CLAIMS));
    let mut crashes = core.quarantine.borrow().export(core.now());
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
        crashes: crashes
            .into_iter()
            .map(|entry| Crashes {
                content: entry.content.as_bytes().to_vec(),
                servers: entry.crashed.iter().map(ToString::to_string).collect(),
                ttl_left_ms: entry.ttl_left_ms,
            })
            .collect(),
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
    let state =
        PeerState { leaving: heartbeat.leaving, ready: heartbeat.ready, steady: heartbeat.steady };
    let is_new = core.members.borrow_mut().heard(record, state, now);
    if is_new {
        log::info!("members: heard; instance={instance} config={}", heartbeat.config_version);
    }
    let counts = heartbeat.servers.iter().copied().zip(heartbeat.counts.iter().copied()).collect();
    let crashes: Vec<_> = heartbeat.crashes.iter().filter_map(Crashes::entry).collect();
    core.quarantine.borrow_mut().merge(&crashes, now);
    let mut fleet = core.fleet.borrow_mut();
    fleet.peer_counts(&instance, counts, now);
    if let Some(homes) = &heartbeat.homes {
        fleet.homes.merge(homes.claims(), now);
    }
    Some(())
}
