//! Rendezvous hashing: each pair of server and entry has a score, and the entry with the highest
//! score owns the server.

use pollenshed_state::ids::{BackendServerName, InstanceName};

use crate::membership::hash::stable_hash;

/// Returns the owner of `server` among `entries`, or `None` if there are none.
///
/// The order of `entries` does not matter. When an entry joins or leaves, only the servers that it
/// owns change their owner.
pub fn owner_of<'a>(
    server: &BackendServerName,
    entries: impl IntoIterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    entries.into_iter().max_by_key(|entry| (score(server, entry), *entry))
}

pub(super) fn score(server: &BackendServerName, entry: &InstanceName) -> u64 {
    stable_hash(&[server.as_str().as_bytes(), entry.as_str().as_bytes()])
}
