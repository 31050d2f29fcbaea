//! Serves one connection and enforces its timeouts.

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue, TRANSFER_ENCODING},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch};

use super::{
    RequestBody, ResponseBody, Stage,
    limits::{Budget, Limits},
    progress::{Phase, Progress, TimedOut},
    refuse,
    stream::{ObservedBody, ObservedStream},
};

/// Period at which a connection is checked while the interface is draining.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Time after which a draining interface closes an idle connection. A request that the caller has
/// already sent arrives within this time.
const DRAIN_IDLE_GRACE: Duration = Duration::from_millis(250);

/// State shared by all connections of an interface.
#[derive(Clone)]
pub(super) struct Context {
    pub limits: Limits,
    pub budget: Budget,
    pub stage: watch::Receiver<Stage>,
}

/// Why the loop that serves a connection ended.
enum End {
    /// `hyper` has finished the connection.
    Served,
    /// The connection exceeded a timeout.
    TimedOut(TimedOut),
}

type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<Response<ObservedBody>, Infallible>> + Send>>;

/// Serves a connection until it ends.
pub(super) async fn serve<H, F>(stream: TcpStream, peer: SocketAddr, context: Context, handler: H)
where
    H: Fn(Request<RequestBody>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let progress = Arc::new(Progress::new());
    let stream = ObservedStream { stream, progress: progress.clone() };
    let (service_context, service_progress) = (context.clone(), progress.clone());
    let handler = Arc::new(handler);
    let service = service_fn(move |request: Request<Incoming>| -> ResponseFuture {
        let framing = service_progress.request_started();
        if request.headers().contains_key(TRANSFER_ENCODING) && !framing.is_encoded_only() {
            let response = refuse::conflicting_lengths();
            let progress = service_progress.clone();
            return Box::pin(
                async move { Ok(response.map(|body| ObservedBody { body, progress })) },
            );
        }
        let pause = service_context.limits.body_pause_timeout;
        let budget = service_context.budget.clone();
        let request = request.map(|body| RequestBody::new(body, pause, budget));
        let response = handler(request, peer);
        let (stage, progress) = (service_context.stage.clone(), service_progress.clone());
        Box::pin(async move { Ok(prepare_response(response.await, &stage, progress)) })
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(context.limits.head_buffer_bytes())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);

    let mut stage = context.stage.clone();
    let mut checks = tokio::time::interval(context.limits.check_period());
    let mut draining_since: Option<Instant> = None;
    let mut shutdown_requested = false;
    let end = loop {
        if let Some(since) = draining_since
            && !shutdown_requested
            && may_shut_down(&progress, since)
        {
            shutdown_requested = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        tokio::select! {
            _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break End::Served,
            _ = stage.wait_for(|s| *s >= Stage::Draining), if draining_since.is_none() => {
                draining_since = Some(Instant::now());
                checks = tokio::time::interval(DRAIN_CHECK_PERIOD);
            }
            _ = checks.tick() => {
                if let Some(timed_out) = progress.timed_out(&context.limits) {
                    break End::TimedOut(timed_out);
                }
            }
        }
    };
    let stream = connection.into_parts().io.into_inner().stream;
    match end {
        End::TimedOut(TimedOut::Head) => {
            refuse::respond_and_close(stream, refuse::HEAD_TIMEOUT).await
        }
        End::TimedOut(TimedOut::Response) => drop(stream),
        End::TimedOut(TimedOut::Idle) | End::Served => refuse::close(stream).await,
    }
}

/// Returns whether a graceful shutdown may start: it ends the connection after the current request,
/// or at once if there is none.
///
/// `hyper` treats a connection with an unfinished head as idle and would close it, so the shutdown
/// waits for the rest of that head.
fn may_shut_down(progress: &Progress, draining_since: Instant) -> bool {
    match progress.phase() {
        Phase::Busy => true,
        Phase::Head => false,
        Phase::Idle => draining_since.elapsed() >= DRAIN_IDLE_GRACE,
    }
}

fn prepare_response(
    mut response: Response<ResponseBody>,
    stage: &watch::Receiver<Stage>,
    progress: Arc<Progress>,
) -> Response<ObservedBody> {
    if *stage.borrow() >= Stage::Closing {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| ObservedBody { body, progress })
}
