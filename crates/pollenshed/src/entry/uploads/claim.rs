//! Binds an upload to the one ticket that may complete it.
//!
//! A ticket alone can't keep two tickets from completing the same upload, and the store of parts has
//! no conditional writes, so one row of the table service names the ticket.

use pollenshed_protocol::platform::{CLAIM_TABLE, Row};
use pollenshed_state::ids::Ticket;
use pollenshed_transport::platform::{Platform, PlatformError, PutOutcome};
use serde_json::{Value, json};

use super::store::UploadId;

/// Who may complete an upload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The asking ticket.
    Own,
    /// Another ticket, as of this revision of the row.
    Other {
        /// The ticket.
        ticket: String,
        /// Revision of the row.
        revision: u64,
    },
}

/// Claims an upload for `ticket` if the row has `expected_revision`; 0 means that there is none.
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
