//! Tracks the members that must release a server before its new owner skips the wait.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{
    ids::{BackendServerName, InstanceName},
    time::Instant,
};

use super::map::InheritedRequests;
use crate::membership::{MemberRecord, MemberState};

/// Reply of a member that was asked to release servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseAnswer {
    /// Whether the member has run long enough to know the members of its failure domain.
    pub settled: bool,
    /// Members that it considers neither dead nor leaving.
    pub known: Vec<InstanceName>,
    /// Servers to which it no longer dispatches, with its requests that still run there.
    pub released: BTreeMap<BackendServerName, InheritedRequests>,
}

/// One attempt to get servers released by every member that could dispatch to them.
///
/// An attempt succeeds only if all members answered in it, because an answer from an earlier
/// attempt can be out of date.
#[derive(Debug, Clone)]
pub struct ReleaseRound {
    own: InstanceName,
    required: BTreeSet<InstanceName>,
    optional: BTreeSet<InstanceName>,
    asked: BTreeSet<InstanceName>,
    gone: BTreeSet<InstanceName>,
    answers: BTreeMap<InstanceName, ReleaseAnswer>,
}

impl ReleaseRound {
    /// Starts an attempt with `members`, the members of the own failure domain.
    ///
    /// An unconfirmed member may be running, so it must answer. A leaving member stopped
    /// dispatching before it announced that it leaves; it must only report its running requests,
    /// unless it is gone. Dead members are not asked.
    pub fn new<'a>(
        own: InstanceName,
        members: impl IntoIterator<Item = (&'a MemberRecord, MemberState)>,
    ) -> ReleaseRound {
        let mut round = ReleaseRound {
            own,
            required: BTreeSet::new(),
            optional: BTreeSet::new(),
            asked: BTreeSet::new(),
            gone: BTreeSet::new(),
            answers: BTreeMap::new(),
        };
        for (record, state) in members {
            if record.instance == round.own || state == MemberState::Dead {
                continue;
            }
            let set = if record.leaving { &mut round.optional } else { &mut round.required };
            set.insert(record.instance.clone());
        }
        round
    }

    /// Returns the members that were not asked yet and marks them as asked. The attempt is complete
    /// when none are left.
    pub fn take_unasked(&mut self) -> Vec<InstanceName> {
        let members = self.required.union(&self.optional);
        let unasked: Vec<_> = members.filter(|m| !self.asked.contains(*m)).cloned().collect();
        self.asked.extend(unasked.iter().cloned());
        unasked
    }

    /// Records the answer of `member`. The members that it names must answer as well.
    pub fn record_answer(&mut self, member: InstanceName, answer: ReleaseAnswer) {
        let others = answer.known.iter().filter(|known| **known != self.own);
        self.required.extend(others.cloned());
        self.answers.insert(member, answer);
    }

    /// Records that nothing listens at the address of `member`, which excuses only a leaving one.
    pub fn record_gone(&mut self, member: InstanceName) {
        self.gone.insert(member);
    }

    /// Returns the servers among `servers` that all members released, each with the requests that
    /// every member still runs there.
    ///
    /// The result is empty if a member did not answer, or if no member is settled: members that
    /// joined at the same time may not know the owner.
    pub fn released<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a BackendServerName>,
    ) -> BTreeMap<BackendServerName, BTreeMap<InstanceName, InheritedRequests>> {
        let has_answered = |member: &InstanceName| self.answers.contains_key(member);
        let is_complete = self.required.iter().all(has_answered)
            && self.optional.iter().all(|m| has_answered(m) || self.gone.contains(m));
        if !is_complete || !self.answers.values().any(|a| a.settled) {
            return BTreeMap::new();
        }
        let released = servers.into_iter().filter_map(|server| {
            let counts = self
                .answers
                .iter()
                .map(|(member, answer)| Some((member.clone(), *answer.released.get(server)?)));
            Some((server.clone(), counts.collect::<Option<BTreeMap<_, _>>>()?))
        });
        released.collect()
    }
}

/// Sums the requests of several former owners that still run at `now`, or returns `None` if none
/// do.
pub fn sum_inherited_requests<'a>(
    counts: impl IntoIterator<Item = &'a InheritedRequests>,
    now: Instant,
) -> Option<InheritedRequests> {
    let running = counts.into_iter().filter(|c| c.running > 0 && c.until > now);
    running.copied().reduce(|a, b| InheritedRequests {
        running: a.running.saturating_add(b.running),
        until: a.until.max(b.until),
    })
}
