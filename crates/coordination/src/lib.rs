//! Coordination logic of pollenshed: decisions as pure functions of state, input and time.
//!
//! Nothing here opens a socket, reads a clock or draws a random number, so the modules can be
//! embedded in other programs and tested without processes. See `docs/design.md`.

pub mod ledger;
pub mod limits;
pub mod membership;
pub mod ownership;
pub mod replication;
pub mod routing;
pub mod shift;
pub mod steering;
