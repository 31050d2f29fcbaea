//! The socket of a caller, which gives `hyper` one request at a time.
//!
//! Bytes behind a request in progress are held, so that `hyper` does not take them into its own
//! buffer, from which they could not be had again.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use http::{Request, header};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{
    super::reset::CallerStream,
    boundaries::{
        ChunkState, Framing, Head, RequestTarget, is_plain_head, may_end, parse_head,
        parsed_framing,
    },
};

/// Most bytes that one read of the socket returns.
const READ_BYTES: usize = 64 * 1024;

thread_local! {
    /// Buffer for the bytes of one read. All connections of a thread share it.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Position in the bytes that `hyper` gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// At the start of a request, or in a head that is not complete.
    Head,
    /// Behind a head that `hyper` has got and not parsed.
    Passed,
    /// In a body.
    Body(Framing),
    /// At the end of a request whose response is not complete.
    End,
    /// Unknown: all bytes go to `hyper` as they come.
    Unsplit,
}

/// Socket of a caller and the bytes that were read from it but not given to `hyper`.
pub struct Source {
    stream: CallerStream,
    position: Position,
    /// Bytes that were read but not passed on.
    held: Vec<u8>,
    /// Length of the start of `held` that belongs to the request in progress.
    released: usize,
    /// Length of the start of `held` in which no end of a head was found.
    searched: usize,
    max_held_bytes: usize,
    max_head_bytes: usize,
    is_at_eof: bool,
    /// Whether bytes ever came behind a request in progress.
    pub is_pipelined: bool,
    /// Whether requests behind the one of `hyper` are in progress, so that it gets no further one.
    pub is_paused: bool,
    /// Whether the body of the response in progress has ended.
    pub is_body_done: Rc<Cell<bool>>,
    is_answered: bool,
    /// Target of the request that `hyper` serves.
    pub target: Option<RequestTarget>,
}

impl Source {
    /// Creates the source of a new connection.
    pub fn new(stream: CallerStream, max_head_bytes: usize) -> Source {
        Source {
            stream,
            position: Position::Head,
            held: Vec::new(),
            released: 0,
            searched: 0,
            max_held_bytes: max_head_bytes,
            max_head_bytes,
            is_at_eof: false,
            is_pipelined: false,
            is_paused: false,
            is_body_done: Rc::default(),
            is_answered: false,
            target: None,
        }
    }

    /// Returns the bytes behind the request that `hyper` serves.
    pub fn held(&self) -> &[u8] {
        &self.held[self.released..]
    }

    /// Returns whether bytes are held behind a request that `hyper` has got completely.
    pub fn is_at_next_request(&self) -> bool {
        (self.position == Position::End || self.is_paused) && !self.held().is_empty()
    }

    /// Notes that `hyper` serves a request.
    pub fn begin_request<B>(&mut self, request: &Request<B>) {
        if self.position == Position::Passed {
            match parsed_framing(request) {
                Some(framing) => self.set_body(framing),
                None => self.stop_splitting(),
            }
        }
        if self.position != Position::Unsplit {
            self.target = Some(RequestTarget {
                method: request.method().clone(),
                uri: request.uri().clone(),
                host: request.headers().get(header::HOST).cloned(),
            });
        }
    }

    /// Returns whether `hyper` serves a request.
    pub fn is_busy(&self) -> bool {
        self.position != Position::Head
    }

    /// Returns whether all bytes go to `hyper` as they come.
    pub fn is_unsplit(&self) -> bool {
        self.position == Position::Unsplit
    }

    /// Returns whether the caller has closed its side.
    pub fn is_at_eof(&self) -> bool {
        self.is_at_eof
    }

    /// Takes the next `len` of the bytes that are held.
    pub fn take_held(&mut self, len: usize) -> Vec<u8> {
        let taken = self.held.drain(self.released..self.released + len).collect();
        self.free_held();
        taken
    }

    /// Gives `hyper` whatever comes from now on.
    pub fn stop_splitting(&mut self) {
        self.position = Position::Unsplit;
        self.released = self.held.len();
        self.target = None;
    }

    /// Goes on to the next request.
    fn end_request(&mut self) {
        self.position = Position::Head;
        self.is_answered = false;
        self.is_body_done.set(false);
        // It shares the read buffer of `hyper`, which an idle connection need not keep.
        self.target = None;
    }

    /// Reads what the caller sends behind the request in progress, up to the limit. Is ready only
    /// at the end of the connection.
    pub fn poll_hold(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.is_at_eof {
            let room = self.max_held_bytes.saturating_sub(self.held.len());
            if room == 0 {
                return Poll::Pending;
            }
            ready!(self.poll_read_socket(cx, room, |source, bytes| {
                source.is_pipelined = true;
                source.held.extend_from_slice(bytes);
            }))?;
        }
        Poll::Ready(Ok(()))
    }

    /// Reads at most `max` bytes and passes them to `take`.
    fn poll_read_socket(
        &mut self,
        cx: &mut Context<'_>,
        max: usize,
        take: impl FnOnce(&mut Source, &[u8]),
    ) -> Poll<io::Result<()>> {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let max = max.min(buffer.len());
            let mut buffer = ReadBuf::new(&mut buffer[..max]);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                self.is_at_eof = true;
            } else {
                take(self, buffer.filled());
            }
            Poll::Ready(Ok(()))
        })
    }

    /// Returns how many of `bytes`, which come next, belong to the request in progress. Is 0 for a
    /// head that is not complete.
    fn release(&mut self, bytes: &[u8]) -> usize {
        let mut released = 0;
        if self.position == Position::Head {
            if self.searched > 0 && !may_end(bytes, self.searched) {
                self.searched = bytes.len();
                if bytes.len() >= self.max_head_bytes {
                    self.position = Position::Unsplit;
                    return bytes.len();
                }
                return 0;
            }
            if is_plain_head(bytes) {
                self.searched = 0;
                self.position = Position::Passed;
                return bytes.len();
            }
            match parse_head(bytes) {
                Head::Partial if bytes.len() < self.max_head_bytes => {
                    self.searched = bytes.len();
                    return 0;
                }
                Head::Complete { len, framing } => {
                    released = len;
                    self.position = Position::Body(framing);
                }
                Head::Partial | Head::Unusual => self.position = Position::Unsplit,
            }
            self.searched = 0;
        }
        let rest = &bytes[released..];
        match self.position {
            Position::Body(Framing::Length(left)) => {
                let taken = left.min(rest.len() as u64);
                released += taken as usize;
                self.set_body(Framing::Length(left - taken));
            }
            Position::Body(Framing::Chunked(state)) => match state.advance(rest) {
                Ok((taken, state)) => {
                    released += taken;
                    self.set_body(state.map_or(Framing::Length(0), Framing::Chunked));
                }
                Err(_) => self.position = Position::Unsplit,
            },
            _ => {}
        }
        if self.position == Position::Unsplit { bytes.len() } else { released }
    }

    fn set_body(&mut self, framing: Framing) {
        match framing {
            Framing::Length(0) if self.is_answered => self.end_request(),
            Framing::Length(0) => self.position = Position::End,
            left => self.position = Position::Body(left),
        }
    }

    fn pass_on(&mut self, out: &mut ReadBufCursor<'_>) {
        let len = self.released.min(out.remaining());
        out.put_slice(&self.held[..len]);
        self.held.drain(..len);
        self.released -= len;
        self.free_held();
    }

    /// Frees the memory of the held bytes once there are none, as few connections need it.
    fn free_held(&mut self) {
        if self.held.is_empty() {
            self.held = Vec::new();
        }
    }

    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        mut out: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.released > 0 {
                self.pass_on(&mut out);
                return Poll::Ready(Ok(()));
            }
            if self.position == Position::End || self.is_paused {
                return self.poll_hold(cx);
            }
            if self.position == Position::Passed {
                self.stop_splitting();
            }
            if self.position == Position::Unsplit {
                return Pin::new(&mut TokioIo::new(&mut self.stream)).poll_read(cx, out);
            }
            if !self.held.is_empty() {
                let held = std::mem::take(&mut self.held);
                self.released = self.release(&held);
                self.is_pipelined |= self.released > 0 && self.released < held.len();
                self.held = held;
                if self.released > 0 {
                    continue;
                }
            }
            if self.is_at_eof {
                self.stop_splitting();
                if self.held.is_empty() {
                    return Poll::Ready(Ok(()));
                }
                continue;
            }
            let is_new = self.held.is_empty();
            let room = out.remaining();
            let mut is_passed_on = false;
            ready!(self.poll_read_socket(cx, room, |source, bytes| {
                let released = if is_new { source.release(bytes) } else { 0 };
                out.put_slice(&bytes[..released]);
                source.held.extend_from_slice(&bytes[released..]);
                source.is_pipelined |= released > 0 && released < bytes.len();
                is_passed_on = released > 0;
            }))?;
            if is_passed_on {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Writes to the caller.
    pub fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    /// Ends the caller's connection in the direction of the responses.
    pub fn poll_shutdown(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    /// Reads and discards bytes until the end of the connection.
    pub fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.is_at_eof {
            ready!(self.poll_read_socket(cx, READ_BYTES, |_, _| ()))?;
        }
        Poll::Ready(Ok(()))
    }

    /// `hyper` flushes only when it has written all that it has, so the response is complete if its
    /// body has ended.
    fn note_flush(&mut self) {
        if self.is_body_done.get() {
            self.is_answered = true;
            if self.position == Position::End {
                self.end_request();
            }
        }
    }
}

/// The side of a [`Source`] that `hyper` uses.
pub struct SourceIo(pub Rc<RefCell<Source>>);

impl Read for SourceIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(cx, out)
    }
}

impl Write for SourceIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.borrow_mut().poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut source = self.0.borrow_mut();
        ready!(Pin::new(&mut source.stream).poll_flush(cx))?;
        source.note_flush();
        // With its response flushed, `hyper` would wait for the next head and count the idle time
        // while requests behind that response run.
        if source.is_paused && !source.is_busy() { Poll::Pending } else { Poll::Ready(Ok(())) }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(cx, parts)
    }
}

/// Returns the length of the request at the start of `bytes` if it is complete and may be served
/// beside others.
pub fn whole_request_len(bytes: &[u8], max_head_bytes: usize) -> Option<usize> {
    let Head::Complete { len, framing } = parse_head(bytes) else { return None };
    if len > max_head_bytes {
        return None;
    }
    match framing {
        Framing::Length(body) => {
            let end = len.checked_add(usize::try_from(body).ok()?)?;
            (end <= bytes.len()).then_some(end)
        }
        Framing::Chunked(state) => chunked_end(state, &bytes[len..]).map(|body| len + body),
    }
}

fn chunked_end(state: ChunkState, bytes: &[u8]) -> Option<usize> {
    match state.advance(bytes) {
        Ok((len, None)) => Some(len),
        _ => None,
    }
}
