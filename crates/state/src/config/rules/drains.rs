use std::collections::{HashMap, HashSet};

use crate::{
    config::{
        document::{Config, Drain},
        rules::{failure_domain_lists, report_repeated},
    },
    findings::Violations,
    ids::{BackendServerName, FailureDomainName, RegionName},
};

/// Checks that the targets of drains are declared and that each service keeps a backend server that
/// is not drained.
pub(super) fn check(config: &Config, violations: &mut Violations) {
    check_targets(config, violations);
    let entries = config.drains.iter().enumerate();
    report_repeated("drain of", entries.map(|(i, d)| (format!("drains[{i}]"), d)), violations);
    report_fully_drained_services(config, violations);
}

fn check_targets(config: &Config, violations: &mut Violations) {
    let regions: HashSet<&RegionName> = config.regions.iter().map(|r| &r.name).collect();
    let failure_domains: HashSet<&FailureDomainName> =
        config.regions.iter().flat_map(|r| &r.failure_domains).collect();
    let servers: HashSet<&BackendServerName> =
        config.services.iter().flat_map(|s| &s.backend_servers).map(|b| &b.name).collect();
    for (i, drain) in config.drains.iter().enumerate() {
        let is_declared = match drain {
            Drain::Region(name) => regions.is_empty() || regions.contains(name),
            Drain::FailureDomain(name) => {
                failure_domains.is_empty() || failure_domains.contains(name)
            }
            Drain::BackendServer(name) => servers.is_empty() || servers.contains(name),
        };
        if !is_declared {
            let message = format!("{drain} is not declared");
            let violation =
                violations.add(format!("drains[{i}]"), message, "the name of a declared target");
            violation.depends_on_all(declaration_paths(config, drain));
        }
    }
}

/// Returns the paths at which the drain's kind of target is declared.
fn declaration_paths(config: &Config, drain: &Drain) -> Vec<String> {
    let regions = 0..config.regions.len();
    match drain {
        Drain::Region(_) => regions.map(|i| format!("regions[{i}].name")).collect(),
        Drain::FailureDomain(_) => failure_domain_lists(config).collect(),
        Drain::BackendServer(_) => config
            .services
            .iter()
            .enumerate()
            .flat_map(|(i, service)| {
                let count = service.backend_servers.len().max(1);
                (0..count).map(move |k| format!("services[{i}].backend_servers[{k}].name"))
            })
            .collect(),
    }
}

fn report_fully_drained_services(config: &Config, violations: &mut Violations) {
    let region_of: HashMap<_, _> = config
        .regions
        .iter()
        .flat_map(|r| r.failure_domains.iter().map(|name| (name, &r.name)))
        .collect();
    let drains: HashSet<&Drain> = config.drains.iter().collect();
    for (i, service) in config.services.iter().enumerate() {
        let is_drained = |server: &crate::config::BackendServer| {
            let region = region_of.get(&server.failure_domain);
            drains.contains(&Drain::BackendServer(server.name.clone()))
                || drains.contains(&Drain::FailureDomain(server.failure_domain.clone()))
                || region.is_some_and(|&r| drains.contains(&Drain::Region(r.clone())))
        };
        if !service.backend_servers.is_empty() && service.backend_servers.iter().all(is_drained) {
            let message = format!("all backend servers of service {} are drained", service.name);
            violations
                .add("drains", message, "at least one backend server that is not drained")
                .depends_on("regions")
                .depends_on(format!("services[{i}]"));
        }
    }
}
