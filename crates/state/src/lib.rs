//! Domain types of pollenshed: the data that every other layer reads and writes.
//!
//! This crate is the lowest layer (see `docs/design.md`, "Crates and layers"). It opens no
//! socket and reads no clock, so that any program can embed it.

pub mod blocks;
pub mod check;
pub mod config;
pub mod findings;
pub mod ids;
mod reader;
pub mod routes;
pub mod settings;
pub mod time;
pub mod units;
