//! Converts outcomes to HTTP answers. `docs/callers.md` lists every status and reason.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use pollenshed_protocol::{
    caller::{BACKEND_SERVER_HEADER, OUTCOME_HEADER, Outcome, REASON_HEADER, RefusalBody},
    peer::{AnswerReply, HttpAnswer, NotRun, NotRunReason, Unknown, UnknownReason, answer_reply},
};
use pollenshed_transport::edge::ResponseBody;

/// Builds the HTTP answer for a reply of an owner or of another entry.
pub fn from_reply(reply: AnswerReply) -> Response<ResponseBody> {
    match reply.outcome {
        Some(answer_reply::Outcome::Done(answer)) => done(answer, &reply.backend_server),
        Some(answer_reply::Outcome::NotRun(not_run)) => refused(&not_run),
        Some(answer_reply::Outcome::Unknown(unknown)) => unknown_outcome(&unknown),
        Some(answer_reply::Outcome::Conflict(_)) => refusal(
            StatusCode::CONFLICT,
            Outcome::NotRun,
            "ticket-conflict",
            "the ticket was used before with another content",
        ),
        None => refusal(
            StatusCode::BAD_GATEWAY,
            Outcome::Unknown,
            "no-outcome",
            "a peer sent a reply without an outcome",
        ),
    }
}

/// Builds an answer of pollenshed itself: a JSON body, with outcome and reason also in headers.
pub fn refusal(
    status: StatusCode,
    outcome: Outcome,
    reason: &str,
    detail: &str,
) -> Response<ResponseBody> {
    let body = RefusalBody { outcome, reason: reason.to_owned(), detail: detail.to_owned() };
    let mut answer = json(status, &body);
    let headers = answer.headers_mut();
    insert(headers, OUTCOME_HEADER, &outcome.to_string());
    insert(headers, REASON_HEADER, reason);
    answer
}

/// Builds an answer whose body is `body` as one line of JSON.
pub fn json(status: StatusCode, body: &impl serde::Serialize) -> Response<ResponseBody> {
    let mut text = serde_json::to_vec(body).unwrap_or_default();
    text.push(b'\n');
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn done(answer: HttpAnswer, backend_server: &str) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(answer.body));
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for header in &answer.headers {
        if let Ok(name) = HeaderName::try_from(header.name.as_str())
            && let Ok(value) = HeaderValue::try_from(header.value.as_str())
        {
            headers.append(name, value);
        }
    }
    insert(headers, OUTCOME_HEADER, &Outcome::Done.to_string());
    insert(headers, BACKEND_SERVER_HEADER, backend_server);
    response
}

fn refused(not_run: &NotRun) -> Response<ResponseBody> {
    let (status, reason_text) = not_run_status_and_reason(not_run.reason());
    let mut answer = refusal(status, Outcome::NotRun, reason_text, &not_run.detail);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = not_run.retry_after_ms.div_ceil(1_000).max(1);
        insert(answer.headers_mut(), RETRY_AFTER.as_str(), &seconds.to_string());
    }
    answer
}

fn unknown_outcome(unknown: &Unknown) -> Response<ResponseBody> {
    let reason_text = match unknown.reason() {
        UnknownReason::Unspecified => "unspecified",
        UnknownReason::Timeout => "timeout",
        UnknownReason::ConnectionLost => "connection-lost",
        UnknownReason::EntryGone => "entry-gone",
        UnknownReason::TicketExpired => "ticket-expired",
        UnknownReason::AnswerNotKept => "answer-not-kept",
        UnknownReason::AnswerTooLarge => "answer-too-large",
        UnknownReason::Duplicate => "duplicate",
    };
    refusal(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, reason_text, &unknown.detail)
}

/// Returns the HTTP status and the reason, as callers see them, of a refusal.
///
/// The reasons are part of the interface for callers.
pub fn not_run_status_and_reason(reason: NotRunReason) -> (StatusCode, &'static str) {
    match reason {
        NotRunReason::Invalid => (StatusCode::BAD_REQUEST, "invalid"),
        NotRunReason::Quarantined => (StatusCode::UNPROCESSABLE_ENTITY, "quarantined"),
        NotRunReason::Unspecified => (StatusCode::SERVICE_UNAVAILABLE, "unspecified"),
        NotRunReason::Deadline => (StatusCode::SERVICE_UNAVAILABLE, "deadline"),
        NotRunReason::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        NotRunReason::NotOwner => (StatusCode::SERVICE_UNAVAILABLE, "not-owner"),
        NotRunReason::WrongIncarnation => (StatusCode::SERVICE_UNAVAILABLE, "wrong-incarnation"),
        NotRunReason::Shed => (StatusCode::SERVICE_UNAVAILABLE, "shed"),
        NotRunReason::NoBackendServer => (StatusCode::SERVICE_UNAVAILABLE, "no-backend-server"),
        NotRunReason::Forbidden => (StatusCode::SERVICE_UNAVAILABLE, "forbidden"),
        NotRunReason::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        NotRunReason::StoreUnavailable => (StatusCode::SERVICE_UNAVAILABLE, "store-unavailable"),
        NotRunReason::ConnectFailed => (StatusCode::SERVICE_UNAVAILABLE, "connect-failed"),
    }
}

fn insert(headers: &mut hyper::HeaderMap, name: &str, value: &str) {
    if let Ok(name) = HeaderName::try_from(name)
        && let Ok(value) = HeaderValue::try_from(value)
    {
        headers.insert(name, value);
    }
}
