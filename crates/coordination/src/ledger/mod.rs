//! Ledger of tickets: what became of each non-idempotent request of this incarnation.
//!
//! See `docs/design.md`, "At most once without a store write per request".

mod attempts;
mod inherited;
mod tickets;

pub use attempts::{ArrivalDecision, AttemptState, Attempts, Settlement};
pub use inherited::InheritedTickets;
pub use tickets::{Admission, Ledger, LedgerLimits, RecordedTicket};
