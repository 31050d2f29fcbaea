use std::time::Duration;

use pollenshed_state::{
    config::{self, Config},
    findings::{Finding, Findings},
};
use serde_json::{Value, json};

use crate::declaration::{BackendServer, Declaration, Drain, Operation, Service, Shift};

impl Declaration {
    /// Checks the declaration and returns the configuration that it describes.
    ///
    /// If it is not accepted, returns all findings at once. Their paths refer to fields of the JSON
    /// form, such as `services[0].shift.cap_percent`. Indices follow the order of the declaration.
    pub fn config(&self) -> Result<Config, Findings> {
        // The file parser reads the declaration as JSON. So the same code checks names, addresses
        // and numbers, and an invalid name does not hide other findings.
        config::parse("", &self.to_value().to_string()).map_err(remove_positions)
    }

    fn to_value(&self) -> Value {
        let network = &self.network;
        let regions = self.regions.iter();
        let ranks = self.ranks.iter();
        json!({
            "format": config::FORMAT_VERSION,
            "user": self.user,
            "regions": regions
                .map(|r| json!({"name": r.name, "failure_domains": r.failure_domains}))
                .collect::<Vec<_>>(),
            "network": {
                "between_failure_domains_us": whole_us(network.between_failure_domains),
                "between_regions_us": whole_us(network.between_regions),
                "to_clients_us": whole_us(network.to_clients),
                "region_link_bits_per_s": network.region_link,
                "region_link_share_percent": network.region_link_share,
            },
            "ranks": ranks
                .map(|r| json!({
                    "rank": r.rank,
                    "min_share_percent": r.min_share,
                    "deadline_ms": whole_ms(r.deadline),
                }))
                .collect::<Vec<_>>(),
            "services": self.services.iter().map(service).collect::<Vec<_>>(),
            "drains": self.drains.iter().map(drain).collect::<Vec<_>>(),
        })
    }
}

fn service(service: &Service) -> Value {
    json!({
        "name": service.name,
        "operations": service.operations.iter().map(operation).collect::<Vec<_>>(),
        "max_request_bytes": service.max_request,
        "max_answer_bytes": service.max_answer,
        "max_upload_bytes": service.max_upload,
        "shift": shift(&service.shift),
        "retry_budget_percent": service.retry_budget,
        "backend_servers": service.backend_servers.iter().map(backend_server).collect::<Vec<_>>(),
    })
}

fn operation(operation: &Operation) -> Value {
    json!({
        "methods": operation.methods,
        "path_prefix": operation.path_prefix,
        "rank": operation.rank,
        "idempotent": operation.idempotent,
    })
}

fn shift(shift: &Shift) -> Value {
    json!({
        "cap_percent": shift.cap,
        "cold_cap_percent": shift.cold_cap,
        "interval_ms": whole_ms(shift.interval),
    })
}

fn backend_server(server: &BackendServer) -> Value {
    json!({
        "name": server.name,
        "failure_domain": server.failure_domain,
        "address": server.address,
        "slots": server.slots,
        "connections": server.connections,
    })
}

fn drain(drain: &Drain) -> Value {
    match drain {
        Drain::BackendServer(name) => json!({"backend_server": name}),
        Drain::FailureDomain(name) => json!({"failure_domain": name}),
        Drain::Region(name) => json!({"region": name}),
    }
}

fn whole_ms(duration: Duration) -> Value {
    in_units(duration, 1_000_000)
}

fn whole_us(duration: Duration) -> Value {
    in_units(duration, 1_000)
}

/// Returns the duration in units of `unit_ns` nanoseconds. A remainder becomes a fraction, which
/// the file parser refuses with a finding at the field.
fn in_units(duration: Duration, unit_ns: u128) -> Value {
    let ns = duration.as_nanos();
    if ns.is_multiple_of(unit_ns) {
        json!(u64::try_from(ns / unit_ns).unwrap_or(u64::MAX))
    } else {
        json!(ns as f64 / unit_ns as f64)
    }
}

/// Removes the positions, which refer to JSON that the operator never sees, and sorts by path.
fn remove_positions(findings: Findings) -> Findings {
    let findings = findings.into_iter().map(|f| Finding { position: None, ..f });
    let mut findings: Vec<_> = findings.collect();
    findings.sort_by(|a, b| a.path.cmp(&b.path));
    findings.into_iter().collect()
}
