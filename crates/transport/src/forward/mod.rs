//! Connections to backend servers for one instance on one thread.
//!
//! Each exchange has its connection for itself. A connection goes back to the pool only after a
//! whole answer, and is closed in all other cases, which also cancels the work of the server.

mod exchange;
mod pool;

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

pub use exchange::{BackendResponse, ExchangeError, RequestBody, ResponseBody, exchange};
pub use pool::{Lease, MaxIdle, Pool};

/// Time after which the kernel gives up a connection whose bytes are not acknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Idle time after which the kernel probes the other end, and the pause between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(2);

/// Connects to `address`. A connection that goes silent is given up by the kernel within seconds.
pub async fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(time_limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream);
    Ok(stream)
}

/// Sets the options that make a silent connection end. A system that lacks one of them keeps the
/// connection usable, and timeouts of the callers still hold.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("forward: a socket option was not set; error={error}");
    }
}
