//! The planned stop of an instance, which aborts no request before the stop timeout. See
//! `docs/operators.md`.

use std::{sync::Arc, time::Duration};

use pollenshed_state::time::Instant;

use super::Shared;
use crate::{entry, gossip, util::lock};

/// Period between two checks whether requests are still in flight.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Gives up ownership, then waits for one lookup TTL, in which callers that cached this entry's
/// address are still served.
///
/// The owner stops before peers are told, so that no backend server has two owners.
pub async fn leave(shared: &Arc<Shared>) {
    let began = shared.clock.now();
    log::info!(running = shared.owner.running_requests(began); "stop: started");
    shared.owner.stop(began);
    shared.set_leaving();
    if let Some(current) = shared.config.get() {
        // New owners ask for a release as soon as they are told, and the reply depends on the
        // owners that this instance has computed.
        gossip::update(shared, &current, shared.clock.now());
    }
    gossip::notify_peers(shared, gossip::MAX_NOTIFIED_PEERS).await;
    let ttl = Duration::from_millis(shared.settings.timing.lookup_ttl_ms);
    tokio::time::sleep(ttl).await;
}

/// Waits for requests in flight, then hands over outcomes to other entries. The listener for
/// callers is already closed when this runs.
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
            log::warn!(
                running,
                stop_timeout_ms;
                "stop: timed out waiting for requests at backend servers"
            );
            break;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    entry::hand_over_outcomes(shared).await;
    log::info!(took_ms = shared.clock.now().since_ms(began); "stop: finished");
}
