//! Fetches a newer configuration from a peer that told of it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pollenshed_protocol::peer::{ExchangeMessage, FetchConfigRequest};
use pollenshed_state::ids::ConfigVersion;

use crate::{instance::Shared, wire};

/// Time within which a peer must send the configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches the sender's configuration if it is newer than the one in force here.
pub async fn fetch_newer(shared: &Arc<Shared>, message: &ExchangeMessage) {
    let Some(sender) = message.sender.as_ref().and_then(wire::member_from_wire) else { return };
    if sender.config_version <= shared.config.version() {
        return;
    }
    let have_version = shared.config.version().0;
    let request = FetchConfigRequest { have_version, have_digest: Bytes::new() };
    let mut client = shared.control_peers.control(sender.peer_address);
    let call = client.fetch_config(request);
    let Ok(Ok(fetched)) = tokio::time::timeout(FETCH_TIMEOUT, call).await else { return };
    let fetched = fetched.into_inner();
    let Some(digest) = wire::digest_from_wire(&fetched.digest) else { return };
    let version = ConfigVersion(fetched.version);
    match shared.config.offer(version, digest, fetched.document) {
        Ok(current) => {
            log::info!(
                version:%,
                digest:%,
                source = "peer",
                peer:% = sender.instance;
                "config: a version is in force"
            );
            super::update(shared, &current, shared.clock.now());
        }
        Err(rejected) if rejected.is_news() => {
            log::warn!(
                version:%,
                source = "peer",
                peer:% = sender.instance,
                reason:% = rejected;
                "config: a version of a peer is not taken"
            );
        }
        Err(_) => {}
    }
}
