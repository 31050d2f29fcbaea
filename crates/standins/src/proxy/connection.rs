//! One forwarded connection.

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

/// Size of the pieces that are read and forwarded.
const PIECE_BYTES: usize = 64 * 1024;

/// Pieces of one direction that wait for their turn; more stay with the sender.
const MAX_WAITING_PIECES: usize = 64;

/// Period in which a writer that its receiver blocks looks whether the connection was closed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);

pub(super) struct Connection {
    caller: TcpStream,
    target: TcpStream,
    source: Option<IpAddr>,
    closed: AtomicBool,
}

/// Bytes that arrived; an empty piece is the end of the stream.
struct Piece {
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
            let (sender, receiver) = sync_channel(MAX_WAITING_PIECES);
            let reading = connection.clone();
            let waker = shared.clone();
            thread::Builder::new().name("proxy-read".to_owned()).spawn(move || {
                read_pieces(&reading, direction, &sender);
                waker.wake();
            })?;
            let (writing, shared) = (connection.clone(), shared.clone());
            thread::Builder::new().name("proxy-write".to_owned()).spawn(move || {
                write_pieces(&shared, &writing, direction, &receiver);
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

    /// Makes all threads of the connection end and closes it in order.
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in [&self.caller, &self.target] {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn read_pieces(connection: &Connection, direction: Direction, sender: &SyncSender<Piece>) {
    let (mut from, _) = connection.ends(direction);
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        match from.read(&mut buffer) {
            Ok(read) => {
                let piece = Piece { arrived: Instant::now(), bytes: buffer[..read].to_vec() };
                if connection.is_closed() || sender.send(piece).is_err() || read == 0 {
                    return;
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return connection.reset(),
        }
    }
}

fn write_pieces(
    shared: &Shared,
    connection: &Connection,
    direction: Direction,
    pieces: &Receiver<Piece>,
) {
    let (_, to) = connection.ends(direction);
    let mut forwarded = 0;
    for piece in pieces {
        let turn = shared
            .wait_for_turn(direction, connection.source, piece.arrived, || connection.is_closed());
        let Some(way) = turn else { return };
        if way.cut {
            continue;
        }
        if piece.bytes.is_empty() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        let limit = way.cut_after_bytes.unwrap_or(u64::MAX);
        let room = usize::try_from(limit.saturating_sub(forwarded)).unwrap_or(usize::MAX);
        let bytes = &piece.bytes[..piece.bytes.len().min(room)];
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
