//! A TCP proxy that injects faults between two processes.
//!
//! It forwards bytes without parsing them. Four threads serve each connection: one that reads and
//! one that writes for each direction, so that a delay does not limit the throughput.

mod connection;
mod diag;
mod faults;

use std::{
    io::{ErrorKind, Read},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use eyre::{Result, WrapErr};

pub use diag::peer_inode;

use self::{connection::Connection, faults::Shared};
use crate::port::HeldPort;

/// Timeout of connecting to the target and of the connection that wakes the accepting thread.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Period in which a blackholed connection checks whether the cut has ended.
const BLACKHOLE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Direction in which bytes flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connected to the proxy towards the target.
    ToTarget,
    /// From the target back.
    ToCaller,
}

/// Identifies the process that made a connection by an address for [`Proxy::cut_source`].
pub type Identify = Arc<dyn Fn(&TcpStream) -> Option<IpAddr> + Send + Sync>;

/// A running proxy. It closes its connections and stops when dropped.
pub struct Proxy {
    /// Stays while the proxy refuses connections.
    port: HeldPort,
    shared: Arc<Shared>,
    listening: Option<Listening>,
}

struct Listening {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Proxy {
    /// Forwards a free port on 127.0.0.1 to `target`.
    pub fn bind(target: SocketAddr) -> Result<Proxy> {
        Proxy::bind_at(([127, 0, 0, 1], 0).into(), target)
    }

    /// Forwards `address` to `target`.
    pub fn bind_at(address: SocketAddr, target: SocketAddr) -> Result<Proxy> {
        Proxy::open(address, Shared::new(target, None))
    }

    /// Forwards a free port on 127.0.0.1 to `target`. With `identify` it can cut single processes
    /// that connect from the same address.
    pub fn bind_identifying(target: SocketAddr, identify: Identify) -> Result<Proxy> {
        Proxy::open(([127, 0, 0, 1], 0).into(), Shared::new(target, Some(identify)))
    }

    fn open(address: SocketAddr, shared: Shared) -> Result<Proxy> {
        let shared = Arc::new(shared);
        let port =
            HeldPort::bind(address).wrap_err_with(|| format!("proxy cannot take {address}"))?;
        let listener =
            port.listen().wrap_err_with(|| format!("proxy cannot listen on {}", port.address()))?;
        let listening = Listening::spawn(listener, shared.clone())?;
        Ok(Proxy { port, shared, listening: Some(listening) })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Sends connections that are made from now on to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.change(|faults| faults.target = target);
    }

    /// Drops all bytes both ways; connections stay open, as in a network partition.
    pub fn cut(&self) {
        self.shared.change(|faults| faults.change_both(|one_way| one_way.cut = true));
    }

    /// Drops all bytes from and to processes that connect from `source`; connections stay open.
    ///
    /// Other sources are not affected, so that tests can build partial partitions.
    pub fn cut_source(&self, source: IpAddr) {
        self.shared.change(|faults| {
            faults.cut_sources.insert(source);
        });
    }

    /// Drops the bytes of one direction; connections stay open.
    pub fn cut_one_way(&self, direction: Direction) {
        self.shared.change(|faults| faults.of_direction(direction).cut = true);
    }

    /// Forwards each byte this long after it arrived, both ways.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.change(|faults| faults.change_both(|one_way| one_way.delay = delay));
    }

    /// Forwards each byte of one direction this long after it arrived.
    pub fn set_delay_one_way(&self, direction: Direction, delay: Duration) {
        self.shared.change(|faults| faults.of_direction(direction).delay = delay);
    }

    /// Closes each connection once it has forwarded `bytes` in one direction, counted from its
    /// start. `None` means no limit.
    pub fn cut_after(&self, direction: Direction, bytes: Option<u64>) {
        self.shared.change(|faults| faults.of_direction(direction).cut_after_bytes = bytes);
    }

    /// Stops forwarding without losing bytes, until [`Proxy::resume`].
    pub fn freeze(&self) {
        self.shared.change(|faults| faults.frozen = true);
    }

    /// Continues forwarding after [`Proxy::freeze`].
    pub fn resume(&self) {
        self.shared.change(|faults| faults.frozen = false);
    }

    /// Closes the port, so that connecting fails at once. Open connections are not affected.
    pub fn refuse_new(&mut self) {
        if let Some(listening) = self.listening.take() {
            listening.stop(self.address());
        }
    }

    /// Opens the same port again after [`Proxy::refuse_new`].
    pub fn accept_new(&mut self) -> Result<()> {
        if self.listening.is_none() {
            let listener = self
                .port
                .listen()
                .wrap_err_with(|| format!("proxy cannot listen again on {}", self.address()))?;
            self.listening = Some(Listening::spawn(listener, self.shared.clone())?);
        }
        Ok(())
    }

    /// Resets all open connections on both sides.
    pub fn reset_connections(&self) {
        for connection in self.shared.connections() {
            connection.reset();
        }
        self.shared.wake();
    }

    /// Removes all faults and accepts connections again. Dropped bytes stay lost.
    pub fn heal(&mut self) -> Result<()> {
        self.shared.change(faults::Faults::clear);
        self.accept_new()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections().len()
    }

    /// Returns the bytes that were forwarded in one direction so far.
    pub fn forwarded_bytes(&self, direction: Direction) -> u64 {
        self.shared.forwarded_bytes(direction).load(Ordering::SeqCst)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.refuse_new();
        self.reset_connections();
    }
}

impl Listening {
    fn spawn(listener: TcpListener, shared: Arc<Shared>) -> Result<Listening> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = stop.clone();
        let thread = thread::Builder::new()
            .name("proxy-accept".to_owned())
            .spawn(move || accept(&listener, &shared, &stopping))?;
        Ok(Listening { stop, thread })
    }

    /// Closes the port and waits until it is closed.
    fn stop(self, address: SocketAddr) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
        let _ = self.thread.join();
    }
}

/// Drops what a caller with a cut source sends, until it closes the connection or the cut ends. The
/// target is not connected to, so that no open connections pile up there during a long cut.
fn blackhole(shared: &Shared, mut caller: TcpStream, source: Option<IpAddr>) {
    let mut buffer = [0; 4096];
    let _ = caller.set_read_timeout(Some(BLACKHOLE_POLL_PERIOD));
    while shared.is_cut_source(source) {
        match caller.read(&mut buffer) {
            Ok(0) => return,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return,
            _ => {}
        }
    }
    // Bytes were lost, so the connection is reset and the caller has to connect again.
    let _ = socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO));
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>, stop: &AtomicBool) {
    for stream in listener.incoming() {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let shared = shared.clone();
        let builder = thread::Builder::new().name("proxy-connect".to_owned());
        let _ = builder.spawn(move || {
            let source = shared.source_of(&stream);
            if shared.is_cut_source(source) {
                return blackhole(&shared, stream, source);
            }
            let target = shared.target();
            // If the target can't be reached, the caller's connection is closed.
            if let Ok(target) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) {
                let _ = Connection::spawn(&shared, stream, target, source);
            }
        });
    }
}
