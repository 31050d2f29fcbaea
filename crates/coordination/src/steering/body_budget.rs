//! How many bytes of bodies an instance holds for slow callers, and for whom.
//!
//! An answer is read from its server as fast as this budget allows, so that the server is free soon,
//! and is handed out at the pace of the caller. Request bodies take from the same budget. What is
//! left decides whether an answer is read on, whether a request body is taken, and whether a further
//! large answer is asked for. See docs/design/large-answers.md.

use std::{collections::HashMap, net::SocketAddr};

use pollenshed_state::{ids::BackendServerName, time::Instant};

/// Bodies may take this fraction of the memory: one part in 4. The rest holds the tables, buffers
/// of connections and what the allocator keeps.
const MEMORY_DIVISOR: usize = 4;

/// Part of the budget up to which answers are read without a pause. The rest is for request bodies
/// and for answers whose servers have waited for long.
const ANSWERS_RATIO: f64 = 0.5;

/// Part of the budget up to which answers whose servers have waited for long are read.
const WAITING_RATIO: f64 = 0.6;

/// Part of the budget up to which further large answers are asked for.
const ADMITTED_RATIO: f64 = 0.4;

/// Part of the budget that the answers on one connection of a caller may take.
const CONNECTION_RATIO: f64 = 0.11;

/// Longest time for which an answer is not read. A server cuts off an answer that stays unread for
/// some seconds, so it has to see progress sooner.
pub const MAX_READ_PAUSE_MS: u64 = 1_000;

/// Size that a large answer is expected to have until some were seen.
const FIRST_EXPECTED_BYTES: f64 = 256.0 * 1024.0;

/// Weight of the latest large answer in the expected size.
const EXPECTED_WEIGHT: f64 = 0.125;

/// Time after which the caller of a refused large answer may come back. Answers that are held end
/// within the time budget of their callers, so there is room again after a part of it.
const RETRY_AFTER_MS: u64 = 300;

/// Largest random addition to this time, so that refused callers do not come back together.
const RETRY_SPREAD_MS: u64 = 400;

/// What a held body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// Body of a request, held until it has been sent for the last time.
    Request,
    /// Body of an answer, held until the caller has taken it.
    Answer,
}

/// The bytes that an instance holds, and the bounds on them.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    max_bytes: usize,
    request_bytes: usize,
    answer_bytes: usize,
    /// Bytes of answers by the connection of their caller.
    by_connection: HashMap<SocketAddr, usize>,
}

impl BodyBudget {
    /// Creates the budget of an instance that may use this much memory.
    pub fn new(memory_bytes: usize) -> BodyBudget {
        BodyBudget {
            max_bytes: memory_bytes / MEMORY_DIVISOR,
            request_bytes: 0,
            answer_bytes: 0,
            by_connection: HashMap::new(),
        }
    }

    /// Returns the bytes held of one kind of bodies.
    pub fn held_bytes(&self, kind: BodyKind) -> usize {
        match kind {
            BodyKind::Request => self.request_bytes,
            BodyKind::Answer => self.answer_bytes,
        }
    }

    /// Returns whether this many further bytes of a request body may be held.
    pub fn takes_request(&self, bytes: usize) -> bool {
        self.request_bytes + self.answer_bytes + bytes <= self.max_bytes
    }

    /// Returns whether an answer to a caller on this connection is read on at once. One of which
    /// nothing is held always is, so that each caller makes progress.
    pub fn reads_answer(&self, connection: SocketAddr) -> bool {
        let held = self.by_connection.get(&connection).copied().unwrap_or(0);
        held == 0
            || (held < self.part(CONNECTION_RATIO)
                && self.answer_bytes < self.part(ANSWERS_RATIO)
                && self.takes_request(0))
    }

    /// Returns whether an answer that was not read for [`MAX_READ_PAUSE_MS`] is read on a little.
    pub fn reads_waiting_answer(&self) -> bool {
        self.answer_bytes < self.part(WAITING_RATIO) && self.takes_request(0)
    }

    /// Returns whether a further large answer may be asked for, while those in `large` are being
    /// read.
    pub fn admits_large_answer(&self, large: &LargeAnswers) -> bool {
        let expected_bytes = f64::from(large.total + 1) * large.expected_bytes;
        // An instance with little memory still serves one at a time.
        (large.total == 0 && self.answer_bytes == 0)
            || self.answer_bytes as f64 + expected_bytes <= self.part(ADMITTED_RATIO) as f64
    }

    /// Adds bytes that are held from now on.
    pub fn add(&mut self, kind: BodyKind, connection: SocketAddr, bytes: usize) {
        match kind {
            BodyKind::Request => self.request_bytes += bytes,
            BodyKind::Answer => {
                self.answer_bytes += bytes;
                *self.by_connection.entry(connection).or_default() += bytes;
            }
        }
    }

    /// Takes away bytes that were added and are no longer held.
    pub fn remove(&mut self, kind: BodyKind, connection: SocketAddr, bytes: usize) {
        match kind {
            BodyKind::Request => self.request_bytes -= bytes,
            BodyKind::Answer => {
                self.answer_bytes -= bytes;
                if let Some(held) = self.by_connection.get_mut(&connection) {
                    *held -= bytes;
                    if *held == 0 {
                        self.by_connection.remove(&connection);
                    }
                }
            }
        }
    }

    fn part(&self, ratio: f64) -> usize {
        (self.max_bytes as f64 * ratio) as usize
    }
}

/// Returns after what time the caller of a large answer that was refused for want of memory may come
/// back, in milliseconds.
pub fn large_answer_retry_ms(seed: u64) -> u64 {
    RETRY_AFTER_MS + seed % RETRY_SPREAD_MS
}

/// Large answers that an instance has asked for and not read completely, by server.
#[derive(Debug, Clone)]
pub struct LargeAnswers {
    by_server: HashMap<BackendServerName, u32>,
    total: u32,
    expected_bytes: f64,
    last_refused_at: Option<Instant>,
}

impl Default for LargeAnswers {
    fn default() -> LargeAnswers {
        LargeAnswers {
            by_server: HashMap::new(),
            total: 0,
            expected_bytes: FIRST_EXPECTED_BYTES,
            last_refused_at: None,
        }
    }
}

impl LargeAnswers {
    /// Returns the servers that send this instance as many large answers as they have slots. A
    /// further one would wait in the memory of the server.
    pub fn full_servers(
        &self,
        slots: impl Fn(&BackendServerName) -> Option<u32>,
    ) -> Vec<BackendServerName> {
        let is_full = |(server, count): &(&BackendServerName, &u32)| {
            slots(server).is_some_and(|slots| **count >= slots.max(1))
        };
        self.by_server.iter().filter(is_full).map(|(server, _)| server.clone()).collect()
    }

    /// Records that a server was asked for a large answer.
    pub fn record_start(&mut self, server: &BackendServerName) {
        *self.by_server.entry(server.clone()).or_default() += 1;
        self.total += 1;
    }

    /// Records that an answer was read completely, `bytes` in all, or has ended otherwise.
    pub fn record_end(&mut self, server: &BackendServerName, bytes: Option<usize>) {
        if let Some(count) = self.by_server.get_mut(server) {
            *count -= 1;
            self.total -= 1;
            if *count == 0 {
                self.by_server.remove(server);
            }
        }
        if let Some(bytes) = bytes {
            self.expected_bytes += (bytes as f64 - self.expected_bytes) * EXPECTED_WEIGHT;
        }
    }

    /// Records a refusal. Returns whether it is the first one for a second, which is logged.
    pub fn record_refusal(&mut self, now: Instant) -> bool {
        let is_first = self.last_refused_at.is_none_or(|at| now.since_ms(at) >= 1_000);
        if is_first {
            self.last_refused_at = Some(now);
        }
        is_first
    }
}
