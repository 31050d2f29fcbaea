//! A bounded queue of lines with a thread that writes them.

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

/// End of a line that was cut.
const CUT_MARK: &[u8] = b"...\n";

#[derive(Default)]
struct Counts {
    waiting: AtomicU64,
    dropped: AtomicU64,
}

/// Takes lines and never blocks. Clones share the queue; the thread ends after the last one is
/// dropped.
#[derive(Clone)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl LineQueue {
    /// Starts a thread that writes the lines to `sink`. At most `capacity` lines wait.
    pub fn spawn(sink: impl Write + Send + 'static, capacity: usize) -> io::Result<LineQueue> {
        let (sender, receiver) = sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        let writing = counts.clone();
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(sink, &receiver, &writing))?;
        Ok(LineQueue { sender, counts })
    }

    /// Returns the number of lines that were dropped so far.
    pub fn dropped_lines(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of lines that are not written yet.
    pub fn waiting_lines(&self) -> u64 {
        self.counts.waiting.load(Ordering::Acquire)
    }
}

impl Write for LineQueue {
    /// Takes one whole line. It is dropped when the queue is full.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut kept = line[..line.len().min(MAX_LINE_BYTES)].to_vec();
        if kept.len() < line.len() {
            kept.extend_from_slice(CUT_MARK);
        }
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(kept).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
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
        // A sink that fails, such as a closed pipe, loses the line like a full queue does.
        if sink.write_all(&line).is_err() {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        let dropped = counts.dropped.load(Ordering::Relaxed);
        if dropped > reported {
            let text =
                format!("log: {} lines were dropped, {dropped} in all\n", dropped - reported);
            if sink.write_all(text.as_bytes()).is_ok() {
                reported = dropped;
            }
        }
        counts.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
