//! Messages between pollenshed processes and the names of its HTTP interfaces.
//!
//! See `docs/design.md`, "Messages", and `docs/callers.md`.

pub mod backend;
pub mod caller;
pub mod operator;
pub mod platform;

/// Messages and stubs of the `Peer` service, generated from `proto/peer.proto`.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod peer {
    include!("generated/pollenshed.peer.v1.rs");
}
