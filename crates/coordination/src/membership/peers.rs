//! Chooses the peers of one gossip period.

use std::net::SocketAddr;

use pollenshed_state::{ids::InstanceName, time::Instant};

use super::{
    hash::next_random,
    record::{MemberRecord, MemberState},
    scope::representatives,
    table::Membership,
};

/// One in this many periods also tries a dead member or a candidate, so that both sides of a healed
/// partition find each other within a few seconds.
const PROBE_ONE_IN: u64 = 4;

/// One in this many periods a member that is no representative contacts another failure domain.
const REMOTE_ONE_IN: u64 = 64;

/// A peer to exchange gossip with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the peer as last known.
    pub instance: InstanceName,
    /// Where to reach it.
    pub address: SocketAddr,
}

impl PeerTarget {
    fn of(record: &MemberRecord) -> PeerTarget {
        PeerTarget { instance: record.instance.clone(), address: record.peer_address }
    }
}

impl Membership {
    /// Chooses up to `peers_per_period` different peers.
    ///
    /// A place goes to a dead member, an unconfirmed one or a candidate now and then, and always
    /// while nobody else is known. Representatives give one place to another failure domain.
    pub fn pick_peers(&self, now: Instant, random: u64) -> Vec<PeerTarget> {
        let mut state = random;
        let mut near = Vec::new();
        let mut far = Vec::new();
        for member in self.members.values() {
            if self.judge(member, now).is_running() {
                let is_near = member.record.failure_domain == self.own().failure_domain;
                if is_near { &mut near } else { &mut far }.push(PeerTarget::of(&member.record));
            }
        }
        let few = near.len() + far.len() <= self.params.peers_per_period;
        let is_small = near.len() < self.params.representatives_per_domain;
        let mut picked = Vec::new();
        if few || next_random(&mut state).is_multiple_of(PROBE_ONE_IN) {
            take_one(&mut self.probe_targets(now), &mut picked, &mut state);
        }
        if is_small {
            near.append(&mut far);
        } else if self.is_representative(now)
            || next_random(&mut state).is_multiple_of(REMOTE_ONE_IN)
        {
            take_one(&mut far, &mut picked, &mut state);
        }
        while picked.len() < self.params.peers_per_period && !near.is_empty() {
            take_one(&mut near, &mut picked, &mut state);
        }
        picked.truncate(self.params.peers_per_period);
        picked
    }

    fn probe_targets(&self, now: Instant) -> Vec<PeerTarget> {
        let is_silent = |state| matches!(state, MemberState::Dead | MemberState::Unconfirmed);
        let silent = self.members.values().filter(|m| is_silent(self.judge(m, now)));
        let mut targets: Vec<_> = silent.map(|m| PeerTarget::of(&m.record)).collect();
        let unknown = self.candidates.iter().filter(|c| !self.members.contains_key(&c.instance));
        targets.extend(
            unknown.map(|c| PeerTarget { instance: c.instance.clone(), address: c.peer_address }),
        );
        targets
    }

    /// Returns whether this instance represents its failure domain to the others.
    pub fn is_representative(&self, now: Instant) -> bool {
        let domain = &self.own().failure_domain;
        let members = self
            .members(now)
            .filter(|(record, state)| record.failure_domain == *domain && state.is_running())
            .map(|(record, _)| &record.instance);
        representatives(members, self.params.representatives_per_domain)
            .contains(&&self.own().instance)
    }
}

fn take_one(from: &mut Vec<PeerTarget>, to: &mut Vec<PeerTarget>, state: &mut u64) {
    if !from.is_empty() {
        let index = next_random(state) % from.len() as u64;
        to.push(from.swap_remove(index as usize));
    }
}
