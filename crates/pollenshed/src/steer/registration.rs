//! Registers this instance in the store and removes the rows of instances that ended.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use pollenshed_platform::store;
use pollenshed_state::time::Instant;
use pollenshed_transport::call::HttpClient;

use super::{
    core::Core,
    members::{MemberRecord, ROW_REMOVAL_SILENCE_MS},
    reader::{RESPONSE_TIMEOUT, RETRY_DELAY},
    tables::INSTANCES_TABLE,
};

/// Returns the record with which this instance registers.
pub fn own_record(core: &Core) -> MemberRecord {
    MemberRecord {
        instance: core.settings.instance.clone(),
        incarnation: core.incarnation,
        failure_domain: core.settings.failure_domain.clone(),
        callers_address: core.settings.callers_address,
        peer_address: core.settings.peer_address(),
    }
}

/// Writes the record of this instance to the store, retrying until it succeeds.
pub async fn register(core: Rc<Core>) {
    let mut client = HttpClient::new(core.settings.store_address);
    let record = serde_json::to_vec(&own_record(&core)).expect("a record is always JSON");
    let key = core.settings.instance.to_string();
    let mut delay = RETRY_DELAY.0;
    loop {
        let body = store::write_row_body(INSTANCES_TABLE, &key, &record);
        match client.call(Method::POST, store::TRANSACTION_TARGET, body, RESPONSE_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => {
                log::info!("members: registered; instance={key}");
                return;
            }
            Ok((status, _)) => log::debug!("members: not registered; status={status}"),
            Err(e) => log::debug!("members: not registered; error={e}"),
        }
        tokio::time::sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
        delay = (delay * 2).min(RETRY_DELAY.1);
    }
}

/// Removes the row of this instance during a planned stop. It is tried once, because a peer removes
/// the row otherwise.
pub async fn unregister(core: &Core) {
    let mut client = HttpClient::new(core.settings.store_address);
    let key = core.settings.instance.to_string();
    remove_row(&mut client, &key).await;
}

async fn remove_row(client: &mut HttpClient, key: &str) {
    let target = store::read_target(INSTANCES_TABLE, Some(key));
    let Ok((_, body)) = client.call(Method::GET, &target, Bytes::new(), RESPONSE_TIMEOUT).await
    else {
        return;
    };
    let rows = store::decode_rows(&body).unwrap_or_default().rows;
    let Some(row) = rows.into_iter().find(|row| row.key == key) else { return };
    let body = store::remove_row_body(INSTANCES_TABLE, key, row.version);
    if let Err(e) =
        client.call(Method::POST, store::TRANSACTION_TARGET, body, RESPONSE_TIMEOUT).await
    {
        log::debug!("members: row not removed; key={key} error={e}");
    }
}

/// Removes the rows of instances that have been silent for long. Only one instance does so, to
/// limit the number of store calls.
pub async fn remove_silent_instances(core: Rc<Core>) {
    let period = Duration::from_millis(ROW_REMOVAL_SILENCE_MS / 4);
    let mut client = HttpClient::new(core.settings.store_address);
    loop {
        tokio::time::sleep(period).await;
        if !core.runs_singleton_tasks() || !core.store_is_healthy() {
            continue;
        }
        let now = core.now();
        let silent: Vec<String> = {
            let members = core.members.borrow();
            let is_gone = |at: Instant| now.since_ms(at) >= ROW_REMOVAL_SILENCE_MS;
            let gone =
                members.peers().filter(|m| is_gone(m.last_heartbeat_at.unwrap_or(m.known_at)));
            gone.map(|m| m.record.instance.to_string()).collect()
        };
        for key in silent {
            log::info!("members: removing the row of a silent instance; instance={key}");
            remove_row(&mut client, &key).await;
        }
    }
}
