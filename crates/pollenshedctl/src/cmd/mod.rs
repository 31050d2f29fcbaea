//! Subcommands, one file each.

pub mod submit;
