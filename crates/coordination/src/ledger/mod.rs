//! Ledger of tickets: what became of each non-idempotent request of this incarnation.
//!
//! See `docs/design.md`, "At most once without a store write per request".

mod attempts;
mod inherited;
mod tickets;

pub use attempts::{AttemptState, Attempts, Begin, Settlement};
pub use inherited::Inherited;
pub use tickets::{Admission, Ledger, LedgerLimits, RecordedTicket};
