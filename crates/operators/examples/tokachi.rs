//! Prints the configuration of Tokachi Tally Systems:
//! `cargo run -p pollenshed-operators --example tokachi`.
//!
//! The sizes come from `docs/design.md`, section 1. The store is in the region sapporo.

use std::process::ExitCode;

use pollenshed_operators::{
    BackendServer, Declaration, Network, Operation, Rank, RankPolicy, Region, Service, Shift,
    gigabits_per_s, kibibytes, mebibytes, microseconds, milliseconds, percent, slots,
};

#[allow(dead_code, reason = "a test includes this file as a module")]
fn main() -> ExitCode {
    pollenshed_operators::print(&declaration())
}

/// Returns the declaration of the four services that the three counter fleets share.
pub fn declaration() -> Declaration {
    Declaration {
        user: "tokachi".to_owned(),
        regions: vec![
            Region::new("sapporo", &["sapporo-a", "sapporo-b"]),
            Region::new("asahikawa", &["asahikawa-a", "asahikawa-b"]),
            Region::new("kushiro", &["kushiro-a", "kushiro-b"]),
        ],
        network: Network {
            between_failure_domains: microseconds(1_500),
            between_regions: milliseconds(50),
            to_clients: milliseconds(1),
            region_link: gigabits_per_s(4),
            region_link_share: percent(60),
        },
        ranks: vec![
            rank(Rank::Urgent, 60, 1_000),
            rank(Rank::Standard, 25, 10_000),
            rank(Rank::Deferrable, 10, 60_000),
        ],
        services: vec![tally_view(), tally_ledger(), log_intake(), report_vault()],
        drains: vec![],
    }
}

fn rank(rank: Rank, min_share: u64, deadline: u64) -> RankPolicy {
    RankPolicy { rank, min_share: percent(min_share), deadline: milliseconds(deadline) }
}

/// Live tallies of the gate clickers. A tally replaces the one before it, so it may run twice.
fn tally_view() -> Service {
    Service {
        name: "tally-view".to_owned(),
        operations: vec![
            Operation::idempotent(Rank::Urgent, &["GET", "HEAD"], "/"),
            Operation::idempotent(Rank::Urgent, &["PUT"], "/tallies"),
        ],
        max_request: kibibytes(16),
        max_answer: kibibytes(256),
        max_upload: kibibytes(0),
        shift: Shift { cap: percent(20), cold_cap: percent(4), interval: milliseconds(10_000) },
        retry_budget: percent(10),
        backend_servers: backend_servers("tally-view", 31_000, 4),
    }
}

/// Committed counts. A commit that runs twice doubles a count, which leads to a false grant claim.
fn tally_ledger() -> Service {
    Service {
        name: "tally-ledger".to_owned(),
        operations: vec![
            Operation::idempotent(Rank::Standard, &["GET", "HEAD"], "/"),
            Operation::at_most_once(Rank::Standard, &["POST"], "/commits"),
        ],
        max_request: kibibytes(256),
        max_answer: kibibytes(256),
        max_upload: kibibytes(0),
        shift: Shift { cap: percent(5), cold_cap: percent(2), interval: milliseconds(10_000) },
        retry_budget: percent(10),
        backend_servers: backend_servers("tally-ledger", 32_000, 3),
    }
}

/// Shift logs. Each is uploaded in parts and submitted at most once.
fn log_intake() -> Service {
    Service {
        name: "log-intake".to_owned(),
        operations: vec![
            Operation::idempotent(Rank::Standard, &["GET", "HEAD"], "/"),
            Operation::at_most_once(Rank::Standard, &["POST"], "/logs"),
        ],
        max_request: mebibytes(4),
        max_answer: mebibytes(1),
        max_upload: mebibytes(256),
        shift: Shift { cap: percent(5), cold_cap: percent(1), interval: milliseconds(10_000) },
        retry_budget: percent(10),
        backend_servers: backend_servers("log-intake", 33_000, 3),
    }
}

/// Archived reports. Their requests are deferrable.
fn report_vault() -> Service {
    Service {
        name: "report-vault".to_owned(),
        operations: vec![Operation::idempotent(Rank::Deferrable, &["GET", "HEAD"], "/")],
        max_request: kibibytes(64),
        max_answer: mebibytes(32),
        max_upload: kibibytes(0),
        shift: Shift { cap: percent(5), cold_cap: percent(1), interval: milliseconds(10_000) },
        retry_budget: percent(5),
        backend_servers: backend_servers("report-vault", 34_000, 4),
    }
}

/// Returns two backend servers in each failure domain, on consecutive ports from `first_port`.
fn backend_servers(service: &str, first_port: u16, slot_count: u64) -> Vec<BackendServer> {
    let failure_domains =
        ["sapporo-a", "sapporo-b", "asahikawa-a", "asahikawa-b", "kushiro-a", "kushiro-b"];
    let two_of_each = failure_domains.iter().flat_map(|name| [*name, *name]);
    let servers = two_of_each.zip(first_port..).enumerate().map(|(i, (failure_domain, port))| {
        BackendServer {
            name: format!("{service}-{:02}", i + 1),
            failure_domain: failure_domain.to_owned(),
            address: format!("127.0.0.1:{port}"),
            slots: slots(slot_count),
            connections: 360,
        }
    });
    servers.collect()
}
