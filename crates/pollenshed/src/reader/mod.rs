//! Reader: polls the platform for the configuration and the instance list.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pollenshed_coordination::membership::Candidate;
use pollenshed_protocol::platform::{CONFIG_TABLE, HEAD_KEY, Head};
use pollenshed_state::ids::{ConfigVersion, Digest};
use pollenshed_transport::platform::PlatformError;

use crate::{config::Rejected, gossip, instance::Shared, util::lock};

/// Runs until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.platform_poll_ms);
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let polled = shared.clone();
        // The platform's client blocks, so it must not run on the control threads.
        let result = tokio::task::spawn_blocking(move || poll(&polled)).await;
        if let Ok(Err(e)) = result {
            log::warn!("reader: {e}; goes on with configuration {}", shared.config.version());
        }
    }
}

fn poll(shared: &Shared) -> Result<(), PlatformError> {
    let list = shared.platform.instances()?;
    let candidates = list
        .instances
        .iter()
        .map(|i| Candidate { instance: i.name.clone(), peer_address: i.peer_address })
        .collect();
    lock(&shared.membership).set_candidates(candidates);
    *lock(&shared.leaving_backend_servers) =
        list.leaving_backend_servers.iter().filter_map(|name| name.parse().ok()).collect();
    read_config(shared)
}

fn read_config(shared: &Shared) -> Result<(), PlatformError> {
    let Some(row) = shared.platform.get_row(CONFIG_TABLE, HEAD_KEY)? else {
        return Ok(());
    };
    let head: Head = serde_json::from_value(row.value)
        .map_err(|e| PlatformError::Malformed(format!("head row: {e}")))?;
    let version = ConfigVersion(head.version);
    match shared.config.check_version(version) {
        Ok(()) => {}
        Err(Rejected::Same) => return Ok(()),
        Err(rejected) => {
            log::warn!("config: version {version} of the store is not obeyed: {rejected}");
            return Ok(());
        }
    }
    let digest: Digest = head
        .digest
        .parse()
        .map_err(|e| PlatformError::Malformed(format!("digest in head row: {e}")))?;
    let Some(document) = shared.platform.get_object(&digest.hex())? else {
        return Err(PlatformError::Malformed(format!("object {digest} is missing")));
    };
    match shared.config.offer(version, digest, Bytes::from(document)) {
        Ok(current) => {
            log::info!("config: version {version} in force, from the store");
            gossip::update(shared, &current, shared.clock.now());
        }
        Err(rejected) => log::warn!("config: version {version} of the store: {rejected}"),
    }
    Ok(())
}
