//! The faults in force and the open connections of one proxy.

use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak, atomic::AtomicU64},
    time::{Duration, Instant},
};

use super::{Direction, Identify, connection::Connection};

/// Attempts at identifying the process of a connection. One can fail while the process opens and
/// closes files.
const IDENTIFY_ATTEMPTS: u32 = 3;

/// Faults of one direction.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DirectionFaults {
    pub cut: bool,
    pub delay: Duration,
    pub cut_after_bytes: Option<u64>,
}

pub(super) struct Faults {
    pub target: SocketAddr,
    pub frozen: bool,
    /// Addresses of processes whose bytes are dropped both ways.
    pub cut_sources: HashSet<IpAddr>,
    to_target: DirectionFaults,
    to_caller: DirectionFaults,
}

impl Faults {
    pub fn of_direction(&mut self, direction: Direction) -> &mut DirectionFaults {
        match direction {
            Direction::ToTarget => &mut self.to_target,
            Direction::ToCaller => &mut self.to_caller,
        }
    }

    /// Tells whether a source is cut. One that can't be identified counts as cut while any source
    /// is cut, so that no byte passes a cut by accident.
    pub fn cuts(&self, source: Option<IpAddr>) -> bool {
        source.map_or(!self.cut_sources.is_empty(), |source| self.cut_sources.contains(&source))
    }

    pub fn change_both(&mut self, change: impl Fn(&mut DirectionFaults)) {
        change(&mut self.to_target);
        change(&mut self.to_caller);
    }

    pub fn clear(&mut self) {
        self.frozen = false;
        self.cut_sources.clear();
        self.change_both(|one_way| *one_way = DirectionFaults::default());
    }
}

pub(super) struct Shared {
    identify: Option<Identify>,
    faults: Mutex<Faults>,
    changed: Condvar,
    connections: Mutex<Vec<Weak<Connection>>>,
    forwarded_to_target: AtomicU64,
    forwarded_to_caller: AtomicU64,
}

impl Shared {
    pub fn new(target: SocketAddr, identify: Option<Identify>) -> Shared {
        let faults = Faults {
            target,
            frozen: false,
            cut_sources: HashSet::new(),
            to_target: DirectionFaults::default(),
            to_caller: DirectionFaults::default(),
        };
        Shared {
            identify,
            faults: Mutex::new(faults),
            changed: Condvar::new(),
            connections: Mutex::new(Vec::new()),
            forwarded_to_target: AtomicU64::new(0),
            forwarded_to_caller: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock());
        self.wake();
    }

    pub fn wake(&self) {
        // Taking the lock first ensures that no thread is between its check and its wait, where it
        // would miss the notification.
        drop(self.lock());
        self.changed.notify_all();
    }

    /// Returns the address under which the caller of a connection can be cut off.
    pub fn source_of(&self, caller: &TcpStream) -> Option<IpAddr> {
        match &self.identify {
            Some(identify) => (0..IDENTIFY_ATTEMPTS).find_map(|_| identify(caller)),
            None => Some(caller.peer_addr().ok()?.ip()),
        }
    }

    pub fn is_cut_source(&self, source: Option<IpAddr>) -> bool {
        self.lock().cuts(source)
    }

    pub fn target(&self) -> SocketAddr {
        self.lock().target
    }

    pub fn forwarded_bytes(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::ToTarget => &self.forwarded_to_target,
            Direction::ToCaller => &self.forwarded_to_caller,
        }
    }

    pub fn register(&self, connection: &Arc<Connection>) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|c| c.strong_count() > 0);
        connections.push(Arc::downgrade(connection));
    }

    pub fn connections(&self) -> Vec<Arc<Connection>> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    /// Waits until a chunk that arrived at `arrived` may be forwarded, and returns the faults that
    /// apply to it; `None` if the connection was closed meanwhile.
    pub fn wait_until_due(
        &self,
        direction: Direction,
        source: Option<IpAddr>,
        arrived: Instant,
        is_closed: impl Fn() -> bool,
    ) -> Option<DirectionFaults> {
        let mut faults = self.lock();
        loop {
            if is_closed() {
                return None;
            }
            let mut applied = *faults.of_direction(direction);
            applied.cut |= faults.cuts(source);
            let left = (arrived + applied.delay).saturating_duration_since(Instant::now());
            if !faults.frozen && left.is_zero() {
                return Some(applied);
            }
            faults = if faults.frozen {
                self.changed.wait(faults).unwrap_or_else(PoisonError::into_inner)
            } else {
                let waited = self.changed.wait_timeout(faults, left);
                waited.unwrap_or_else(PoisonError::into_inner).0
            };
        }
    }
}
