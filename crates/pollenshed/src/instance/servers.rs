//! The gRPC servers for peers: `Work` on the relay address and `Control` on the peer address.

use std::{net::SocketAddr, sync::Arc};

use eyre::{Result, eyre};
use pollenshed_coordination::ledger::Settlement;
use pollenshed_protocol::peer::{
    AnswerReply, DispatchRequest, ExchangeMessage, FetchConfigReply, FetchConfigRequest,
    HandOverReply, HandOverRequest, RelayRequest, ReleaseReply, ReleaseRequest, SettleReply,
    SettleRequest,
    control_server::{Control, ControlServer},
    settle_reply,
    work_server::{Work, WorkServer},
};
use pollenshed_transport::peers::MAX_MESSAGE_BYTES;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

use super::Shared;
use crate::{entry, gossip, owner, util::lock};

/// Opens a TCP listener.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| eyre!("cannot listen on {address}: {e}"))
}

/// Serves the gRPC service `Work` until the instance ends.
pub async fn serve_work(shared: Arc<Shared>, listener: TcpListener) {
    let service = WorkServer::new(WorkService { shared })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpListenerStream::new(listener);
    let server = Server::builder().tcp_nodelay(true).add_service(service);
    if let Err(e) = server.serve_with_incoming(incoming).await {
        log::error!(port = "work", error:% = e; "instance: a gRPC server failed");
    }
}

/// Serves the gRPC service `Control` until the instance ends.
pub async fn serve_control(shared: Arc<Shared>, listener: TcpListener) {
    let service = ControlServer::new(ControlService { shared })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpListenerStream::new(listener);
    let server = Server::builder().tcp_nodelay(true).add_service(service);
    if let Err(e) = server.serve_with_incoming(incoming).await {
        log::error!(port = "control", error:% = e; "instance: a gRPC server failed");
    }
}

struct WorkService {
    shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Work for WorkService {
    async fn relay(&self, request: Request<RelayRequest>) -> Result<Response<AnswerReply>, Status> {
        let reply = entry::run_relayed(&self.shared, request.into_inner()).await;
        Ok(Response::new(reply))
    }

    async fn dispatch(
        &self,
        request: Request<DispatchRequest>,
    ) -> Result<Response<AnswerReply>, Status> {
        Ok(Response::new(owner::dispatch(&self.shared, request.into_inner()).await))
    }

    async fn settle(
        &self,
        request: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        Ok(Response::new(settle(&self.shared, &request.into_inner())))
    }
}

fn settle(shared: &Shared, request: &SettleRequest) -> SettleReply {
    let reply_with = |state: settle_reply::State, reply| SettleReply { state: state.into(), reply };
    if request.owner_incarnation != shared.incarnation.0 {
        return reply_with(settle_reply::State::Unknown, None);
    }
    let now = shared.clock.now();
    match lock(&shared.attempts).settle(&request.attempt_id, now) {
        Some(Settlement::NotRun) => reply_with(settle_reply::State::NotRun, None),
        Some(Settlement::Running) => reply_with(settle_reply::State::Running, None),
        Some(Settlement::Ended(reply)) => reply_with(settle_reply::State::Ended, Some(reply)),
        None => reply_with(settle_reply::State::Unknown, None),
    }
}

struct ControlService {
    shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Control for ControlService {
    async fn exchange(
        &self,
        request: Request<ExchangeMessage>,
    ) -> Result<Response<ExchangeMessage>, Status> {
        let message = request.into_inner();
        gossip::merge(&self.shared, &message);
        Ok(Response::new(gossip::build_reply(&self.shared, &message)))
    }

    async fn fetch_config(
        &self,
        request: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        Ok(Response::new(gossip::answer_config_fetch(&self.shared, request.get_ref())))
    }

    async fn hand_over(
        &self,
        request: Request<HandOverRequest>,
    ) -> Result<Response<HandOverReply>, Status> {
        let accepted = entry::import_outcomes(&self.shared, request.get_ref());
        Ok(Response::new(HandOverReply { accepted }))
    }

    async fn release(
        &self,
        request: Request<ReleaseRequest>,
    ) -> Result<Response<ReleaseReply>, Status> {
        Ok(Response::new(owner::release(&self.shared, request.get_ref())))
    }
}
