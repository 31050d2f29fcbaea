//! Stand-ins for what pollenshed meets at its interfaces: the platform and backend servers.
//!
//! They serve tests and `pollenshed dev`. They keep everything in memory.

pub mod backend;
pub mod platform;
pub mod proxy;
pub mod steered;
