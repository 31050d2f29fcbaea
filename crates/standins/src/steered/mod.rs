//! Stand-ins for the users' platform: its store, and backend servers that announce themselves there.
//!
//! They speak what docs/platform.md lists. `pollenshed steer` is tested against them.

mod server;
mod store;

pub use server::{Fault, Run, Server, ServerOptions};
pub use store::{EndpointFault, Store, StoreEndpoint};
