//! Connections whose callers send requests before the earlier ones are answered.
//!
//! A connection is served by one `hyper` connection, as in [`super::serve`], through a
//! [`source::Source`] that gives it one request at a time. What comes behind the request in
//! progress is held. Whole requests there that [`PipelinePolicy::overlap`] allows start at once, each as an [`exchange::Exchange`], and their responses are passed on in the order of the
//! requests. All other requests wait until those ahead of them are answered.

mod boundaries;
mod exchange;
mod source;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use http::{HeaderValue, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::HttpService, service::service_fn};
use hyper_util::rt::TokioTimer;
use tokio::{net::TcpStream, sync::watch, time::timeout};

pub use boundaries::RequestTarget;

use super::{
    ListenLimits, MIN_HEAD_BYTES, StopPhase, caller_stream, reset::ResetsAtEnd,
    wait_for_grace_period,
};
use crate::forward::ResponseBody;
use boundaries::parse_target;
use exchange::{Answer, Exchange, ExchangeEnd, IncomingRequest, TrackedBody};
use source::{Source, SourceIo, whole_request_len};

/// Most requests of a connection that run at the same time.
const MAX_REQUESTS: usize = 8;

/// Most bytes of the requests that run beside the first one.
const MAX_EXCHANGE_BYTES: usize = 64 * 1024;

/// Longest time for which bytes are read and discarded after a response that closes the connection.
/// Closing at once, with unread bytes, would make the kernel discard the response at the caller.
const DISCARD_PERIOD: Duration = Duration::from_millis(300);

/// How a request may run together with others of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overlap {
    /// It starts when all those ahead of it are answered, and none behind it starts before it is
    /// answered. This holds for requests that run at most once.
    Alone,
    /// It starts when all those ahead of it are answered, but others may start behind it. Its
    /// response is too large to be held.
    FirstOnly,
    /// It may start before those ahead of it are answered, and may be cancelled and sent again.
    Beside,
}

/// Decides on pipelined requests, and counts them.
pub trait PipelinePolicy {
    /// Returns how a request may run together with others.
    fn overlap(&self, target: &RequestTarget) -> Overlap;

    /// Notes that a request starts before those ahead of it are answered.
    fn record_start(&self);

    /// Notes that `count` such requests were cancelled before they were answered.
    fn record_cancelled(&self, count: usize);
}

/// What the requests of a connection share.
struct Control {
    /// Number of the last request that has started.
    last_started: Cell<u64>,
    /// Whether a response asked to close the connection, or one was broken off.
    is_closing: Cell<bool>,
}

impl Control {
    fn start(&self) -> u64 {
        self.last_started.set(self.last_started.get() + 1);
        self.last_started.get()
    }

    /// Puts a close off until the last request that has started is answered, because requests that
    /// run must not be cut.
    fn adapt_close<B>(&self, number: u64, response: &mut Response<B>) {
        let headers = response.headers_mut();
        let is_close = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
        if headers.get(header::CONNECTION).is_some_and(is_close) {
            self.is_closing.set(true);
        }
        if !self.is_closing.get() {
            return;
        }
        if number < self.last_started.get() {
            headers.remove(header::CONNECTION);
        } else {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

/// Requests of one connection, the first of which `hyper` serves on the socket itself.
struct Pipeline<H> {
    source: Rc<RefCell<Source>>,
    control: Rc<Control>,
    exchanges: VecDeque<Exchange>,
    handler: Rc<H>,
    policy: Rc<dyn PipelinePolicy>,
    stop: watch::Receiver<StopPhase>,
    peer: SocketAddr,
    max_head_bytes: usize,
    /// Number of the request for which `first_may_overlap` was determined.
    first_number: u64,
    first_may_overlap: bool,
    must_shut_down: bool,
    /// Whether no request was in progress when the planned stop closed the connection.
    was_idle: bool,
    resets_at_end: ResetsAtEnd,
}

/// Serves one connection until it ends.
pub async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ListenLimits,
    handler: Rc<H>,
    policy: Rc<dyn PipelinePolicy>,
    mut stop: watch::Receiver<StopPhase>,
) where
    H: Fn(IncomingRequest, SocketAddr) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let max_head_bytes = limits.max_head_bytes.max(MIN_HEAD_BYTES);
    let (stream, resets_at_end) = caller_stream(stream);
    let source = Rc::new(RefCell::new(Source::new(stream, max_head_bytes)));
    let control = Rc::new(Control { last_started: Cell::new(0), is_closing: Cell::new(false) });
    let service = {
        let (source, control, handler) = (source.clone(), control.clone(), handler.clone());
        let is_done = source.borrow().is_body_done.clone();
        service_fn(move |request: IncomingRequest| {
            source.borrow_mut().begin_request(&request);
            answer(&*handler, request, peer, control.clone(), control.start(), is_done.clone())
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(max_head_bytes)
        .serve_connection(SourceIo(source.clone()), service);
    let mut connection = std::pin::pin!(connection);
    let mut pipeline = Pipeline {
        source,
        control,
        exchanges: VecDeque::new(),
        handler,
        policy,
        stop: stop.clone(),
        peer,
        max_head_bytes,
        first_number: 0,
        first_may_overlap: false,
        must_shut_down: false,
        was_idle: false,
        resets_at_end,
    };
    let reason = tokio::select! {
        reason = poll_fn(|cx| pipeline.poll(cx, connection.as_mut())) => reason,
        _ = wait_for_grace_period(&mut stop) => {
            pipeline.must_shut_down = true;
            pipeline.was_idle = pipeline.is_idle();
            pipeline.control.is_closing.set(true);
            poll_fn(|cx| pipeline.poll(cx, connection.as_mut())).await
        }
    };
    pipeline.cancel_from(0, reason);
    pipeline.discard_rest().await;
}

/// Calls the handler for a request with this number.
fn answer<H, F>(
    handler: &H,
    request: IncomingRequest,
    peer: SocketAddr,
    control: Rc<Control>,
    number: u64,
    is_done: Rc<Cell<bool>>,
) -> impl Future<Output = Result<Answer, Infallible>> + use<H, F>
where
    H: Fn(IncomingRequest, SocketAddr) -> F,
    F: Future<Output = Response<ResponseBody>>,
{
    let response = handler(request, peer);
    async move {
        let mut response = response.await;
        control.adapt_close(number, &mut response);
        Ok(response.map(|body| TrackedBody::new(body, is_done)))
    }
}

impl<H, F> Pipeline<H>
where
    H: Fn(IncomingRequest, SocketAddr) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    /// Serves the connection. Is ready at its end, with the reason for which requests that still
    /// run are cancelled.
    fn poll<S>(
        &mut self,
        cx: &mut Context<'_>,
        mut first: Pin<&mut http1::Connection<SourceIo, S>>,
    ) -> Poll<&'static str>
    where
        S: HttpService<Incoming, ResBody = TrackedBody>,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        loop {
            if self.exchanges.is_empty() || self.source.borrow().is_busy() {
                let was_busy = self.source.borrow().is_busy();
                if let Poll::Ready(result) = first.as_mut().poll(cx) {
                    return Poll::Ready(self.first_ended(result));
                }
                let source = self.source.borrow();
                if self.exchanges.is_empty() && !source.is_at_next_request() && !self.must_shut_down
                {
                    if was_busy && !source.is_busy() && !source.held().is_empty() {
                        continue;
                    }
                    return Poll::Pending;
                }
            }
            if self.must_shut_down && self.exchanges.is_empty() {
                if let Poll::Ready(result) = self.shut_down(cx, first.as_mut()) {
                    return Poll::Ready(self.first_ended(result));
                }
                continue;
            }
            let is_front = !self.source.borrow().is_busy();
            let mut has_progress = false;
            if !self.exchanges.is_empty() {
                self.cancel_behind_closed();
                if is_front {
                    match self.poll_front(cx) {
                        Ok(progress) => has_progress = progress,
                        Err(reason) => return Poll::Ready(reason),
                    }
                }
            }
            has_progress |= self.start_exchanges();
            if !has_progress {
                for exchange in &self.exchanges {
                    exchange.set_waker(cx.waker());
                }
                return Poll::Pending;
            }
        }
    }

    fn is_idle(&self) -> bool {
        let source = self.source.borrow();
        self.exchanges.is_empty() && !source.is_busy() && source.held().is_empty()
    }

    fn first_ended(&self, result: hyper::Result<()>) -> &'static str {
        match result {
            Err(e) => {
                // The body of an answer broke off. On a connection that is split all answers state
                // their length, and a reset could take earlier ones from the caller.
                if e.is_user() && self.source.borrow().is_unsplit() {
                    self.resets_at_end.set();
                }
                log::debug!("listen: a connection ended early; peer={} error={e}", self.peer);
                if self.source.borrow().is_at_eof() { "caller-left" } else { "broken-off" }
            }
            Ok(()) => "closed",
        }
    }

    /// Closes the connection as soon as the request in progress is answered, or at once.
    fn shut_down<S>(
        &mut self,
        cx: &mut Context<'_>,
        mut first: Pin<&mut http1::Connection<SourceIo, S>>,
    ) -> Poll<hyper::Result<()>>
    where
        S: HttpService<Incoming, ResBody = TrackedBody>,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        self.must_shut_down = false;
        let has_partial_head = {
            let source = self.source.borrow();
            !source.is_busy() && !source.held().is_empty()
        };
        if has_partial_head {
            // `hyper` lets a request complete of which it has got a part.
            self.source.borrow_mut().stop_splitting();
            if let Poll::Ready(result) = first.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
        }
        first.graceful_shutdown();
        Poll::Pending
    }

    /// Passes on the response of the oldest exchange, which is next on the connection. Returns
    /// whether it is complete, or the reason for which the connection ends.
    fn poll_front(&mut self, cx: &mut Context<'_>) -> Result<bool, &'static str> {
        let mut source = self.source.borrow_mut();
        if source.poll_hold(cx).is_ready() {
            return Err("caller-left");
        }
        let Some(front) = self.exchanges.front() else { return Ok(false) };
        match front.pass_on(|bytes| source.poll_write(cx, bytes)) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(_)) => return Err("caller-left"),
            Poll::Pending => return Ok(false),
        }
        match front.end() {
            None => Ok(false),
            Some(ExchangeEnd::Closed) => Err("closed"),
            Some(ExchangeEnd::Answered) => {
                self.exchanges.pop_front();
                source.is_paused = !self.exchanges.is_empty();
                Ok(true)
            }
        }
    }

    /// Starts the requests that may run beside those in progress. Returns whether there was one.
    fn start_exchanges(&mut self) -> bool {
        let mut has_started = false;
        while let Some(len) = self.next_len() {
            let mut source = self.source.borrow_mut();
            let request = source.take_held(len);
            source.is_paused = true;
            drop(source);
            let number = self.control.start();
            let (handler, control, peer) = (self.handler.clone(), self.control.clone(), self.peer);
            self.exchanges.push_back(Exchange::spawn(request, self.max_head_bytes, |is_done| {
                service_fn(move |request| {
                    answer(&*handler, request, peer, control.clone(), number, is_done.clone())
                })
            }));
            self.policy.record_start();
            has_started = true;
        }
        has_started
    }

    /// Returns the length of the next request if it may start now.
    fn next_len(&mut self) -> Option<usize> {
        let count = self.exchanges.len() + usize::from(self.source.borrow().is_busy());
        if count >= MAX_REQUESTS
            || self.control.is_closing.get()
            || !self.source.borrow().is_at_next_request()
        {
            return None;
        }
        if *self.stop.borrow() != StopPhase::Serving || !self.first_may_overlap() {
            return None;
        }
        let source = self.source.borrow();
        let len = whole_request_len(source.held(), self.max_head_bytes)?;
        let bytes: usize = self.exchanges.iter().map(|exchange| exchange.request_bytes).sum();
        if bytes + len > MAX_EXCHANGE_BYTES {
            return None;
        }
        let target = parse_target(&source.held()[..len])?;
        (self.policy.overlap(&target) == Overlap::Beside).then_some(len)
    }

    /// Returns whether the request on the socket itself, if there is one, may run beside others.
    fn first_may_overlap(&mut self) -> bool {
        let source = self.source.borrow();
        if !source.is_busy() {
            return true;
        }
        let number = self.control.last_started.get() - self.exchanges.len() as u64;
        if self.first_number != number {
            self.first_number = number;
            self.first_may_overlap =
                source.target.as_ref().is_some_and(|t| self.policy.overlap(t) != Overlap::Alone);
        }
        self.first_may_overlap
    }

    /// Cancels the requests behind the first response that closes the connection.
    fn cancel_behind_closed(&mut self) {
        let closed = |exchange: &Exchange| exchange.end() == Some(ExchangeEnd::Closed);
        if let Some(index) = self.exchanges.iter().position(closed) {
            self.control.is_closing.set(true);
            self.cancel_from(index + 1, "closed");
        }
    }

    fn cancel_from(&mut self, index: usize, reason: &'static str) {
        // An exchange at the front that has ended is the one whose response closed the connection.
        let is_open = |exchange: &&Exchange| exchange.end() != Some(ExchangeEnd::Closed);
        let count = self.exchanges.iter().skip(index).filter(is_open).count();
        self.exchanges.truncate(index);
        if count > 0 {
            log::info!(
                "listen: pipelined requests cancelled; peer={} count={count} reason={reason}",
                self.peer
            );
            self.policy.record_cancelled(count);
        }
    }

    /// Reads and discards what the caller has sent behind a response that closes the connection.
    async fn discard_rest(&self) {
        let source = &self.source;
        let must_discard = {
            let source = source.borrow();
            // What reaches an idle connection that closes was not read, so callers send it again.
            let is_behind_answer = self.control.is_closing.get() && !self.was_idle;
            let has_rest = is_behind_answer || !source.held().is_empty();
            source.is_pipelined && !source.is_at_eof() && has_rest
        };
        if !must_discard {
            return;
        }
        log::debug!("listen: requests behind a closing response dropped; peer={}", self.peer);
        let discarded = poll_fn(|cx| {
            let mut source = source.borrow_mut();
            std::task::ready!(source.poll_shutdown(cx))?;
            source.poll_discard(cx)
        });
        let _ = timeout(DISCARD_PERIOD, discarded).await;
    }
}
