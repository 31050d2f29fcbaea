use std::collections::{HashMap, HashSet};

use crate::{
    config::{
        document::{BackendServer, Config, Service},
        rules::{
            MAX_CONNECTIONS, MAX_SHIFT_INTERVAL_MS, MAX_SLOTS, MIN_SHIFT_INTERVAL_MS,
            failure_domain_lists, report_empty, report_repeated,
        },
    },
    findings::Violations,
    ids::{FailureDomainName, RegionName},
    reader::MAX_NUMBER,
};

type RegionOf<'a> = HashMap<&'a FailureDomainName, &'a RegionName>;

/// Checks the services and their backend servers, except for the operations.
pub(super) fn check(config: &Config, violations: &mut Violations) {
    report_empty("services", &config.services, "service", violations);
    let names = config.services.iter().enumerate();
    let names = names.map(|(i, service)| (format!("services[{i}].name"), &service.name));
    report_repeated("service", names, violations);
    report_repeated_backend_servers(config, violations);
    let region_of: RegionOf<'_> = config
        .regions
        .iter()
        .flat_map(|region| region.failure_domains.iter().map(|name| (name, &region.name)))
        .collect();
    for (i, service) in config.services.iter().enumerate() {
        let path = format!("services[{i}]");
        check_sizes(&path, service, violations);
        check_shift(&path, service, violations);
        let retries = service.retry_budget_percent.0;
        violations.check_range(format!("{path}.retry_budget_percent"), retries, 0, 100);
        let list = format!("{path}.backend_servers");
        report_empty(&list, &service.backend_servers, "backend server", violations);
        for (k, server) in service.backend_servers.iter().enumerate() {
            check_backend_server(&format!("{list}[{k}]"), server, violations);
            check_failure_domain(&format!("{list}[{k}]"), config, server, &region_of, violations);
        }
        check_link_capacity(&path, config, service, &region_of, violations);
    }
}

fn report_repeated_backend_servers(config: &Config, violations: &mut Violations) {
    let servers = || {
        config.services.iter().enumerate().flat_map(|(i, service)| {
            let servers = service.backend_servers.iter().enumerate();
            servers.map(move |(k, s)| (format!("services[{i}].backend_servers[{k}]"), s))
        })
    };
    let names = servers().map(|(path, s)| (format!("{path}.name"), &s.name));
    report_repeated("backend server", names, violations);
    let addresses = servers().map(|(path, s)| (format!("{path}.address"), s.address));
    report_repeated("address", addresses, violations);
}

fn check_sizes(path: &str, service: &Service, violations: &mut Violations) {
    let (request, upload) = (service.max_request_bytes.0, service.max_upload_bytes.0);
    violations.check_range(format!("{path}.max_request_bytes"), request, 1, MAX_NUMBER);
    violations.check_range(
        format!("{path}.max_answer_bytes"),
        service.max_answer_bytes.0,
        1,
        MAX_NUMBER,
    );
    violations.check_range(format!("{path}.max_upload_bytes"), upload, 0, MAX_NUMBER);
    if upload != 0 && upload < request {
        let message = format!("{upload} is below max_request_bytes, the size of one part");
        violations
            .add(
                format!("{path}.max_upload_bytes"),
                message,
                format!("0 for no uploads, or at least {request}"),
            )
            .depends_on(format!("{path}.max_request_bytes"));
    }
}

fn check_shift(path: &str, service: &Service, violations: &mut Violations) {
    let shift = &service.shift;
    let (cap, cold) = (shift.cap_percent.0, shift.cold_cap_percent.0);
    violations.check_range(format!("{path}.shift.cap_percent"), cap, 1, 100);
    let cold_path = format!("{path}.shift.cold_cap_percent");
    if cold == 0 || cold > 100 {
        violations.check_range(cold_path, cold, 1, 100);
    } else if cold > cap && cap > 0 {
        violations
            .add(cold_path, format!("{cold} is above cap_percent"), format!("1 to {cap}"))
            .depends_on(format!("{path}.shift.cap_percent"));
    }
    violations.check_range(
        format!("{path}.shift.interval_ms"),
        shift.interval_ms,
        MIN_SHIFT_INTERVAL_MS,
        MAX_SHIFT_INTERVAL_MS,
    );
}

fn check_failure_domain(
    path: &str,
    config: &Config,
    server: &BackendServer,
    region_of: &RegionOf<'_>,
    violations: &mut Violations,
) {
    if !region_of.is_empty() && !region_of.contains_key(&server.failure_domain) {
        violations
            .add(
                format!("{path}.failure_domain"),
                format!("failure domain {} is not declared", server.failure_domain),
                "a failure domain of `regions`",
            )
            .depends_on_all(failure_domain_lists(config));
    }
}

fn check_backend_server(path: &str, server: &BackendServer, violations: &mut Violations) {
    if server.address.port() == 0 || server.address.ip().is_unspecified() {
        let message = format!("{} cannot be connected to", server.address);
        violations.add(format!("{path}.address"), message, "the address and port of one server");
    }
    violations.check_range(format!("{path}.slots"), server.slots.0, 1, MAX_SLOTS);
    let connections = format!("{path}.connections");
    violations.check_range(connections.as_str(), server.connections, 1, MAX_CONNECTIONS);
    if server.connections >= 1 && server.connections < server.slots.0 {
        // Each request in flight holds one connection.
        let message = format!("{} is below the {}", server.connections, server.slots);
        violations
            .add(connections, message, format!("{} or more", server.slots.0))
            .depends_on(format!("{path}.slots"));
    }
}

/// Checks that the link between regions can carry the service's largest bodies on all slots of a
/// region.
///
/// When a region is drained or lost, its callers use another region. If all slots there transfer
/// bodies of the maximum size, the bodies must pass the link within the shortest deadline of the
/// service's operations; otherwise such requests could only time out.
fn check_link_capacity(
    path: &str,
    config: &Config,
    service: &Service,
    region_of: &RegionOf<'_>,
    violations: &mut Violations,
) {
    let mut slots: HashMap<&RegionName, u64> = HashMap::new();
    for server in &service.backend_servers {
        if let Some(region) = region_of.get(&server.failure_domain) {
            let sum = slots.entry(region).or_default();
            *sum = sum.saturating_add(server.slots.0);
        }
    }
    let slots = slots.into_values().max().unwrap_or(0);
    let ranks: HashSet<_> = service.operations.iter().map(|o| o.rank).collect();
    let policies = config.ranks.iter().filter(|policy| ranks.contains(&policy.rank));
    let Some(deadline_ms) = policies.map(|policy| policy.deadline_ms).min() else { return };
    let network = &config.network;
    let link = u128::from(network.region_link_bits_per_s.0);
    let share = link * u128::from(network.region_link_share_percent.0) / 100;
    // Number of bits that the share of the link carries within the deadline. Values out of range
    // are reported elsewhere and must not overflow here.
    let bits = share.saturating_mul(u128::from(deadline_ms)) / 1000;
    let Some(max_body_bytes) = (bits / 8).checked_div(u128::from(slots)) else { return };
    // A link or share of 0 is reported at its own field.
    if share == 0 {
        return;
    }
    for (field, size) in [
        ("max_request_bytes", service.max_request_bytes),
        ("max_answer_bytes", service.max_answer_bytes),
    ] {
        if config.regions.len() > 1 && u128::from(size.0) > max_body_bytes {
            let message = format!(
                "{} on each of {slots} slots of a region within {deadline_ms} ms needs more than \
                 the share of the region link, {share} bit/s",
                size.0
            );
            let violation = violations.add(
                format!("{path}.{field}"),
                message,
                format!("at most {max_body_bytes}"),
            );
            violation
                .depends_on("ranks")
                .depends_on("network.region_link_bits_per_s")
                .depends_on("network.region_link_share_percent")
                .depends_on(format!("{path}.operations"))
                .depends_on(format!("{path}.backend_servers"))
                .depends_on_all(failure_domain_lists(config));
        }
    }
}
