//! The entry of this instance in the store's table of instances, and those of instances that ended.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use pollenshed_platform::store;
use pollenshed_state::time::Instant;
use pollenshed_transport::call::Caller;

use super::{
    core::Core,
    members::{GONE_MS, MemberRecord},
    reader::{ANSWER_TIMEOUT, RETRY_PAUSE},
    tables::INSTANCES_TABLE,
};

/// Returns the announcement of this instance.
pub fn own_record(core: &Core) -> MemberRecord {
    MemberRecord {
        instance: core.settings.instance.clone(),
        incarnation: core.incarnation,
        failure_domain: core.settings.failure_domain.clone(),
        callers_address: core.settings.callers_address,
        peer_address: core.settings.peer_address(),
    }
}

/// Enters this instance into the store, with as many tries as it takes.
pub async fn register(core: Rc<Core>) {
    let mut caller = Caller::new(core.settings.store_address);
    let record = serde_json::to_vec(&own_record(&core)).expect("a record is always JSON");
    let key = core.settings.instance.to_string();
    let mut pause = RETRY_PAUSE.0;
    loop {
        let body = store::write_row_body(INSTANCES_TABLE, &key, &record);
        match caller.call(Method::POST, store::TRANSACTION_TARGET, body, ANSWER_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => {
                log::info!("members: registered; instance={key}");
                return;
            }
            Ok((status, _)) => log::debug!("members: not registered; status={status}"),
            Err(e) => log::debug!("members: not registered; error={e}"),
        }
        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(RETRY_PAUSE.1);
    }
}

/// Removes the entry of this instance at a planned stop. It is tried once, since peers remove it
/// otherwise.
pub async fn unregister(core: &Core) {
    let mut caller = Caller::new(core.settings.store_address);
    let key = core.settings.instance.to_string();
    remove_entry(&mut caller, &key).await;
}

async fn remove_entry(caller: &mut Caller, key: &str) {
    let target = store::read_target(INSTANCES_TABLE, Some(key));
    let Ok((_, body)) = caller.call(Method::GET, &target, Bytes::new(), ANSWER_TIMEOUT).await
    else {
        return;
    };
    let rows = store::decode_rows(&body).unwrap_or_default().rows;
    let Some(row) = rows.into_iter().find(|row| row.key == key) else { return };
    let body = store::remove_row_body(INSTANCES_TABLE, key, row.version);
    if let Err(e) = caller.call(Method::POST, store::TRANSACTION_TARGET, body, ANSWER_TIMEOUT).await
    {
        log::debug!("members: entry not removed; key={key} error={e}");
    }
}

/// Removes entries of instances that have been silent for long. One instance does so, so that the
/// store is not called by all of them.
pub async fn remove_silent(core: Rc<Core>) {
    let period = Duration::from_millis(GONE_MS / 4);
    let mut caller = Caller::new(core.settings.store_address);
    loop {
        tokio::time::sleep(period).await;
        if !core.is_first() || !core.store_is_steady() {
            continue;
        }
        let now = core.now();
        let silent: Vec<String> = {
            let members = core.members.borrow();
            let is_gone = |at: Instant| now.since_ms(at) >= GONE_MS;
            let gone = members.peers().filter(|m| is_gone(m.heard_at.unwrap_or(m.known_at)));
            gone.map(|m| m.record.instance.to_string()).collect()
        };
        for key in silent {
            log::info!("members: removing the entry of a silent instance; instance={key}");
            remove_entry(&mut caller, &key).await;
        }
    }
}
