//! Connection pool for backend servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use super::{connect, exchange::RequestBody};

/// Idle time after which a connection is closed if its server advertises no idle timeout.
const DEFAULT_MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// Longest idle time of a connection, even if its server advertises a longer idle timeout.
const MAX_ADVERTISED_IDLE_TIME: Duration = Duration::from_secs(30);

/// Subtracted from the idle timeout that a server advertises: its timer started earlier, and a
/// request takes some time to arrive.
const ADVERTISED_IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Longest idle times after which a connection may carry another request.
#[derive(Debug, Clone, Copy)]
pub struct MaxIdle {
    /// For connections whose server advertises an idle timeout.
    pub advertised: Duration,
    /// For connections whose server advertises no idle timeout.
    pub unadvertised: Duration,
}

impl MaxIdle {
    /// Every request gets a new connection.
    pub const NONE: MaxIdle = MaxIdle { advertised: Duration::ZERO, unadvertised: Duration::ZERO };

    /// Returns these times, each limited to `limit`.
    pub fn at_most(self, limit: Duration) -> MaxIdle {
        MaxIdle {
            advertised: self.advertised.min(limit),
            unadvertised: self.unadvertised.min(limit),
        }
    }
}

/// Idle connections kept per server; further ones are closed.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 16;

pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<RequestBody>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    limit: Duration,
    /// Whether the server advertised an idle timeout.
    is_advertised: bool,
}

/// A pool of connections to backend servers. Clones share the connections.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection in use. Dropping the lease closes the connection; [`Lease::release`] returns it to
/// the pool.
pub struct Lease {
    pub(super) connection: Connection,
    pub(super) address: SocketAddr,
    pool: Pool,
    /// Time for which the connection was idle; `None` for a new connection.
    pub idle_for: Option<Duration>,
}

impl Pool {
    /// Leases a connection that was idle for less than `max_idle`, or opens one. Also returns how
    /// long connecting took if a connection was opened.
    pub async fn lease(
        &self,
        address: SocketAddr,
        max_idle: MaxIdle,
        connect_limit: Duration,
    ) -> io::Result<(Lease, Option<Duration>)> {
        if let Some((connection, idle_for)) = self.take_idle(address, max_idle) {
            let lease = Lease { connection, address, pool: self.clone(), idle_for: Some(idle_for) };
            return Ok((lease, None));
        }
        let start = Instant::now();
        let stream = connect(address, connect_limit).await?;
        let connect_time = start.elapsed();
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The exchange that waits for the response gets the error.
            let _ = connection.await;
        });
        let connection = Connection { sender, task };
        Ok((Lease { connection, address, pool: self.clone(), idle_for: None }, Some(connect_time)))
    }

    /// Closes the idle connections to the address of a server that has left.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for too long or that the server has closed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| now - i.since < i.limit && !i.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, max_idle: MaxIdle) -> Option<(Connection, Duration)> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(&address)?;
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            let idle_for = now - last.since;
            let max_idle =
                if last.is_advertised { max_idle.advertised } else { max_idle.unadvertised };
            let fresh = idle_for < last.limit.min(max_idle);
            if fresh && last.connection.sender.is_ready() {
                return Some((last.connection, idle_for));
            }
            if !fresh && idle_for < last.limit {
                // The remaining connections have been idle for longer, so none is fresh enough.
                idle.push(last);
                return None;
            }
        }
        None
    }

    fn return_idle(
        &self,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let limit = keep_alive.map_or(DEFAULT_MAX_IDLE_TIME, |t| {
            t.saturating_sub(ADVERTISED_IDLE_MARGIN).min(MAX_ADVERTISED_IDLE_TIME)
        });
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS_PER_SERVER && !limit.is_zero() {
            let is_advertised = keep_alive.is_some();
            idle.push(Idle { connection, since: Instant::now(), limit, is_advertised });
        }
    }
}

impl Lease {
    /// Returns the connection to the pool. No response may be outstanding on it. `keep_alive` is
    /// the idle timeout that its server advertised, if any.
    pub fn release(self, keep_alive: Option<Duration>) {
        let Lease { connection, address, pool, .. } = self;
        if !connection.sender.is_closed() {
            pool.return_idle(address, connection, keep_alive);
        }
    }
}
