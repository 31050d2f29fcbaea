//! The planned stop of an instance, which cuts nobody off. See `docs/operators.md`.

use std::{sync::Arc, time::Duration};

use pollenshed_state::time::Instant;

use super::Shared;
use crate::{entry, gossip, util::lock};

/// Period in which the end of requests in flight is awaited.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Gives up ownership and serves callers that cached this entry's address for one lookup TTL.
///
/// The owner stops before peers hear of it, so that no backend server has two owners.
pub async fn leave(shared: &Arc<Shared>) {
    let began = shared.clock.now();
    log::info!(running = shared.owner.running_requests(began); "stop: begins");
    shared.owner.stop(began);
    shared.set_leaving();
    if let Some(current) = shared.config.get() {
        // New owners ask at once, and the answer depends on who they are.
        gossip::update(shared, &current, shared.clock.now());
    }
    gossip::notify_peers(shared, gossip::MAX_NOTIFIED_PEERS).await;
    let ttl = Duration::from_millis(shared.settings.timing.lookup_ttl_ms);
    tokio::time::sleep(ttl).await;
}

/// Waits for requests in flight and hands outcomes over. The callers' interface is closed by now.
pub async fn finish(shared: &Arc<Shared>, began: Instant) {
    let until = began.plus_ms(shared.settings.timing.stop_timeout_ms);
    loop {
        let now = shared.clock.now();
        let running = shared.owner.running_requests(now);
        let in_flight = lock(&shared.ledger).has_in_flight();
        if running == 0 && !in_flight {
            break;
        }
        if now >= until {
            let stop_timeout_ms = shared.settings.timing.stop_timeout_ms;
            log::warn!(running, stop_timeout_ms; "stop: gives up on requests at backend servers");
            break;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    entry::hand_over_outcomes(shared).await;
    log::info!(took_ms = shared.clock.now().since_ms(began); "stop: ends");
}
