//! The lookup role: tells callers which entries to use.

use std::{collections::BTreeSet, net::IpAddr};

use pollenshed_coordination::{
    ownership::live_entries,
    routing::{choose_lookup_domain, rank_entries},
    shift::WHOLE_PPM,
};
use pollenshed_protocol::caller::{LookupAnswer, LookupEntry};
use pollenshed_state::{
    config::Config,
    ids::{Binding, FailureDomainName, ServiceName},
    time::Instant,
};
use pollenshed_transport::metrics::Counter;

use crate::{instance::Shared, util::lock};

/// Limit of entries in one answer, which lets a caller fail over twice.
const MAX_ENTRIES: usize = 3;

/// Why a lookup has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    /// No configuration has reached this instance yet.
    NoConfiguration,
    /// The configuration has no such service.
    UnknownService,
    /// No entry is alive.
    NoEntry,
}

/// Returns the entries that the client at address `client` should use for `service`, in order of
/// preference.
pub fn find_entries(
    shared: &Shared,
    service: &ServiceName,
    client: IpAddr,
) -> Result<LookupAnswer, LookupError> {
    let current = shared.config.get().ok_or(LookupError::NoConfiguration)?;
    if !current.config.services.iter().any(|s| s.name == *service) {
        return Err(LookupError::UnknownService);
    }
    let now = shared.clock.now();
    let (first_domain, share_ppm) = choose_first_domain(shared, &current.config, service, now);
    let client_key = client.to_string();
    let ranked = {
        let membership = lock(&shared.membership);
        let key = client_key.as_bytes();
        rank_entries(&current.config, &membership, service, &first_domain, key, MAX_ENTRIES, now)
    };
    let first = ranked.first().ok_or(LookupError::NoEntry)?;
    let binding = Binding {
        instance: first.instance.clone(),
        incarnation: first.incarnation,
        stamp: Instant::from_ms(first.stamp_ms),
    };
    shared.metrics.count(Counter::Lookups, 1);
    log::info!(
        service:%,
        client:%,
        home:% = shared.settings.failure_domain,
        failure_domain:% = first_domain,
        share_ppm,
        first_instance:% = first.instance,
        first_failure_domain:% = first.failure_domain,
        entries = ranked.len();
        "lookup: answered"
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

/// Chooses the failure domain whose entries come first in an answer, within the ramp of the
/// service. Returns it with its share of the traffic in parts per million.
///
/// Callers cache the answer, so a lookup moves traffic and counts against the cap of a shift. If
/// the cap leaves no share, the failure domain of this instance comes first, so that no lookup is
/// refused.
fn choose_first_domain(
    shared: &Shared,
    config: &Config,
    service: &ServiceName,
    now: Instant,
) -> (FailureDomainName, u32) {
    let home = shared.settings.failure_domain.clone();
    let with_entries: BTreeSet<_> = {
        let membership = lock(&shared.membership);
        live_entries(&membership, now).into_iter().map(|e| e.failure_domain).collect()
    };
    let mut routing = lock(&shared.routing);
    let Some(ramp) = routing.ramps.get_mut(service) else {
        return (home, WHOLE_PPM);
    };
    let domain =
        choose_lookup_domain(config, ramp, |d| with_entries.contains(d), now).unwrap_or(home);
    let share_ppm = ramp.share_ppm(&domain);
    (domain, share_ppm)
}
