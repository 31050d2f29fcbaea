//! A request that is served beside the ones ahead of it on its connection.
//!
//! A `hyper` connection of its own reads the request from memory and writes the response to
//! memory, so that parsing and framing are the same as for any other request.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
};

use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    rt::{Read, ReadBufCursor, Write},
    server::conn::http1,
    service::HttpService,
};
use tokio::task::{AbortHandle, spawn_local};

use crate::forward::ResponseBody;

/// Most bytes of a response that are held until those ahead of it are passed on.
const MAX_HELD_RESPONSE_BYTES: usize = 64 * 1024;

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The response is complete and the connection may go on.
    Answered,
    /// The response closes the connection, or it is not complete.
    Closed,
}

/// Body of a response that notes its end.
pub struct TrackedBody {
    body: ResponseBody,
    is_done: Rc<Cell<bool>>,
}

impl TrackedBody {
    /// Sets `is_done` when `body` is dropped, which `hyper` does after the last frame.
    pub fn new(body: ResponseBody, is_done: Rc<Cell<bool>>) -> TrackedBody {
        TrackedBody { body, is_done }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.is_done.set(true);
    }
}

impl Body for TrackedBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<bytes::Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Bytes of an exchange in both directions.
#[derive(Default)]
struct Buffers {
    request: Vec<u8>,
    read: usize,
    response: Vec<u8>,
    end: Option<ExchangeEnd>,
    is_flushed: bool,
    is_body_done: Rc<Cell<bool>>,
    /// Wakes the exchange when there is room for its response again.
    writer: Option<Waker>,
    /// Wakes the connection when there are bytes to pass on.
    connection: Option<Waker>,
}

impl Buffers {
    fn wake_connection(&mut self) {
        if let Some(waker) = self.connection.take() {
            waker.wake();
        }
    }
}

/// A request in progress. Dropping it cancels the request.
pub struct Exchange {
    buffers: Rc<RefCell<Buffers>>,
    task: AbortHandle,
    /// Length of the request.
    pub request_bytes: usize,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Exchange {
    /// Serves `request`, which is exactly one request. `service` gets the flag that the body of its
    /// response sets at its end.
    pub fn spawn<S>(
        request: Vec<u8>,
        max_head_bytes: usize,
        service: impl FnOnce(Rc<Cell<bool>>) -> S,
    ) -> Exchange
    where
        S: HttpService<Incoming, ResBody = TrackedBody> + 'static,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let request_bytes = request.len();
        let buffers = Rc::new(RefCell::new(Buffers { request, ..Buffers::default() }));
        let service = service(buffers.borrow().is_body_done.clone());
        let task = spawn_local(run(buffers.clone(), max_head_bytes, service));
        Exchange { buffers, task: task.abort_handle(), request_bytes }
    }

    /// Has the connection woken when there are bytes to pass on, or at the end.
    pub fn set_waker(&self, waker: &Waker) {
        let mut buffers = self.buffers.borrow_mut();
        match &mut buffers.connection {
            Some(current) => current.clone_from(waker),
            None => buffers.connection = Some(waker.clone()),
        }
    }

    /// Returns how the exchange ended, or `None` if it goes on.
    pub fn end(&self) -> Option<ExchangeEnd> {
        self.buffers.borrow().end
    }

    /// Passes bytes of the response on with `write` until there are none or `write` has no room.
    pub fn pass_on(
        &self,
        mut write: impl FnMut(&[u8]) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<()>> {
        let mut buffers = self.buffers.borrow_mut();
        let mut written = 0;
        let result = loop {
            if written == buffers.response.len() {
                break Poll::Ready(Ok(()));
            }
            match write(&buffers.response[written..]) {
                Poll::Ready(Ok(0)) => {
                    break Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
                }
                Poll::Ready(Ok(len)) => written += len,
                Poll::Ready(Err(e)) => break Poll::Ready(Err(e)),
                Poll::Pending => break Poll::Pending,
            }
        };
        buffers.response.drain(..written);
        if written > 0
            && let Some(writer) = buffers.writer.take()
        {
            writer.wake();
        }
        result
    }
}

/// Marks an exchange as closed if its task ends without a result, as after a panic.
struct EndGuard(Rc<RefCell<Buffers>>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        let mut buffers = self.0.borrow_mut();
        buffers.end.get_or_insert(ExchangeEnd::Closed);
        buffers.wake_connection();
    }
}

async fn run<S>(buffers: Rc<RefCell<Buffers>>, max_head_bytes: usize, service: S)
where
    S: HttpService<Incoming, ResBody = TrackedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let guard = EndGuard(buffers.clone());
    // The head is complete, so it needs no time limit.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes)
        .serve_connection(ExchangeIo(buffers.clone()), service);
    let mut connection = pin!(connection);
    let end = poll_fn(|cx| {
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            if let Err(e) = result {
                log::debug!("listen: a pipelined request ended early; error={e}");
            }
            return Poll::Ready(ExchangeEnd::Closed);
        }
        match buffers.borrow().is_flushed {
            true => Poll::Ready(ExchangeEnd::Answered),
            false => Poll::Pending,
        }
    })
    .await;
    buffers.borrow_mut().end = Some(end);
    drop(guard);
}

/// The side of the buffers that `hyper` uses.
struct ExchangeIo(Rc<RefCell<Buffers>>);

impl Read for ExchangeIo {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut out: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut buffers = self.0.borrow_mut();
        let rest = &buffers.request[buffers.read..];
        if rest.is_empty() {
            return Poll::Pending;
        }
        let len = rest.len().min(out.remaining());
        out.put_slice(&rest[..len]);
        buffers.read += len;
        if buffers.read == buffers.request.len() {
            buffers.request = Vec::new();
            buffers.read = 0;
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ExchangeIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffers = self.0.borrow_mut();
        let room = MAX_HELD_RESPONSE_BYTES.saturating_sub(buffers.response.len());
        if room == 0 {
            buffers.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let len = bytes.len().min(room);
        buffers.response.extend_from_slice(&bytes[..len]);
        buffers.wake_connection();
        Poll::Ready(Ok(len))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut buffers = self.0.borrow_mut();
        buffers.is_flushed |= buffers.is_body_done.get();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A request and its response as `hyper` handles them.
pub type Answer = Response<TrackedBody>;

/// A request as handlers get it.
pub type IncomingRequest = Request<Incoming>;
