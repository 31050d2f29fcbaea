//! The callers' HTTP/1.1 interface.
//!
//! It is built on `hyper`, on which `tonic` stands too, and not on `rouille`: `rouille` starts a
//! thread for each open connection and limits neither connections, heads nor slow senders.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, time::Duration};

use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use pollenshed_state::settings::CallerLimits;
use tokio::{net::TcpListener, task::JoinHandle};

/// Body of an answer to a caller.
pub type AnswerBody = Full<bytes::Bytes>;

/// A running callers' interface.
pub struct Edge {
    address: SocketAddr,
    accept: JoinHandle<()>,
}

impl Edge {
    /// Answers each request that arrives on `listener` with `handler`, which gets the request and
    /// the caller's address. Must be called inside a runtime.
    pub fn spawn<H, F>(listener: TcpListener, limits: CallerLimits, handler: H) -> io::Result<Edge>
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let accept = tokio::spawn(accept_loop(listener, limits, handler));
        Ok(Edge { address, accept })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; open ones go on.
    pub fn close(&self) {
        self.accept.abort();
    }
}

async fn accept_loop<H, F>(listener: TcpListener, limits: CallerLimits, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = handler(request, peer);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
