//! Stand-ins for the systems that pollenshed connects to, the platform and backend servers, and a
//! proxy that injects faults.
//!
//! Tests and `pollenshed dev` use them. They keep everything in memory.

pub mod backend;
pub mod platform;
mod port;
pub mod proxy;
pub mod steered;
