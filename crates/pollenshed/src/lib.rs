//! The roles of the pollenshed daemon.
//!
//! Each instance runs all roles of the design; see `docs/design.md`, "Roles". `pollenshed steer`
//! has a module of its own, [`steer`].

pub mod config;
pub mod entry;
pub mod gossip;
pub mod instance;
pub mod leaving;
pub mod lookup;
pub mod owner;
pub mod reader;
pub mod steer;
pub mod util;
pub mod wire;
