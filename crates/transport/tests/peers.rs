//! Connections to peers.

use googletest::prelude::*;
use pollenshed_transport::peers::Peers;

/// Guards against a panic when gossip names an address that no URI can hold.
#[gtest]
fn address_with_a_scope_is_no_panic() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _inside = runtime.enter();
    let peers = Peers::open([127, 0, 0, 1].into());
    let _client = peers.control("[fe80::1%3]:7000".parse().unwrap());
}
