//! Metrics of one instance in the text form that scrapers read.
//!
//! | name | type | labels | meaning |
//! |---|---|---|---|
//! | `pollenshed_requests_total` | counter | service, rank, reason | requests of callers that were answered |
//! | `pollenshed_request_seconds` | histogram | service, rank | time from the head of a request to its answer |
//! | `pollenshed_sends_total` | counter | service, end | requests sent to backend servers, by how they ended |
//! | `pollenshed_backend_seconds` | histogram | service | time that a backend server took for an answer |
//! | `pollenshed_store_calls_total` | counter | table, result | calls to the store |
//! | `pollenshed_peer_answers_total` | counter | change | answers to peers that follow this instance, with a change or without |
//! | `pollenshed_peer_answer_bytes_total` | counter | change | bytes of these answers |
//! | `pollenshed_config_version` | gauge | | version of the configuration in force, 0 if none |
//! | `pollenshed_servers` | gauge | state | backend servers: ready, cold, suspect, leaving |
//! | `pollenshed_members_live` | gauge | | live instances, this one included |
//! | `pollenshed_in_flight` | gauge | | requests of callers that are not answered yet |
//! | `pollenshed_held_bytes` | gauge | | bytes of request bodies that are held |
//! | `pollenshed_store_current` | gauge | | 1 if the tables are as new as the store's |
//! | `pollenshed_log_lines_dropped` | gauge | | log lines that were dropped since the start |

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, core::Collector,
};

/// Bounds of the latency histograms in seconds: around the targets of the users' routes, 0.5 to 4 s.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.025, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0];

/// Values that are read when the metrics are scraped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Backend servers that may get requests.
    pub servers_ready: usize,
    /// Backend servers that are cold.
    pub servers_cold: usize,
    /// Backend servers that failed and have not answered since.
    pub servers_suspect: usize,
    /// Backend servers that leave.
    pub servers_leaving: usize,
    /// Live instances.
    pub members_live: usize,
    /// Requests that are not answered yet.
    pub in_flight: usize,
    /// Bytes of request bodies that are held.
    pub held_bytes: usize,
    /// The tables are as new as the store's.
    pub store_current: bool,
    /// Log lines that were dropped.
    pub log_lines_dropped: u64,
}

/// Metrics of one instance.
pub struct PrometheusMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    sends: IntCounterVec,
    backend_seconds: HistogramVec,
    store_calls: IntCounterVec,
    peer_answers: IntCounterVec,
    peer_answer_bytes: IntCounterVec,
    servers: IntGaugeVec,
    config_version: IntGauge,
    members_live: IntGauge,
    in_flight: IntGauge,
    held_bytes: IntGauge,
    store_current: IntGauge,
    log_lines_dropped: IntGauge,
}

impl PrometheusMetrics {
    /// Creates metrics without values. Fails if two metrics share a name.
    pub fn open() -> prometheus::Result<PrometheusMetrics> {
        let registry = Registry::new();
        let scrape = PrometheusMetrics {
            requests: counter(
                "requests_total",
                "Answered requests",
                &["service", "rank", "reason"],
            )?,
            request_seconds: histogram(
                "request_seconds",
                "Time to the answer",
                &["service", "rank"],
            )?,
            sends: counter("sends_total", "Requests sent to backend servers", &["service", "end"])?,
            backend_seconds: histogram("backend_seconds", "Time of backend servers", &["service"])?,
            store_calls: counter("store_calls_total", "Calls to the store", &["table", "result"])?,
            peer_answers: counter("peer_answers_total", "Answers to peers", &["change"])?,
            peer_answer_bytes: counter(
                "peer_answer_bytes_total",
                "Bytes of answers to peers",
                &["change"],
            )?,
            servers: IntGaugeVec::new(opts("servers", "Backend servers"), &["state"])?,
            config_version: gauge("config_version", "Version in force")?,
            members_live: gauge("members_live", "Live instances")?,
            in_flight: gauge("in_flight", "Requests in flight")?,
            held_bytes: gauge("held_bytes", "Bytes of bodies held")?,
            store_current: gauge("store_current", "Tables are current")?,
            log_lines_dropped: gauge("log_lines_dropped", "Log lines dropped")?,
            registry,
        };
        let collectors: Vec<Box<dyn Collector>> = vec![
            Box::new(scrape.requests.clone()),
            Box::new(scrape.request_seconds.clone()),
            Box::new(scrape.sends.clone()),
            Box::new(scrape.backend_seconds.clone()),
            Box::new(scrape.store_calls.clone()),
            Box::new(scrape.peer_answers.clone()),
            Box::new(scrape.peer_answer_bytes.clone()),
            Box::new(scrape.servers.clone()),
            Box::new(scrape.config_version.clone()),
            Box::new(scrape.members_live.clone()),
            Box::new(scrape.in_flight.clone()),
            Box::new(scrape.held_bytes.clone()),
            Box::new(scrape.store_current.clone()),
            Box::new(scrape.log_lines_dropped.clone()),
        ];
        for collector in collectors {
            scrape.registry.register(collector)?;
        }
        Ok(scrape)
    }

    /// Counts an answered request. `reason` is one of a fixed list.
    pub fn record_request(&self, service: &str, rank: &str, reason: &str, took: Duration) {
        self.requests.with_label_values(&[service, rank, reason]).inc();
        self.request_seconds.with_label_values(&[service, rank]).observe(took.as_secs_f64());
    }

    /// Counts a request to a backend server. `took` is given if the server answered.
    pub fn record_send(&self, service: &str, end: &str, took: Option<Duration>) {
        self.sends.with_label_values(&[service, end]).inc();
        if let Some(took) = took {
            self.backend_seconds.with_label_values(&[service]).observe(took.as_secs_f64());
        }
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, table: &str, succeeded: bool) {
        let result = if succeeded { "ok" } else { "failed" };
        self.store_calls.with_label_values(&[table, result]).inc();
    }

    /// Counts an answer to a peer that asked for changes of the tables.
    pub fn record_peer_answer(&self, has_change: bool, bytes: usize) {
        let change = if has_change { "some" } else { "none" };
        self.peer_answers.with_label_values(&[change]).inc();
        self.peer_answer_bytes.with_label_values(&[change]).inc_by(bytes as u64);
    }

    /// Writes all metrics as text.
    pub fn render(&self, values: GaugeValues) -> String {
        let set =
            |gauge: &IntGauge, value: u64| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        set(&self.config_version, values.config_version);
        set(&self.members_live, values.members_live as u64);
        set(&self.in_flight, values.in_flight as u64);
        set(&self.held_bytes, values.held_bytes as u64);
        set(&self.store_current, u64::from(values.store_current));
        set(&self.log_lines_dropped, values.log_lines_dropped);
        for (state, count) in [
            ("ready", values.servers_ready),
            ("cold", values.servers_cold),
            ("suspect", values.servers_suspect),
            ("leaving", values.servers_leaving),
        ] {
            self.servers.with_label_values(&[state]).set(count as i64);
        }
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("metrics: not written; error={e}");
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("pollenshed")
}

fn counter(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(opts(name, help), labels)
}

fn gauge(name: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::with_opts(opts(name, help))
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).namespace("pollenshed");
    HistogramVec::new(opts.buckets(LATENCY_BUCKETS_S.to_vec()), labels)
}
