//! Size of the messages about limits of workspaces, from plays without a network.

#[path = "../../coordination/tests/workspace_limit_support/mod.rs"]
mod workspace_limit_support;

use googletest::prelude::*;
use pollenshed::steer::workspace_limits::wire::LimitDatagram;
use pollenshed_coordination::steering::workspace_limit::{AskNumber, LimitMessage};
use prost::Message;
use workspace_limit_support::*;

const WORKSPACES: usize = 74;

/// Tag and length of the message in a datagram.
const FRAME_BYTES: usize = 2;

/// What an instance may send about limits on average.
const MAX_BYTES_PER_S: f64 = 500.0;

/// Limits from 344 requests a second down to 2, a few of them large, of 1,300 a second together.
fn limits() -> Vec<Limit> {
    let rate = |number: usize| (LARGE.rate_per_s / (number as f64).powf(1.1)).max(SMALL.rate_per_s);
    let limit =
        |rate_per_s: f64| Limit { rate_per_s: rate_per_s.round(), burst: rate_per_s as u64 };
    (1..=WORKSPACES).map(|number| limit(rate(number))).collect()
}

/// Returns a message as an instance sends it that has run for a month, since larger times take more
/// bytes.
fn after_a_month(message: &LimitMessage) -> LimitMessage {
    const MONTH_MS: u64 = 30 * 24 * 60 * 60 * 1_000;
    let mut message = message.clone();
    match &mut message {
        LimitMessage::Pledge(pledge) => {
            pledge.mark.iter_mut().for_each(|mark| mark.at_ms += MONTH_MS);
        }
        LimitMessage::Ack(ack) => {
            ack.mark.at_ms += MONTH_MS;
            ack.held_ms.iter_mut().for_each(|held_ms| *held_ms += MONTH_MS);
        }
        LimitMessage::Ask(ask) => ask.number.0 += AskNumber::COUNT / 2,
        LimitMessage::Grant(grant) => grant.number.0 += AskNumber::COUNT / 2,
    }
    message
}

/// Returns the bytes that an instance sends a second. `hot` is a workspace with seven times its
/// usual requests.
fn bytes_per_s(instances: usize, hot: Option<usize>) -> f64 {
    const SECONDS: u64 = 6;
    let limits = limits();
    let mut play = Play::new(instances, &limits, 7);
    play.run_until(8_000);
    for (workspace, limit) in limits.iter().enumerate() {
        let factor = if hot == Some(workspace) { 7.0 } else { 1.0 };
        play.demand(workspace, Demand { per_s: factor * limit.rate_per_s / 1.6, regions: 3 });
    }
    play.run_for(2_000);
    play.messages = Some(Vec::new());
    play.run_for(SECONDS * 1_000);
    let messages = play.messages.take().unwrap();
    let sizes = messages.iter().map(after_a_month).map(|m| LimitDatagram::new(&m).encoded_len());
    let bytes = sizes.map(|size| size + FRAME_BYTES);
    let bytes = bytes.sum::<usize>() as f64 / (SECONDS as f64 * instances as f64);
    let per_s = messages.len() as f64 / (SECONDS as f64 * instances as f64);
    println!("{instances} instances, hot {hot:?}: {bytes:.0} bytes, {per_s:.1} messages a second");
    bytes
}

/// Guards against messages about limits that take up the links of small instances, in normal load
/// and with one workspace that sends seven times its usual.
#[googletest::test]
fn messages_about_limits_stay_small() {
    for instances in [63, 295] {
        for hot in [None, Some(0), Some(10)] {
            expect_that!(bytes_per_s(instances, hot), le(MAX_BYTES_PER_S), "{instances}, {hot:?}");
        }
    }
}
