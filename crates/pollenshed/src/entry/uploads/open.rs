//! `POST /v1/uploads/{service}/{path}` opens an upload.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode};
use pollenshed_protocol::caller::{MAX_PART_BYTES, MAX_PARTS, Outcome, UploadOpened};
use pollenshed_transport::edge::{RequestBody, ResponseBody};

use super::store::{self, OpenedUpload, UploadId};
use crate::{
    entry::{
        answer::{json, refusal},
        http::{RefusalResponse, forwarded_headers, read_ticket, refuse},
    },
    instance::Shared,
};

/// Opens the upload whose id is derived from the request's ticket. Opening it again changes
/// nothing.
pub async fn run(
    shared: &Arc<Shared>,
    target: &str,
    request: &Request<RequestBody>,
) -> Result<Response<ResponseBody>, RefusalResponse> {
    let (name, path) = match target.split_once('/') {
        Some((name, path)) => (name, format!("/{path}")),
        None => (target, "/".to_owned()),
    };
    let current = super::complete::current_config(shared)?;
    let services = &current.config.services;
    let service = services
        .iter()
        .find(|s| s.name.as_str() == name)
        .ok_or_else(|| refuse(StatusCode::NOT_FOUND, "the configuration has no such service"))?;
    if service.operation("POST", &path).is_none() {
        let detail = "the service declares no such operation";
        return Err(refuse(StatusCode::METHOD_NOT_ALLOWED, detail));
    }
    let ticket = read_ticket(request)?.ok_or_else(|| {
        refuse(StatusCode::PRECONDITION_REQUIRED, "an upload is opened with a ticket")
    })?;
    let headers = forwarded_headers(request).into_iter().map(|h| (h.name, h.value)).collect();
    let id = UploadId::of(&ticket);
    let opened =
        OpenedUpload { service: service.name.clone(), path, ticket: ticket.to_string(), headers };
    let key = id.opened_key();
    let is_same_target = store::call_platform(shared, move |platform| {
        if let Some(before) = store::get_json::<OpenedUpload>(platform, &key)? {
            return Ok(before.service == opened.service && before.path == opened.path);
        }
        store::put_json(platform, &key, &opened).map(|()| true)
    })
    .await?;
    if !is_same_target {
        let detail = "the ticket opened an upload to another place before";
        let outcome = Outcome::NotRun;
        return Err(Box::new(refusal(StatusCode::CONFLICT, outcome, "ticket-conflict", detail)));
    }
    log::info!(service:% = name, upload:% = id; "upload: opened");
    let body = UploadOpened {
        upload: id.to_string(),
        max_part_bytes: MAX_PART_BYTES,
        max_parts: MAX_PARTS,
    };
    Ok(json(StatusCode::CREATED, &body))
}
