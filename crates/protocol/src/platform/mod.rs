//! JSON bodies of the platform's table service, object store and instance list.
//!
//! - `GET /tables/{table}/{key}` returns a [`Row`] or 404.
//! - `PUT /tables/{table}/{key}` with a [`PutRow`] returns the new [`Row`], or 409 with the present
//!   row when the condition does not hold.
//! - `GET /objects/{key}` and `PUT /objects/{key}` carry raw bytes.
//! - `GET /instances` returns an [`InstanceList`].
//!
//! 503 means that the service is unavailable.

use std::net::SocketAddr;

use pollenshed_state::ids::{FailureDomainName, InstanceName};
use serde::{Deserialize, Serialize};

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Number of writes to the row; a row that does not exist has revision 0.
    pub revision: u64,
    /// Content of the row.
    pub value: serde_json::Value,
}

/// A conditional write of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PutRow {
    /// Revision that the row must have; 0 means that the row must not exist.
    pub expected_revision: u64,
    /// New content.
    pub value: serde_json::Value,
}

/// The platform's list of the instances, which may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances that exist according to the platform.
    pub instances: Vec<ListedInstance>,
    /// Names of backend servers that the platform is about to remove.
    #[serde(default)]
    pub leaving_backend_servers: Vec<String>,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Failure domain that it is in.
    pub failure_domain: FailureDomainName,
    /// Address where it accepts peers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

/// Table that holds the head row.
pub const CONFIG_TABLE: &str = "pollenshed-config";
/// Key of the head row.
pub const HEAD_KEY: &str = "head";
/// Table that holds claims of idempotency keys.
pub const CLAIM_TABLE: &str = "pollenshed-claims";

/// Value of the head row, which refers to the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration; each submission increases it.
    pub version: u64,
    /// Digest of the canonical document, which is also its object key.
    pub digest: String,
    /// Random id of the submission. A submitter whose reply was lost finds its write by this id.
    pub submission_id: String,
    /// Submissions before this one, the latest first, so that a submitter whose reply was lost
    /// finds its write also after later submissions.
    #[serde(default)]
    pub past: Vec<PastHead>,
}

/// A submission that a later one replaced, in a [`Head`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PastHead {
    /// Version that the submission created.
    pub version: u64,
    /// Id of the submission.
    pub submission_id: String,
}
