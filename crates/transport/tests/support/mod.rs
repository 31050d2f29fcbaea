//! A callers' interface in this process and raw TCP connections to it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use pollenshed_transport::edge::{Edge, Limits, RequestBody};
use tokio::{net::TcpListener, runtime::Runtime, sync::Semaphore};

/// Time limit on every wait of a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest body that the test handler reads.
pub const MAX_BODY_BYTES: u64 = 100_000;

/// A callers' interface whose handler responds with the path and the length of the body. A request
/// to `/wait` blocks until the gate has a permit.
pub struct TestServer {
    /// The interface under test.
    pub edge: Arc<Edge>,
    /// Each permit lets one request to `/wait` continue.
    pub gate: Arc<Semaphore>,
    /// Number of requests to `/wait` whose body has arrived.
    pub waiting: Arc<AtomicU64>,
    /// The runtime of the interface.
    pub runtime: Runtime,
}

/// Returns limits that keep tests short but tolerate a busy machine.
pub fn limits() -> Limits {
    Limits {
        max_connections: 8,
        max_head_bytes: 8 * 1024,
        head_timeout: Duration::from_millis(300),
        body_pause_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(5),
        max_buffered_bytes: 150_000,
    }
}

/// Starts a callers' interface on a free port of the loopback interface.
pub fn serve(limits: Limits) -> TestServer {
    let runtime = Runtime::new().unwrap();
    let gate = Arc::new(Semaphore::new(0));
    let waiting = Arc::new(AtomicU64::new(0));
    let (handler_gate, handler_waiting) = (gate.clone(), waiting.clone());
    let handler = move |request: Request<RequestBody>, _| {
        let (gate, waiting) = (handler_gate.clone(), handler_waiting.clone());
        async move { respond(request, &gate, &waiting).await }
    };
    let edge = runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Edge::spawn(listener, limits, handler).unwrap()
    });
    TestServer { edge: Arc::new(edge), gate, waiting, runtime }
}

async fn respond(
    request: Request<RequestBody>,
    gate: &Semaphore,
    waiting: &AtomicU64,
) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let (status, text) = match request.into_body().read_whole(MAX_BODY_BYTES).await {
        Ok(body) => {
            if path == "/wait" {
                waiting.fetch_add(1, Ordering::SeqCst);
                gate.acquire().await.unwrap().forget();
            }
            (200, format!("{path} got {} bytes", body.len()))
        }
        Err(e) => (e.status().as_u16(), e.to_string()),
    };
    Response::builder().status(status).body(Full::new(Bytes::from(text))).unwrap()
}

impl TestServer {
    /// Returns the address of the interface.
    pub fn address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// Opens a connection and sends `bytes`.
    pub fn send(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address()).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    }

    /// Sends `bytes` and returns everything that arrives until the connection ends.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        read_all(self.send(bytes))
    }
}

/// Returns everything that arrives until the connection ends.
pub fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes);
    assert!(ended.is_ok(), "the connection did not end: {ended:?}");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the text that arrived ends with `end`.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(end.as_bytes()) {
        let read = stream.read(&mut byte).unwrap();
        assert!(read == 1, "ended after {:?}", String::from_utf8_lossy(&bytes));
        bytes.push(byte[0]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until `condition` holds.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
