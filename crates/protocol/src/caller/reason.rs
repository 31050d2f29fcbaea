//! What the reason words of refusals tell a caller.

/// Reasons of a `not-run` that were given before the ticket was looked at.
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

/// Reasons of an `unknown` that resending the same ticket can still clear up.
const RESOLVABLE_BY_RESEND: [&str; 4] = ["entry-gone", "timeout", "no-outcome", "unspecified"];

/// Tells whether a `not-run` is only about this copy of the request.
///
/// Such a refusal was given before the ticket was looked at. If an earlier copy under the same
/// ticket may have arrived, its outcome is still open.
pub fn refused_before_ticket(reason: &str) -> bool {
    REFUSED_BEFORE_TICKET.contains(&reason)
}

/// Tells whether resending the same ticket after an `unknown` can bring a better outcome.
pub fn resend_may_resolve(reason: &str) -> bool {
    RESOLVABLE_BY_RESEND.contains(&reason)
}
