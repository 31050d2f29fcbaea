//! The entry role: accepts callers' requests, routes them to the owners of backend servers and
//! returns the answers.

mod admission;
mod answer;
mod attempts;
mod claims;
mod dispatch;
mod heirs;
mod http;
mod routing;
mod settle;
mod ticketed;
mod uploads;

use std::{io, sync::Arc};

use pollenshed_protocol::peer::{AnswerReply, NotRunReason, RelayRequest, UnknownReason};
use pollenshed_state::ids::Ticket;
use pollenshed_transport::edge::Edge;
use tokio::net::TcpListener;

pub use claims::ClaimBudget;
pub use heirs::{hand_over_outcomes, import_outcomes};
pub use routing::Routing;
use ticketed::run_locally;
pub use uploads::upload_digest;

use crate::{instance::Shared, wire};

/// Starts serving callers on `listener`. The caller limits of the settings apply.
pub async fn serve_callers(shared: Arc<Shared>, listener: TcpListener) -> io::Result<Edge> {
    let limits = shared.settings.caller_limits;
    let handler = move |request, peer| {
        let shared = shared.clone();
        async move { http::handle(shared, request, peer).await }
    };
    Edge::spawn(listener, limits, handler)
}

/// Runs a request that a peer relayed because its ticket names this instance.
pub async fn run_relayed(shared: &Arc<Shared>, relayed: RelayRequest) -> AnswerReply {
    let invalid = |detail: &str| wire::not_run(NotRunReason::Invalid, detail);
    let Ok(ticket) = relayed.ticket.parse::<Ticket>() else {
        return invalid("the relayed ticket can't be read");
    };
    let Some(request) = relayed.request else {
        return invalid("the relayed request can't be read");
    };
    // An entry that restarted at the same address doesn't know what its former incarnation ran, so
    // it can't refuse the request as not run.
    let Some(current) = shared.config.get() else {
        let detail = "no configuration has reached the named entry yet";
        return wire::unknown(UnknownReason::EntryGone, detail);
    };
    let service = current.config.services.iter().find(|s| s.name.as_str() == request.service);
    let operation = service.and_then(|s| s.operation(&request.method, &request.path)).cloned();
    let Some(operation) = operation else {
        return invalid("the service declares no such operation");
    };
    let deadline = shared.clock.now().plus_us(relayed.deadline_left_us);
    let classified = http::ClassifiedRequest { request, operation, deadline, current };
    if relayed.only_inherited {
        return heirs::inherited_outcome(shared, &ticket, &classified).unwrap_or_else(|| {
            wire::unknown(UnknownReason::EntryGone, "the entry handed nothing over for the ticket")
        });
    }
    run_locally(shared, ticket, classified).await
}
