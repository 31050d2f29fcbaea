//! Which members a new owner has to ask before it dispatches without the wait.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{
    ids::{BackendServerName, InstanceName},
    time::Instant,
};

use super::map::InheritedRequests;
use crate::membership::{MemberRecord, MemberState};

/// What a member said when it was asked to release servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseAnswer {
    /// Whether the member has run for so long that it knows the members of its failure domain.
    pub settled: bool,
    /// Members that it takes for neither dead nor leaving.
    pub known: Vec<InstanceName>,
    /// Servers to which it does not dispatch any more, with its requests that still run there.
    pub released: BTreeMap<BackendServerName, InheritedRequests>,
}

/// One try to get servers released by every member that could dispatch to them.
///
/// Only a try in which all members answered counts, because an earlier promise could be outdated.
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
    /// Starts with the members of the own failure domain.
    ///
    /// A member that was not confirmed yet may run, so it has to answer. One that is leaving stopped
    /// to dispatch before it said so; it is asked for the number of its requests, unless it is gone.
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

    /// Returns the members to ask now, each once. The try is complete when there are none.
    pub fn take_unasked(&mut self) -> Vec<InstanceName> {
        let members = self.required.union(&self.optional);
        let unasked: Vec<_> = members.filter(|m| !self.asked.contains(*m)).cloned().collect();
        self.asked.extend(unasked.iter().cloned());
        unasked
    }

    /// Takes an answer. The members that it names have to answer, too.
    pub fn record_answer(&mut self, member: InstanceName, answer: ReleaseAnswer) {
        let others = answer.known.iter().filter(|known| **known != self.own);
        self.required.extend(others.cloned());
        self.answers.insert(member, answer);
    }

    /// Takes note that nothing listens at a member's address.
    pub fn record_gone(&mut self, member: InstanceName) {
        self.gone.insert(member);
    }

    /// Returns for each of `servers` that all members released what still runs there.
    ///
    /// Nothing counts as released if a member did not answer, or if none has run for long: members
    /// that joined together may not know of the owner.
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

/// Adds up the requests of several former owners that still run at `now`.
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
