//! JSON bodies of uploads in parts.

use pollenshed_state::ids::{Digest, ServiceName};
use serde::{Deserialize, Serialize};

/// Largest part of an upload, in bytes. An entry holds one part in memory for each call.
pub const MAX_PART_BYTES: u64 = 4 * 1024 * 1024;

/// Largest number of parts of an upload.
pub const MAX_PARTS: u32 = 4_096;

/// Answer of `POST /v1/uploads/{service}/{path}`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UploadOpened {
    /// Id of the upload. The same ticket always gets the same id.
    pub upload: String,
    /// Largest part that is accepted, in bytes.
    pub max_part_bytes: u64,
    /// Largest number of parts that is accepted.
    pub max_parts: u32,
}

/// One part of an upload.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UploadPart {
    /// Number of the part, from 1.
    pub number: u32,
    /// Length of the part.
    pub length_bytes: u64,
    /// Digest of the part.
    pub digest: Digest,
}

/// Answer of `GET /v1/uploads/{id}`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UploadStatus {
    /// Id of the upload.
    pub upload: String,
    /// Service that the upload is for.
    pub service: ServiceName,
    /// Path below the service's root.
    pub path: String,
    /// Parts that are stored, from the first up to the first gap.
    pub parts: Vec<UploadPart>,
}

/// Body of `POST /v1/uploads/{id}/complete`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UploadComplete {
    /// Digest of the whole upload.
    pub digest: Digest,
    /// Length of the whole upload.
    pub length_bytes: u64,
    /// All parts in order.
    pub parts: Vec<UploadPart>,
}
