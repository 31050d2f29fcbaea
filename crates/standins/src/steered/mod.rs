//! Stand-ins for the users' platform: its store, and backend servers that announce themselves in
//! it.
//!
//! They follow the interfaces in docs/platform.md. `pollenshed steer` is tested against them.

mod answers;
mod server;
mod store;

pub use answers::{EarlyAnswer, LargeAnswer, large_answer};
pub use server::{Fault, Run, Server, ServerOptions};
pub use store::{EndpointFault, Store, StoreCopy, StoreEndpoint};
