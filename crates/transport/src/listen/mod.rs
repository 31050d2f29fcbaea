//! HTTP/1.1 servers of an instance that runs on one thread.

mod pipeline;
mod reset;

use std::{
    convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::timeout,
};

pub use pipeline::{Overlap, PipelinePolicy, RequestTarget};

use self::reset::{CallerStream, ResetsAtEnd};
use crate::forward::{ResponseBody, set_socket_options};

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Pause after `accept` failed, usually for lack of file descriptors. Also the poll interval while
/// connections finish at shutdown.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which idle connections stay open at the end of a stop, as a request may be on its way:
/// one transfer between the users' regions and their callers, with some margin.
pub const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(150);

/// Bytes of an answer that the kernel takes before it can send them. A slow caller would otherwise
/// make it hold megabytes, which no budget counts.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;

/// Smallest read buffer that `hyper` accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Phase of a planned stop. The order of the variants is the order of the phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop has begun.
    Serving,
    /// The instance still serves, but asks callers to use other instances.
    Leaving,
    /// New connections are refused. Open ones close after [`SHUTDOWN_GRACE_PERIOD`], when their
    /// current request has ended.
    Closing,
}

/// Limits of one HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ListenLimits {
    /// Largest head of a request; at least 8 KiB are allowed.
    pub max_head_bytes: usize,
    /// Longest time until a head is complete, counted from the end of the previous response.
    pub idle_timeout: Duration,
    /// Connections open at the same time; further ones are closed at once.
    pub max_connections: usize,
}

/// Opens a listener on `address`. Must be called inside a Tokio runtime.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Serves connections until the stop has reached [`StopPhase::Closing`] and all connections have
/// ended. `limits` is called for each connection, since a new configuration can change the limits
/// on heads and idle time.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> ListenLimits,
    handler: H,
    stop: watch::Receiver<StopPhase>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let connection_stop = stop.clone();
    accept(listener, limits, stop, move |stream, peer, limits| {
        serve_connection(stream, peer, limits, handler.clone(), connection_stop.clone())
    })
    .await;
}

/// Serves connections like [`serve`]. Requests that a caller sends before an earlier one of its
/// connection is answered run side by side if `policy` allows it.
pub async fn serve_pipelined<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> ListenLimits,
    handler: H,
    policy: Rc<dyn PipelinePolicy>,
    stop: watch::Receiver<StopPhase>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let handler = Rc::new(handler);
    let connection_stop = stop.clone();
    accept(listener, limits, stop, move |stream, peer, limits| {
        let stop = connection_stop.clone();
        pipeline::serve_connection(stream, peer, limits, handler.clone(), policy.clone(), stop)
    })
    .await;
}

/// Accepts connections and runs `serve_one` for each, until the stop has reached
/// [`StopPhase::Closing`] and all of them have ended.
async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    limits: impl Fn() -> ListenLimits,
    mut stop: watch::Receiver<StopPhase>,
    serve_one: impl Fn(TcpStream, SocketAddr, ListenLimits) -> F,
) {
    let max = limits().max_connections;
    let permits = Arc::new(Semaphore::new(max));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|phase| *phase >= StopPhase::Closing) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("listen: cannot accept a connection; error={e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let connection = serve_one(stream, peer, limits());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(permit);
        });
    }
    // Connections that the kernel has already established are served, as their callers may have
    // sent a request.
    while let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, listener.accept()).await {
        let Ok(permit) = permits.clone().try_acquire_owned() else { break };
        let connection = serve_one(stream, peer, limits());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    // Each connection shuts itself down in this phase.
    while permits.available_permits() < max {
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Waits until [`SHUTDOWN_GRACE_PERIOD`] after the stop has reached [`StopPhase::Closing`].
async fn wait_for_grace_period(stop: &mut watch::Receiver<StopPhase>) {
    let _ = stop.wait_for(|phase| *phase >= StopPhase::Closing).await;
    tokio::time::sleep(SHUTDOWN_GRACE_PERIOD).await;
}

/// Sets the options of a caller's connection.
fn caller_stream(stream: TcpStream) -> (CallerStream, ResetsAtEnd) {
    set_socket_options(&stream);
    if let Err(e) = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("listen: cannot set a socket option; error={e}");
    }
    let resets_at_end = ResetsAtEnd::default();
    (CallerStream::new(stream, resets_at_end.clone()), resets_at_end)
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ListenLimits,
    handler: H,
    mut stop: watch::Receiver<StopPhase>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let service = service_fn(move |request| {
        let response = handler(request, peer);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let (stream, resets_at_end) = caller_stream(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = wait_for_grace_period(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        // The body of an answer broke off.
        if e.is_user() {
            resets_at_end.set();
        }
        log::debug!("listen: a connection ended early; peer={peer} error={e}");
    }
}
