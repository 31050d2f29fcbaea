//! Gossip: keeps the member table, the configuration version and the ownership up to date.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pollenshed_coordination::{
    membership::PeerTarget,
    ownership::{LiveEntry, live_entries},
};
use pollenshed_protocol::peer::{ExchangeMessage, FetchConfigRequest};
use pollenshed_state::{
    config::Config,
    ids::{ConfigVersion, FailureDomainName},
};

use crate::{instance::Shared, util::lock, wire};

/// Gossip calls take at most this many periods, so that a silent peer delays nothing.
const EXCHANGE_TIMEOUT_PERIODS: u32 = 2;

/// Time within which a peer must send the configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let targets = tick(&shared);
        for target in targets {
            let shared = shared.clone();
            tokio::spawn(async move { exchange(&shared, target, period).await });
        }
    }
}

/// Counts one period and returns the peers to contact.
fn tick(shared: &Shared) -> Vec<PeerTarget> {
    let now = shared.clock.now();
    let targets = {
        let mut membership = lock(&shared.membership);
        membership.set_config_version(shared.config.version());
        membership.tick(now);
        membership.pick_peers(now, fastrand::u64(..))
    };
    lock(&shared.fence).ran(now);
    update_ownership(shared);
    targets
}

/// Recomputes which backend servers this instance owns, and logs what changed.
pub fn update_ownership(shared: &Shared) {
    let Some(current) = shared.config.get() else { return };
    let now = shared.clock.now();
    let entries = live_entries(&lock(&shared.membership), now);
    let in_region = entries_in_region(&current.config, &entries, &shared.settings.failure_domain);
    lock(&shared.routing).apply(&current.config, in_region, now);
    let change = {
        let membership = lock(&shared.membership);
        let mut ownership = lock(&shared.ownership);
        ownership.update(&current.config, &entries, |name| membership.state_of(name, now), now)
    };
    for takeover in &change.gained {
        log::info!(
            "placement: takes over {} from {}, dispatches from {}",
            takeover.server,
            takeover.previous.as_ref().map_or("nobody", |p| p.as_str()),
            takeover.usable_at
        );
    }
    for server in &change.lost {
        log::info!("placement: gives up {server}");
    }
    if !change.gained.is_empty() || !change.lost.is_empty() {
        shared.owner.wake();
    }
}

/// Counts the live entries that share the links of this region.
fn entries_in_region(config: &Config, entries: &[LiveEntry], own: &FailureDomainName) -> u64 {
    let region = config.regions.iter().find(|r| r.failure_domains.contains(own));
    let is_near = |entry: &&LiveEntry| {
        region.is_some_and(|r| r.failure_domains.contains(&entry.failure_domain))
    };
    entries.iter().filter(is_near).count().max(1) as u64
}

async fn exchange(shared: &Arc<Shared>, target: PeerTarget, period: Duration) {
    let began = shared.clock.now();
    let message = {
        let mut membership = lock(&shared.membership);
        let exchange = membership.records_for(&target.instance, None, began);
        wire::exchange_to_wire(&exchange)
    };
    let mut client = shared.control_peers.control(target.address);
    let call = client.exchange(message);
    let timeout = period * EXCHANGE_TIMEOUT_PERIODS;
    let Ok(Ok(reply)) = tokio::time::timeout(timeout, call).await else {
        return;
    };
    let reply = reply.into_inner();
    merge(shared, &reply);
    note_exchange(shared, &reply, began);
    fetch_newer_config(shared, &reply).await;
}

/// Takes over what a peer sent.
pub fn merge(shared: &Shared, message: &ExchangeMessage) {
    let Some(exchange) = wire::exchange_from_wire(message) else {
        log::warn!("gossip: dropped a message without a readable sender");
        return;
    };
    let now = shared.clock.now();
    let changes = lock(&shared.membership).merge(&exchange, now);
    for change in changes {
        log::info!("membership: {change:?}");
    }
}

/// Builds the answer to a peer's gossip.
pub fn answer(shared: &Shared, message: &ExchangeMessage) -> ExchangeMessage {
    let now = shared.clock.now();
    let sender = message.sender.as_ref().and_then(wire::member_from_wire);
    let mut membership = lock(&shared.membership);
    let exchange = match sender {
        Some(sender) => membership.records_for(&sender.instance, Some(message.members_digest), now),
        None => membership.records_for(&shared.settings.instance, None, now),
    };
    wire::exchange_to_wire(&exchange)
}

/// Opens the fence after an exchange with a peer that knows about this failure domain.
fn note_exchange(shared: &Shared, reply: &ExchangeMessage, began: pollenshed_state::time::Instant) {
    let Some(sender) = reply.sender.as_ref().and_then(wire::member_from_wire) else { return };
    let now = shared.clock.now();
    let own_domain = &shared.settings.failure_domain;
    let alone = {
        let membership = lock(&shared.membership);
        !membership.members(now).any(|(record, state)| {
            record.instance != shared.settings.instance
                && record.failure_domain == *own_domain
                && state.is_live()
        })
    };
    let in_own_domain = sender.failure_domain == *own_domain;
    lock(&shared.fence).exchanged(began, in_own_domain, alone, now);
}

async fn fetch_newer_config(shared: &Arc<Shared>, reply: &ExchangeMessage) {
    let Some(sender) = reply.sender.as_ref().and_then(wire::member_from_wire) else { return };
    if sender.config_version <= shared.config.version() {
        return;
    }
    let mut client = shared.control_peers.control(sender.peer_address);
    let request =
        FetchConfigRequest { have_version: shared.config.version().0, have_digest: Bytes::new() };
    let Ok(Ok(fetched)) = tokio::time::timeout(FETCH_TIMEOUT, client.fetch_config(request)).await
    else {
        return;
    };
    let fetched = fetched.into_inner();
    let Some(digest) = wire::digest_from_wire(&fetched.digest) else { return };
    let version = ConfigVersion(fetched.version);
    match shared.config.offer(version, digest, fetched.document) {
        Ok(_) => {
            log::info!("config: version {version} in force, from peer {}", sender.instance);
            update_ownership(shared);
        }
        Err(rejected) => log::debug!("config: version {version} of a peer not taken: {rejected}"),
    }
}
