//! Exchanges state with peers and derives ownership, headroom and ramps from it.

mod config_fetch;
mod message;
mod steering;

use std::{sync::Arc, time::Duration};

use pollenshed_coordination::{
    membership::{MemberState, PeerTarget},
    ownership::{LiveEntry, OwnerLiveness, live_entries},
};
use pollenshed_protocol::peer::ExchangeMessage;
use pollenshed_state::{
    config::Config,
    ids::{BackendServerName, FailureDomainName, InstanceName},
    time::Instant,
};
use tokio::time::MissedTickBehavior;

pub use config_fetch::answer_config_fetch;
pub use message::{build_reply, merge, merge_sender};

use crate::{config::ActiveConfig, instance::Shared, owner, util::lock, wire};

/// Timeout of a gossip call in gossip periods, so that an unresponsive peer delays nothing.
const EXCHANGE_TIMEOUT_PERIODS: u32 = 2;

/// Number of peers that are notified of urgent changes at once. The others learn of them by gossip.
pub const MAX_NOTIFIED_PEERS: usize = 32;

/// Exchanges messages with a few peers in each gossip period until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        for target in tick(&shared) {
            let shared = shared.clone();
            tokio::spawn(async move { exchange(&shared, target, period).await });
        }
    }
}

/// Exchanges messages with up to `count` running members now and waits for the calls. Used for
/// urgent changes, such as a planned stop or a crash.
pub async fn notify_peers(shared: &Arc<Shared>, count: usize) {
    let period = Duration::from_millis(shared.settings.timing.gossip_period_ms);
    let now = shared.clock.now();
    let targets: Vec<_> = {
        let membership = lock(&shared.membership);
        let running = membership.members(now).filter(|(_, state)| state.is_running());
        let others = running.filter(|(record, _)| record.instance != shared.settings.instance);
        others
            .take(count)
            .map(|(r, _)| PeerTarget { instance: r.instance.clone(), address: r.peer_address })
            .collect()
    };
    let calls = targets.into_iter().map(|target| {
        let shared = shared.clone();
        tokio::spawn(async move { exchange(&shared, target, period).await })
    });
    for call in calls.collect::<Vec<_>>() {
        let _ = call.await;
    }
}

/// Does the work of one period on local state and returns the peers to contact.
fn tick(shared: &Shared) -> Vec<PeerTarget> {
    let now = shared.clock.now();
    let targets = {
        let mut membership = lock(&shared.membership);
        membership.set_config_version(shared.config.version());
        membership.tick(now);
        membership.pick_peers(now, fastrand::u64(..))
    };
    {
        let membership = lock(&shared.membership);
        lock(&shared.routing).retain_peers(|peer| {
            membership.state_of(peer, now).is_some_and(MemberState::is_running)
        });
    }
    let was_long_pause = {
        let mut fence = lock(&shared.fence);
        fence.record_loop_run(now);
        fence.take_long_pause()
    };
    if was_long_pause {
        log::warn!(
            fence_after_ms = shared.settings.timing.fence_after_ms,
            dead_after_ms = shared.settings.timing.dead_after_ms;
            "placement: paused for so long that peers may have taken over; waiting again"
        );
        lock(&shared.ownership).restart_wait(now);
    }
    if lock(&shared.membership).is_superseded() && !shared.is_leaving() {
        log::error!(
            instance:% = shared.settings.instance,
            incarnation:% = shared.incarnation;
            "membership: a process that started later uses the name of this instance; stopping"
        );
        shared.stop_requested.notify_one();
    }
    if let Some(current) = shared.config.get() {
        update(shared, &current, now);
    }
    targets
}

/// Recomputes ownership, servers, headroom and ramps from the membership table and the
/// configuration.
pub fn update(shared: &Shared, current: &ActiveConfig, now: Instant) {
    let entries = update_ownership(shared, current, now);
    owner::update_servers(shared, current, now);
    let adverts = owner::advertisements(shared, current, &entries, now);
    let in_region = entries_in_region(&current.config, &entries, &shared.settings.failure_domain);
    let mut routing = lock(&shared.routing);
    routing.update_policies(&current.config, in_region, now);
    lock(&shared.admission).set_ranks(&current.config.ranks);
    for advert in adverts {
        let _ = routing.router.advertisements.store(advert, Some(shared.incarnation), now);
    }
    // Owners dispatch, and so advertise, only some time after their start. Without this wait, while
    // a whole fleet starts, an entry would consider its own failure domain failed and move traffic
    // away.
    let timing = &shared.settings.timing;
    if now.as_ms() >= timing.dead_after_ms + timing.headroom_ttl_ms {
        steering::step(&mut routing, &current.config, now);
    }
}

/// Recomputes which backend servers this instance owns and logs the changes. Returns the live
/// entries.
fn update_ownership(shared: &Shared, current: &ActiveConfig, now: Instant) -> Vec<LiveEntry> {
    let (entries, change) = {
        let membership = lock(&shared.membership);
        let entries = live_entries(&membership, now);
        let liveness_of = |name: &InstanceName| {
            let state = membership.state_of(name, now)?;
            Some(OwnerLiveness { state, age_ms: membership.record_of(name)?.stamp_ms })
        };
        let mut ownership = lock(&shared.ownership);
        let change = ownership.update(current.version, &current.config, &entries, liveness_of, now);
        (entries, change)
    };
    if !change.gained.is_empty() {
        shared.owner.request_releases();
    }
    for takeover in &change.gained {
        log::info!(
            backend_server:% = takeover.server,
            previous_owner = takeover.previous.as_ref().map_or("none", |p| p.as_str()),
            wait_us = takeover.usable_at.since_us(now),
            live_entries = entries.len();
            "placement: takes over a backend server"
        );
    }
    for server in &change.lost {
        log::info!(
            backend_server:% = server,
            new_owner:% = owner_name(shared, server),
            live_entries = entries.len();
            "placement: gives up a backend server"
        );
    }
    entries
}

/// Returns the name of a server's owner, or `none`, for log lines.
fn owner_name(shared: &Shared, server: &BackendServerName) -> String {
    let ownership = lock(&shared.ownership);
    ownership.owner(server).map_or("none".to_owned(), |owner| owner.instance.to_string())
}

/// Returns the number of live entries in this region, which share its links to other regions.
fn entries_in_region(config: &Config, entries: &[LiveEntry], own: &FailureDomainName) -> u64 {
    let region = config.regions.iter().find(|r| r.failure_domains.contains(own));
    let shares_links = |entry: &&LiveEntry| {
        region.is_some_and(|r| r.failure_domains.contains(&entry.failure_domain))
    };
    entries.iter().filter(shares_links).count().max(1) as u64
}

/// Sends one gossip message to a peer and applies its answer.
async fn exchange(shared: &Arc<Shared>, target: PeerTarget, period: Duration) {
    let began = shared.clock.now();
    let request = message::build(shared, &target.instance, None, began);
    let mut client = shared.control_peers.control(target.address);
    let timeout = period * EXCHANGE_TIMEOUT_PERIODS;
    let Ok(Ok(reply)) = tokio::time::timeout(timeout, client.exchange(request)).await else {
        return;
    };
    let reply = reply.into_inner();
    merge(shared, &reply);
    open_fence(shared, &reply, began);
    config_fetch::fetch_newer(shared, &reply).await;
}

/// Reports a completed exchange to the fence. It opens if the exchange began after it closed, and if
/// the peer is in the own failure domain or no other member of that domain is live.
fn open_fence(shared: &Shared, reply: &ExchangeMessage, began: Instant) {
    let Some(sender) = reply.sender.as_ref().and_then(wire::member_from_wire) else { return };
    let now = shared.clock.now();
    let own_domain = &shared.settings.failure_domain;
    let is_only_member = {
        let membership = lock(&shared.membership);
        !membership.members(now).any(|(record, state)| {
            record.instance != shared.settings.instance
                && record.failure_domain == *own_domain
                && state.is_live()
        })
    };
    let in_own_domain = sender.failure_domain == *own_domain;
    let mut fence = lock(&shared.fence);
    let was_closed = !fence.may_dispatch(now);
    fence.record_exchange(began, in_own_domain, is_only_member, now);
    if was_closed && fence.may_dispatch(now) {
        shared.owner.request_releases();
    }
}
