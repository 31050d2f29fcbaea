//! HTTP/1.1 connections from an instance that runs on one thread to backend servers.
//!
//! Each exchange uses a connection exclusively. A connection returns to the pool only after a
//! complete response and is closed in all other cases, which also cancels the request at the
//! server.

mod exchange;
mod held;
mod interim;
mod pool;

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

pub use exchange::{BackendResponse, ExchangeError, RequestBody, ResponseBody, exchange};
pub use held::{AnswerHold, HeldBodies, HeldBody, HeldShare, OnRead};
pub(crate) use interim::{InterimCount, handshake};
pub use pool::{Lease, MaxIdle, Pool};

/// Time after which the kernel closes a connection whose bytes are not acknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Idle time after which the kernel sends keepalive probes, and the interval between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(2);

/// Connects to `address`. The kernel closes the connection within seconds once its peer stops
/// responding.
pub async fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(time_limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream);
    Ok(stream)
}

/// Sets the socket options by which the kernel detects a dead peer, and disables Nagle's algorithm.
/// If the system lacks an option, the connection stays usable, and the timeouts of the callers
/// still apply.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("forward: cannot set a socket option; error={error}");
    }
}
