//! Records of non-idempotent requests that keep a request from running twice: tickets at entries
//! and attempts at owners.
//!
//! See `docs/design.md`, "At most once without a store write per request".

mod attempts;
mod inherited;
mod tickets;

pub use attempts::{ArrivalDecision, AttemptState, Attempts, Settlement};
pub use inherited::InheritedTickets;
pub use tickets::{Admission, Ledger, LedgerLimits, RecordedTicket};
