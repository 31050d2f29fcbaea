//! Performs the calls to the platform that a submission needs.

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

/// Delay before a failed call is retried, so that an overloaded platform is not flooded.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A configuration document to submit.
#[derive(Debug, Clone)]
pub struct SubmitRequest<'a> {
    /// Random id of this submission, never used for another one.
    pub id: SubmissionId,
    /// The document in its canonical form.
    pub document: &'a [u8],
    /// Highest version that any instance is known to use. The new version is higher.
    pub floor: ConfigVersion,
    /// Version that the operator's change is based on; if absent, the version that is read first.
    pub expected: Option<ConfigVersion>,
    /// Time after which failed calls are not retried.
    pub timeout: Duration,
}

/// Submits a document and blocks until the outcome is known or the timeout has passed.
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
            log::info!(error:% = e; "submit: a step failed and will be retried");
            thread::sleep(RETRY_DELAY);
            Reply::Failed
        });
        submission.reply(reply, now());
    }
}
