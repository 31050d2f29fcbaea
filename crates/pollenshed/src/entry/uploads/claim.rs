//! Binds an upload to the one ticket that may complete it.
//!
//! Two requests with different tickets could both complete the same upload, and the object store of
//! the parts has no conditional writes. So a row of the table service names the ticket.

use pollenshed_protocol::platform::{CLAIM_TABLE, Row};
use pollenshed_state::ids::Ticket;
use pollenshed_transport::platform::{Platform, PlatformError, PutOutcome};
use serde_json::{Value, json};

use super::store::UploadId;

/// The ticket that may complete an upload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The ticket of the request.
    Own,
    /// Another ticket, which claimed the upload earlier.
    Other {
        /// The ticket as stored, not yet parsed.
        ticket: String,
        /// Revision of the claim row, for a conditional write that replaces the claim.
        revision: u64,
    },
}

/// Claims an upload for `ticket` if the claim row has `expected_revision`, where 0 means no row.
pub fn claim(
    platform: &Platform,
    id: &UploadId,
    ticket: &Ticket,
    expected_revision: u64,
) -> Result<Claim, PlatformError> {
    let ticket = ticket.to_string();
    let key = id.claim_key();
    let value = json!({ "ticket": ticket });
    let row = match platform.put_row(CLAIM_TABLE, &key, expected_revision, value) {
        Ok(PutOutcome::Written(_)) => return Ok(Claim::Own),
        Ok(PutOutcome::Refused(row)) => row,
        // The write may have taken effect although its reply was lost.
        Err(e) => Some(platform.get_row(CLAIM_TABLE, &key)?.ok_or(e)?),
    };
    let Some(Row { revision, value }) = row else {
        return Err(PlatformError::Malformed("a refused write without a row".to_owned()));
    };
    match value.get("ticket").and_then(Value::as_str) {
        Some(holder) if holder == ticket => Ok(Claim::Own),
        Some(holder) => Ok(Claim::Other { ticket: holder.to_owned(), revision }),
        None => Err(PlatformError::Malformed("a claim without a ticket".to_owned())),
    }
}
