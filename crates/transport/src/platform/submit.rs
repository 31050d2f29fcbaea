//! Carries out the calls of a submission.

use std::{
    thread,
    time::{Duration, Instant},
};

use pollenshed_coordination::replication::{Outcome, Plan, Reply, Step, Submission, SubmissionId};
use pollenshed_state::{
    ids::{ConfigVersion, Digest},
    time::Instant as Time,
};

use super::Platform;

/// Pause before a failed call is repeated, so that a struggling platform is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A document to submit.
#[derive(Debug, Clone)]
pub struct SubmitRequest<'a> {
    /// Random id of this submission, used once.
    pub id: SubmissionId,
    /// The canonical document.
    pub document: &'a [u8],
    /// Highest version that instances are known to obey.
    pub floor: ConfigVersion,
    /// Version that the operator started from; without one, the version found first.
    pub expected: Option<ConfigVersion>,
    /// Time after which failed calls are not repeated.
    pub timeout: Duration,
}

/// Submits a document and blocks until the outcome is known or the time is over.
pub fn submit(platform: &Platform, request: &SubmitRequest<'_>) -> Outcome {
    let start = Instant::now();
    let now = || Time::from_us(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    let timeout_us = u64::try_from(request.timeout.as_micros()).unwrap_or(u64::MAX);
    let digest = Digest::of(request.document);
    let mut submission = Submission::new(Plan {
        id: request.id.clone(),
        digest,
        floor: request.floor,
        expected: request.expected,
        deadline: Time::START.plus_us(timeout_us),
    });
    loop {
        let reply = match submission.step() {
            Step::Done(outcome) => return outcome,
            Step::ReadHead => platform.head().map(Reply::Head),
            Step::WriteObject => {
                platform.put_object(&digest.hex(), request.document).map(|()| Reply::ObjectWritten)
            }
            Step::ReadObject => platform
                .get_object(&digest.hex())
                .map(|object| Reply::Object(object.is_some_and(|o| o == request.document))),
            Step::WriteHead { expected_revision, head } => platform
                .put_head(expected_revision, &head)
                .map(|written| if written { Reply::HeadWritten } else { Reply::HeadRefused }),
        };
        let reply = reply.unwrap_or_else(|e| {
            log::info!(error:% = e; "submit: a step failed and is tried again");
            thread::sleep(RETRY_PAUSE);
            Reply::Failed
        });
        submission.reply(reply, now());
    }
}
