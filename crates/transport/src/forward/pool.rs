//! Connection pool for backend servers.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::client::conn::http1;
use tokio::task::JoinHandle;

use super::{InterimCount, connect, exchange::RequestBody, handshake};

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

/// Requests of which a connection remembers the ids. A late copy of a response arrives long before
/// a connection has carried so many further requests.
const MAX_REMEMBERED_IDS: usize = 64;

/// Requests that a connection has carried.
#[derive(Default)]
struct CarriedRequests {
    count: u64,
    /// Hashes of the ids of the last ones, oldest first.
    ids: VecDeque<u64>,
}

impl CarriedRequests {
    fn record(&mut self, id: Option<&str>) {
        self.count += 1;
        let Some(id) = id else { return };
        if self.ids.len() == MAX_REMEMBERED_IDS {
            self.ids.pop_front();
        }
        self.ids.push_back(hash(id));
    }

    fn contains(&self, id: &str) -> bool {
        self.ids.contains(&hash(id))
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<RequestBody>,
    task: JoinHandle<()>,
    pub(super) interim: InterimCount,
    carried: CarriedRequests,
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
    /// Leases a connection for the request `id` that was idle for less than `max_idle`, or opens
    /// one. Also returns how long connecting took if a connection was opened.
    ///
    /// A server may send a response once more, late. Its id tells whether it belongs to the request
    /// that is waiting, so the same id is never sent twice on a connection, and a request without
    /// one gets a connection that has carried nothing.
    pub async fn lease(
        &self,
        address: SocketAddr,
        max_idle: MaxIdle,
        connect_limit: Duration,
        id: Option<&str>,
    ) -> io::Result<(Lease, Option<Duration>)> {
        if let Some(id) = id
            && let Some((mut connection, idle_for)) = self.take_idle(address, max_idle, id)
        {
            connection.carried.record(Some(id));
            let lease = Lease { connection, address, pool: self.clone(), idle_for: Some(idle_for) };
            return Ok((lease, None));
        }
        let start = Instant::now();
        let stream = connect(address, connect_limit).await?;
        let connect_time = start.elapsed();
        let (sender, connection, interim) = handshake(stream).await.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The exchange that waits for the response gets the error.
            let _ = connection.await;
        });
        let mut carried = CarriedRequests::default();
        carried.record(id);
        let connection = Connection { sender, task, interim, carried };
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

    /// Takes the connection that was returned last of those that are fresh enough and have not
    /// carried `id`.
    fn take_idle(
        &self,
        address: SocketAddr,
        max_idle: MaxIdle,
        id: &str,
    ) -> Option<(Connection, Duration)> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(&address)?;
        let now = Instant::now();
        for number in (0..idle.len()).rev() {
            let candidate = &idle[number];
            let idle_for = now - candidate.since;
            if idle_for >= candidate.limit || !candidate.connection.sender.is_ready() {
                idle.remove(number);
                continue;
            }
            let max_idle =
                if candidate.is_advertised { max_idle.advertised } else { max_idle.unadvertised };
            if idle_for >= max_idle {
                // The remaining connections have been idle for longer, so none is fresh enough.
                return None;
            }
            if !candidate.connection.carried.contains(id) {
                return Some((idle.remove(number).connection, idle_for));
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
    /// Returns whether the connection has carried no earlier request, so that all it receives belongs
    /// to this one.
    pub fn is_first_request(&self) -> bool {
        self.connection.carried.count == 1
    }

    /// Returns the connection to the pool after a complete response, unless `keep_alive` is `None`
    /// or its request body is still being sent. It is closed otherwise.
    pub(super) async fn release_if_idle(self, keep_alive: Option<Option<Duration>>) {
        let Some(keep_alive) = keep_alive else { return };
        tokio::task::yield_now().await;
        if self.connection.sender.is_ready() {
            self.release(keep_alive);
        }
    }

    /// Returns the connection to the pool. No response may be outstanding on it. `keep_alive` is
    /// the idle timeout that its server advertised, if any.
    pub fn release(self, keep_alive: Option<Duration>) {
        let Lease { connection, address, pool, .. } = self;
        if !connection.sender.is_closed() {
            pool.return_idle(address, connection, keep_alive);
        }
    }
}
