//! Tests of the list of instances, which heartbeats keep up to date.

use googletest::prelude::*;
use pollenshed::steer::members::{MemberRecord, Members, PeerState};
use pollenshed_state::{ids::Incarnation, time::Instant};

fn record(incarnation: u64) -> MemberRecord {
    MemberRecord {
        instance: "front-1".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        failure_domain: "palermo-a".parse().unwrap(),
        callers_address: "127.0.0.2:8641".parse().unwrap(),
        peer_address: "127.0.0.2:7620".parse().unwrap(),
    }
}

fn state(leaving: bool, beat: u64) -> PeerState {
    PeerState {
        leaving,
        ready: true,
        store_healthy: true,
        store_answered_ms: 9_000,
        heartbeat_interval_ms: 250,
        beat,
    }
}

/// Guards against callers that are sent to an instance in a planned stop, or to one that has ended,
/// because a heartbeat was delivered after later ones.
#[googletest::test]
fn a_late_heartbeat_brings_no_leaving_instance_back() {
    let mut members = Members::new("front-0".parse().unwrap());
    let start = Instant::default();
    let usable = |members: &Members, at: Instant| members.usable(at).count();
    members.record_heartbeat(record(1), state(false, 5), start);
    expect_that!(usable(&members, start), eq(1));
    members.record_heartbeat(record(1), state(true, 7), start.plus_ms(500));
    for beat in [6, 7] {
        members.record_heartbeat(record(1), state(false, beat), start.plus_ms(600));
        expect_that!(usable(&members, start.plus_ms(600)), eq(0), "beat {beat}");
    }
    // A late heartbeat does not show that the instance still lives.
    let silent_at = start.plus_ms(2_000);
    members.record_heartbeat(record(1), state(false, 6), silent_at);
    expect_that!(members.is_live(&record(1).instance, silent_at), eq(false));
    // The next run counts its heartbeats anew.
    members.record_heartbeat(record(2), state(false, 1), silent_at);
    expect_that!(usable(&members, silent_at), eq(1));
}
