//! Stores the homes of objects, so that they survive a restart of all instances.
//!
//! The home of an object is the backend server that its requests are sent to. Servers keep objects
//! in memory while instances are restarted. If the homes were lost, all objects would move at once,
//! and nearly every request would run on a server that does not have its object in memory.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use pollenshed_coordination::steering::Claim;
use pollenshed_platform::store::{self, StoreEra};
use pollenshed_transport::call::HttpClient;
use prost::Message;

use super::core::Core;

/// Table of the homes.
const HOMES_TABLE: &str = "homes";

/// Key of the only row.
const HOMES_KEY: &str = "all";

/// Interval between writes, if homes changed. One write every few seconds is a small part of the
/// several hundred per second that the store supports.
const WRITE_INTERVAL: Duration = Duration::from_secs(3);

/// Interval at which an instance that leaves the store to others checks whether it has the homes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay between attempts to read the homes.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a call to the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of claims in a row of the store: 64 KiB at 14 bytes per claim.
const MAX_CLAIMS: usize = 4_500;

/// Claims as sent to peers and stored, in columns: the values at one index of the lists belong to
/// one claim.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ClaimList {
    #[prost(fixed64, repeated, tag = "1")]
    objects: Vec<u64>,
    #[prost(fixed32, repeated, tag = "2")]
    servers: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    moves: Vec<u32>,
}

impl ClaimList {
    /// Encodes claims.
    pub fn new(claims: &[Claim]) -> ClaimList {
        ClaimList {
            objects: claims.iter().map(|claim| claim.object).collect(),
            servers: claims.iter().map(|claim| claim.server).collect(),
            moves: claims.iter().map(|claim| claim.moves).collect(),
        }
    }

    /// Decodes the claims.
    pub fn claims(&self) -> impl Iterator<Item = Claim> + '_ {
        let assignments = self.servers.iter().zip(&self.moves);
        let claims = self.objects.iter().zip(assignments);
        claims.map(|(object, (server, moves))| Claim {
            object: *object,
            server: *server,
            moves: *moves,
        })
    }
}

/// Reads the stored homes, unless a peer provides them. Retries until the store answers.
pub async fn restore(core: Rc<Core>) {
    let mut client = HttpClient::new(core.settings.store_address);
    let target = store::read_target(HOMES_TABLE, None);
    while !core.has_homes.get() {
        if !core.must_read_store() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let response = client.call(Method::GET, &target, Bytes::new(), RESPONSE_TIMEOUT).await;
        let rows = response.ok().filter(|response| response.status().is_success());
        if let Some(rows) =
            rows.and_then(|response| store::decode_rows(response.body(), StoreEra::default()))
        {
            let stored = rows.rows.into_iter().find(|row| row.key == HOMES_KEY);
            if let Some(value) = stored.and_then(|row| row.value) {
                merge(&core, value);
            }
            core.has_homes.set(true);
            return;
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
}

/// Applies homes that were kept in the store or by a peer.
pub fn apply(core: &Core, list: &ClaimList) {
    log::info!("homes: restored; objects={}", list.objects.len());
    core.fleet.borrow_mut().homes.merge(list.claims(), core.now());
}

fn merge(core: &Core, value: Bytes) {
    match ClaimList::decode(value) {
        Ok(list) => apply(core, &list),
        Err(e) => log::warn!("homes: malformed; error={e}"),
    }
}

/// Writes the homes whenever they have changed. Only one instance does so.
pub async fn persist(core: Rc<Core>) {
    let mut client = HttpClient::new(core.settings.store_address);
    let mut written = (StoreEra::default(), Vec::new());
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        if !core.runs_singleton_tasks() || !core.store_is_healthy() {
            continue;
        }
        let mut claims = core.fleet.borrow().homes.all_claims();
        claims.sort_unstable_by_key(|claim| claim.object);
        claims.truncate(MAX_CLAIMS);
        let value = ClaimList::new(&claims).encode_to_vec();
        // A store that was restored from a copy may lack what was written.
        let era = core.current_era();
        if claims.is_empty() || written == (era, value.clone()) {
            continue;
        }
        let body = store::write_row_body(HOMES_TABLE, HOMES_KEY, &value);
        match client.call(Method::POST, store::TRANSACTION_TARGET, body, RESPONSE_TIMEOUT).await {
            Ok(response) if response.status().is_success() => written = (era, value),
            Ok(response) => log::info!("homes: not written; status={}", response.status()),
            Err(e) => log::info!("homes: not written; error={e}"),
        }
    }
}
