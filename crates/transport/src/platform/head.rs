//! Converts the head row between its JSON form and the types of the coordination crate.

use pollenshed_coordination::replication::{HeadState, PastSubmission, StoredHead, SubmissionId};
use pollenshed_protocol::platform::{CONFIG_TABLE, HEAD_KEY, Head, PastHead, Row};
use pollenshed_state::ids::ConfigVersion;

use super::{Platform, PlatformError, PutOutcome};

impl Platform {
    /// Reads the head row; `None` before the first submission.
    pub fn head(&self) -> Result<Option<StoredHead>, PlatformError> {
        self.get_row(CONFIG_TABLE, HEAD_KEY)?.map(from_row).transpose()
    }

    /// Writes the head row if its revision is `expected_revision`. Returns whether it was written.
    pub fn put_head(
        &self,
        expected_revision: u64,
        head: &HeadState,
    ) -> Result<bool, PlatformError> {
        let value = serde_json::to_value(to_wire(head))
            .map_err(|e| PlatformError::Malformed(e.to_string()))?;
        let put = self.put_row(CONFIG_TABLE, HEAD_KEY, expected_revision, value)?;
        Ok(matches!(put, PutOutcome::Written(_)))
    }
}

fn from_row(row: Row) -> Result<StoredHead, PlatformError> {
    let malformed = |e: String| PlatformError::Malformed(format!("head row: {e}"));
    let head: Head = serde_json::from_value(row.value).map_err(|e| malformed(e.to_string()))?;
    let past = |p: PastHead| PastSubmission {
        version: ConfigVersion(p.version),
        submission_id: SubmissionId(p.submission_id),
    };
    let head = HeadState {
        version: ConfigVersion(head.version),
        digest: head.digest.parse().map_err(|_| malformed("invalid digest".to_owned()))?,
        submission_id: SubmissionId(head.submission_id),
        past: head.past.into_iter().map(past).collect(),
    };
    Ok(StoredHead { revision: row.revision, head })
}

fn to_wire(head: &HeadState) -> Head {
    let past = |p: &PastSubmission| PastHead {
        version: p.version.0,
        submission_id: p.submission_id.0.clone(),
    };
    Head {
        version: head.version.0,
        digest: head.digest.to_string(),
        submission_id: head.submission_id.0.clone(),
        past: head.past.iter().map(past).collect(),
    }
}
