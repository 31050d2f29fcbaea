//! Conversions between protocol messages and the types of the coordination layer.
//!
//! An invalid part of a peer's message is dropped and never causes a panic.

use std::net::SocketAddr;

use bytes::Bytes;
use pollenshed_coordination::{
    ledger::RecordedTicket,
    membership::{Bucket, Exchange, Heartbeat, MemberRecord},
    routing::Advertisement,
};
use pollenshed_protocol::{
    caller::Outcome,
    peer::{
        self, AnswerReply, Conflict, ExchangeMessage, HttpAnswer, Member, MemberBucket, NotRun,
        NotRunReason, TicketOutcome, Unknown, UnknownReason, answer_reply,
    },
};
use pollenshed_state::ids::{ConfigVersion, Incarnation};

/// Builds a message from a member's record.
pub fn member_to_wire(record: &MemberRecord) -> Member {
    Member {
        instance: record.instance.to_string(),
        failure_domain: record.failure_domain.to_string(),
        incarnation: record.incarnation.0,
        counter: record.counter,
        leaving: record.leaving,
        peer_address: record.peer_address.to_string(),
        caller_address: record.caller_address.to_string(),
        config_version: record.config_version.0,
        stamp_ms: record.stamp_ms,
        relay_address: record.relay_address.to_string(),
        generation: record.generation,
    }
}

/// Reads a member's record. Returns `None` if a field is invalid.
pub fn member_from_wire(member: &Member) -> Option<MemberRecord> {
    Some(MemberRecord {
        instance: member.instance.parse().ok()?,
        failure_domain: member.failure_domain.parse().ok()?,
        incarnation: Incarnation(member.incarnation),
        generation: member.generation,
        counter: member.counter,
        leaving: member.leaving,
        peer_address: address(&member.peer_address)?,
        relay_address: address(&member.relay_address)?,
        caller_address: address(&member.caller_address)?,
        config_version: ConfigVersion(member.config_version),
        stamp_ms: member.stamp_ms,
    })
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn bucket_to_wire(bucket: &Bucket) -> MemberBucket {
    let counters = Bytes::copy_from_slice(&bucket.counters);
    MemberBucket { index: bucket.index, hash: bucket.hash, counters }
}

fn bucket_from_wire(bucket: &MemberBucket) -> Bucket {
    Bucket { index: bucket.index, hash: bucket.hash, counters: bucket.counters.to_vec() }
}

/// Builds the membership part of a gossip message.
pub fn exchange_to_wire(exchange: &Exchange) -> ExchangeMessage {
    ExchangeMessage {
        sender: Some(member_to_wire(&exchange.sender)),
        members: exchange.records.iter().map(member_to_wire).collect(),
        buckets: exchange.buckets.iter().map(bucket_to_wire).collect(),
        heartbeats: exchange
            .heartbeats
            .iter()
            .map(|h| peer::Heartbeat { key: h.key, counter: h.counter, stamp_ms: h.stamp_ms })
            .collect(),
        ..ExchangeMessage::default()
    }
}

/// Reads the membership part of a gossip message. Returns `None` if the sender is missing or
/// invalid; other invalid records are left out.
pub fn exchange_from_wire(message: &ExchangeMessage) -> Option<Exchange> {
    let heartbeat =
        |h: &peer::Heartbeat| Heartbeat { key: h.key, counter: h.counter, stamp_ms: h.stamp_ms };
    Some(Exchange {
        sender: member_from_wire(message.sender.as_ref()?)?,
        records: message.members.iter().filter_map(member_from_wire).collect(),
        heartbeats: message.heartbeats.iter().map(heartbeat).collect(),
        buckets: message.buckets.iter().map(bucket_from_wire).collect(),
    })
}

/// Builds a message from an advertisement.
pub fn headroom_to_wire(advert: &Advertisement) -> peer::Headroom {
    peer::Headroom {
        owner: advert.owner.to_string(),
        owner_incarnation: advert.incarnation.0,
        service: advert.service.to_string(),
        failure_domain: advert.failure_domain.to_string(),
        requests_per_s: advert.requests_per_s,
        sequence: advert.sequence,
        ttl_left_ms: advert.ttl_left_ms,
        usable_backend_servers: advert.usable_backend_servers,
        cold_backend_servers: advert.cold_backend_servers,
        parts: advert.parts,
    }
}

/// Reads an advertisement. Returns `None` if a field is invalid.
pub fn headroom_from_wire(headroom: &peer::Headroom) -> Option<Advertisement> {
    Some(Advertisement {
        owner: headroom.owner.parse().ok()?,
        incarnation: Incarnation(headroom.owner_incarnation),
        service: headroom.service.parse().ok()?,
        failure_domain: headroom.failure_domain.parse().ok()?,
        requests_per_s: headroom.requests_per_s,
        parts: headroom.parts,
        sequence: headroom.sequence,
        ttl_left_ms: headroom.ttl_left_ms,
        usable_backend_servers: headroom.usable_backend_servers,
        cold_backend_servers: headroom.cold_backend_servers,
    })
}

/// Builds a reply with a backend server's answer.
pub fn done(answer: HttpAnswer, backend_server: impl Into<String>) -> AnswerReply {
    AnswerReply {
        outcome: Some(answer_reply::Outcome::Done(answer)),
        backend_server: backend_server.into(),
    }
}

/// Builds a reply which states that the request has not run and never will.
pub fn not_run(reason: NotRunReason, detail: impl Into<String>) -> AnswerReply {
    not_run_retry_after(reason, 0, detail)
}

/// Builds a reply like [`not_run`] that also names the delay after which a retry makes sense.
pub fn not_run_retry_after(
    reason: NotRunReason,
    retry_after_ms: u64,
    detail: impl Into<String>,
) -> AnswerReply {
    let not_run = NotRun { reason: reason.into(), retry_after_ms, detail: detail.into() };
    AnswerReply {
        outcome: Some(answer_reply::Outcome::NotRun(not_run)),
        backend_server: String::new(),
    }
}

/// Builds a reply which states that the request may have run.
pub fn unknown(reason: UnknownReason, detail: impl Into<String>) -> AnswerReply {
    let unknown = Unknown { reason: reason.into(), detail: detail.into() };
    AnswerReply {
        outcome: Some(answer_reply::Outcome::Unknown(unknown)),
        backend_server: String::new(),
    }
}

/// Builds a reply which states that the ticket was used before for a request with other content.
pub fn conflict() -> AnswerReply {
    AnswerReply {
        outcome: Some(answer_reply::Outcome::Conflict(Conflict {})),
        backend_server: String::new(),
    }
}

/// Returns the size in bytes of the headers and body of a reply, for the limits on the ledger, on
/// messages and on links.
pub fn reply_bytes(reply: &AnswerReply) -> usize {
    match &reply.outcome {
        Some(answer_reply::Outcome::Done(answer)) => {
            let headers: usize = answer.headers.iter().map(|h| h.name.len() + h.value.len()).sum();
            answer.body.len() + headers
        }
        _ => 0,
    }
}

/// Returns the digest of service, method, path and body. Two requests with equal digests count as
/// the same work.
pub fn content_digest(request: &peer::HttpRequest) -> pollenshed_state::ids::Digest {
    let head = format!("{}\n{}\n{}\n", request.service, request.method, request.path);
    let mut bytes = Vec::with_capacity(head.len() + request.body.len());
    bytes.extend_from_slice(head.as_bytes());
    bytes.extend_from_slice(&request.body);
    pollenshed_state::ids::Digest::of(&bytes)
}

/// Reads a digest from a message. Returns `None` unless it has 32 bytes.
pub fn digest_from_wire(bytes: &Bytes) -> Option<pollenshed_state::ids::Digest> {
    let bytes: [u8; 32] = bytes.as_ref().try_into().ok()?;
    Some(pollenshed_state::ids::Digest::from_bytes(bytes))
}

/// Builds a message from a ledger's record.
pub fn ticket_to_wire(record: &RecordedTicket<AnswerReply>) -> TicketOutcome {
    TicketOutcome {
        ticket: record.ticket.to_string(),
        content_digest: Bytes::copy_from_slice(record.content.as_bytes()),
        outcome: record.outcome.clone(),
        ttl_left_ms: record.ttl_left_ms,
    }
}

/// Reads a ledger's record. Returns `None` if a field is invalid.
pub fn ticket_from_wire(outcome: &TicketOutcome) -> Option<RecordedTicket<AnswerReply>> {
    Some(RecordedTicket {
        ticket: outcome.ticket.parse().ok()?,
        content: digest_from_wire(&outcome.content_digest)?,
        outcome: outcome.outcome.clone(),
        ttl_left_ms: outcome.ttl_left_ms,
    })
}

/// Returns whether a reply states that the entry named by the ticket no longer exists.
pub fn is_entry_gone(reply: &AnswerReply) -> bool {
    match &reply.outcome {
        Some(answer_reply::Outcome::Unknown(u)) => u.reason() == UnknownReason::EntryGone,
        _ => false,
    }
}

/// Returns the outcome that callers and metrics see for a reply.
pub fn outcome_of(reply: &AnswerReply) -> Outcome {
    match &reply.outcome {
        Some(answer_reply::Outcome::Done(_)) => Outcome::Done,
        Some(answer_reply::Outcome::NotRun(_) | answer_reply::Outcome::Conflict(_)) => {
            Outcome::NotRun
        }
        Some(answer_reply::Outcome::Unknown(_)) | None => Outcome::Unknown,
    }
}
