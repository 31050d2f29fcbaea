//! Lookup: tells a caller which entries to use.

use std::net::IpAddr;

use pollenshed_coordination::routing::rank_entries;
use pollenshed_protocol::caller::{LookupAnswer, LookupEntry};
use pollenshed_state::{
    ids::{Binding, ServiceName},
    time::Instant,
};

use crate::{instance::Shared, util::lock};

/// Entries named in one answer; enough for a caller to fail over twice.
const MAX_ENTRIES: usize = 3;

/// Why a lookup has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// No configuration has reached this instance yet.
    NoConfiguration,
    /// The configuration has no such service.
    UnknownService,
    /// No entry is alive.
    NoEntry,
}

/// Answers a lookup of `service` by a client.
pub fn answer(
    shared: &Shared,
    service: &ServiceName,
    client: IpAddr,
) -> Result<LookupAnswer, NoAnswer> {
    let current = shared.config.get().ok_or(NoAnswer::NoConfiguration)?;
    if !current.config.services.iter().any(|s| s.name == *service) {
        return Err(NoAnswer::UnknownService);
    }
    let now = shared.clock.now();
    let home = &shared.settings.failure_domain;
    let client_key = client.to_string();
    let ranked = {
        let membership = lock(&shared.membership);
        let key = client_key.as_bytes();
        rank_entries(&current.config, &membership, service, home, key, MAX_ENTRIES, now)
    };
    let first = ranked.first().ok_or(NoAnswer::NoEntry)?;
    let binding = Binding {
        instance: first.instance.clone(),
        incarnation: first.incarnation,
        stamp: Instant::from_ms(first.stamp_ms),
    };
    log::info!(
        "lookup: {service} for {client}: {} of {}, first of {}",
        first.instance,
        first.failure_domain,
        ranked.len()
    );
    let entries = ranked
        .iter()
        .map(|entry| LookupEntry {
            instance: entry.instance.clone(),
            failure_domain: entry.failure_domain.clone(),
            address: entry.address,
        })
        .collect();
    Ok(LookupAnswer {
        service: service.clone(),
        ttl_ms: shared.settings.timing.lookup_ttl_ms,
        binding: binding.to_string(),
        entries,
    })
}
