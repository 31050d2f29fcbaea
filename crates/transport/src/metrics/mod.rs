//! Metrics in the StatsD text form over UDP.
//!
//! All names begin with `pollenshed.`; `<rank>` is `urgent`, `standard` or `deferrable`, and
//! `<outcome>` is `done`, `not-run` or `unknown`.
//!
//! | name | type | meaning |
//! |---|---|---|
//! | `requests.<rank>.<outcome>` | counter | requests of callers that were answered |
//! | `request_ms.<rank>.<outcome>` | timing | time from the head of a request to its answer |
//! | `queue_ms.<rank>` | timing | time that a request waited for a slot at its owner |
//! | `backend_ms.<rank>` | timing | time that a backend server took for a request |
//! | `lookups` | counter | lookups that were answered |
//! | `retries` | counter | further attempts at idempotent requests |
//! | `shed` | counter | requests that a backend server shed |
//! | `quarantined` | counter | requests that were refused because they crash backend servers |
//! | `slots_in_use` | gauge | slots in use at the owned backend servers |
//! | `config_version` | gauge | version of the configuration in force |
//! | `log_lines_dropped` | gauge | log lines that were dropped since the start |
//!
//! Sending never blocks: a thread takes metrics from a bounded queue and sends them on a socket that
//! does not wait. What finds the queue full is lost and counted.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use pollenshed_protocol::caller::Outcome;
use pollenshed_state::config::Rank;

/// Start of all names.
const PREFIX: &str = "pollenshed";

/// Metrics that wait to be sent at most.
const QUEUE_METRICS: usize = 16 * 1024;

/// A counter without a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// Lookups that were answered.
    Lookups,
    /// Further attempts at idempotent requests.
    Retries,
    /// Requests that a backend server shed.
    Shed,
    /// Requests that were refused because they crash backend servers.
    Quarantined,
}

/// A value that goes up and down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gauge {
    /// Slots in use at the owned backend servers.
    SlotsInUse,
    /// Version of the configuration in force.
    ConfigVersion,
    /// Log lines that were dropped since the start.
    LogLinesDropped,
}

/// A time that a request spent, by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Waiting for a slot at its owner.
    Queue,
    /// At a backend server.
    Backend,
}

/// Sends metrics. Clones share one queue. Without an address it does nothing.
#[derive(Clone, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
    lost: Arc<AtomicU64>,
}

/// Prepares sending metrics to `address`; nothing is sent without one. Fails if no socket can be
/// opened.
pub fn open(address: Option<SocketAddr>) -> io::Result<Metrics> {
    let Some(address) = address else { return Ok(Metrics::default()) };
    let local: SocketAddr = match address {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE_METRICS);
    let lost = Arc::new(AtomicU64::new(0));
    let losing = lost.clone();
    let client = StatsdClient::builder(PREFIX, sink)
        .with_error_handler(move |_| {
            losing.fetch_add(1, Ordering::Relaxed);
        })
        .build();
    Ok(Metrics { client: Some(Arc::new(client)), lost })
}

impl Metrics {
    /// Counts an answered request and its time.
    pub fn record_request(&self, rank: Rank, outcome: Outcome, took: Duration) {
        let Some(client) = &self.client else { return };
        client.count_with_tags(&format!("requests.{rank}.{outcome}"), 1).send();
        let name = format!("request_ms.{rank}.{outcome}");
        client.time_with_tags(&name, millis(took)).send();
    }

    /// Reports a time that a request spent.
    pub fn record_time(&self, timing: Timing, rank: Rank, took: Duration) {
        let Some(client) = &self.client else { return };
        let name = match timing {
            Timing::Queue => "queue_ms",
            Timing::Backend => "backend_ms",
        };
        client.time_with_tags(&format!("{name}.{rank}"), millis(took)).send();
    }

    /// Adds to a counter.
    pub fn count(&self, counter: Counter, by: u64) {
        let Some(client) = &self.client else { return };
        let name = match counter {
            Counter::Lookups => "lookups",
            Counter::Retries => "retries",
            Counter::Shed => "shed",
            Counter::Quarantined => "quarantined",
        };
        client.count_with_tags(name, by).send();
    }

    /// Reports the present value of a gauge.
    pub fn set_gauge(&self, gauge: Gauge, value: u64) {
        let Some(client) = &self.client else { return };
        let name = match gauge {
            Gauge::SlotsInUse => "slots_in_use",
            Gauge::ConfigVersion => "config_version",
            Gauge::LogLinesDropped => "log_lines_dropped",
        };
        client.gauge_with_tags(name, value).send();
    }

    /// Returns the number of metrics that were lost because the queue was full.
    pub fn dropped_metrics(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

fn millis(took: Duration) -> u64 {
    u64::try_from(took.as_millis()).unwrap_or(u64::MAX)
}
