//! HTTP servers of one instance on one thread.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::timeout,
};

use crate::forward::{ResponseBody, set_socket_options};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Pause after a connection could not be accepted, such as for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which open connections are kept at the end of a stop, as a request may be under way on
/// them: one transfer between the users' regions and their callers, with some margin.
pub const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(150);

/// Smallest buffer that the HTTP library takes.
const MIN_HEAD_BYTES: usize = 8_192;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The instance serves.
    Serving,
    /// The instance serves and asks callers to go elsewhere.
    Leaving,
    /// No new connections and no new requests on open ones.
    Closing,
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ListenLimits {
    /// Longest head of a request.
    pub max_head_bytes: usize,
    /// Longest time for a head, counted from the end of the answer before it.
    pub idle_timeout: Duration,
    /// Open connections.
    pub max_connections: usize,
}

/// Binds `address`.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Serves connections until the stop has come to [`StopPhase::Closing`] and all are finished.
/// `limits` is asked for each connection, since a configuration can change them.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> ListenLimits,
    handler: H,
    mut stop: watch::Receiver<StopPhase>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let max = limits().max_connections;
    let places = Arc::new(Semaphore::new(max));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|phase| *phase >= StopPhase::Closing) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("listen: a connection was not accepted; error={e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let connection = serve_connection(stream, peer, limits(), handler.clone(), stop.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(place);
        });
    }
    // Connections that were established before the end are served, as their callers may have sent
    // a request already.
    while let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, listener.accept()).await {
        let Ok(place) = places.clone().try_acquire_owned() else { break };
        let connection = serve_connection(stream, peer, limits(), handler.clone(), stop.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(place);
        });
    }
    drop(listener);
    // Connections end by themselves in this phase.
    while places.available_permits() < max {
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Waits until idle connections may be closed.
async fn linger(stop: &mut watch::Receiver<StopPhase>) {
    let _ = stop.wait_for(|phase| *phase >= StopPhase::Closing).await;
    tokio::time::sleep(SHUTDOWN_GRACE_PERIOD).await;
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
    set_socket_options(&stream);
    let service = service_fn(move |request| {
        let answer = handler(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = linger(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("listen: a connection ended early; peer={peer} error={e}");
    }
}
