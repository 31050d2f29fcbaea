//! Rate of lookups of one instance, compared with minimal HTTP servers that send a constant answer
//! of the same size.

use std::{
    convert::Infallible,
    fs,
    net::SocketAddr,
    sync::{Arc, mpsc::Sender},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{body::Bytes, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    runtime::{Builder, Runtime},
    time::timeout,
};

use super::{
    client::Client,
    fleet::{ScaledFleet, config},
};

/// Service time of the backend servers, which lookups do not use.
const SERVICE_TIME: Duration = Duration::from_millis(1);
/// How often all servers are measured, in turn.
const ROUNDS: usize = 3;
/// Length of one measurement.
const LENGTH: Duration = Duration::from_secs(5);
/// Timeout of an answer. A connection that times out is closed and counted, so that a server that
/// does not answer can't stall the program.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that send requests without pause.
const CONNECTIONS: usize = 32;
/// Threads of the bare `hyper` server, the same number as serve callers in an instance.
const HYPER_THREADS: usize = 2;
/// Threads of the bare `rouille` server, and connections when it is compared.
///
/// Below `rouille`, `tiny_http` keeps a thread for each open connection and has four at the start.
/// It starts another one only when none counts as idle, and a thread counts as idle until it has
/// woken up. So a fifth connection that comes at the same time can wait behind one that never
/// closes.
const ROUILLE_THREADS: usize = 4;

/// Compares lookups of one instance with the bare servers.
pub fn lookups(runtime: &Runtime) {
    let scaled = ScaledFleet::start(config("cali"), SERVICE_TIME);
    let daemon = &scaled.fleet.daemons[0];
    let url = format!("http://{}/v1/lookup?service=tavole", daemon.caller_endpoint);
    let body = ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap();
    println!("answer of {} bytes", body.len());
    let (_hyper, hyper) = bare_hyper(body.clone());
    let (rouille, rouille_address) = BareRouille::start(body);
    println!("| connections | server | answers/s | mean ms | without answer | load average |");
    println!("|---:|---|---:|---:|---:|---:|");
    let servers = [
        ("pollenshed", daemon.caller_endpoint, CONNECTIONS),
        ("bare hyper", hyper, CONNECTIONS),
        ("pollenshed", daemon.caller_endpoint, ROUILLE_THREADS),
        ("bare hyper", hyper, ROUILLE_THREADS),
        ("bare rouille", rouille_address, ROUILLE_THREADS),
    ];
    for _ in 0..ROUNDS {
        for (title, address, connections) in servers {
            print_row(title, connections, runtime.block_on(closed_loop(address, connections)));
        }
    }
    rouille.stop();
}

/// Counts of one measurement.
#[derive(Default)]
struct Counted {
    answers: u64,
    without_answer: u64,
}

fn print_row(title: &str, connections: usize, (counted, took): (Counted, Duration)) {
    let rate = counted.answers as f64 / took.as_secs_f64();
    let mean_ms = 1e3 * connections as f64 / rate;
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    let lost = counted.without_answer;
    println!("| {connections} | {title} | {rate:.0} | {mean_ms:.2} | {lost} | {load} |");
}

/// Sends requests on each connection without pause. Returns the counts and the time it took.
async fn closed_loop(address: SocketAddr, connections: usize) -> (Counted, Duration) {
    let begin = Instant::now();
    let tasks: Vec<_> =
        (0..connections).map(|_| tokio::spawn(ask_in_turn(address, begin))).collect();
    let mut sum = Counted::default();
    for task in tasks {
        let counted = task.await.unwrap();
        sum.answers += counted.answers;
        sum.without_answer += counted.without_answer;
    }
    (sum, begin.elapsed())
}

/// Sends requests on one connection. It ends at the first request without an answer.
async fn ask_in_turn(address: SocketAddr, begin: Instant) -> Counted {
    let client = Client::default();
    let request = b"GET /v1/lookup?service=tavole HTTP/1.1\r\nhost: load\r\n\r\n";
    let mut counted = Counted::default();
    while begin.elapsed() < LENGTH {
        match timeout(ANSWER_TIMEOUT, client.send(address, request)).await {
            Ok(answer) => assert_eq!(answer.unwrap().status, 200),
            Err(_) => {
                counted.without_answer += 1;
                break;
            }
        }
        counted.answers += 1;
    }
    counted
}

fn bare_hyper(body: String) -> (Runtime, SocketAddr) {
    let runtime =
        Builder::new_multi_thread().worker_threads(HYPER_THREADS).enable_all().build().unwrap();
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let body = Bytes::from(body);
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let body = body.clone();
            let answer = service_fn(move |_| {
                let body = body.clone();
                async move { Ok::<_, Infallible>(hyper::Response::new(Full::new(body))) }
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), answer),
            );
        }
    });
    (runtime, address)
}

/// A running `rouille` server that answers every request with the same body.
struct BareRouille {
    thread: JoinHandle<()>,
    stop: Sender<()>,
}

impl BareRouille {
    fn start(body: String) -> (BareRouille, SocketAddr) {
        let body: Arc<str> = body.into();
        let answer = move |_: &rouille::Request| rouille::Response::text(&*body);
        let server = rouille::Server::new("127.0.0.1:0", answer).unwrap();
        let server = server.pool_size(ROUILLE_THREADS);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        (BareRouille { thread, stop }, address)
    }

    fn stop(self) {
        let _ = self.stop.send(());
        self.thread.join().unwrap();
    }
}
