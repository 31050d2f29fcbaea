//! Metrics of one instance in the Prometheus text format.
//!
//! | name | type | labels | meaning |
//! |---|---|---|---|
//! | `pollenshed_requests_total` | counter | service, rank, reason | callers' requests that got a response |
//! | `pollenshed_workspace_requests_total` | counter | workspace, result | responses to callers of up to 200 workspaces, and of all further ones as `(others)` |
//! | `pollenshed_request_seconds` | histogram | service, rank | time from the head of a request to its response |
//! | `pollenshed_sends_total` | counter | service, end | requests sent to backend servers, by how they ended |
//! | `pollenshed_backend_seconds` | histogram | service | time from sending a request to a backend server to its response |
//! | `pollenshed_unreadable_statements_total` | counter | what | statements of backend servers that were ignored because they are malformed |
//! | `pollenshed_pipelined_requests_total` | counter | event | requests that were started before those ahead of them on their connection were answered: started, cancelled |
//! | `pollenshed_limit_decisions_total` | counter | source | requests of workspaces with a limit, by where their permit came from, or `refused` |
//! | `pollenshed_limit_messages_total` | counter | | messages to other instances about limits of workspaces |
//! | `pollenshed_limit_message_bytes_total` | counter | | bytes of these messages |
//! | `pollenshed_store_calls_total` | counter | table, result | calls to the store |
//! | `pollenshed_peer_answers_total` | counter | change | responses to peers that poll this instance for changes, with a change or without |
//! | `pollenshed_peer_answer_bytes_total` | counter | change | bytes of these responses |
//! | `pollenshed_config_version` | gauge | | version of the configuration in force, 0 if none |
//! | `pollenshed_workspaces` | gauge | | workspaces of the configuration in force |
//! | `pollenshed_workspace_keys` | gauge | | keys of these workspaces |
//! | `pollenshed_servers` | gauge | state | backend servers: ready, cold, suspect, slow (they state so), leaving |
//! | `pollenshed_members_live` | gauge | | live instances, this one included |
//! | `pollenshed_in_flight` | gauge | | callers' requests that got no response yet |
//! | `pollenshed_held_bytes` | gauge | kind | bytes of bodies in memory, by `kind`: request, answer |
//! | `pollenshed_answers_slowed` | gauge | | answers since the start that were read more slowly than they came, to save memory |
//! | `pollenshed_store_current` | gauge | | 1 if the tables are up to date with the store |
//! | `pollenshed_log_lines_dropped` | gauge | | log lines that were dropped since the start |

use std::{cell::RefCell, collections::BTreeSet, time::Duration};

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, core::Collector,
};

/// Bucket bounds of the latency histograms, placed around the latency targets of the users' routes,
/// 0.5 to 4 s.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.025, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0];

/// Workspaces with time series of their own, which bounds the size of the metrics.
const MAX_COUNTED_WORKSPACES: usize = 200;

/// Label of the requests of all further workspaces. It is no name of a workspace.
const OTHER_WORKSPACES: &str = "(others)";

/// Results of the requests of a workspace.
const WORKSPACE_RESULTS: [&str; 3] = ["answered", "refused", "failed"];

/// Values of the gauges, read when the metrics are scraped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Version of the configuration in force, 0 if none.
    pub config_version: u64,
    /// Workspaces of the configuration in force.
    pub workspaces: usize,
    /// Keys of these workspaces.
    pub workspace_keys: usize,
    /// Backend servers that may get requests.
    pub servers_ready: usize,
    /// Backend servers whose cold start has not ended.
    pub servers_cold: usize,
    /// Backend servers that failed and have not responded since.
    pub servers_suspect: usize,
    /// Backend servers that state that work takes longer on their machines than usual.
    pub servers_slow: usize,
    /// Backend servers that are leaving.
    pub servers_leaving: usize,
    /// Live instances, this one included.
    pub members_live: usize,
    /// Callers' requests that got no response yet.
    pub in_flight: usize,
    /// Bytes of request bodies in memory.
    pub held_request_bytes: usize,
    /// Bytes of answers in memory.
    pub held_answer_bytes: usize,
    /// Answers that were read more slowly than they came, since the start.
    pub answers_slowed: u64,
    /// Whether the tables are up to date with the store.
    pub store_current: bool,
    /// Log lines that were dropped since the start.
    pub log_lines_dropped: u64,
}

/// Metrics of one instance, in a Prometheus registry of their own.
pub struct PrometheusMetrics {
    registry: Registry,
    requests: IntCounterVec,
    workspace_requests: IntCounterVec,
    counted_workspaces: RefCell<BTreeSet<String>>,
    request_seconds: HistogramVec,
    sends: IntCounterVec,
    backend_seconds: HistogramVec,
    unreadable_statements: IntCounterVec,
    pipelined_requests: IntCounterVec,
    limit_decisions: IntCounterVec,
    limit_messages: IntCounter,
    limit_message_bytes: IntCounter,
    store_calls: IntCounterVec,
    peer_answers: IntCounterVec,
    peer_answer_bytes: IntCounterVec,
    servers: IntGaugeVec,
    config_version: IntGauge,
    workspaces: IntGauge,
    workspace_keys: IntGauge,
    members_live: IntGauge,
    in_flight: IntGauge,
    held_bytes: IntGaugeVec,
    answers_slowed: IntGauge,
    store_current: IntGauge,
    log_lines_dropped: IntGauge,
}

impl PrometheusMetrics {
    /// Creates and registers all metrics. Fails if two metrics share a name.
    pub fn open() -> prometheus::Result<PrometheusMetrics> {
        let registry = Registry::new();
        let metrics = PrometheusMetrics {
            requests: counter(
                "requests_total",
                "Answered requests",
                &["service", "rank", "reason"],
            )?,
            workspace_requests: counter(
                "workspace_requests_total",
                "Answered requests of workspaces",
                &["workspace", "result"],
            )?,
            counted_workspaces: RefCell::default(),
            request_seconds: histogram(
                "request_seconds",
                "Time to the answer",
                &["service", "rank"],
            )?,
            sends: counter("sends_total", "Requests sent to backend servers", &["service", "end"])?,
            backend_seconds: histogram("backend_seconds", "Time of backend servers", &["service"])?,
            unreadable_statements: counter(
                "unreadable_statements_total",
                "Malformed statements of backend servers",
                &["what"],
            )?,
            pipelined_requests: counter(
                "pipelined_requests_total",
                "Requests started before those ahead of them were answered",
                &["event"],
            )?,
            limit_decisions: counter(
                "limit_decisions_total",
                "Requests of workspaces with a limit",
                &["source"],
            )?,
            limit_messages: IntCounter::with_opts(opts(
                "limit_messages_total",
                "Messages about limits",
            ))?,
            limit_message_bytes: IntCounter::with_opts(opts(
                "limit_message_bytes_total",
                "Bytes of messages about limits",
            ))?,
            store_calls: counter("store_calls_total", "Calls to the store", &["table", "result"])?,
            peer_answers: counter("peer_answers_total", "Answers to peers", &["change"])?,
            peer_answer_bytes: counter(
                "peer_answer_bytes_total",
                "Bytes of answers to peers",
                &["change"],
            )?,
            servers: IntGaugeVec::new(opts("servers", "Backend servers"), &["state"])?,
            config_version: gauge("config_version", "Version in force")?,
            workspaces: gauge("workspaces", "Workspaces")?,
            workspace_keys: gauge("workspace_keys", "Keys of workspaces")?,
            members_live: gauge("members_live", "Live instances")?,
            in_flight: gauge("in_flight", "Requests in flight")?,
            held_bytes: IntGaugeVec::new(opts("held_bytes", "Bytes of bodies held"), &["kind"])?,
            answers_slowed: gauge("answers_slowed", "Answers slowed to save memory")?,
            store_current: gauge("store_current", "Tables are current")?,
            log_lines_dropped: gauge("log_lines_dropped", "Log lines dropped")?,
            registry,
        };
        let collectors: Vec<Box<dyn Collector>> = vec![
            Box::new(metrics.requests.clone()),
            Box::new(metrics.workspace_requests.clone()),
            Box::new(metrics.request_seconds.clone()),
            Box::new(metrics.sends.clone()),
            Box::new(metrics.backend_seconds.clone()),
            Box::new(metrics.unreadable_statements.clone()),
            Box::new(metrics.pipelined_requests.clone()),
            Box::new(metrics.limit_decisions.clone()),
            Box::new(metrics.limit_messages.clone()),
            Box::new(metrics.limit_message_bytes.clone()),
            Box::new(metrics.store_calls.clone()),
            Box::new(metrics.peer_answers.clone()),
            Box::new(metrics.peer_answer_bytes.clone()),
            Box::new(metrics.servers.clone()),
            Box::new(metrics.config_version.clone()),
            Box::new(metrics.workspaces.clone()),
            Box::new(metrics.workspace_keys.clone()),
            Box::new(metrics.members_live.clone()),
            Box::new(metrics.in_flight.clone()),
            Box::new(metrics.held_bytes.clone()),
            Box::new(metrics.answers_slowed.clone()),
            Box::new(metrics.store_current.clone()),
            Box::new(metrics.log_lines_dropped.clone()),
        ];
        for collector in collectors {
            metrics.registry.register(collector)?;
        }
        Ok(metrics)
    }

    /// Records a response to a caller. `reason` comes from a fixed list, which bounds the number of
    /// time series.
    pub fn record_request(&self, service: &str, rank: &str, reason: &str, elapsed: Duration) {
        self.requests.with_label_values(&[service, rank, reason]).inc();
        self.request_seconds.with_label_values(&[service, rank]).observe(elapsed.as_secs_f64());
    }

    /// Records a response to a caller of a workspace. `result` is one of `answered`, `refused` and
    /// `failed`.
    pub fn record_workspace_request(&self, workspace: &str, result: &str) {
        let mut counted = self.counted_workspaces.borrow_mut();
        let has_series = counted.contains(workspace)
            || counted.len() < MAX_COUNTED_WORKSPACES && counted.insert(workspace.to_owned());
        let label = if has_series { workspace } else { OTHER_WORKSPACES };
        self.workspace_requests.with_label_values(&[label, result]).inc();
    }

    /// Removes the time series of workspaces that are no longer in the configuration.
    pub fn retain_workspaces(&self, is_kept: impl Fn(&str) -> bool) {
        self.counted_workspaces.borrow_mut().retain(|workspace| {
            let keep = is_kept(workspace);
            if !keep {
                for result in WORKSPACE_RESULTS {
                    // A series is absent if no request has ended with that result.
                    let _ = self.workspace_requests.remove_label_values(&[workspace, result]);
                }
            }
            keep
        });
    }

    /// Records a decision on a request of a workspace with a limit.
    pub fn record_limit_decision(&self, source: &str) {
        self.limit_decisions.with_label_values(&[source]).inc();
    }

    /// Records a message to another instance about limits of workspaces.
    pub fn record_limit_message(&self, bytes: usize) {
        self.limit_messages.inc();
        self.limit_message_bytes.inc_by(bytes as u64);
    }

    /// Records a request to a backend server. `elapsed` is given if the server responded.
    pub fn record_send(&self, service: &str, end: &str, elapsed: Option<Duration>) {
        self.sends.with_label_values(&[service, end]).inc();
        if let Some(elapsed) = elapsed {
            self.backend_seconds.with_label_values(&[service]).observe(elapsed.as_secs_f64());
        }
    }

    /// Records a malformed statement of a backend server. `what` names what it would state.
    pub fn record_unreadable_statement(&self, what: &str) {
        self.unreadable_statements.with_label_values(&[what]).inc();
    }

    /// Counts pipelined requests that were started or cancelled.
    pub fn record_pipelined_requests(&self, event: &str, count: usize) {
        self.pipelined_requests.with_label_values(&[event]).inc_by(count as u64);
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, table: &str, succeeded: bool) {
        let result = if succeeded { "ok" } else { "failed" };
        self.store_calls.with_label_values(&[table, result]).inc();
    }

    /// Records a response of `bytes` to a peer that asked for changes of the tables.
    pub fn record_peer_answer(&self, has_change: bool, bytes: usize) {
        let change = if has_change { "some" } else { "none" };
        self.peer_answers.with_label_values(&[change]).inc();
        self.peer_answer_bytes.with_label_values(&[change]).inc_by(bytes as u64);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self, values: GaugeValues) -> String {
        let set_gauge =
            |gauge: &IntGauge, value: u64| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        set_gauge(&self.config_version, values.config_version);
        set_gauge(&self.workspaces, values.workspaces as u64);
        set_gauge(&self.workspace_keys, values.workspace_keys as u64);
        set_gauge(&self.members_live, values.members_live as u64);
        set_gauge(&self.in_flight, values.in_flight as u64);
        set_gauge(&self.answers_slowed, values.answers_slowed);
        for (kind, bytes) in
            [("request", values.held_request_bytes), ("answer", values.held_answer_bytes)]
        {
            self.held_bytes.with_label_values(&[kind]).set(bytes as i64);
        }
        set_gauge(&self.store_current, u64::from(values.store_current));
        set_gauge(&self.log_lines_dropped, values.log_lines_dropped);
        for (state, count) in [
            ("ready", values.servers_ready),
            ("cold", values.servers_cold),
            ("suspect", values.servers_suspect),
            ("slow", values.servers_slow),
            ("leaving", values.servers_leaving),
        ] {
            self.servers.with_label_values(&[state]).set(count as i64);
        }
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("metrics: cannot encode the metrics; error={e}");
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
