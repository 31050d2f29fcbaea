use std::sync::{Arc, Mutex, PoisonError, RwLock};

use super::map::{BlockChange, BlockMap};

/// The current block map, read by many threads and changed by one thread at a time.
#[derive(Debug, Default)]
pub struct SharedBlockMap {
    current: RwLock<Arc<BlockMap>>,
    /// Serializes writers.
    writer_lock: Mutex<()>,
}

impl SharedBlockMap {
    /// Returns the current map, which is immutable.
    ///
    /// The call does not wait while a change is computed: a writer holds the lock on `current` only
    /// to replace the pointer.
    pub fn snapshot(&self) -> Arc<BlockMap> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the whole map.
    pub fn replace(&self, map: BlockMap) {
        let _guard = self.writer_lock.lock().unwrap_or_else(PoisonError::into_inner);
        self.publish(map);
    }

    /// Applies changes to a copy of the current map and then publishes the copy.
    pub fn apply(&self, changes: impl IntoIterator<Item = BlockChange>) {
        let _guard = self.writer_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let next = self.snapshot().with_changes(changes);
        self.publish(next);
    }

    fn publish(&self, map: BlockMap) {
        let mut next = Arc::new(map);
        {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            std::mem::swap(&mut *current, &mut next);
        }
        // The old map is dropped after the lock is released, because freeing a large map is slow.
    }
}
