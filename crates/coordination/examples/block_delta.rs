//! Measures the bytes of a change of the client-block map, sent as a delta and as a snapshot.
//!
//! `cargo run --release -p pollenshed-coordination --example block_delta`

use std::{net::Ipv4Addr, time::Instant};

use ipnet::{IpNet, Ipv4Net};
use pollenshed_coordination::replication::{LogPosition, ReplicatedMap, Update};
use pollenshed_state::blocks::{BlockChange, SiteNumber, encode};

type Map = ReplicatedMap<IpNet, SiteNumber>;

const MAX_LOG: usize = 100_000;

/// Returns the /24 block with this number. There are 16.7 million of them.
fn block(number: usize) -> IpNet {
    Ipv4Net::new_assert(Ipv4Addr::from((number as u32) << 8), 24).into()
}

fn encoded(changes: impl IntoIterator<Item = BlockChange>) -> usize {
    let mut bytes = Vec::new();
    encode(changes, &mut bytes);
    bytes.len()
}

fn main() {
    println!("blocks changed delta_B whole_B delta_share% delta_us log_bytes");
    for count in [10_000, 100_000, 1_100_000] {
        let mut map = Map::new(1, MAX_LOG);
        for number in 0..count {
            map.set(block(number), Some(SiteNumber((number % 1_700) as u16)));
        }
        let whole = match map.delta_since(LogPosition { generation: 2, change: 0 }) {
            Update::Snapshot { entries, .. } => {
                encoded(entries.into_iter().map(|(b, s)| (b, Some(s))))
            }
            _ => 0,
        };
        for changed in [1, 10, 100, 1_000, 10_000, 50_000] {
            measure(&mut map, count, changed, whole);
        }
    }
}

fn measure(map: &mut Map, count: usize, changed: usize, whole: usize) {
    let before = map.position();
    for number in 0..changed {
        let site = SiteNumber((number % 1_699) as u16);
        map.set(block(number * 7 % count), Some(site));
    }
    let start = Instant::now();
    let update = map.delta_since(before);
    let delta_us = start.elapsed().as_secs_f64() * 1e6;
    let delta = match update {
        Update::Delta { changes, .. } => encoded(changes),
        Update::UpToDate | Update::Snapshot { .. } => whole,
    };
    let share = delta as f64 * 100.0 / whole as f64;
    let log_bytes = MAX_LOG * size_of::<(u64, IpNet, Option<SiteNumber>)>();
    println!("{count} {changed} {delta} {whole} {share:.4} {delta_us:.1} {log_bytes}");
}
