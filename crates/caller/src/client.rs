//! The client that applications use.

use std::{io::Read, net::SocketAddr};

use eyre::{Result, bail};
use pollenshed_protocol::caller::{CALLER_HEADER, DEADLINE_HEADER};
use ureq::Agent;

use crate::{
    Failure, Options, Outcome, Upload, lookup::LookupCache, read, submit, upload, wait::RetryTimer,
};

/// Idle connections that the pool keeps for each entry. Lookups, reads and upload parts use them.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A client of the system. Threads can share it.
pub struct Caller {
    pub(crate) options: Options,
    pub(crate) lookup_cache: LookupCache,
    /// HTTP client for idempotent requests, with a connection pool.
    pub(crate) pooled_agent: Agent,
    /// HTTP client for non-idempotent requests. It opens a connection for each request, because a
    /// server may close an idle connection while a request is sent on it, and the client could not
    /// tell whether the server received the request.
    pub(crate) unpooled_agent: Agent,
}

impl Caller {
    /// Creates a caller that looks up entries at the addresses in `seeds`. It does not connect yet.
    /// Returns an error if `seeds` is empty.
    pub fn open(seeds: &[SocketAddr], options: Options) -> Result<Caller> {
        if seeds.is_empty() {
            bail!("a caller needs at least one seed address");
        }
        let agent = |max_idle| {
            Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .max_idle_connections_per_host(max_idle)
                .timeout_connect(Some(options.connect_timeout))
                .build()
                .into()
        };
        let (pooled_agent, unpooled_agent) = (agent(MAX_IDLE_CONNECTIONS), agent(0));
        Ok(Caller {
            options,
            lookup_cache: LookupCache::new(seeds.to_vec()),
            pooled_agent,
            unpooled_agent,
        })
    }

    /// Sends a GET request for `path` to a service. If an entry fails, the next one gets the
    /// request, until the deadline.
    pub fn read(&self, service: &str, path: &str) -> Outcome {
        read::run(self, service, path)
    }

    /// Posts `body` to `path` of a service. The request runs at most once.
    ///
    /// Copies of the request are sent under the same ticket until the outcome is known or the
    /// deadline has passed. Only a request that did not run is retried under a new ticket, and only
    /// if [`Options::not_run_retries`] allows it.
    pub fn submit(&self, service: &str, path: &str, body: &[u8]) -> Outcome {
        submit::run(self, service, path, body)
    }

    /// Uploads `length_bytes` bytes of `reader` to `path` of a service in parts. A backend server
    /// gets the complete upload at most once. [`Options::deadline`] applies to each step: opening,
    /// listing the stored parts, sending a part, and completing.
    ///
    /// Use [`Caller::open_upload`] and [`Caller::send_upload`] to be able to resume after a
    /// failure.
    pub fn upload(
        &self,
        service: &str,
        path: &str,
        mut reader: impl Read,
        length_bytes: u64,
    ) -> Outcome {
        match upload::open(self, service, path) {
            Ok(upload) => upload::send(self, &upload, &mut reader, length_bytes),
            Err(failure) => Outcome::NotRun(failure),
        }
    }

    /// Opens an upload. Any entry accepts its parts.
    pub fn open_upload(&self, service: &str, path: &str) -> Result<Upload, Failure> {
        upload::open(self, service, path)
    }

    /// Sends the parts of an upload that are not stored yet and completes it.
    ///
    /// `reader` starts at the beginning of the upload. After a failure, another call with the same
    /// bytes resumes the upload. An upload that was completed before does not run again.
    pub fn send_upload(
        &self,
        upload: &Upload,
        mut reader: impl Read,
        length_bytes: u64,
    ) -> Outcome {
        upload::send(self, upload, &mut reader, length_bytes)
    }

    /// Returns the headers that every request to a service carries.
    pub(crate) fn headers(&self, timer: &RetryTimer<'_>) -> Vec<(&'static str, String)> {
        let remaining_ms = timer.remaining().unwrap_or_default().as_millis();
        let mut headers = vec![(DEADLINE_HEADER, remaining_ms.to_string())];
        if let Some(name) = &self.options.name {
            headers.push((CALLER_HEADER, name.clone()));
        }
        headers
    }
}

/// Returns the URL path for `path` of a service.
pub(crate) fn run_path(service: &str, path: &str) -> String {
    format!("/v1/run/{service}/{}", path.trim_start_matches('/'))
}
