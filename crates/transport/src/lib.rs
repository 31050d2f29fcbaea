//! Sockets of pollenshed. What meets the outside sits behind one module each, so that another wire
//! form costs one file.

pub mod backend;
pub mod call;
pub mod edge;
pub mod forward;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod scrape;
