//! Measures the memory use of the client-block map and the time to load, change and look it up.
//!
//! `cargo run --release -p pollenshed-state --example block_map`

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    time::Instant,
};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use pollenshed_state::blocks::{BlockMap, SiteNumber, decode, encode};

const SITES: u64 = 1_700;
const LOOKUPS: u64 = 2_000_000;
const CHANGE_REPEATS: u32 = 20;

/// A deterministic random number generator, so that every run measures the same blocks.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

/// Three quarters are IPv4 of /16 to /24 and the rest IPv6 of /32 to /48, as in routing tables.
fn block(random: &mut Random) -> IpNet {
    let bits = random.next();
    if !bits.is_multiple_of(4) {
        let len = 16 + (random.next() % 14).min(8) as u8;
        Ipv4Net::new_assert(Ipv4Addr::from((bits >> 32) as u32), len).trunc().into()
    } else {
        let address = (0x2000u128 << 112) | (u128::from(random.next()) << 60);
        let len = 32 + (random.next() % 17) as u8;
        Ipv6Net::new_assert(Ipv6Addr::from(address), len).trunc().into()
    }
}

fn blocks(count: usize, random: &mut Random) -> Vec<(IpNet, SiteNumber)> {
    let mut blocks = BTreeMap::new();
    while blocks.len() < count {
        blocks.insert(block(random), SiteNumber((random.next() % SITES) as u16));
    }
    blocks.into_iter().collect()
}

fn main() {
    println!("blocks bytes/block encoded_B/block ns/lookup hit% load_ms change1_ms change1000_ms");
    for count in [10_000, 100_000, 300_000, 1_100_000] {
        measure(count);
    }
}

fn measure(count: usize) {
    let mut random = Random(7);
    let blocks = blocks(count, &mut random);
    let mut bytes = Vec::new();
    encode(blocks.iter().map(|(b, s)| (*b, Some(*s))), &mut bytes);

    let start = Instant::now();
    let decoded = decode(&bytes).expect("bytes that were just encoded");
    let map = BlockMap::build(decoded.into_iter().filter_map(|(b, s)| Some((b, s?))));
    let load_ms = start.elapsed().as_secs_f64() * 1e3;

    let addresses: Vec<IpAddr> = (0..65_536)
        .map(|_| match blocks[random.next() as usize % blocks.len()].0 {
            IpNet::V4(net) => Ipv4Addr::from(u32::from(net.addr()) | 1).into(),
            IpNet::V6(net) => Ipv6Addr::from(u128::from(net.addr()) | 1).into(),
        })
        .collect();
    let start = Instant::now();
    let hits = (0..LOOKUPS)
        .filter(|i| std::hint::black_box(map.site_of(addresses[*i as usize % 65_536])).is_some())
        .count();
    let lookup_ns = start.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;

    println!(
        "{count} {:.1} {:.1} {lookup_ns:.0} {:.0} {load_ms:.1} {:.2} {:.2}",
        map.heap_bytes() as f64 / count as f64,
        bytes.len() as f64 / count as f64,
        hits as f64 * 100.0 / LOOKUPS as f64,
        change_ms(&map, &blocks, 1),
        change_ms(&map, &blocks, 1_000),
    );
}

fn change_ms(map: &BlockMap, blocks: &[(IpNet, SiteNumber)], size: usize) -> f64 {
    let step = blocks.len() / size;
    let changes: Vec<_> = blocks.iter().step_by(step).take(size).map(|b| (b.0, None)).collect();
    let start = Instant::now();
    for _ in 0..CHANGE_REPEATS {
        std::hint::black_box(map.with_changes(changes.iter().copied()));
    }
    start.elapsed().as_secs_f64() * 1e3 / f64::from(CHANGE_REPEATS)
}
