use std::sync::{Arc, Mutex, PoisonError, RwLock};

use super::map::{BlockChange, BlockMap};

/// The map in force, read by many threads and changed by one at a time.
#[derive(Debug, Default)]
pub struct SharedBlockMap {
    current: RwLock<Arc<BlockMap>>,
    change: Mutex<()>,
}

impl SharedBlockMap {
    /// Returns a snapshot. It is never changed, and taking it waits for no change: the lock is held
    /// only while the pointer is replaced.
    pub fn snapshot(&self) -> Arc<BlockMap> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the whole map.
    pub fn replace(&self, map: BlockMap) {
        let _change = self.change.lock().unwrap_or_else(PoisonError::into_inner);
        self.publish(map);
    }

    /// Applies changes beside the map in force and then puts the result in its place.
    pub fn apply(&self, changes: impl IntoIterator<Item = BlockChange>) {
        let _change = self.change.lock().unwrap_or_else(PoisonError::into_inner);
        let next = self.snapshot().with_changes(changes);
        self.publish(next);
    }

    fn publish(&self, map: BlockMap) {
        let mut next = Arc::new(map);
        {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            std::mem::swap(&mut *current, &mut next);
        }
        // The old map is dropped here, after the lock, because freeing a large one takes time.
    }
}
