//! Connections of callers that end with a reset if an answer broke off.
//!
//! An answer without a length to an HTTP/1.0 caller ends where its connection is closed. If it broke
//! off, only a reset tells the caller that a part is missing.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Decides how a [`CallerStream`] ends.
#[derive(Clone, Default)]
pub(super) struct ResetsAtEnd(Rc<Cell<bool>>);

impl ResetsAtEnd {
    /// Makes the connection end with a reset.
    pub(super) fn set(&self) {
        self.0.set(true);
    }
}

/// A connection of a caller.
pub(super) struct CallerStream {
    stream: TcpStream,
    resets_at_end: ResetsAtEnd,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, resets_at_end: ResetsAtEnd) -> CallerStream {
        CallerStream { stream, resets_at_end }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.resets_at_end.0.get() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
