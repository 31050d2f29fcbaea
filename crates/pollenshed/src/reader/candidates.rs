//! Addresses to try when looking for members: the platform's list, or the seeds of the settings.

use pollenshed_coordination::membership::Candidate;
use pollenshed_protocol::platform::InstanceList;
use pollenshed_transport::platform::PlatformError;

use crate::{instance::Shared, util::lock};

/// Bytes of one instance in the list's JSON.
const LISTED_INSTANCE_BYTES: u64 = 130;

/// Share of the control traffic that reading the list may take. A list of 6,700 instances has
/// 0.87 MB and is then read every 106 s, one of up to 60 instances in every poll, because it also
/// names the backend servers that are about to leave.
const LIST_BYTES_PER_S: u64 = 8 * 1024;

/// Makes the seeds candidates until a list is read.
pub fn use_seeds(shared: &Shared) {
    lock(&shared.membership).set_candidates(seeds(shared));
}

/// Reads the list. Returns the time until it should be read again, in milliseconds.
pub fn read(shared: &Shared) -> Result<u64, PlatformError> {
    let list = shared.platform.instances()?;
    let gap_ms = list.instances.len() as u64 * LISTED_INSTANCE_BYTES * 1000 / LIST_BYTES_PER_S;
    lock(&shared.membership).set_candidates(choose(shared, &list));
    let leaving = list.leaving_backend_servers.iter().filter_map(|name| name.parse().ok());
    lock(&shared.leaving_backend_servers).set_listed(leaving, shared.clock.now());
    Ok(gap_ms)
}

/// Takes the list, or the seeds if the list names nobody else.
fn choose(shared: &Shared, list: &InstanceList) -> Vec<Candidate> {
    let own = &shared.settings.instance;
    let others = list.instances.iter().filter(|i| i.name != *own);
    let candidates: Vec<_> = others
        .map(|i| Candidate { instance: i.name.clone(), peer_address: i.peer_address })
        .collect();
    if candidates.is_empty() { seeds(shared) } else { candidates }
}

/// The seeds' names are not known, so they get names that no instance has.
fn seeds(shared: &Shared) -> Vec<Candidate> {
    let own = shared.settings.peer_address;
    let seeds = shared.settings.seed_peers.iter().filter(|address| **address != own);
    let named = seeds.enumerate().filter_map(|(number, address)| {
        let instance = format!("seed-peer-{number}").parse().ok()?;
        Some(Candidate { instance, peer_address: *address })
    });
    named.collect()
}
