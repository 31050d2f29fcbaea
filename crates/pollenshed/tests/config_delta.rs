//! Peers send the configuration as changes, and as a whole document where changes do not apply.

#[path = "support/store.rs"]
mod store;
mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use pollenshed::config::{ConfigState, OfferError, VersionedSplices};
use pollenshed_coordination::replication::{Change, MAX_CHANGES, Splice};
use pollenshed_protocol::{
    peer::{
        ConfigChange, ExchangeMessage, FetchConfigReply, FetchConfigRequest, HandOverReply,
        HandOverRequest, Member, ReleaseReply, ReleaseRequest, Splice as WireSplice,
        control_server::{Control, ControlServer},
    },
    platform::{InstanceList, ListedInstance},
};
use pollenshed_standins::backend::Behaviour;
use pollenshed_state::{
    config::Config,
    ids::{ConfigVersion, Digest},
};
use serde_json::json;
use store::{DomainFleet, signal};
use support::{Daemon, Fleet, wait_for};
use tokio::runtime::Runtime;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

const CALI: &str = include_str!("../../operators/tests/golden/cali.json");

fn behaviour() -> Behaviour {
    Behaviour { name: String::new(), slots: 3, service_time: Duration::from_millis(2) }
}

/// Returns the document of a version in these tests, and its digest. The documents differ in
/// length, so that a change applies only to the document for which it was made.
fn document(version: u64) -> (ConfigVersion, Digest, Bytes) {
    let slots = version.to_string().repeat(usize::try_from(version).unwrap());
    let text = CALI.replacen("\"slots\": 3", &format!("\"slots\": {slots}"), 1);
    (ConfigVersion(version), Digest::of(text.as_bytes()), text.into())
}

/// Returns the state of an instance that applied these versions as whole documents.
fn state_with(versions: &[u64]) -> ConfigState {
    let state = ConfigState::default();
    for version in versions {
        let (version, digest, document) = document(*version);
        state.offer(version, digest, document).unwrap();
    }
    state
}

fn with_versions(changes: Vec<Change>) -> Vec<VersionedSplices> {
    changes.into_iter().map(|change| (change.to.0, change.splices)).collect()
}

/// Returns the changes after a version as they are sent to a peer.
fn changes(state: &ConfigState, after: u64) -> Option<Vec<VersionedSplices>> {
    let (version, digest, _) = document(after);
    state.changes_since((version, digest)).map(with_versions)
}

fn apply(state: &ConfigState, to: u64, changes: Vec<VersionedSplices>) -> Option<OfferError> {
    let (version, digest, _) = document(to);
    state.offer_changes(&state.get().unwrap(), version, digest, changes).err()
}

/// Guards against a change that is lost when an instance passes it on, or that results in another
/// document.
#[gtest]
fn changes_are_passed_on_by_number() {
    let source = state_with(&[1, 2, 4, 5]);
    let relay = state_with(&[1]);
    expect_that!(apply(&relay, 5, changes(&source, 1).unwrap()), none());
    expect_that!(relay.get().unwrap().document, eq(&document(5).2));
    let last = state_with(&[4]);
    expect_that!(apply(&last, 5, changes(&relay, 4).unwrap()), none());
    expect_true!(last.get().unwrap().config == source.get().unwrap().config);
    // Version 3 was never in force, and a new instance has no history.
    expect_true!(changes(&relay, 3).is_none());
    expect_true!(changes(&state_with(&[5]), 4).is_none());
}

/// Guards against a version that decreases, and against a document whose digest is wrong.
#[gtest]
fn wrong_changes_leave_the_version_in_force() {
    let source = state_with(&[1, 2, 4, 5]);
    let after_2 = changes(&source, 2).unwrap();
    let own = state_with(&[1]);
    expect_that!(apply(&own, 5, after_2.clone()), some(eq(&OfferError::DigestMismatch)));
    let mut falling = changes(&source, 1).unwrap();
    falling[1].0 = ConfigVersion(2);
    expect_that!(apply(&own, 5, falling), some(eq(&OfferError::DigestMismatch)));
    let mut cut = changes(&source, 1).unwrap();
    cut.pop();
    expect_that!(apply(&own, 5, cut), some(eq(&OfferError::DigestMismatch)));
    let mut endless = changes(&source, 1).unwrap();
    let steps = 6..6 + MAX_CHANGES as u64;
    endless.extend(steps.map(|version| (ConfigVersion(version), Vec::new())));
    let (last, (_, digest, _)) = (endless[endless.len() - 1].0, document(5));
    let offered = own.offer_changes(&own.get().unwrap(), last, digest, endless);
    expect_that!(offered.err(), some(eq(&OfferError::DigestMismatch)));
    let far = Splice { at: usize::MAX, removed: usize::MAX, inserted: Vec::new() };
    let beyond = vec![(ConfigVersion(5), vec![far])];
    expect_that!(apply(&own, 5, beyond), some(eq(&OfferError::DigestMismatch)));
    expect_that!(own.version(), eq(ConfigVersion(1)));
    let newer = state_with(&[6]);
    expect_that!(apply(&newer, 5, after_2), some(pat!(OfferError::Older { .. })));
    expect_that!(newer.get().unwrap().document, eq(&document(6).2));
}

/// Guards against whole documents where changes suffice, and against an instance that gets nothing
/// from a peer whose history does not reach back to its version.
#[gtest]
fn peer_sends_changes_or_the_whole_document_after_a_restart() {
    let mut domain = DomainFleet::start(2, &behaviour());
    domain.platform_proxies[1].refuse_new();
    domain.platform_proxies[1].cut();
    domain.platform_proxies[1].reset_connections();
    let submit = |domain: &DomainFleet, server: &str| {
        let config = domain.fleet.config_with_drain(json!({"backend_server": server}));
        domain.fleet.submit_with_floor(&config, 0);
    };
    submit(&domain, "ledger-north-a-1");
    domain.fleet.wait_for_versions(&[2, 2]);
    let applied_lines = |domain: &DomainFleet, version: &str, form: &str| {
        let fields = [("version", version), ("peer", "north-a-1"), ("form", form)];
        domain.fleet.config_lines("north-a-2", "config: a version is in force", &fields)
    };
    expect_that!(applied_lines(&domain, "2", "changes-after-1"), eq(1));

    // The peer is replaced by a new process, which gets version 3 from the store as a whole and has
    // no change that led to it.
    signal(&domain.fleet.daemons[1], "-STOP");
    submit(&domain, "ledger-north-a-2");
    wait_for("version 3", || (domain.fleet.daemons[0].status()?.config_version == 3).then_some(()));
    domain.fleet.daemons[0].kill();
    let mut settings = domain.fleet.settings("north-a-1", "north-a");
    settings["platform_address"] = json!(domain.platform_proxies[0].address().to_string());
    domain.fleet.daemons[0] = Daemon::spawn(&domain.fleet.workdir, &settings);
    store::list_instances_at(&domain.fleet, |_, daemon| daemon.peer_endpoint);
    wait_for("version 3", || (domain.fleet.daemons[0].status()?.config_version == 3).then_some(()));
    signal(&domain.fleet.daemons[1], "-CONT");
    domain.fleet.wait_for_versions(&[3, 3]);
    expect_that!(applied_lines(&domain, "3", "whole"), eq(1));
}

/// A peer that sends changes which do not result in its document.
struct WrongPeer {
    address: SocketAddr,
    document: Bytes,
    counter: Mutex<u64>,
    asked_with_digest: Arc<Mutex<Vec<bool>>>,
}

#[tonic::async_trait]
impl Control for WrongPeer {
    async fn exchange(
        &self,
        _: Request<ExchangeMessage>,
    ) -> std::result::Result<Response<ExchangeMessage>, Status> {
        let mut counter = self.counter.lock().unwrap();
        *counter += 1;
        let address = self.address.to_string();
        let sender = Member {
            instance: "north-a-9".to_owned(),
            failure_domain: "north-a".to_owned(),
            incarnation: 9,
            counter: *counter,
            generation: 1,
            config_version: 2,
            peer_address: address.clone(),
            relay_address: address.clone(),
            caller_address: address,
            ..Member::default()
        };
        Ok(Response::new(ExchangeMessage { sender: Some(sender), ..ExchangeMessage::default() }))
    }

    async fn fetch_config(
        &self,
        request: Request<FetchConfigRequest>,
    ) -> std::result::Result<Response<FetchConfigReply>, Status> {
        let has_digest = !request.get_ref().have_digest.is_empty();
        self.asked_with_digest.lock().unwrap().push(has_digest);
        let mut reply = FetchConfigReply {
            version: 2,
            digest: Digest::of(&self.document).as_bytes().to_vec().into(),
            ..FetchConfigReply::default()
        };
        if has_digest {
            let splice = WireSplice { at: 1, removed: 1, inserted: Bytes::from_static(b"?") };
            reply.changes = vec![ConfigChange { version: 2, splices: vec![splice] }];
        } else {
            reply.document = self.document.clone();
        }
        Ok(Response::new(reply))
    }

    async fn hand_over(
        &self,
        _: Request<HandOverRequest>,
    ) -> std::result::Result<Response<HandOverReply>, Status> {
        Ok(Response::new(HandOverReply { accepted: false }))
    }

    async fn release(
        &self,
        _: Request<ReleaseRequest>,
    ) -> std::result::Result<Response<ReleaseReply>, Status> {
        Ok(Response::new(ReleaseReply::default()))
    }
}

/// Guards against changes that are applied although the digest of the result is wrong, and against
/// an instance that keeps its old version after it rejected them.
#[gtest]
fn whole_document_is_fetched_after_wrong_changes() {
    let fleet = Fleet::start(&["north-a"], &behaviour());
    let config = fleet.config_with_drain(json!({"backend_server": "ledger-north-a-1"}));
    let config: Config = serde_json::from_value(config).unwrap();
    let runtime = Runtime::new().unwrap();
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let asked_with_digest = Arc::default();
    let peer = WrongPeer {
        address,
        document: config.canonical_json().into(),
        counter: Mutex::default(),
        asked_with_digest: Arc::clone(&asked_with_digest),
    };
    let server = Server::builder().add_service(ControlServer::new(peer));
    runtime.spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let listed = ListedInstance {
        name: "north-a-9".parse().unwrap(),
        failure_domain: "north-a".parse().unwrap(),
        peer_address: address,
        leaving: false,
    };
    fleet.platform.set_instances(InstanceList { instances: vec![listed], ..Default::default() });
    fleet.wait_for_versions(&[2]);
    let lines = |text: &str, form: &str| {
        let fields = [("version", "2"), ("peer", "north-a-9"), ("form", form)];
        fleet.config_lines("north-a-1", text, &fields)
    };
    expect_that!(lines("config: rejected a version of a peer", "changes-after-1"), ge(1));
    expect_that!(lines("config: a version is in force", "whole"), eq(1));
    expect_that!(asked_with_digest.lock().unwrap()[..2], eq(&[true, false]));
}
