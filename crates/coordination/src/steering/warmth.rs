//! Which objects a backend server has handled recently.

use std::collections::VecDeque;

/// Number of objects for which a server is assumed to be warm.
const MAX_WARM_KEYS: usize = 20;

/// Keys of the objects that a backend server has handled recently, the latest last.
#[derive(Debug, Clone, Default)]
pub struct WarmKeys(VecDeque<u64>);

impl WarmKeys {
    /// Records that the server has handled the object with this key.
    pub fn insert(&mut self, key: u64) {
        self.0.retain(|known| *known != key);
        self.0.push_back(key);
        if self.0.len() > MAX_WARM_KEYS {
            self.0.pop_front();
        }
    }

    /// Returns whether the server has handled the object recently.
    pub fn contains(&self, key: u64) -> bool {
        self.0.contains(&key)
    }

    /// Removes all objects, since a server that restarts loses its memory.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
