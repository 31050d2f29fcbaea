//! Prints the configuration of Famiglia Calì: `cargo run -p pollenshed-operators --example cali`.
//!
//! The sizes come from `docs/design.md`, section 1. The store is in the region palermo.

use std::process::ExitCode;

use pollenshed_operators::{
    BackendServer, Declaration, Network, Operation, Rank, RankPolicy, Region, Service, Shift,
    gigabits_per_s, kibibytes, mebibytes, microseconds, milliseconds, percent, slots,
};

#[allow(dead_code, reason = "a test includes this file as a module")]
fn main() -> ExitCode {
    pollenshed_operators::print(&declaration())
}

/// Returns the declaration of the four services of the registry.
pub fn declaration() -> Declaration {
    Declaration {
        user: "cali".to_owned(),
        regions: vec![
            Region::new("palermo", &["palermo-a", "palermo-b"]),
            Region::new("catania", &["catania-a", "catania-b"]),
            Region::new("siracusa", &["siracusa-a", "siracusa-b"]),
        ],
        network: Network {
            between_failure_domains: microseconds(1_500),
            between_regions: milliseconds(10),
            to_clients: milliseconds(10),
            region_link: gigabits_per_s(4),
            region_link_share: percent(60),
        },
        ranks: vec![
            rank(Rank::Urgent, 50, 2_000),
            rank(Rank::Standard, 30, 10_000),
            rank(Rank::Deferrable, 10, 60_000),
        ],
        services: vec![tavole(), anagrafe(), scanner(), archivio()],
        drains: vec![],
    }
}

fn rank(rank: Rank, min_share: u64, deadline: u64) -> RankPolicy {
    RankPolicy { rank, min_share: percent(min_share), deadline: milliseconds(deadline) }
}

/// Perpetual tables that priests read to confirm Mass times.
fn tavole() -> Service {
    Service {
        name: "tavole".to_owned(),
        operations: vec![Operation::idempotent(Rank::Urgent, &["GET", "HEAD"], "/")],
        max_request: kibibytes(64),
        max_answer: mebibytes(1),
        max_upload: kibibytes(0),
        shift: Shift { cap: percent(10), cold_cap: percent(2), interval: milliseconds(10_000) },
        retry_budget: percent(10),
        backend_servers: backend_servers("tavole", 21_000),
    }
}

/// Filings of changed feast dates. A filing that runs twice leaves two conflicting dates.
fn anagrafe() -> Service {
    Service {
        name: "anagrafe".to_owned(),
        operations: vec![
            Operation::idempotent(Rank::Standard, &["GET", "HEAD"], "/"),
            Operation::at_most_once(
                Rank::Standard,
                &["POST", "PUT", "PATCH", "DELETE"],
                "/filings",
            ),
        ],
        max_request: mebibytes(1),
        max_answer: mebibytes(1),
        max_upload: kibibytes(0),
        shift: Shift { cap: percent(5), cold_cap: percent(2), interval: milliseconds(10_000) },
        retry_budget: percent(10),
        backend_servers: backend_servers("anagrafe", 22_000),
    }
}

/// Scanned registers. Each is uploaded in parts and submitted at most once.
fn scanner() -> Service {
    Service {
        name: "scanner".to_owned(),
        operations: vec![
            Operation::idempotent(Rank::Standard, &["GET", "HEAD"], "/"),
            Operation::at_most_once(Rank::Standard, &["POST"], "/registers"),
        ],
        max_request: mebibytes(8),
        max_answer: mebibytes(8),
        max_upload: mebibytes(512),
        shift: Shift { cap: percent(5), cold_cap: percent(1), interval: milliseconds(10_000) },
        retry_budget: percent(10),
        backend_servers: backend_servers("scanner", 23_000),
    }
}

/// Historical almanacs. Their requests are deferrable.
fn archivio() -> Service {
    Service {
        name: "archivio".to_owned(),
        operations: vec![Operation::idempotent(Rank::Deferrable, &["GET", "HEAD"], "/")],
        max_request: kibibytes(64),
        max_answer: mebibytes(32),
        max_upload: kibibytes(0),
        shift: Shift { cap: percent(5), cold_cap: percent(1), interval: milliseconds(10_000) },
        retry_budget: percent(5),
        backend_servers: backend_servers("archivio", 24_000),
    }
}

/// Returns two backend servers in each failure domain, on consecutive ports from `first_port`.
fn backend_servers(service: &str, first_port: u16) -> Vec<BackendServer> {
    let failure_domains =
        ["palermo-a", "palermo-b", "catania-a", "catania-b", "siracusa-a", "siracusa-b"];
    let two_of_each = failure_domains.iter().flat_map(|name| [*name, *name]);
    let servers = two_of_each.zip(first_port..).enumerate().map(|(i, (failure_domain, port))| {
        BackendServer {
            name: format!("{service}-{:02}", i + 1),
            failure_domain: failure_domain.to_owned(),
            address: format!("127.0.0.1:{port}"),
            slots: slots(3),
            connections: 360,
        }
    });
    servers.collect()
}
