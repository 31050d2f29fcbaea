//! Chooses the peers that an instance contacts in one gossip period.

use std::net::SocketAddr;

use pollenshed_state::{ids::InstanceName, time::Instant};

use super::{
    hash::next_random,
    record::{MemberRecord, MemberState},
    scope::representatives,
    table::Membership,
};

/// On average, one in this many periods also tries a dead member or a candidate, so that both sides
/// of a healed partition find each other within a few seconds.
const PROBE_ONE_IN_PERIODS: u64 = 4;

/// On average, a member that is not a representative contacts another failure domain in one of this
/// many periods.
const OTHER_DOMAIN_ONE_IN_PERIODS: u64 = 64;

/// A peer to exchange gossip with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTarget {
    /// Instance name that was last known for the address.
    pub instance: InstanceName,
    /// Address for control messages.
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
    /// In some periods, one of them is a dead or unconfirmed member or a candidate, if there is
    /// any. That is so in every period while no more than `peers_per_period` other members are
    /// running. If fewer than `representatives_per_domain` other members of the own failure domain
    /// are running, the other peers are chosen from all failure domains alike. Otherwise a
    /// representative always chooses one peer of another failure domain, and other members seldom
    /// do.
    pub fn pick_peers(&self, now: Instant, random: u64) -> Vec<PeerTarget> {
        let mut state = random;
        let mut own_domain = Vec::new();
        let mut other_domains = Vec::new();
        for member in self.members.values() {
            if self.state_at(member, now).is_running() {
                let is_own_domain = member.record.failure_domain == self.own().failure_domain;
                if is_own_domain { &mut own_domain } else { &mut other_domains }
                    .push(PeerTarget::of(&member.record));
            }
        }
        let has_few_peers = own_domain.len() + other_domains.len() <= self.params.peers_per_period;
        let is_small_domain = own_domain.len() < self.params.representatives_per_domain;
        let mut picked = Vec::new();
        if has_few_peers || next_random(&mut state).is_multiple_of(PROBE_ONE_IN_PERIODS) {
            move_random(&mut self.probe_targets(now), &mut picked, &mut state);
        }
        if is_small_domain {
            own_domain.append(&mut other_domains);
        } else if self.is_representative(now)
            || next_random(&mut state).is_multiple_of(OTHER_DOMAIN_ONE_IN_PERIODS)
        {
            move_random(&mut other_domains, &mut picked, &mut state);
        }
        while picked.len() < self.params.peers_per_period && !own_domain.is_empty() {
            move_random(&mut own_domain, &mut picked, &mut state);
        }
        picked.truncate(self.params.peers_per_period);
        picked
    }

    fn probe_targets(&self, now: Instant) -> Vec<PeerTarget> {
        let is_silent = |state| matches!(state, MemberState::Dead | MemberState::Unconfirmed);
        let silent = self.members.values().filter(|m| is_silent(self.state_at(m, now)));
        let mut targets: Vec<_> = silent.map(|m| PeerTarget::of(&m.record)).collect();
        let unknown = self.candidates.iter().filter(|c| !self.members.contains_key(&c.instance));
        targets.extend(
            unknown.map(|c| PeerTarget { instance: c.instance.clone(), address: c.peer_address }),
        );
        targets
    }

    /// Returns whether this instance is a representative, which exchanges gossip with other failure
    /// domains.
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

fn move_random(from: &mut Vec<PeerTarget>, to: &mut Vec<PeerTarget>, state: &mut u64) {
    if !from.is_empty() {
        let index = next_random(state) % from.len() as u64;
        to.push(from.swap_remove(index as usize));
    }
}
