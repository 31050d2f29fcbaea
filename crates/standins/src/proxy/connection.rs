//! A forwarded connection and the threads that copy its bytes.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{IpAddr, Shutdown, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Direction, faults::Shared};

/// Largest chunk that is read and forwarded at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks of one direction that are queued at most. While the queue is full nothing more is read.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Period in which a blocked writer checks whether the connection was closed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);

pub(super) struct Connection {
    caller: TcpStream,
    target: TcpStream,
    source: Option<IpAddr>,
    closed: AtomicBool,
}

/// Bytes that arrived together; an empty chunk is the end of the stream.
struct Chunk {
    arrived: Instant,
    bytes: Vec<u8>,
}

impl Connection {
    pub fn spawn(
        shared: &Arc<Shared>,
        caller: TcpStream,
        target: TcpStream,
        source: Option<IpAddr>,
    ) -> io::Result<()> {
        for stream in [&caller, &target] {
            stream.set_nodelay(true)?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        }
        let closed = AtomicBool::new(false);
        let connection = Arc::new(Connection { caller, target, source, closed });
        shared.register(&connection);
        for direction in [Direction::ToTarget, Direction::ToCaller] {
            let (sender, receiver) = sync_channel(MAX_QUEUED_CHUNKS);
            let reading = connection.clone();
            let waker = shared.clone();
            thread::Builder::new().name("proxy-read".to_owned()).spawn(move || {
                read_chunks(&reading, direction, &sender);
                waker.wake();
            })?;
            let (writing, shared) = (connection.clone(), shared.clone());
            thread::Builder::new().name("proxy-write".to_owned()).spawn(move || {
                write_chunks(&shared, &writing, direction, &receiver);
                shared.wake();
            })?;
        }
        Ok(())
    }

    fn ends(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::ToTarget => (&self.caller, &self.target),
            Direction::ToCaller => (&self.target, &self.caller),
        }
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Makes all threads of the connection end; the last one closes it with a reset.
    pub fn reset(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in [&self.caller, &self.target] {
            // With a linger time of zero, closing sends a reset. Shutting the reading side down
            // wakes the reader and sends nothing.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    /// Makes all threads of the connection end and closes it without a reset.
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in [&self.caller, &self.target] {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn read_chunks(connection: &Connection, direction: Direction, sender: &SyncSender<Chunk>) {
    let (mut from, _) = connection.ends(direction);
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        match from.read(&mut buffer) {
            Ok(read) => {
                let chunk = Chunk { arrived: Instant::now(), bytes: buffer[..read].to_vec() };
                if connection.is_closed() || sender.send(chunk).is_err() || read == 0 {
                    return;
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return connection.reset(),
        }
    }
}

fn write_chunks(
    shared: &Shared,
    connection: &Connection,
    direction: Direction,
    chunks: &Receiver<Chunk>,
) {
    let (_, to) = connection.ends(direction);
    let mut forwarded = 0;
    for chunk in chunks {
        let due = shared
            .wait_until_due(direction, connection.source, chunk.arrived, || connection.is_closed());
        let Some(faults) = due else { return };
        if faults.cut {
            continue;
        }
        if chunk.bytes.is_empty() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        let limit = faults.cut_after_bytes.unwrap_or(u64::MAX);
        let room = usize::try_from(limit.saturating_sub(forwarded)).unwrap_or(usize::MAX);
        let bytes = &chunk.bytes[..chunk.bytes.len().min(room)];
        if !write_all(connection, to, bytes) {
            return connection.reset();
        }
        forwarded += bytes.len() as u64;
        shared.forwarded_bytes(direction).fetch_add(bytes.len() as u64, Ordering::SeqCst);
        if forwarded >= limit {
            return connection.close();
        }
    }
}

/// Tells whether all bytes were written before the connection was closed.
fn write_all(connection: &Connection, mut to: &TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        if connection.is_closed() {
            return false;
        }
        match to.write(bytes) {
            Ok(0) => return false,
            Ok(written) => bytes = &bytes[written..],
            Err(e) => match e.kind() {
                ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut => {}
                _ => return false,
            },
        }
    }
    true
}
