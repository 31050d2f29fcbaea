//! The reader role: polls the platform for the configuration and the instance list.
//!
//! Few instances of a failure domain poll ([`poll_plan`]). All others get the configuration by
//! gossip and need no instance list, because they know members. An instance that knows no running
//! peer always polls.

mod candidates;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pollenshed_coordination::replication::{PollPlan, poll_delay_ms, poll_plan};
use pollenshed_state::time::Instant;
use pollenshed_transport::platform::PlatformError;

use crate::{config::OfferError, gossip, instance::Shared, util::lock};

/// Consecutive failures per log line, so that a long outage does not fill the log.
const FAILURES_PER_LOG_LINE: u32 = 30;

/// Polls the platform until the instance ends.
pub async fn run(shared: Arc<Shared>) {
    candidates::use_seeds(&shared);
    let period_ms = shared.settings.timing.platform_poll_ms;
    let mut failures = 0;
    let mut list_due = Instant::START;
    let mut list_period_ms = 0;
    let mut last_plan = PollPlan::Skip;
    // A random first delay keeps instances that start together, as after a power failure, from
    // polling at the same time.
    let mut delay_ms = fastrand::u64(..) % (period_ms / 2).max(1);
    loop {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let now = shared.clock.now();
        let plan = poll_plan(&lock(&shared.membership), now, fastrand::u64(..));
        log_plan_change(&shared, &mut last_plan, plan);
        if plan.polls() {
            // In a large fleet only the chosen readers read the list; a member that was selected at
            // random does not.
            let is_list_short = list_period_ms <= period_ms;
            let with_list = plan == PollPlan::Alone
                || now >= list_due && (is_list_short || plan == PollPlan::Reader);
            match poll(&shared, with_list).await {
                Ok(next_read_ms) => {
                    failures = 0;
                    if let Some(next_ms) = next_read_ms {
                        list_period_ms = next_ms;
                        list_due = now.plus_ms(next_ms);
                    }
                }
                Err(e) => {
                    log_failure(&shared, failures, &e);
                    failures += 1;
                }
            }
        }
        delay_ms = poll_delay_ms(period_ms, failures, fastrand::u64(..));
    }
}

fn log_plan_change(shared: &Shared, last: &mut PollPlan, plan: PollPlan) {
    let is_reader = plan == PollPlan::Reader;
    if is_reader != (*last == PollPlan::Reader) {
        let failure_domain = &shared.settings.failure_domain;
        let verb = if is_reader { "polls" } else { "no longer polls" };
        log::info!(failure_domain:%; "reader: {verb} the platform");
    }
    *last = plan;
}

fn log_failure(shared: &Shared, failures: u32, error: &PlatformError) {
    if failures.is_multiple_of(FAILURES_PER_LOG_LINE) {
        let version = shared.config.version();
        log::warn!(
            version:%,
            failures,
            error:%;
            "reader: a poll of the platform failed; the configuration stays in force"
        );
    }
}

/// Polls the platform once. Returns the time until the next read of the list, in milliseconds, if
/// the list was read.
async fn poll(shared: &Arc<Shared>, with_list: bool) -> Result<Option<u64>, PlatformError> {
    let call_shared = shared.clone();
    // The platform's client blocks, so it must not run on the control threads.
    let call = tokio::task::spawn_blocking(move || {
        let next_read_ms = with_list.then(|| candidates::read(&call_shared));
        // The configuration is read even if the list could not be read.
        read_config(&call_shared)?;
        next_read_ms.transpose()
    });
    call.await.unwrap_or_else(|e| Err(PlatformError::Unavailable(e.to_string())))
}

fn read_config(shared: &Shared) -> Result<(), PlatformError> {
    let Some(stored) = shared.platform.head()? else {
        return Ok(());
    };
    let (version, digest) = (stored.head.version, stored.head.digest);
    if let Err(rejection) = shared.config.check_version(version, Some(digest)) {
        log_rejected(version, &rejection);
        return Ok(());
    }
    let Some(document) = shared.platform.get_object(&digest.hex())? else {
        return Err(PlatformError::Malformed(format!("object {digest} is missing")));
    };
    match shared.config.offer(version, digest, Bytes::from(document)) {
        Ok(current) => {
            log::info!(version:%, digest:%, source = "store"; "config: a version is in force");
            gossip::update(shared, &current, shared.clock.now());
        }
        Err(rejection) => log_rejected(version, &rejection),
    }
    Ok(())
}

fn log_rejected(version: pollenshed_state::ids::ConfigVersion, rejection: &OfferError) {
    if rejection.should_log() {
        log::warn!(
            version:%,
            source = "store",
            reason:% = rejection;
            "config: rejected a version of the store"
        );
    }
}
