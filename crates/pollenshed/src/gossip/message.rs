//! Builds and merges gossip messages.

use pollenshed_coordination::{
    limits::QuarantineEntry,
    membership::{Change, Exchange, MemberRecord},
    shift::Shares,
};
use pollenshed_protocol::peer::{ExchangeMessage, LeavingBackendServer, Quarantine, RampPosition};
use pollenshed_state::{
    ids::{BackendServerName, FailureDomainName, InstanceName, ServiceName},
    time::Instant,
};

use crate::{entry::Routing, instance::Shared, util::lock, wire};

/// Builds the message for a peer. `received` is the message to answer, or `None` for a request.
pub fn build(
    shared: &Shared,
    peer: &InstanceName,
    received: Option<&Exchange>,
    now: Instant,
) -> ExchangeMessage {
    let exchange = lock(&shared.membership).build_exchange(peer, received, now);
    let mut message = wire::exchange_to_wire(&exchange);
    {
        let mut routing = lock(&shared.routing);
        message.headroom =
            routing.unsent_advertisements(peer, now).iter().map(wire::headroom_to_wire).collect();
        message.ramp = ramp_positions(&routing);
    }
    message.leaving_backend_servers = lock(&shared.leaving_backend_servers)
        .iter(now)
        .map(|(name, ttl_left_ms)| LeavingBackendServer { name: name.to_string(), ttl_left_ms })
        .collect();
    message.quarantine = shared
        .owner
        .with_scheduler(|scheduler| scheduler.quarantine().export(now))
        .iter()
        .map(quarantine_to_wire)
        .collect();
    message
}

/// Returns the shares of traffic that the ramps currently send to other failure domains.
fn ramp_positions(routing: &Routing) -> Vec<RampPosition> {
    let positions = routing.ramps.iter().flat_map(|(service, ramp)| {
        ramp.position().iter().map(move |(to, share_ppm)| RampPosition {
            service: service.to_string(),
            from_failure_domain: ramp.home().to_string(),
            to_failure_domain: to.to_string(),
            share_ppm,
        })
    });
    positions.collect()
}

/// Builds the answer to a peer's message.
pub fn build_reply(shared: &Shared, message: &ExchangeMessage) -> ExchangeMessage {
    let now = shared.clock.now();
    match wire::exchange_from_wire(message) {
        Some(received) => build(shared, &received.sender.instance, Some(&received), now),
        None => build(shared, &shared.settings.instance, None, now),
    }
}

/// Merges a peer's message into the state of this instance. Configurations are fetched separately.
pub fn merge(shared: &Shared, message: &ExchangeMessage) {
    let Some(exchange) = wire::exchange_from_wire(message) else {
        log::warn!(
            sender = sender_name(message);
            "gossip: dropped a message without a readable sender"
        );
        return;
    };
    let now = shared.clock.now();
    merge_members(shared, &exchange, now);
    merge_headroom(shared, message, now);
    for server in &message.leaving_backend_servers {
        if let Ok(name) = server.name.parse() {
            lock(&shared.leaving_backend_servers).add_from_peer(name, server.ttl_left_ms, now);
        }
    }
    let entries: Vec<_> = message.quarantine.iter().filter_map(quarantine_from_wire).collect();
    if !entries.is_empty() {
        shared.owner.with_scheduler(|scheduler| scheduler.merge_quarantine(&entries, now));
    }
    if exchange.sender.failure_domain == shared.settings.failure_domain {
        adopt_ramps(shared, message, now);
    }
}

fn sender_name(message: &ExchangeMessage) -> &str {
    message.sender.as_ref().map_or("", |sender| &sender.instance)
}

fn log_change(change: &Change) {
    match change {
        Change::Joined(instance) => log::info!(instance:%; "membership: a member joined"),
        Change::Restarted(instance) => log::info!(instance:%; "membership: a member restarted"),
        Change::Leaving(instance) => log::info!(instance:%; "membership: a member is leaving"),
        Change::Revived(instance) => log::info!(instance:%; "membership: a member is alive again"),
        Change::OwnGenerationRaised(generation) => {
            log::info!(
                generation;
                "membership: another process uses the name of this instance"
            );
        }
        Change::Superseded => {
            log::info!("membership: a process that started later uses the name of this instance");
        }
    }
}

/// Merges the record that a member sent about itself in another call than gossip, and updates
/// ownership.
///
/// Ownership is updated in any case, because merging reports no change when an unconfirmed member
/// becomes live.
pub fn merge_sender(shared: &Shared, sender: MemberRecord, now: Instant) {
    let exchange =
        Exchange { sender, records: Vec::new(), heartbeats: Vec::new(), buckets: Vec::new() };
    merge_members(shared, &exchange, now);
    if let Some(current) = shared.config.get() {
        super::update(shared, &current, now);
    }
}

fn merge_members(shared: &Shared, exchange: &Exchange, now: Instant) {
    let changes = lock(&shared.membership).merge(exchange, now);
    for change in &changes {
        log_change(change);
    }
    if !changes.is_empty()
        && let Some(current) = shared.config.get()
    {
        // Ownership is updated at once, so that a planned stop leaves no time without an owner.
        super::update(shared, &current, now);
        shared.owner.probe_now();
    }
}

fn merge_headroom(shared: &Shared, message: &ExchangeMessage, now: Instant) {
    let adverts: Vec<_> = message.headroom.iter().filter_map(wire::headroom_from_wire).collect();
    let incarnations: Vec<_> = {
        let membership = lock(&shared.membership);
        let current = |name: &InstanceName| membership.record_of(name).map(|r| r.incarnation);
        adverts.iter().map(|a| current(&a.owner)).collect()
    };
    let mut routing = lock(&shared.routing);
    routing.router.advertisements.expire(now);
    for (advert, incarnation) in adverts.into_iter().zip(incarnations) {
        // Peers send advertisements repeatedly, so a rejection as stale is normal.
        let _ = routing.router.advertisements.store(advert, incarnation, now);
    }
}

/// Adopts the ramp positions of a peer in the same failure domain, if this entry has just
/// restarted.
fn adopt_ramps(shared: &Shared, message: &ExchangeMessage, now: Instant) {
    let mut routing = lock(&shared.routing);
    let services: Vec<ServiceName> = routing.ramps.keys().cloned().collect();
    for service in services {
        let shares = message
            .ramp
            .iter()
            .filter(|p| p.service == service.as_str())
            .filter(|p| p.from_failure_domain == shared.settings.failure_domain.as_str())
            .filter_map(|p| {
                Some((p.to_failure_domain.parse::<FailureDomainName>().ok()?, p.share_ppm))
            });
        let position = Shares::from_remote(shares);
        if let Some(ramp) = routing.ramps.get_mut(&service)
            && position != *ramp.position()
            && ramp.adopt_position(position, now)
        {
            log::info!(
                service:%,
                home:% = ramp.home(),
                at_us = now.as_us(),
                position_ppm:% = ramp.position(),
                peer = sender_name(message);
                "shift: adopted the ramp position of a peer"
            );
        }
    }
}

fn quarantine_to_wire(entry: &QuarantineEntry) -> Quarantine {
    Quarantine {
        content_digest: entry.content.as_bytes().to_vec().into(),
        crashed_backend_servers: entry.crashed_servers.iter().map(ToString::to_string).collect(),
        ttl_left_ms: entry.ttl_left_ms,
    }
}

fn quarantine_from_wire(entry: &Quarantine) -> Option<QuarantineEntry> {
    let crashed = entry.crashed_backend_servers.iter().map(|name| name.parse());
    Some(QuarantineEntry {
        content: wire::digest_from_wire(&entry.content_digest)?,
        crashed_servers: crashed.collect::<Result<Vec<BackendServerName>, _>>().ok()?,
        ttl_left_ms: entry.ttl_left_ms,
    })
}
