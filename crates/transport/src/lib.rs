//! Network clients and servers of pollenshed. Each external protocol has one module, so that a
//! change of its wire format touches one file.

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
