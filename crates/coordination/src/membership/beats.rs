//! Heartbeats that reach most instances by way of others.
//!
//! In a large group an instance sends its heartbeats to a few random peers only, together with the
//! heartbeats that it heard of lately. So messages and bytes of an instance do not grow with the
//! group, and news reach all within a number of rounds that grows with its logarithm. Each number
//! is passed on in a few rounds only, and not once it is old: otherwise the last heartbeats of an
//! instance that has died would circulate and delay its detection.

use std::{cmp::Reverse, collections::HashMap};

use pollenshed_state::time::Instant;

/// Age up to which a heartbeat is passed on.
const MAX_RELAY_AGE_MS: u64 = 1_200;

/// Number of rounds in which an instance passes a heartbeat on.
const MAX_RELAYS: u32 = 2;

/// New heartbeats of a group in one round, at most.
const BEATS_PER_ROUND: usize = 75;

/// Smallest number of rounds between two heartbeats.
const MIN_ROUNDS_PER_BEAT: u64 = 2;

#[derive(Debug, Clone, Copy)]
struct Heard {
    beat: u64,
    at: Instant,
    relays: u32,
}

/// The highest heartbeat that was heard of each process.
#[derive(Debug, Clone, Default)]
pub struct BeatRelay {
    heard: HashMap<u32, Heard>,
}

impl BeatRelay {
    /// Records a heartbeat, from the process itself or passed on by a peer, and returns whether it
    /// is news. `key` identifies the process, so a restarted instance has another one, and `beat`
    /// counts its heartbeats.
    pub fn record(&mut self, key: u32, beat: u64, now: Instant) -> bool {
        let is_news = self.heard.get(&key).is_none_or(|heard| beat > heard.beat);
        if is_news {
            self.heard.insert(key, Heard { beat, at: now, relays: 0 });
        }
        is_news
    }

    /// Returns the keys and numbers of up to `max` heartbeats to pass on in this round, those first
    /// that were passed on least often, and of these the latest.
    pub fn next_round(&mut self, max: usize, now: Instant) -> Vec<(u32, u64)> {
        let mut recent: Vec<_> = self
            .heard
            .iter_mut()
            .filter(|(_, h)| h.relays < MAX_RELAYS && now.since_ms(h.at) < MAX_RELAY_AGE_MS)
            .collect();
        recent.sort_unstable_by_key(|(key, h)| (h.relays, Reverse(h.at), **key));
        recent.truncate(max);
        let beats = recent.into_iter().map(|(key, heard)| {
            heard.relays += 1;
            (*key, heard.beat)
        });
        beats.collect()
    }

    /// Forgets a process.
    pub fn forget(&mut self, key: u32) {
        self.heard.remove(&key);
    }
}

/// Returns after how many rounds an instance counts up its heartbeat in a group of `instances`. In
/// a larger group heartbeats are rarer, so that those of all fit into the messages of a round.
pub fn rounds_per_beat(instances: usize) -> u64 {
    (instances.div_ceil(BEATS_PER_ROUND) as u64).max(MIN_ROUNDS_PER_BEAT)
}
