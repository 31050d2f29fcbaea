//! Fetches a newer configuration from a peer that announced it, as a list of changes if possible.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use pollenshed_coordination::{
    membership::MemberRecord,
    replication::{Change, Splice, VersionedDigest},
};
use pollenshed_protocol::peer::{self, ExchangeMessage, FetchConfigReply, FetchConfigRequest};
use pollenshed_state::ids::ConfigVersion;

use crate::{
    config::{ActiveConfig, OfferError, VersionedSplices},
    instance::Shared,
    wire,
};

/// Timeout of a call that fetches the configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers a `FetchConfig` call with the changes since the peer's version. The answer is the whole
/// document if the changes are not kept any more, if they are not smaller, or if the peer has a
/// different document under the same version.
pub fn answer_config_fetch(shared: &Shared, request: &FetchConfigRequest) -> FetchConfigReply {
    let have_version = ConfigVersion(request.have_version);
    let Some(current) = shared.config.get().filter(|c| c.version > have_version) else {
        return FetchConfigReply::default();
    };
    let have_digest = wire::digest_from_wire(&request.have_digest);
    let changes = have_digest.and_then(|d| shared.config.changes_since((have_version, d)));
    // The changes may end at a newer version than `current`, if one came into force meanwhile.
    let end = changes
        .as_ref()
        .and_then(|changes| changes.last())
        .map_or(current.versioned_digest(), |c| c.to);
    FetchConfigReply {
        version: end.0.0,
        digest: end.1.as_bytes().to_vec().into(),
        document: if changes.is_some() { Bytes::new() } else { current.document.clone() },
        changes: changes.unwrap_or_default().into_iter().map(change_to_wire).collect(),
    }
}

/// Fetches the sender's configuration if it is newer than the one in force here. If changes lead to
/// a wrong digest, the whole document is fetched.
pub async fn fetch_newer(shared: &Arc<Shared>, message: &ExchangeMessage) {
    let Some(sender) = message.sender.as_ref().and_then(wire::member_from_wire) else { return };
    let base = shared.config.get();
    if sender.config_version <= shared.config.version() {
        return;
    }
    let Some(reply) = fetch(shared, &sender, base.as_deref()).await else { return };
    match &base {
        Some(base) if !reply.changes.is_empty() => {
            if offer_fetched_changes(shared, &sender, base, reply)
                == Err(OfferError::DigestMismatch)
                && let Some(reply) = fetch(shared, &sender, None).await
            {
                offer_fetched_document(shared, &sender, reply);
            }
        }
        _ => offer_fetched_document(shared, &sender, reply),
    }
}

/// Asks a peer for the changes since `base`, or for the whole document if there is no `base`.
async fn fetch(
    shared: &Shared,
    peer: &MemberRecord,
    base: Option<&ActiveConfig>,
) -> Option<FetchConfigReply> {
    let request = FetchConfigRequest {
        have_version: base.map_or_else(|| shared.config.version(), |b| b.version).0,
        have_digest: base.map_or_else(Bytes::new, |b| b.digest.as_bytes().to_vec().into()),
    };
    let mut client = shared.control_peers.control(peer.peer_address);
    let call = client.fetch_config(request);
    let reply = tokio::time::timeout(FETCH_TIMEOUT, call).await.ok()?.ok()?;
    Some(reply.into_inner())
}

fn offer_fetched_changes(
    shared: &Shared,
    peer: &MemberRecord,
    base: &ActiveConfig,
    reply: FetchConfigReply,
) -> Result<(), OfferError> {
    let (version, digest) = versioned_digest(&reply).ok_or(OfferError::DigestMismatch)?;
    let changes: Vec<_> = reply.changes.into_iter().map(change_from_wire).collect();
    let result = shared.config.offer_changes(base, version, digest, changes);
    handle_offer(shared, peer, (version, digest), Form::ChangesAfter(base.version), result)
}

fn offer_fetched_document(shared: &Shared, peer: &MemberRecord, reply: FetchConfigReply) {
    let Some((version, digest)) = versioned_digest(&reply) else { return };
    let result = shared.config.offer(version, digest, reply.document);
    let _ = handle_offer(shared, peer, (version, digest), Form::Whole, result);
}

fn versioned_digest(reply: &FetchConfigReply) -> Option<VersionedDigest> {
    Some((ConfigVersion(reply.version), wire::digest_from_wire(&reply.digest)?))
}

/// Form in which a version arrived, for log lines.
enum Form {
    Whole,
    ChangesAfter(ConfigVersion),
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Form::Whole => f.write_str("whole"),
            Form::ChangesAfter(version) => write!(f, "changes-after-{version}"),
        }
    }
}

/// Logs the result of an offer and applies an accepted configuration.
fn handle_offer(
    shared: &Shared,
    peer: &MemberRecord,
    (version, digest): VersionedDigest,
    form: Form,
    result: Result<Arc<ActiveConfig>, OfferError>,
) -> Result<(), OfferError> {
    let peer = &peer.instance;
    match result {
        Ok(current) => {
            log::info!(
                version:%, digest:%, source = "peer", peer:%, form:%;
                "config: a version is in force"
            );
            super::update(shared, &current, shared.clock.now());
            Ok(())
        }
        Err(rejected) => {
            if rejected.should_log() {
                log::warn!(
                    version:%, source = "peer", peer:%, form:%, reason:% = rejected;
                    "config: rejected a version of a peer"
                );
            }
            Err(rejected)
        }
    }
}

fn change_to_wire(change: Change) -> peer::ConfigChange {
    let splice = |splice: Splice| peer::Splice {
        at: splice.at as u64,
        removed: splice.removed as u64,
        inserted: splice.inserted.into(),
    };
    peer::ConfigChange {
        version: change.to.0.0,
        splices: change.splices.into_iter().map(splice).collect(),
    }
}

/// A number that does not fit into `usize` becomes `usize::MAX`, which no document reaches either,
/// so the splice is rejected later.
fn change_from_wire(change: peer::ConfigChange) -> VersionedSplices {
    let number = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    let splice = |splice: peer::Splice| Splice {
        at: number(splice.at),
        removed: number(splice.removed),
        inserted: splice.inserted.to_vec(),
    };
    (ConfigVersion(change.version), change.splices.into_iter().map(splice).collect())
}
