//! Tests connections to peers.

use googletest::prelude::*;
use pollenshed_transport::peers::Peers;

/// Guards against a panic on an address from gossip that is not valid in a URI: an IPv6 address
/// with a scope id.
#[gtest]
fn address_with_a_scope_does_not_panic() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _guard = runtime.enter();
    let peers = Peers::open([127, 0, 0, 1].into());
    let _client = peers.control("[fe80::1%3]:7000".parse().unwrap());
}
