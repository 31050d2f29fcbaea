//! The head row, which names the configuration in force and the submissions before it.

use std::fmt;

use pollenshed_state::ids::{ConfigVersion, Digest};

/// Submissions before the current one that the head row names.
///
/// A submitter whose reply was lost finds its own id among them after later submissions. At 30,000
/// changes a day a submission is 2.9 s after the previous one, so 16 cover 46 s on average, longer
/// than a submitter tries. At about 50 bytes each they keep the row below 1 KB, which readers poll.
pub const MAX_PAST_SUBMISSIONS: usize = 16;

/// Random id of one submission.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId(pub String);

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A submission that a later one replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastSubmission {
    /// Version that it made.
    pub version: ConfigVersion,
    /// Its id.
    pub submission_id: SubmissionId,
}

/// Content of the head row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadState {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Digest of its canonical document, which is also the object's key.
    pub digest: Digest,
    /// Submission that made it.
    pub submission_id: SubmissionId,
    /// Submissions before it, the latest first.
    pub past: Vec<PastSubmission>,
}

impl HeadState {
    /// Returns the head that a submission makes of `base`.
    ///
    /// The version is above `floor` as well, so that a store that went back to an older state gives
    /// no number again that instances know with another document.
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

    /// Returns the version that a submission made, if the row still names it.
    pub fn version_of(&self, id: &SubmissionId) -> Option<ConfigVersion> {
        if self.submission_id == *id {
            return Some(self.version);
        }
        self.past.iter().find(|p| p.submission_id == *id).map(|p| p.version)
    }

    /// Returns whether the row names every submission since `base`.
    pub fn names_all_since(&self, base: Option<&HeadState>) -> bool {
        match base {
            Some(base) => self.version_of(&base.submission_id).is_some(),
            None => self.past.len() < MAX_PAST_SUBMISSIONS,
        }
    }
}

/// The head row with the revision that a conditional write must name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredHead {
    /// Revision of the row.
    pub revision: u64,
    /// Content of the row.
    pub head: HeadState,
}
