//! A stand-in for a backend server with a fixed number of slots.
//!
//! The wire form is described in `pollenshed_protocol::backend`. Each request that runs is recorded,
//! so that tests can count runs.

use std::{
    io::Read,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::Sender,
    },
    thread,
    time::Duration,
};

use eyre::{Result, eyre};
use pollenshed_protocol::backend::{
    HealthBody, HealthStatus, LoadBody, REQUEST_ID_HEADER, SHED_HEADER,
};
use rouille::{Request, Response, Server};

/// How a stand-in behaves.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Name used in answers.
    pub name: String,
    /// Requests that run at the same time; more are shed.
    pub slots: u64,
    /// Time that one request takes.
    pub service_time: Duration,
}

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id that pollenshed gave the request.
    pub request_id: String,
    /// Method, path and body, for counting runs of the same work.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body as it arrived.
    pub body: Vec<u8>,
}

struct Shared {
    behaviour: Behaviour,
    in_use: AtomicU64,
    max_in_use: AtomicU64,
    draining: AtomicBool,
    runs: Mutex<Vec<Run>>,
}

/// A running backend server stand-in. It stops when dropped.
pub struct Backend {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
}

impl Backend {
    /// Listens on `address`; port 0 lets the system choose.
    pub fn bind(address: SocketAddr, behaviour: Behaviour) -> Result<Backend> {
        let shared = Arc::new(Shared {
            behaviour,
            in_use: AtomicU64::new(0),
            max_in_use: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            runs: Mutex::new(Vec::new()),
        });
        let handler = shared.clone();
        let server = Server::new(address, move |request| handle(&handler, request))
            .map_err(|e| eyre!("backend server stand-in cannot listen on {address}: {e}"))?;
        let address = server.server_addr();
        let (_thread, stop) = server.stoppable();
        Ok(Backend { address, shared, stop })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Returns the largest number of requests that ran at the same time.
    pub fn max_in_use(&self) -> u64 {
        self.shared.max_in_use.load(Ordering::SeqCst)
    }

    /// Makes the stand-in say that it is draining.
    pub fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::SeqCst);
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        // The thread ends by itself. It is not joined, because it waits for idle connections.
        let _ = self.stop.send(());
    }
}

fn handle(shared: &Shared, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/health") => {
            let draining = shared.draining.load(Ordering::SeqCst);
            let status = if draining { HealthStatus::Draining } else { HealthStatus::Ok };
            Response::json(&HealthBody { status })
        }
        ("GET", "/load") => Response::json(&LoadBody {
            in_use: shared.in_use.load(Ordering::SeqCst),
            slots: shared.behaviour.slots,
        }),
        _ => run(shared, request),
    }
}

fn run(shared: &Shared, request: &Request) -> Response {
    let mut body = Vec::new();
    let whole = request.data().is_some_and(|mut data| data.read_to_end(&mut body).is_ok());
    let announced = request.header("content-length").and_then(|v| v.parse::<usize>().ok());
    if !whole || announced.is_some_and(|n| n != body.len()) {
        return Response::empty_400();
    }
    let in_use = shared.in_use.fetch_add(1, Ordering::SeqCst) + 1;
    if in_use > shared.behaviour.slots {
        shared.in_use.fetch_sub(1, Ordering::SeqCst);
        return Response::text("shed")
            .with_status_code(503)
            .with_additional_header(SHED_HEADER, "1");
    }
    shared.max_in_use.fetch_max(in_use, Ordering::SeqCst);
    let request_id = request.header(REQUEST_ID_HEADER).unwrap_or_default().to_owned();
    let run = Run {
        request_id: request_id.clone(),
        method: request.method().to_owned(),
        path: request.raw_url().to_owned(),
        body,
    };
    let answer = format!(
        "{} ran {} {} with {} bytes\n",
        shared.behaviour.name,
        run.method,
        run.path,
        run.body.len()
    );
    shared.runs.lock().unwrap_or_else(|e| e.into_inner()).push(run);
    // The pause stands for the server's work.
    thread::sleep(shared.behaviour.service_time);
    shared.in_use.fetch_sub(1, Ordering::SeqCst);
    Response::text(answer).with_additional_header(REQUEST_ID_HEADER, request_id)
}
