//! The callers' HTTP/1.1 interface.
//!
//! It uses `hyper`, on which `tonic` is based too, rather than `rouille`: `rouille` starts a thread
//! for each open connection and limits neither connections, heads nor slow senders.
//!
//! `hyper` responds to malformed requests with 400 and to heads that are too large with 431. This
//! module limits connections, time and memory, so that one caller can't starve another.

mod body;
mod connection;
mod head;
mod limits;
mod progress;
mod refuse;
mod stream;

use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::Full;
use hyper::{Request, Response};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

pub use body::{BodyError, RequestBody};
pub use limits::Limits;

use connection::Context;
use limits::Budget;
use refuse::Refuser;

/// Body of a response to a caller.
pub type ResponseBody = Full<bytes::Bytes>;

/// Pause after a failed `accept`, usually for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How far the shutdown of the interface has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Connections are accepted and kept alive.
    Open,
    /// Connections are accepted; each response asks the caller to close its connection.
    Closing,
    /// No connection is accepted; open ones end after their current request.
    Draining,
}

/// A running callers' interface.
pub struct Edge {
    address: SocketAddr,
    accept: JoinHandle<()>,
    stage: Arc<watch::Sender<Stage>>,
    open: watch::Receiver<u64>,
}

impl Edge {
    /// Serves requests on `listener` with `handler`, which gets the request and the caller's
    /// address. Must be called inside a Tokio runtime.
    pub fn spawn<H, F>(
        listener: TcpListener,
        limits: impl Into<Limits>,
        handler: H,
    ) -> io::Result<Edge>
    where
        H: Fn(Request<RequestBody>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let limits = limits.into();
        let address = listener.local_addr()?;
        let (stage, stages) = watch::channel(Stage::Open);
        let (count, open) = watch::channel(0);
        let context =
            Context { limits, budget: Budget::new(limits.max_buffered_bytes), stage: stages };
        let accept = tokio::spawn(accept_loop(listener, context, Arc::new(count), handler));
        Ok(Edge { address, accept, stage: Arc::new(stage), open })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u64 {
        // The accept loop counts as one connection while it runs.
        let accepting = u64::from(!self.accept.is_finished());
        self.open.borrow().saturating_sub(accepting)
    }

    /// Adds `connection: close` to each response, so that few connections are left when
    /// [`Edge::drain`] follows. New connections are still accepted.
    pub fn request_close(&self) {
        self.advance(Stage::Closing);
    }

    /// Stops accepting connections, lets each open one finish its current request, and returns when
    /// none is left. Idle connections are closed.
    pub async fn drain(&self) {
        self.advance(Stage::Draining);
        let mut open = self.open.clone();
        // An error means that the accept loop and all connections have ended, which is as good.
        let _ = open.wait_for(|count| *count == 0).await;
    }

    /// Stops accepting connections and leaves open ones alone.
    pub fn stop_accepting(&self) {
        self.accept.abort();
    }

    fn advance(&self, to: Stage) {
        self.stage.send_if_modified(|stage| {
            let advances = to > *stage;
            *stage = to.max(*stage);
            advances
        });
    }
}

async fn accept_loop<H, F>(
    listener: TcpListener,
    context: Context,
    count: Arc<watch::Sender<u64>>,
    handler: H,
) where
    H: Fn(Request<RequestBody>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let refuser = Refuser::default();
    // The accept loop counts as one connection, so that a drain waits until the backlog is empty.
    let _own = ConnectionGuard::new(&count);
    let mut stage = context.stage.clone();
    let mut stopping = false;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = std::future::ready(()), if stopping => return,
            _ = stage.wait_for(|s| *s >= Stage::Draining), if !stopping => {
                // Connections that the kernel has already established are still served.
                stopping = true;
                continue;
            }
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        if *count.borrow() > context.limits.max_connections {
            refuser.refuse(stream);
            continue;
        }
        spawn_connection(stream, peer, &context, ConnectionGuard::new(&count), handler.clone());
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    context: &Context,
    guard: ConnectionGuard,
    handler: H,
) where
    H: Fn(Request<RequestBody>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let context = context.clone();
    tokio::spawn(async move {
        connection::serve(stream, peer, context, handler).await;
        drop(guard);
    });
}

/// Counts one open connection until it is dropped.
struct ConnectionGuard(Arc<watch::Sender<u64>>);

impl ConnectionGuard {
    fn new(count: &Arc<watch::Sender<u64>>) -> ConnectionGuard {
        count.send_modify(|n| *n += 1);
        ConnectionGuard(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}
