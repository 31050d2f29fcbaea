//! Limit on the interim responses (1xx) that precede a response.
//!
//! The HTTP library skips interim responses and reads on without any limit. A faulty server that
//! sends them without end would occupy the only thread of the instance, and the timers of all other
//! requests would be late, see docs/incidents/2026-12-05-interim-heads-without-end.md.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
};

use http::Request;
use hyper::{body::Body, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Interim responses after which a connection breaks off. A server sends one at the start and may
/// report its progress from time to time.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// Number of interim responses since the last request on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct InterimCount(Arc<AtomicU32>);

impl InterimCount {
    /// Counts the interim responses to a request that is about to be sent, from zero.
    pub(crate) fn observe<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = self.0.clone();
        hyper::ext::on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }
}

/// Largest head of a response. It bounds the time that one connection takes from the others of the
/// thread.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Largest part of a response that is read at once. The HTTP library reads with a buffer that it
/// doubles from 8 KiB on while it is filled, and keeps it for as long as the connection lasts; with
/// this limit it stays at 16 KiB.
const MAX_READ_BYTES: usize = 12 * 1024;

/// Starts HTTP/1.1 on a stream. The connection has to be polled for as long as it is used, and each
/// request has to be observed by the counter.
pub(crate) async fn handshake<B>(
    stream: TcpStream,
) -> hyper::Result<(
    http1::SendRequest<B>,
    http1::Connection<TokioIo<LimitedStream>, B>,
    InterimCount,
)>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let interim = InterimCount::default();
    let stream = LimitedStream { stream, interim: interim.clone() };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok((sender, connection, interim))
}

/// A stream that reads nothing more once its server has sent too many interim responses. At most one
/// read buffer of them is parsed beyond the limit.
pub(crate) struct LimitedStream {
    stream: TcpStream,
    interim: InterimCount,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.interim.is_exceeded() {
            let text = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        if buffer.remaining() <= MAX_READ_BYTES {
            return Pin::new(&mut this.stream).poll_read(cx, buffer);
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(MAX_READ_BYTES));
        let polled = Pin::new(&mut this.stream).poll_read(cx, &mut part);
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        polled
    }
}

impl AsyncWrite for LimitedStream {
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
