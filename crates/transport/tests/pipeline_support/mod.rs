//! A listener with a handler of the tests' own, and a caller that writes and reads bytes.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::{HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pollenshed_coordination::steering::BodyBudget;
use pollenshed_transport::{
    forward::{self, AnswerHold, HeldBodies, MaxIdle, Pool, RequestBody, ResponseBody},
    listen::{self, ListenLimits, Overlap, PipelinePolicy, RequestTarget, StopPhase},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::{LocalSet, spawn_local, yield_now},
    time::{Instant, timeout},
};

/// Longest time that a test waits for a condition.
const WAIT: Duration = Duration::from_secs(20);

/// Size of the response to `/large/`.
pub const LARGE_BYTES: usize = 1 << 20;

/// What the handler has seen. The name of a request is its path.
#[derive(Default)]
pub struct Seen {
    /// Requests whose handler was started, in order.
    pub started: RefCell<Vec<String>>,
    /// Requests whose handler was dropped before its response.
    pub cancelled: RefCell<Vec<String>>,
    /// Number of pipelined requests that the policy was told of as cancelled.
    pub reported_cancelled: Cell<usize>,
    gates: RefCell<HashMap<String, Rc<Notify>>>,
}

impl Seen {
    fn gate(&self, path: &str) -> Rc<Notify> {
        self.gates.borrow_mut().entry(path.to_owned()).or_default().clone()
    }

    /// Lets the handler of a request go on.
    pub fn release(&self, path: &str) {
        self.gate(path).notify_one();
    }

    /// Waits until this number of requests has started.
    pub async fn wait_for_started(&self, count: usize) {
        wait_for("requests", || self.started.borrow().len() >= count).await;
    }
}

/// Waits until `condition` holds.
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    assert!(timeout(WAIT, wait).await.is_ok(), "no {what} within {WAIT:?}");
}

/// Marks a request as cancelled if it is dropped early.
struct Running {
    seen: Rc<Seen>,
    path: String,
    is_answered: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.is_answered {
            self.seen.cancelled.borrow_mut().push(self.path.clone());
        }
    }
}

/// Requests below `/held/` and `/once/`, and others with `held` in their path, wait until they are
/// released. Those below `/close/` are answered with `Connection: close`.
async fn handle(seen: Rc<Seen>, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let mut running = Running { seen: seen.clone(), path: path.clone(), is_answered: false };
    if path.starts_with("/panic/") {
        panic!("a handler fails");
    }
    let body = request.into_body().collect().await;
    let body = body.map_or(0, |body| body.to_bytes().len());
    if path.contains("held") || path.starts_with("/once/") {
        seen.gate(&path).notified().await;
    }
    running.is_answered = true;
    if path.starts_with("/stream/") {
        return Response::new(stream_from_server(!path.contains("cut")).await);
    }
    let text = match path.starts_with("/large/") {
        true => "l".repeat(LARGE_BYTES),
        false => format!("{path} {body}"),
    };
    let mut response = Response::new(ResponseBody::from(text));
    if path.starts_with("/close/") {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns a response of unknown length that comes from a server, which breaks it off unless
/// `is_whole`.
async fn stream_from_server(is_whole: bool) -> ResponseBody {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    spawn_local(async move {
        let (mut stream, _) = server.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await.unwrap();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = format!("{:x}\r\n{}\r\n", LARGE_BYTES / 16, "l".repeat(LARGE_BYTES / 16));
        let chunks = chunk.repeat(if is_whole { 16 } else { 8 });
        let end = if is_whole { "0\r\n\r\n" } else { "" };
        let _ = stream.write_all(format!("{head}{chunks}{end}").as_bytes()).await;
    });
    let lease = Pool::default().lease(address, MaxIdle::NONE, WAIT, None).await.unwrap().0;
    let request = Request::builder().uri("/").header("host", "h").body(RequestBody::Whole(None));
    let response = forward::exchange(lease, request.unwrap()).await.unwrap();
    let hold = AnswerHold {
        bodies: HeldBodies::new(BodyBudget::new(64 * 1024 * 1024)),
        connection: address,
        deadline: Instant::now() + WAIT,
        on_read: None,
    };
    response.read(None, hold).await.unwrap()
}

struct Policy(Rc<Seen>);

impl PipelinePolicy for Policy {
    fn overlap(&self, target: &RequestTarget) -> Overlap {
        assert_eq!(target.host.as_ref().map(|host| host.as_bytes()), Some(&b"h"[..]));
        match target.uri.path() {
            path if path.starts_with("/once/") => Overlap::Alone,
            path if path.starts_with("/first/") => Overlap::FirstOnly,
            _ => Overlap::Beside,
        }
    }

    fn record_start(&self) {}

    fn record_cancelled(&self, count: usize) {
        self.0.reported_cancelled.set(self.0.reported_cancelled.get() + count);
    }
}

/// Listener of a test.
pub struct Listener {
    /// Address of the listener.
    pub address: SocketAddr,
    /// What the handler has seen.
    pub seen: Rc<Seen>,
    /// Phase of the stop.
    pub stop: watch::Sender<StopPhase>,
}

/// Limits of a listener.
pub fn limits(idle_ms: u64) -> ListenLimits {
    ListenLimits {
        max_head_bytes: 8_192,
        idle_timeout: Duration::from_millis(idle_ms),
        max_connections: 64,
    }
}

impl Listener {
    /// Starts a listener that serves pipelined requests side by side, or one without.
    pub fn open(is_pipelined: bool, limits: ListenLimits) -> Listener {
        let listener = listen::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Rc::new(Seen::default());
        let stop = watch::Sender::new(StopPhase::Serving);
        let phase = stop.subscribe();
        let handler = {
            let (seen, phase) = (seen.clone(), stop.subscribe());
            move |request: Request<Incoming>, _: SocketAddr| {
                seen.started.borrow_mut().push(request.uri().path().to_owned());
                let (seen, phase) = (seen.clone(), phase.clone());
                async move {
                    let mut response = handle(seen, request).await;
                    if *phase.borrow() > StopPhase::Serving {
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(header::CONNECTION, close);
                    }
                    response
                }
            }
        };
        let policy = Rc::new(Policy(seen.clone()));
        if is_pipelined {
            let limits = move || limits;
            spawn_local(listen::serve_pipelined(listener, limits, handler, policy, phase));
        } else {
            spawn_local(listen::serve(listener, move || limits, handler, phase));
        }
        Listener { address, seen, stop }
    }

    /// Connects a caller.
    pub async fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Caller { stream, read: Vec::new() }
    }
}

/// Runs a test on one thread.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { test().await });
}

/// A response: status line, `Connection` header and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Whether the response closes the connection.
    pub closes: bool,
    /// Body.
    pub body: String,
}

/// A connection of a caller.
pub struct Caller {
    /// Socket of the caller.
    pub stream: TcpStream,
    read: Vec<u8>,
}

/// Returns a request without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

/// Returns a request with a body of known length.
pub fn post(path: &str, body_bytes: usize) -> String {
    let body = "b".repeat(body_bytes);
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {body_bytes}\r\n\r\n{body}")
}

impl Caller {
    /// Sends bytes.
    pub async fn send(&mut self, text: &str) {
        timeout(WAIT, self.stream.write_all(text.as_bytes())).await.unwrap().unwrap();
    }

    /// Sends bytes in pieces, each of which the listener reads by itself.
    pub async fn send_pieces(&mut self, pieces: &[&[u8]]) {
        for piece in pieces {
            if self.stream.write_all(piece).await.is_err() {
                return;
            }
            for _ in 0..4 {
                yield_now().await;
            }
        }
    }

    async fn fill(&mut self) -> bool {
        let mut buffer = [0; 16_384];
        let len = timeout(WAIT, self.stream.read(&mut buffer)).await.expect("no bytes in time");
        // A reset also ends the connection, but must not replace a response.
        let len = len.expect("the connection was reset");
        self.read.extend_from_slice(&buffer[..len]);
        len > 0
    }

    /// Reads a response. Returns `None` at the end of the connection.
    pub async fn read(&mut self) -> Option<Answer> {
        let head_len = loop {
            if let Some(at) = self.read.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill().await {
                assert!(self.read.is_empty(), "bytes that are no response: {:?}", self.read);
                return None;
            }
        };
        let head = String::from_utf8(self.read[..head_len].to_vec()).unwrap().to_lowercase();
        if head.contains("transfer-encoding: chunked") {
            self.read.drain(..head_len);
            let body = self.read_chunks().await?;
            return Some(Answer { status: 200, closes: head.contains("connection: close"), body });
        }
        let length: usize = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |value| value.parse().unwrap());
        while self.read.len() < head_len + length {
            assert!(self.fill().await, "the response is not complete");
        }
        let body = String::from_utf8(self.read[head_len..head_len + length].to_vec()).unwrap();
        self.read.drain(..head_len + length);
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        Some(Answer { status, closes: head.contains("connection: close"), body })
    }

    /// Reads a chunked body. Returns `None` if the connection ends before its last chunk.
    async fn read_chunks(&mut self) -> Option<String> {
        let mut body = String::new();
        loop {
            let line = loop {
                if let Some(at) = self.read.windows(2).position(|w| w == b"\r\n") {
                    break String::from_utf8(self.read.drain(..at + 2).collect()).unwrap();
                }
                if !self.fill().await {
                    return None;
                }
            };
            let size = usize::from_str_radix(line.trim_end(), 16).unwrap();
            while self.read.len() < size + 2 {
                if !self.fill().await {
                    return None;
                }
            }
            let chunk = self.read.drain(..size + 2).take(size).collect();
            body += &String::from_utf8(chunk).unwrap();
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// Reads responses until the end of the connection.
    pub async fn read_all(&mut self) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some(answer) = self.read().await {
            answers.push(answer);
        }
        answers
    }

    /// Reads this number of responses and returns their bodies.
    pub async fn bodies(&mut self, count: usize) -> Vec<String> {
        let mut bodies = Vec::new();
        for _ in 0..count {
            bodies.push(self.read().await.map_or("none".to_owned(), |answer| answer.body));
        }
        bodies
    }
}
