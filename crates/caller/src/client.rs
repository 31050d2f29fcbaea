//! The handle that applications use.

use std::{io::Read, net::SocketAddr};

use eyre::{Result, bail};
use pollenshed_protocol::caller::{CALLER_HEADER, DEADLINE_HEADER};
use ureq::Agent;

use crate::{
    Failure, Options, Outcome, Upload, lookup::LookupCache, read, submit, upload, wait::RetryTimer,
};

/// Idle connections that are kept for each entry, for lookups and reads.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A caller of the system. It can be shared by threads.
pub struct Caller {
    pub(crate) options: Options,
    pub(crate) lookup_cache: LookupCache,
    /// For idempotent requests.
    pub(crate) pooled_agent: Agent,
    /// For non-idempotent requests. It keeps no connection: a server may close an idle connection
    /// while a request is being sent on it, and the client could not tell whether the request was
    /// received.
    pub(crate) unpooled_agent: Agent,
}

impl Caller {
    /// Prepares a caller that asks `seeds` which entries to use. No connection is made yet. Fails
    /// without seeds.
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

    /// Reads `path` of a service with GET. Entries that fail are replaced by others until the
    /// deadline.
    pub fn read(&self, service: &str, path: &str) -> Outcome {
        read::run(self, service, path)
    }

    /// Posts `body` to `path` of a service, at most once.
    ///
    /// The same ticket is resent until the outcome is known or the deadline has passed. Only a
    /// request that was not run is sent again as a new one, and only if
    /// [`Options::not_run_retries`] allows it.
    pub fn submit(&self, service: &str, path: &str, body: &[u8]) -> Outcome {
        submit::run(self, service, path, body)
    }

    /// Uploads `length_bytes` bytes of `reader` to `path` of a service in parts, and hands the whole
    /// to a backend server at most once. Each step has the deadline of the options.
    ///
    /// To go on after a failure, use [`Caller::open_upload`] and [`Caller::send_upload`].
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

    /// Opens an upload, whose parts any entry then takes.
    pub fn open_upload(&self, service: &str, path: &str) -> Result<Upload, Failure> {
        upload::open(self, service, path)
    }

    /// Sends the parts of an upload that are not stored yet and completes it. `reader` starts at the
    /// beginning of the upload. Calling this again with the same bytes goes on after a failure; an
    /// upload that was completed before is not run again.
    pub fn send_upload(
        &self,
        upload: &Upload,
        mut reader: impl Read,
        length_bytes: u64,
    ) -> Outcome {
        upload::send(self, upload, &mut reader, length_bytes)
    }

    /// Returns the headers that each request carries.
    pub(crate) fn headers(&self, timer: &RetryTimer<'_>) -> Vec<(&'static str, String)> {
        let left_ms = timer.remaining().unwrap_or_default().as_millis();
        let mut headers = vec![(DEADLINE_HEADER, left_ms.to_string())];
        if let Some(name) = &self.options.name {
            headers.push((CALLER_HEADER, name.clone()));
        }
        headers
    }
}

/// Returns the path of a request to a service.
pub(crate) fn run_path(service: &str, path: &str) -> String {
    format!("/v1/run/{service}/{}", path.trim_start_matches('/'))
}
