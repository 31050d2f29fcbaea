//! Tests metrics as a StatsD server receives them.

use std::{net::UdpSocket, time::Duration};

use googletest::prelude::*;
use pollenshed_protocol::caller::Outcome;
use pollenshed_state::config::Rank;
use pollenshed_transport::metrics::{self, Counter, Gauge, Timing};

/// Guards against metric names or values that differ from the documentation.
#[gtest]
fn metrics_arrive_as_documented() {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let metrics = metrics::open(Some(receiver.local_addr().unwrap())).unwrap();
    metrics.record_request(Rank::Urgent, Outcome::NotRun, Duration::from_millis(12));
    metrics.record_time(Timing::Queue, Rank::Deferrable, Duration::from_millis(7));
    metrics.count(Counter::Lookups, 3);
    metrics.set_gauge(Gauge::ConfigVersion, 9);
    let next = || {
        let mut buffer = [0; 512];
        let length = receiver.recv(&mut buffer).unwrap();
        String::from_utf8_lossy(&buffer[..length]).trim().to_owned()
    };
    expect_that!(next(), eq("pollenshed.requests.urgent.not-run:1|c"));
    expect_that!(next(), eq("pollenshed.request_ms.urgent.not-run:12|ms"));
    expect_that!(next(), eq("pollenshed.queue_ms.deferrable:7|ms"));
    expect_that!(next(), eq("pollenshed.lookups:3|c"));
    expect_that!(next(), eq("pollenshed.config_version:9|g"));
    expect_that!(metrics.dropped_metrics(), eq(0));
}

/// Guards against an instance that fails or blocks because nobody receives its metrics.
#[gtest]
fn metrics_without_receiver_do_nothing() {
    let closed = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for address in [None, Some(closed)] {
        let metrics = metrics::open(address).unwrap();
        for _ in 0..1_000 {
            metrics.count(Counter::Shed, 1);
        }
    }
}
