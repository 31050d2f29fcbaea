//! The monotonic clock and a helper to lock mutexes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use pollenshed_state::time::Instant;

/// The monotonic clock of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Starts the clock at [`Instant::START`].
    pub fn start() -> Clock {
        Clock { start: std::time::Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        let elapsed_us = self.start.elapsed().as_micros();
        Instant::from_us(u64::try_from(elapsed_us).unwrap_or(u64::MAX))
    }
}

/// Locks a mutex and ignores poisoning by a thread that panicked while it held the lock.
///
/// This is safe because each single step of a change under these locks leaves the state consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
