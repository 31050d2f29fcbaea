//! The daemon's roles. Each instance runs all of them; see `docs/design.md`, "Roles".

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
