//! Accepts connections and reads requests, one thread for each connection.

use std::{
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use pollenshed_protocol::backend::DRAINING_HEADER;

use super::{
    http::{self, Answer, Head},
    reports::{health_answer, load_answer},
    state::{Shared, WAKE_TIMEOUT},
    work,
};
use crate::port::HeldPort;

/// A bound port and the thread that accepts connections on it.
pub(super) struct Listening {
    /// Stays after a crash, so that no other process gets it before the restart.
    port: HeldPort,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Listening {
    pub fn bind(address: SocketAddr, shared: Arc<Shared>) -> io::Result<Listening> {
        let port = HeldPort::bind(address)?;
        let listener = port.listen()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = stopping.clone();
        let epoch = {
            let mut state = shared.lock();
            state.up = true;
            state.address = Some(port.address());
            state.epoch
        };
        let thread = thread::Builder::new()
            .name("backend-accept".to_owned())
            .spawn(move || accept(&listener, &shared, &stop, epoch))?;
        Ok(Listening { port, stopping, thread: Some(thread) })
    }

    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Stops listening and returns when the port is closed.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = TcpStream::connect_timeout(&self.address(), WAKE_TIMEOUT);
            let _ = thread.join();
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>, stop: &AtomicBool, epoch: u64) {
    let mut number = epoch << 32;
    for stream in listener.incoming() {
        // A crash that a marked request causes can't reach the `Listening`, so this thread checks
        // the epoch itself.
        if stop.load(Ordering::SeqCst) || shared.lock().epoch != epoch {
            return;
        }
        let Ok(stream) = stream else { continue };
        number += 1;
        if let Some(stream) = admit(shared, number, stream) {
            let shared = shared.clone();
            let builder = thread::Builder::new().name("backend-connection".to_owned());
            let _ = builder.spawn(move || {
                let _ = serve(&shared, &stream, epoch);
                let _ = stream.shutdown(Shutdown::Both);
                shared.lock().connections.remove(&number);
            });
        }
    }
}

fn admit(shared: &Shared, number: u64, stream: TcpStream) -> Option<TcpStream> {
    let copy = stream.try_clone().ok()?;
    let _ = stream.set_nodelay(true);
    let mut state = shared.lock();
    if state.faults.max_connections.is_some_and(|max| state.connections.len() >= max) {
        state.counts.refused_connections += 1;
        return None;
    }
    state.counts.connections += 1;
    state.connections.insert(number, copy);
    Some(stream)
}

fn serve(shared: &Shared, stream: &TcpStream, epoch: u64) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        let mut body = work::Body::default();
        if let Err(e) = http::read_body(&mut reader, &head, &mut |piece| body.add(piece)) {
            shared.lock().counts.incomplete += 1;
            return Err(e);
        }
        let Some((answer, cut_after)) = answer(shared, &head, body, epoch) else {
            return Ok(());
        };
        http::write_answer(&mut &*stream, &answer, &head, cut_after)?;
        if cut_after.is_some() || !head.keep_alive {
            return Ok(());
        }
    }
    Ok(())
}

/// Returns the answer and after how many bytes of its body it is cut; `None` after a crash.
fn answer(
    shared: &Shared,
    head: &Head,
    body: work::Body,
    epoch: u64,
) -> Option<(Answer, Option<usize>)> {
    let path = head.target.split('?').next().unwrap_or_default();
    let answer = match (head.method.as_str(), path) {
        ("GET", "/health") => return Some((health_answer(shared.lock().report()), None)),
        ("GET", "/load") => return Some((load_answer(shared.lock().report()), None)),
        ("POST", path) if path.starts_with("/cancel/") => {
            let id = &path["/cancel/".len()..];
            return Some((work::cancel(shared, id), None));
        }
        _ => work::run(shared, head, body, epoch)?,
    };
    let state = shared.lock();
    let draining = state.draining_since.is_some();
    let answer = if draining { answer.with_header(DRAINING_HEADER, "1") } else { answer };
    Some((answer, state.faults.cut_answers_after_bytes))
}
