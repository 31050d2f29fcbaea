//! Helpers for the steering tests: a small fleet and its callers, with time as a parameter.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeMap;

use pollenshed_coordination::steering::{
    AttemptEnd, Choice, ColdLimits, Fleet, Request, object_key,
};
use pollenshed_state::{
    ids::{BackendServerName, FailureDomainName, InstanceName, RegionName, ServiceName},
    routes::{ServerRecord, ServerState},
    time::Instant,
};

/// Run time on a server that is not warm for the object.
pub const FIRST_MS: u64 = 800;

/// Run time on a server that is warm for the object.
pub const WARM_MS: u64 = 250;

/// Estimate key of the only route of the tests.
pub const ESTIMATE_KEY: u64 = 7;

/// Returns the time `ms` after the start.
pub fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Returns the only service of the tests.
pub fn service() -> ServiceName {
    "tables".parse().unwrap()
}

/// Returns the name of the server with this number.
pub fn server_name(number: usize) -> BackendServerName {
    format!("i-{number:02}").parse().unwrap()
}

/// Returns the failure domains of the tests: two in each of two regions.
pub fn regions() -> BTreeMap<FailureDomainName, RegionName> {
    [
        ("palermo-a", "palermo"),
        ("palermo-b", "palermo"),
        ("catania-a", "catania"),
        ("catania-b", "catania"),
    ]
    .into_iter()
    .map(|(domain, region)| (domain.parse().unwrap(), region.parse().unwrap()))
    .collect()
}

/// Returns an announcement of a ready server with three slots that is not cold.
pub fn record(number: usize, domain: &str) -> ServerRecord {
    ServerRecord {
        name: server_name(number),
        service: service(),
        address: ([10, 0, 0, number as u8], 80).into(),
        failure_domain: domain.parse().unwrap(),
        slots: 3,
        state: ServerState::Ready,
        cold_remaining_ms: 0,
        started_at_ms: 1,
        sequence: 1,
    }
}

/// Returns the fleet as an instance in `palermo-a` sees it, with one server for each given failure
/// domain.
pub fn fleet(domains: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("palermo-a".parse().unwrap(), regions());
    for (number, domain) in domains.iter().enumerate() {
        fleet.announce(record(number, domain), at(0));
    }
    fleet.run_times.set_initial(ESTIMATE_KEY, Some(FIRST_MS));
    fleet
}

/// Returns the key of an object.
pub fn object(number: usize) -> u64 {
    object_key("route", &number.to_string())
}

/// Returns a request with a target of 500 ms and a deadline of 4 s.
pub fn request<'a>(service: &'a ServiceName, object: Option<u64>) -> Request<'a> {
    Request {
        service,
        estimate_key: ESTIMATE_KEY,
        object_key: object,
        home_regions: &[],
        bytes: 0,
        target_ms: 500.0,
        target_left_ms: 500.0,
        left_ms: 4_000.0,
        at_most_once: false,
        has_large_body: false,
        rank: 0,
        workspace: None,
        tried: &[],
        jitter_seed: 1,
    }
}

/// Chooses a server for a request. This instance is the only one in its region.
pub fn choose(fleet: &mut Fleet, request: &Request<'_>, now: Instant) -> Choice {
    with_cold_limits(|cold| fleet.choose(request, cold, now))
}

/// Calls `choose` with the limits for cold servers of an instance that is alone in its region.
pub fn with_cold_limits(choose: impl FnOnce(&ColdLimits<'_>) -> Choice) -> Choice {
    let instance: InstanceName = "front-1".parse().unwrap();
    let region_instances = [instance.clone()];
    let cold = ColdLimits {
        instance: &instance,
        region_instances: &|| &region_instances[..],
        rate_per_s: 1.0,
        burst: 5.0,
    };
    choose(&cold)
}

/// Returns the server of a choice, or `None` if the request is refused.
pub fn sent_to(choice: &Choice) -> Option<BackendServerName> {
    match choice {
        Choice::Send { server, .. } => Some(server.clone()),
        Choice::Refuse { .. } => None,
    }
}

/// Records a request that is answered after `took_ms`.
pub fn answered(
    fleet: &mut Fleet,
    server: &BackendServerName,
    object: Option<u64>,
    now: Instant,
    took_ms: u64,
) {
    fleet.record_start(server, f64::INFINITY, now);
    let end = AttemptEnd::Answered { failed: false, took_ms: took_ms as f64 };
    fleet.record_end(server, ESTIMATE_KEY, object, false, end, now.plus_ms(took_ms));
}
