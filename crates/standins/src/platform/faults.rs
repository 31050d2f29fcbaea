//! Faults of the platform stand-in, which tests change while it runs, and counts of its calls.

use std::time::Duration;

/// Faults in force. The default has none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call is answered with 503 and has no effect.
    pub down: bool,
    /// Time added before each call takes effect.
    pub delay: Duration,
    /// Writes take effect and are answered with 504, like by a gateway that lost the answer.
    pub lose_write_replies: bool,
    /// Reads are answered with 504.
    pub lose_read_replies: bool,
    /// Objects can be written, but reads answer 404.
    pub hide_objects: bool,
}

/// Calls that reached the stand-in, including those that a fault made fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads of rows, objects and the instance list.
    pub reads: u64,
    /// Writes of rows and objects.
    pub writes: u64,
}

impl Counts {
    /// Returns the calls since an earlier count.
    pub fn since(self, earlier: Counts) -> Counts {
        Counts {
            reads: self.reads.saturating_sub(earlier.reads),
            writes: self.writes.saturating_sub(earlier.writes),
        }
    }

    pub(super) fn add(&mut self, method: &str) {
        match method {
            "GET" => self.reads += 1,
            _ => self.writes += 1,
        }
    }
}
