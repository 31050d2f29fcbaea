//! Classifies the reasons of `not-run` and `unknown` outcomes, for callers that resend requests.

/// Reasons of a `not-run` that an entry gives before it looks up the ticket.
const REFUSED_BEFORE_TICKET: [&str; 14] = [
    "invalid",
    "too-many-connections",
    "head-timeout",
    "conflicting-lengths",
    "body-too-large",
    "body-timeout",
    "body-incomplete",
    "no-buffer",
    "no-configuration",
    "no-entry",
    "entry-full",
    "digest-mismatch",
    "part-missing",
    "store-unavailable",
];

/// Reasons of an `unknown` after which resending the same ticket can bring a better outcome.
const RESOLVABLE_BY_RESEND: [&str; 4] = ["entry-gone", "timeout", "no-outcome", "unspecified"];

/// Tells whether a `not-run` with this reason was given before the ticket was looked up.
///
/// Such a refusal concerns only this copy of the request. If an earlier copy with the same ticket
/// may have arrived, the outcome of that copy is still open.
pub fn refused_before_ticket(reason: &str) -> bool {
    REFUSED_BEFORE_TICKET.contains(&reason)
}

/// Tells whether resending the same ticket after an `unknown` can bring a better outcome.
pub fn resend_may_resolve(reason: &str) -> bool {
    RESOLVABLE_BY_RESEND.contains(&reason)
}
