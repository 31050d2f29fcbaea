//! The head row, which names the current configuration and the submissions that led to it.

use std::fmt;

use pollenshed_state::ids::{ConfigVersion, Digest};

/// Number of earlier submissions that the head row names.
///
/// A submitter whose reply was lost finds its own id among them, even after later submissions. At
/// 30,000 changes a day, submissions follow each other every 2.9 s, so 16 of them cover 46 s on
/// average, which is longer than a submitter tries. With about 50 bytes each, the row, which
/// readers poll, stays below 1 KB.
pub const MAX_PAST_SUBMISSIONS: usize = 16;

/// Random id of one submission.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId(pub String);

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A submission that was replaced by a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastSubmission {
    /// Version that the submission created.
    pub version: ConfigVersion,
    /// Id that its submitter drew.
    pub submission_id: SubmissionId,
}

/// Content of the head row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadState {
    /// Version of the current configuration.
    pub version: ConfigVersion,
    /// Digest of its canonical document, which is also the key of the stored object.
    pub digest: Digest,
    /// Submission that created this version.
    pub submission_id: SubmissionId,
    /// Earlier submissions, the latest first.
    pub past: Vec<PastSubmission>,
}

impl HeadState {
    /// Returns the head that follows `base` when a submission is accepted.
    ///
    /// The new version is also higher than `floor`. Otherwise a store that was restored to an older
    /// state could reuse a version that instances know with another document.
    pub fn after(
        base: Option<&HeadState>,
        floor: ConfigVersion,
        digest: Digest,
        submission_id: SubmissionId,
    ) -> HeadState {
        let highest = base.map_or(floor, |b| b.version.max(floor));
        let past = base.map_or_else(Vec::new, |base| {
            let replaced =
                PastSubmission { version: base.version, submission_id: base.submission_id.clone() };
            let past = std::iter::once(replaced).chain(base.past.iter().cloned());
            past.take(MAX_PAST_SUBMISSIONS).collect()
        });
        HeadState {
            version: ConfigVersion(highest.0.saturating_add(1)),
            digest,
            submission_id,
            past,
        }
    }

    /// Returns the version that a submission created, if the row still names the submission.
    pub fn version_of(&self, id: &SubmissionId) -> Option<ConfigVersion> {
        if self.submission_id == *id {
            return Some(self.version);
        }
        self.past.iter().find(|p| p.submission_id == *id).map(|p| p.version)
    }

    /// Returns whether the row names every submission after `base`.
    pub fn names_all_since(&self, base: Option<&HeadState>) -> bool {
        match base {
            Some(base) => self.version_of(&base.submission_id).is_some(),
            None => self.past.len() < MAX_PAST_SUBMISSIONS,
        }
    }
}

/// The head row with its revision in the store, which a conditional write must match.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredHead {
    /// Revision of the row in the table service.
    pub revision: u64,
    /// State that the row holds.
    pub head: HeadState,
}
