//! Idle connections to backend servers.

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

/// Idle time after which a connection is closed, as long as its server names none.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// Longest idle time of a connection, whatever its server names.
const NAMED_IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Taken off the idle time that a server names: its clock started earlier, and a request takes some
/// time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Idle times up to which a connection carries a further request.
#[derive(Debug, Clone, Copy)]
pub struct MaxIdle {
    /// For a connection whose server names the time after which it closes an idle one.
    pub advertised: Duration,
    /// For other connections.
    pub unadvertised: Duration,
}

impl MaxIdle {
    /// No connection is used again.
    pub const NONE: MaxIdle = MaxIdle { advertised: Duration::ZERO, unadvertised: Duration::ZERO };

    /// Returns the smaller of these times and `limit`.
    pub fn at_most(self, limit: Duration) -> MaxIdle {
        MaxIdle {
            advertised: self.advertised.min(limit),
            unadvertised: self.unadvertised.min(limit),
        }
    }
}

/// Idle connections kept for one server.
const MAX_IDLE: usize = 16;

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
    /// The server names the time after which it closes idle connections.
    is_advertised: bool,
}

/// Connections to backend servers. Clones share them.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection that is in use. It is closed when it is dropped, unless it is given back.
pub struct Lease {
    pub(super) connection: Connection,
    pub(super) address: SocketAddr,
    pool: Pool,
    /// How long the connection was idle, if it served an earlier request.
    pub idle_for: Option<Duration>,
}

impl Pool {
    /// Takes an idle connection that was used within `max_idle`, or makes one. Returns the time
    /// that connecting took, if it did.
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
        let took = start.elapsed();
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The error is seen by the exchange that waits for the answer.
            let _ = connection.await;
        });
        let connection = Connection { sender, task };
        Ok((Lease { connection, address, pool: self.clone(), idle_for: None }, Some(took)))
    }

    /// Closes idle connections to an address, whose server has left.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long.
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
                // Older ones are at the front; none of them is fresh enough either.
                idle.push(last);
                return None;
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, connection: Connection, keep_alive: Option<Duration>) {
        let limit =
            keep_alive.map_or(IDLE_LIMIT, |t| t.saturating_sub(IDLE_MARGIN).min(NAMED_IDLE_LIMIT));
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE && !limit.is_zero() {
            let is_advertised = keep_alive.is_some();
            idle.push(Idle { connection, since: Instant::now(), limit, is_advertised });
        }
    }
}

impl Lease {
    /// Gives a connection back on which no answer is due. `keep_alive` is the idle time that its
    /// server allows, if known.
    pub fn release(self, keep_alive: Option<Duration>) {
        let Lease { connection, address, pool, .. } = self;
        if !connection.sender.is_closed() {
            pool.put(address, connection, keep_alive);
        }
    }
}
