//! Open-loop load: requests start at planned times and do not wait for the answers of others, so
//! all time that a request waits is part of its latency.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use pollenshed_protocol::caller::{BACKEND_SERVER_HEADER, OUTCOME_HEADER, REASON_HEADER};

use super::client::{Client, Failure};

/// Number of callers that requests are spread over, so that fairness between callers has no effect.
const CALLERS: u64 = 50;

/// Requests of one operation, with their rate.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Service that is called.
    pub service: String,
    /// Method of the requests.
    pub method: &'static str,
    /// Path below the service.
    pub path: String,
    /// 0 is urgent, 1 standard and 2 deferrable.
    pub rank: usize,
    /// Mean rate.
    pub requests_per_s: f64,
    /// Deadline that each request carries.
    pub deadline_ms: u64,
}

/// The addresses that a group of callers sends requests to.
#[derive(Debug, Clone)]
pub struct Destination {
    /// Failure domain of the callers.
    pub domain: String,
    /// Addresses with the binding for their tickets. A later one is used when the connections to
    /// all earlier ones are refused. The binding is empty for direct requests to backend servers.
    pub addresses: Vec<(SocketAddr, String)>,
}

/// Returns the destinations that a stream's requests are sent to in turn.
pub type Destinations = Arc<dyn Fn(&Stream) -> Arc<Vec<Destination>> + Send + Sync>;

/// One request that ended.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Service that was called.
    pub service: String,
    /// Rank of the request.
    pub rank: usize,
    /// Failure domain of the caller, which is that of its first entry.
    pub home: String,
    /// Planned start since the beginning of the run.
    pub at: Duration,
    /// From the planned start to the end of the answer.
    pub latency: Duration,
    /// `done`, `done late`, or why the request failed.
    pub outcome: String,
    /// Backend server that answered; empty if none did.
    pub server: String,
}

impl Sample {
    /// Tells whether the request was answered within its deadline.
    pub fn is_done(&self) -> bool {
        self.outcome == "done"
    }
}

/// Sends all streams for `length` and returns a sample of each request.
pub async fn run(streams: &[Stream], destinations: &Destinations, length: Duration) -> Vec<Sample> {
    let client = Arc::new(Client::default());
    let samples = Arc::new(Mutex::new(Vec::new()));
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for stream in streams {
        let work = (client.clone(), samples.clone(), destinations(stream), stream.clone());
        let seed = fastrand::u64(..);
        tasks.push(tokio::spawn(async move {
            let (client, samples, destinations, stream) = work;
            send_stream(client, samples, destinations, stream, (begin, length, seed)).await;
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    std::mem::take(&mut samples.lock().unwrap())
}

async fn send_stream(
    client: Arc<Client>,
    samples: Arc<Mutex<Vec<Sample>>>,
    destinations: Arc<Vec<Destination>>,
    stream: Stream,
    (begin, length, seed): (Instant, Duration, u64),
) {
    let mut random = fastrand::Rng::with_seed(seed);
    let next = AtomicUsize::new(random.usize(..destinations.len()));
    let mut at = Duration::ZERO;
    let mut sent = Vec::new();
    loop {
        at += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / stream.requests_per_s);
        if at >= length {
            break;
        }
        tokio::time::sleep_until((begin + at).into()).await;
        let destination =
            destinations[next.fetch_add(1, Ordering::Relaxed) % destinations.len()].clone();
        let work = (client.clone(), samples.clone(), stream.clone(), random.u64(..));
        sent.push(tokio::spawn(async move {
            let (client, samples, stream, id) = work;
            let (outcome, server) = send_one(&client, &stream, &destination, id).await;
            let latency = begin.elapsed().saturating_sub(at);
            let late = latency > Duration::from_millis(stream.deadline_ms);
            let outcome = if outcome == "done" && late { "done late".to_owned() } else { outcome };
            samples.lock().unwrap().push(Sample {
                service: stream.service,
                rank: stream.rank,
                home: destination.domain,
                at,
                latency,
                outcome,
                server,
            });
        }));
    }
    for task in sent {
        let _ = task.await;
    }
}

async fn send_one(
    client: &Client,
    stream: &Stream,
    destination: &Destination,
    id: u64,
) -> (String, String) {
    for (address, binding) in &destination.addresses {
        let bytes = request_bytes(stream, binding, id);
        let limit = Duration::from_millis(stream.deadline_ms + 3_000);
        let answer = match tokio::time::timeout(limit, client.send(*address, &bytes)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(Failure::Refused)) => continue,
            Ok(Err(Failure::Lost(e))) => return (format!("lost: {:?}", e.kind()), String::new()),
            Err(_) => return ("no answer".to_owned(), String::new()),
        };
        let header = |name: &str| answer.headers.get(name).cloned().unwrap_or_default();
        let is_done = if binding.is_empty() {
            answer.status == 200
        } else {
            header(OUTCOME_HEADER) == "done" && answer.status == 200
        };
        let outcome = if is_done {
            "done".to_owned()
        } else {
            format!("{} {}", answer.status, header(REASON_HEADER))
        };
        return (outcome, header(BACKEND_SERVER_HEADER));
    }
    ("nothing listens".to_owned(), String::new())
}

fn request_bytes(stream: &Stream, binding: &str, id: u64) -> Vec<u8> {
    let Stream { service, method, path, deadline_ms, .. } = stream;
    let target = match binding {
        "" => path.clone(),
        _ => format!("/v1/run/{service}{path}"),
    };
    let ticket = match *method {
        "POST" if !binding.is_empty() => format!("pollenshed-ticket: {binding}/{id:016x}\r\n"),
        _ => String::new(),
    };
    format!(
        "{method} {target} HTTP/1.1\r\nhost: load\r\npollenshed-deadline-ms: {deadline_ms}\r\n\
         pollenshed-caller: caller-{}\r\npollenshed-request-id: {id:016x}\r\n{ticket}\
         content-length: 0\r\n\r\n",
        id % CALLERS
    )
    .into_bytes()
}
