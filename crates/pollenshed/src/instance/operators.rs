//! The HTTP interface for operators; see `docs/operators.md`.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use eyre::{Result, eyre};
use pollenshed_coordination::membership::MemberState;
use pollenshed_protocol::operator::{MemberStatus, OwnedBackendServer, StatusBody};
use pollenshed_state::ids::ServiceName;
use pollenshed_transport::logs;
use rouille::{Request, Response};

use super::{Shared, explain};
use crate::util::lock;

/// Threads that handle operators' requests.
const OPERATOR_THREADS: usize = 2;

/// Starts to serve operators on separate threads and returns the address of the listener.
pub fn serve(shared: Arc<Shared>) -> Result<SocketAddr> {
    let address = shared.settings.operator_address;
    let server = rouille::Server::new(address, move |request| handle(&shared, request))
        .map_err(|e| eyre!("operator_address: cannot listen on {address}: {e}"))?
        .pool_size(OPERATOR_THREADS);
    let address = server.server_addr();
    std::thread::Builder::new().name("operators".to_owned()).spawn(move || server.run())?;
    Ok(address)
}

fn handle(shared: &Shared, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/v1/status") => Response::json(&status(shared)),
        ("GET", "/v1/config") => config(shared),
        ("GET", "/v1/explain") => explain_service(shared, request),
        ("POST", "/v1/drain") => {
            log::info!(source = "operator"; "stop: requested");
            shared.stop_requested.notify_one();
            Response::json(&status(shared))
        }
        (_, "/v1/status" | "/v1/config" | "/v1/explain" | "/v1/drain") => {
            Response::text("method not allowed").with_status_code(405)
        }
        _ => Response::empty_404(),
    }
}

/// Returns the canonical document of the configuration in force, with its version in a header.
fn config(shared: &Shared) -> Response {
    match shared.config.get() {
        Some(current) => Response::from_data("application/json", current.document.to_vec())
            .with_additional_header("pollenshed-config-version", current.version.to_string()),
        None => Response::text("no configuration is in force").with_status_code(404),
    }
}

fn explain_service(shared: &Shared, request: &Request) -> Response {
    let bad_request = |detail: &str| Response::text(detail).with_status_code(400);
    let service = request.get_param("service").map(|s| s.parse::<ServiceName>());
    let Some(Ok(service)) = service else { return bad_request("expected ?service=NAME") };
    let client = match request.get_param("client").map(|c| c.parse::<IpAddr>()) {
        None => None,
        Some(Ok(ip)) => Some(ip),
        Some(Err(_)) => return bad_request("client is not an IP address"),
    };
    match explain::explain(shared, &service, client) {
        Some(body) => Response::json(&body),
        None => {
            Response::text("the configuration in force has no such service").with_status_code(404)
        }
    }
}

fn status(shared: &Shared) -> StatusBody {
    let now = shared.clock.now();
    let current = shared.config.get();
    let members = lock(&shared.membership)
        .members(now)
        .map(|(record, state)| MemberStatus {
            instance: record.instance.clone(),
            failure_domain: record.failure_domain.clone(),
            state: state_name(state).to_owned(),
            config_version: record.config_version.0,
            peer_address: record.peer_address,
        })
        .collect();
    let owned_backend_servers = shared
        .owner
        .with_scheduler(|scheduler| scheduler.snapshot(now))
        .into_iter()
        .map(|server| OwnedBackendServer {
            name: server.name.to_string(),
            in_use: server.in_use,
            limit: server.limit,
            state: server.state.to_string(),
        })
        .collect();
    StatusBody {
        instance: shared.settings.instance.clone(),
        failure_domain: shared.settings.failure_domain.clone(),
        incarnation: shared.incarnation.to_string(),
        leaving: shared.is_leaving(),
        config_version: shared.config.version().0,
        config_digest: current.map_or_else(String::new, |c| c.digest.to_string()),
        members,
        owned_backend_servers,
        dropped_log_lines: logs::dropped_lines(),
    }
}

/// Returns a member's state as the operators' interface spells it.
pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Unconfirmed => "unconfirmed",
        MemberState::Dead => "dead",
    }
}
