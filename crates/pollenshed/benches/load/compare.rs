//! Cost of the system itself: a read against a direct one, and lookups against a bare server.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{Response, body::Bytes, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::runtime::{Builder, Runtime};

use super::{
    client::Client,
    fleet::{Scaled, config},
    generator::{self, Stream},
    report,
};

/// Service time for the comparison of reads, so that the way there and back is what is measured.
const READ_TIME: Duration = Duration::from_millis(1);
/// Rate of reads, low enough that none waits for another.
const READS_PER_S: f64 = 200.0;
/// Times that both ways are measured in turn.
const ROUNDS: usize = 3;
/// Length of one measurement.
const LENGTH: Duration = Duration::from_secs(5);
/// Connections that ask for lookups without pause.
const LOOKUP_CONNECTIONS: usize = 32;
/// Threads of the bare server, as many as answer callers in an instance.
const BARE_THREADS: usize = 2;

/// Compares reads through the system with reads straight from the backend servers.
pub fn read(runtime: &Runtime) {
    let scaled = Scaled::start(config("cali"), READ_TIME);
    let streams = [Stream {
        service: "tavole".to_owned(),
        method: "GET",
        path: "/1582".to_owned(),
        rank: 0,
        requests_per_s: READS_PER_S,
        deadline_ms: 1_000,
    }];
    report::print_head();
    for _ in 0..ROUNDS {
        for (title, places) in [("system", scaled.entries()), ("direct", scaled.backends())] {
            let samples = runtime.block_on(generator::run(&streams, &places, LENGTH));
            report::print(title, &report::by_rank(&samples, LENGTH.as_secs_f64()));
        }
    }
}

/// Compares lookups of one instance with a bare server that answers a constant of the same size.
pub fn lookups(runtime: &Runtime) {
    let scaled = Scaled::start(config("cali"), READ_TIME);
    let daemon = &scaled.fleet.daemons[0];
    let url = format!("http://{}/v1/lookup?service=tavole", daemon.callers);
    let body = ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap();
    println!("answer of {} bytes, {LOOKUP_CONNECTIONS} connections", body.len());
    let (_hyper, hyper_address) = bare_hyper(body);
    println!("| server | answers/s | mean ms |");
    println!("|---|---:|---:|");
    for _ in 0..ROUNDS {
        for (title, address) in [("pollenshed", daemon.callers), ("bare hyper", hyper_address)] {
            let rate = runtime.block_on(closed_loop(address));
            println!("| {title} | {rate:.0} | {:.2} |", 1e3 * LOOKUP_CONNECTIONS as f64 / rate);
        }
    }
}

/// Sends requests on each connection without pause and returns answers per second.
async fn closed_loop(address: SocketAddr) -> f64 {
    let client = Arc::new(Client::default());
    let begin = Instant::now();
    let request = b"GET /v1/lookup?service=tavole HTTP/1.1\r\nhost: load\r\n\r\n";
    let ask = |client: Arc<Client>| async move {
        let mut answers = 0u64;
        while begin.elapsed() < LENGTH {
            let answer = client.send(address, request).await.unwrap();
            assert_eq!(answer.status, 200);
            answers += 1;
        }
        answers
    };
    let tasks: Vec<_> =
        (0..LOOKUP_CONNECTIONS).map(|_| tokio::spawn(ask(client.clone()))).collect();
    let mut answers = 0;
    for task in tasks {
        answers += task.await.unwrap();
    }
    answers as f64 / begin.elapsed().as_secs_f64()
}

fn bare_hyper(body: String) -> (Runtime, SocketAddr) {
    let runtime =
        Builder::new_multi_thread().worker_threads(BARE_THREADS).enable_all().build().unwrap();
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let body = Bytes::from(body);
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let body = body.clone();
            let answer = service_fn(move |_| {
                let body = body.clone();
                async move { Ok::<_, Infallible>(Response::new(Full::new(body))) }
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), answer),
            );
        }
    });
    (runtime, address)
}
