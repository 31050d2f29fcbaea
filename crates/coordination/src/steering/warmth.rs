//! Which objects a backend server has handled recently.

use std::collections::VecDeque;

/// Objects that a server is taken to remember.
const KEPT_KEYS: usize = 20;

/// Objects that a backend server has handled recently, the latest last.
#[derive(Debug, Clone, Default)]
pub struct WarmKeys(VecDeque<u64>);

impl WarmKeys {
    /// Records that the server has handled an object.
    pub fn handled(&mut self, key: u64) {
        self.0.retain(|known| *known != key);
        self.0.push_back(key);
        if self.0.len() > KEPT_KEYS {
            self.0.pop_front();
        }
    }

    /// Returns whether the server has handled the object recently.
    pub fn contains(&self, key: u64) -> bool {
        self.0.contains(&key)
    }

    /// Forgets everything, as a server that starts again does.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
