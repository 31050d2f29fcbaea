//! Serves one connection within the limits on time.

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
    progress::{Overdue, Phase, Progress},
    refuse,
    stream::{ObservedAnswer, ObservedStream},
};

/// Period in which a connection is checked while the interface is draining.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Time after which a draining interface closes a connection without a request. A request that the
/// caller has already sent arrives within this time.
const DRAIN_IDLE_GRACE: Duration = Duration::from_millis(250);

/// What all connections of an interface share.
#[derive(Clone)]
pub(super) struct Context {
    pub limits: Limits,
    pub budget: Budget,
    pub stage: watch::Receiver<Stage>,
}

/// How a connection came to its end.
enum End {
    /// `hyper` has finished with it.
    Served,
    /// It exceeded a limit on time.
    Overdue(Overdue),
}

type Answering = Pin<Box<dyn Future<Output = Result<Response<ObservedAnswer>, Infallible>> + Send>>;

/// Serves a connection until it ends.
pub(super) async fn serve<H, F>(stream: TcpStream, peer: SocketAddr, context: Context, handler: H)
where
    H: Fn(Request<RequestBody>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let progress = Arc::new(Progress::new());
    let stream = ObservedStream { stream, progress: progress.clone() };
    let (answering, answer_progress) = (context.clone(), progress.clone());
    let handler = Arc::new(handler);
    let service = service_fn(move |request: Request<Incoming>| -> Answering {
        let framing = answer_progress.request_begun();
        if request.headers().contains_key(TRANSFER_ENCODING) && !framing.is_encoded_only() {
            let answer = refuse::conflicting_lengths();
            let progress = answer_progress.clone();
            return Box::pin(
                async move { Ok(answer.map(|body| ObservedAnswer { body, progress })) },
            );
        }
        let pause = answering.limits.body_pause_timeout;
        let budget = answering.budget.clone();
        let request = request.map(|body| RequestBody::new(body, pause, budget));
        let answer = handler(request, peer);
        let (stage, progress) = (answering.stage.clone(), answer_progress.clone());
        Box::pin(async move { Ok(finish(answer.await, &stage, progress)) })
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(context.limits.head_buffer_bytes())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);

    let mut stage = context.stage.clone();
    let mut checks = tokio::time::interval(context.limits.check_period());
    let mut draining_since: Option<Instant> = None;
    let mut told_to_end = false;
    let end = loop {
        if let Some(since) = draining_since
            && !told_to_end
            && may_end(&progress, since)
        {
            told_to_end = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        tokio::select! {
            _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break End::Served,
            _ = stage.wait_for(|s| *s >= Stage::Draining), if draining_since.is_none() => {
                draining_since = Some(Instant::now());
                checks = tokio::time::interval(DRAIN_CHECK_PERIOD);
            }
            _ = checks.tick() => {
                if let Some(overdue) = progress.overdue(&context.limits) {
                    break End::Overdue(overdue);
                }
            }
        }
    };
    let stream = connection.into_parts().io.into_inner().stream;
    match end {
        End::Overdue(Overdue::Head) => refuse::answer_and_end(stream, refuse::HEAD_TIMEOUT).await,
        End::Overdue(Overdue::Answer) => drop(stream),
        End::Overdue(Overdue::Idle) | End::Served => refuse::end(stream).await,
    }
}

/// Tells whether a connection may be told to end after its present request, or at once if it has
/// none.
///
/// `hyper` takes a connection with an unfinished head for an idle one and would close it, so its
/// request is awaited first.
fn may_end(progress: &Progress, draining_since: Instant) -> bool {
    match progress.phase() {
        Phase::Busy => true,
        Phase::Head => false,
        Phase::Idle => draining_since.elapsed() >= DRAIN_IDLE_GRACE,
    }
}

fn finish(
    mut answer: Response<ResponseBody>,
    stage: &watch::Receiver<Stage>,
    progress: Arc<Progress>,
) -> Response<ObservedAnswer> {
    if *stage.borrow() >= Stage::Closing {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer.map(|body| ObservedAnswer { body, progress })
}
