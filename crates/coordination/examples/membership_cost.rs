//! Measures the time and bytes of one gossip period for several sizes of a failure domain. At the
//! two-year size, it includes the representatives of 39 other failure domains.
//!
//! Bytes are estimates of the protobuf encoding: [`RECORD_BYTES`] per record, [`HEARTBEAT_BYTES`]
//! per keyed counter, [`BUCKET_BYTES`] per bucket plus 1 per counter in it, and [`MESSAGE_BYTES`]
//! of headers per message (HTTP/2, gRPC and TCP/IP).

use std::{collections::BTreeMap, time::Instant as Clock};

use pollenshed_coordination::membership::{
    Exchange, MemberRecord, MemberState, Membership, Params,
};
use pollenshed_state::{
    ids::{ConfigVersion, Incarnation, InstanceName},
    settings::Timing,
    time::Instant,
};

/// Names of 14 and 10 bytes, two addresses of 18, six integers of 9, 1 and 4 bytes, and field tags.
const RECORD_BYTES: usize = 112;
/// A fixed 64-bit key, and a counter and a time stamp of 4 bytes each in packed fields.
const HEARTBEAT_BYTES: usize = 16;
/// Index, hash, length and field tags.
const BUCKET_BYTES: usize = 11;
/// Headers of one message on an open connection.
const MESSAGE_BYTES: usize = 120;
const PERIOD_MS: u64 = 250;
const WARM_UP_PERIODS: u64 = 100;
const PERIODS: u64 = 40;

fn main() {
    println!(
        "members others converged_after bytes/s/member us/period/member worst_silence_ms dead"
    );
    for (members, other_domains) in [(10, 0), (50, 0), (170, 0), (170, 39), (500, 0)] {
        measure(members, other_domains);
    }
}

fn record(number: usize, domain: usize) -> MemberRecord {
    let name = format!("entry-{domain:02}-{number:05}");
    MemberRecord {
        instance: name.parse().expect("valid name"),
        failure_domain: format!("domain-{domain:03}").parse().expect("valid name"),
        incarnation: Incarnation(number as u64),
        generation: 0,
        counter: 0,
        leaving: false,
        peer_address: ([10, 0, 0, 1], 7_000).into(),
        relay_address: ([127, 0, 0, 1], 2).into(),
        caller_address: ([10, 0, 0, 1], 8_000).into(),
        config_version: ConfigVersion(1),
        stamp_ms: 0,
    }
}

/// Returns all members of one failure domain and the representatives of the others. Each member
/// knows one other at the start.
fn start(members: usize, other_domains: usize) -> Vec<Membership> {
    let params = Params::new(&Timing::default());
    let own = (0..members).map(|n| record(n, 0));
    let others = (1..=other_domains)
        .flat_map(|d| (0..params.representatives_per_domain).map(move |n| record(n, d)));
    let mut all: Vec<_> =
        own.chain(others).map(|r| Membership::new(r, params, Instant::START)).collect();
    for n in 1..all.len() {
        let sender = all[n - 1].own().clone();
        let introduction =
            Exchange { sender, records: Vec::new(), buckets: Vec::new(), heartbeats: Vec::new() };
        all[n].merge(&introduction, Instant::START);
    }
    all
}

fn measure(members: usize, other_domains: usize) {
    let mut all = start(members, other_domains);
    let index: BTreeMap<InstanceName, usize> =
        all.iter().enumerate().map(|(n, m)| (m.own().instance.clone(), n)).collect();
    let mut random = fastrand::Rng::with_seed(1);
    let total = all.len();
    let (mut bytes, mut converged, mut worst_ms, mut dead) = (0, None, 0, 0);
    let mut began = Clock::now();
    for period in 1..=WARM_UP_PERIODS + PERIODS {
        let now = Instant::from_ms(period * PERIOD_MS);
        if period == WARM_UP_PERIODS + 1 {
            (bytes, began) = (0, Clock::now());
        }
        for from in 0..total {
            all[from].tick(now);
            for peer in all[from].pick_peers(now, random.u64(..)) {
                let to = index[&peer.instance];
                bytes += exchange(&mut all, from, to, now);
            }
        }
        if converged.is_none() && all.iter().all(|m| is_complete(m, members, other_domains, now)) {
            converged = Some(period);
        }
        if period > WARM_UP_PERIODS {
            let (silence_ms, lost) = silence(&all, period, now);
            (worst_ms, dead) = (silence_ms.max(worst_ms), dead + lost);
        }
    }
    let per_member = total as u64 * PERIODS;
    println!(
        "{members:7} {:6} {:>15} {:14} {:16.1} {worst_ms:16} {dead:4}",
        total - members,
        converged.map_or("never".to_owned(), |p| format!("{p} periods")),
        bytes as u64 * 1000 / PERIOD_MS / per_member,
        began.elapsed().as_secs_f64() * 1e6 / per_member as f64,
    );
}

/// Exchanges gossip between two members and returns the bytes that both sent.
fn exchange(all: &mut [Membership], from: usize, to: usize, now: Instant) -> usize {
    let (from_name, to_name) = (all[from].own().instance.clone(), all[to].own().instance.clone());
    let request = all[from].build_exchange(&to_name, None, now);
    all[to].merge(&request, now);
    let reply = all[to].build_exchange(&from_name, Some(&request), now);
    all[from].merge(&reply, now);
    size(&request) + size(&reply)
}

fn size(message: &Exchange) -> usize {
    MESSAGE_BYTES
        + (1 + message.records.len()) * RECORD_BYTES
        + message.buckets.iter().map(|b| BUCKET_BYTES + b.counters.len()).sum::<usize>()
        + message.heartbeats.len() * HEARTBEAT_BYTES
}

/// Returns whether `member` knows its own failure domain and the representatives of all others.
fn is_complete(member: &Membership, members: usize, other_domains: usize, now: Instant) -> bool {
    let count = Params::new(&Timing::default()).representatives_per_domain;
    let own_is_large = member.own().failure_domain.as_str() == "domain-000";
    let own_domain = if own_is_large { members } else { count };
    let others = other_domains * count;
    let running = member.members(now).filter(|(_, state)| state.is_running()).count();
    running == own_domain + others
}

/// Returns the age of the oldest counter that any member has of another, and the number of members
/// that another member considers dead, counted in all views.
fn silence(all: &[Membership], period: u64, now: Instant) -> (u64, usize) {
    let views = all.iter().flat_map(|m| m.members(now));
    let ages = views.map(|(record, state)| (period - record.counter, state));
    ages.fold((0, 0), |(worst, dead), (age, state)| {
        (worst.max(age * PERIOD_MS), dead + usize::from(state == MemberState::Dead))
    })
}
