//! Ledger of tickets: what became of each non-idempotent request of this incarnation.
