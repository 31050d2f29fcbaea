//! Addresses at which to look for members: those of the platform's list, or the seed peers of the
//! settings.

use pollenshed_coordination::membership::Candidate;
use pollenshed_protocol::platform::InstanceList;
use pollenshed_transport::platform::PlatformError;

use crate::{instance::Shared, util::lock};

/// Size of one instance in the JSON of the platform's list.
const LISTED_INSTANCE_BYTES: u64 = 130;

/// Mean rate at which an instance may read the list, as its share of the control traffic. A list of
/// 6,700 instances has 0.87 MB and is then read every 106 s. A list of up to 60 instances is read
/// in every poll, because it also names the backend servers that are about to leave.
const LIST_BYTES_PER_S: u64 = 8 * 1024;

/// Uses the seed peers as candidates until a list is read.
pub fn use_seeds(shared: &Shared) {
    lock(&shared.membership).set_candidates(seeds(shared));
}

/// Reads the list and stores what it names. Returns the time until the next read, in milliseconds.
pub fn read(shared: &Shared) -> Result<u64, PlatformError> {
    let list = shared.platform.instances()?;
    let next_read_ms =
        list.instances.len() as u64 * LISTED_INSTANCE_BYTES * 1000 / LIST_BYTES_PER_S;
    lock(&shared.membership).set_candidates(candidates_of(shared, &list));
    let leaving = list.leaving_backend_servers.iter().filter_map(|name| name.parse().ok());
    lock(&shared.leaving_backend_servers).set_listed(leaving, shared.clock.now());
    Ok(next_read_ms)
}

/// Returns the candidates of the list, or the seeds if the list names no other instance.
fn candidates_of(shared: &Shared, list: &InstanceList) -> Vec<Candidate> {
    let own = &shared.settings.instance;
    let others = list.instances.iter().filter(|i| i.name != *own);
    let candidates: Vec<_> = others
        .map(|i| Candidate { instance: i.name.clone(), peer_address: i.peer_address })
        .collect();
    if candidates.is_empty() { seeds(shared) } else { candidates }
}

/// Returns the seed peers as candidates. The settings give only their addresses, so each gets a
/// placeholder name that no instance has.
fn seeds(shared: &Shared) -> Vec<Candidate> {
    let own = shared.settings.peer_address;
    let seeds = shared.settings.seed_peers.iter().filter(|address| **address != own);
    let named = seeds.enumerate().filter_map(|(number, address)| {
        let instance = format!("seed-peer-{number}").parse().ok()?;
        Some(Candidate { instance, peer_address: *address })
    });
    named.collect()
}
