//! Keeps the homes of objects in the store, for a start after all instances have ended.
//!
//! Servers remember their objects while instances are replaced. Without their homes, all objects
//! would move at once, and nearly every run would be a first run.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use pollenshed_coordination::steering::Claim;
use pollenshed_platform::store;
use pollenshed_transport::call::Caller;
use prost::Message;

use super::core::Core;

/// Table of the homes.
const HOMES_TABLE: &str = "homes";

/// Key of the only row.
const HOMES_KEY: &str = "all";

/// Pause between two writes, if homes changed. A write a few seconds is a small part of the several
/// hundred a second that the store bears.
const WRITE_PERIOD: Duration = Duration::from_secs(3);

/// Pause between two tries to read the homes.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// Longest time for an answer of the store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Homes that fit into a row of the store: 64 KiB at 14 bytes for each.
const MAX_CLAIMS: usize = 4_500;

/// Claims as instances exchange and keep them: one number of each list for each claim.
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
    /// Lists claims.
    pub fn new(claims: &[Claim]) -> ClaimList {
        ClaimList {
            objects: claims.iter().map(|claim| claim.object).collect(),
            servers: claims.iter().map(|claim| claim.server).collect(),
            moves: claims.iter().map(|claim| claim.moves).collect(),
        }
    }

    /// Returns the claims.
    pub fn claims(&self) -> impl Iterator<Item = Claim> + '_ {
        let places = self.servers.iter().zip(&self.moves);
        let claims = self.objects.iter().zip(places);
        claims.map(|(object, (server, moves))| Claim {
            object: *object,
            server: *server,
            moves: *moves,
        })
    }
}

/// Reads the homes that were kept, with as many tries as it takes.
pub async fn restore(core: Rc<Core>) {
    let mut caller = Caller::new(core.settings.store_address);
    let target = store::read_target(HOMES_TABLE, None);
    loop {
        let answer = caller.call(Method::GET, &target, Bytes::new(), ANSWER_TIMEOUT).await;
        let rows = answer.ok().filter(|(status, _)| status.is_success());
        if let Some(rows) = rows.and_then(|(_, body)| store::decode_rows(&body)) {
            let kept = rows.rows.into_iter().find(|row| row.key == HOMES_KEY);
            if let Some(value) = kept.and_then(|row| row.value) {
                merge(&core, value);
            }
            return;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}

fn merge(core: &Core, value: Bytes) {
    match ClaimList::decode(value) {
        Ok(list) => {
            log::info!("homes: restored; objects={}", list.objects.len());
            core.fleet.borrow_mut().homes.merge(list.claims(), core.now());
        }
        Err(e) => log::warn!("homes: unreadable; error={e}"),
    }
}

/// Writes the homes whenever they have changed. One instance does so.
pub async fn keep(core: Rc<Core>) {
    let mut caller = Caller::new(core.settings.store_address);
    let mut written = Vec::new();
    loop {
        tokio::time::sleep(WRITE_PERIOD).await;
        if !core.is_first() || !core.store_is_steady() {
            continue;
        }
        let mut claims = core.fleet.borrow().homes.all_claims();
        claims.sort_unstable_by_key(|claim| claim.object);
        claims.truncate(MAX_CLAIMS);
        let value = ClaimList::new(&claims).encode_to_vec();
        if claims.is_empty() || value == written {
            continue;
        }
        let body = store::write_row_body(HOMES_TABLE, HOMES_KEY, &value);
        match caller.call(Method::POST, store::TRANSACTION_TARGET, body, ANSWER_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => written = value,
            Ok((status, _)) => log::info!("homes: not written; status={status}"),
            Err(e) => log::info!("homes: not written; error={e}"),
        }
    }
}
