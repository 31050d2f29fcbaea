//! A bounded queue of log lines and the thread that writes them.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Longest line; the rest is cut off, so that the memory of the queue is bounded.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// End of a truncated line.
const TRUNCATION_MARK: &[u8] = b"...\n";

#[derive(Default)]
struct Counts {
    pending: AtomicU64,
    dropped: AtomicU64,
}

/// A writer that queues lines and never blocks. Clones share the queue; the thread ends after the
/// last clone is dropped.
#[derive(Clone)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl LineQueue {
    /// Starts a thread that writes the lines to `sink`. The queue holds at most `capacity` lines.
    pub fn spawn(sink: impl Write + Send + 'static, capacity: usize) -> io::Result<LineQueue> {
        let (sender, receiver) = sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        let thread_counts = counts.clone();
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(sink, &receiver, &thread_counts))?;
        Ok(LineQueue { sender, counts })
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped_lines(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of lines that are queued or being written.
    pub fn pending_lines(&self) -> u64 {
        self.counts.pending.load(Ordering::Acquire)
    }
}

impl Write for LineQueue {
    /// Queues `line`, which must be one complete line, or drops it if the queue is full.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut queued = line[..line.len().min(MAX_LINE_BYTES)].to_vec();
        if queued.len() < line.len() {
            queued.extend_from_slice(TRUNCATION_MARK);
        }
        self.counts.pending.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(queued).is_err() {
            self.counts.pending.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut sink: impl Write, lines: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut reported = 0;
    for line in lines {
        // A line that can't be written, for example to a closed pipe, counts as dropped too.
        if sink.write_all(&line).is_err() {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        let dropped = counts.dropped.load(Ordering::Relaxed);
        if dropped > reported {
            let text =
                format!("log: {} lines were dropped, {dropped} in total\n", dropped - reported);
            if sink.write_all(text.as_bytes()).is_ok() {
                reported = dropped;
            }
        }
        counts.pending.fetch_sub(1, Ordering::AcqRel);
    }
}
