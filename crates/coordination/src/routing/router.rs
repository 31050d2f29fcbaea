//! Chooses the failure domain and the owner of a request.

use std::{collections::BTreeMap, fmt};

use pollenshed_state::{
    config::{Config, Drain, Rank, Service},
    ids::{FailureDomainName, Incarnation, InstanceName, RegionName},
    time::Instant,
    units::ByteSize,
};

use super::{advert::Advertisements, link::LinkBudget, lookup::domains_to_try};
use crate::{
    ownership::{Assignment, LiveEntry},
    shift::{Ramp, ShiftRefusal},
};

/// What a decision needs to know about a request.
#[derive(Debug, Clone)]
pub struct RouteRequest<'a> {
    /// Rank of the operation.
    pub rank: Rank,
    /// Size of the request on a link.
    pub request_bytes: ByteSize,
    /// Expected size of the answer; the largest one if nothing better is known.
    pub answer_bytes: ByteSize,
    /// Owners that refused this request already.
    pub excluded: &'a [InstanceName],
    /// For a further attempt, the failure domain that the request was counted for.
    pub counted_domain: Option<&'a FailureDomainName>,
    /// Whether an earlier call counted the arrival of this request.
    pub is_arrival_counted: bool,
    /// Spreads requests over the owners of a failure domain.
    pub random: u64,
}

/// What this entry knows about the system.
#[derive(Debug, Clone, Copy)]
pub struct RouteView<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Service of the request.
    pub service: &'a Service,
    /// Owners of backend servers.
    pub assignment: &'a Assignment,
    /// Live entries as membership has them.
    pub entries: &'a [LiveEntry],
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Failure domain of the backend servers.
    pub failure_domain: FailureDomainName,
    /// The owner to send the request to.
    pub owner: InstanceName,
    /// Run of the owner that the dispatch must name.
    pub incarnation: Incarnation,
    /// Region whose link the request uses, to settle the size of the answer.
    pub link_region: Option<RegionName>,
    /// Why it goes there.
    pub reason: RouteReason,
    /// Share of the service's traffic that may go to the failure domain, in parts per million.
    pub share_ppm: u32,
    /// Share of the failure domains that can't serve now, in parts per million.
    pub lost_ppm: u32,
}

/// Why a request goes where it goes, for the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// The home failure domain.
    Home,
    /// Another failure domain of the home region.
    HomeRegion,
    /// Another region.
    OtherRegion,
}

impl fmt::Display for RouteReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RouteReason::Home => "home",
            RouteReason::HomeRegion => "home-region",
            RouteReason::OtherRegion => "other-region",
        })
    }
}

/// Why a request goes nowhere. It is refused as not run. Of several reasons the last one holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoCapacity {
    /// No failure domain with a share has an owner with a usable backend server.
    NoBackendServer,
    /// The shift cap allows no more to the failure domains that can serve.
    ShiftCap,
    /// What the shift cap allows is kept for more urgent ranks.
    KeptForUrgent,
    /// No owner has advertised headroom left for this entry.
    NoHeadroom,
    /// The link's byte budget is spent.
    LinkFull,
}

impl fmt::Display for NoCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NoCapacity::NoBackendServer => "no-backend-server",
            NoCapacity::ShiftCap => "shift-cap",
            NoCapacity::KeptForUrgent => "kept-for-urgent",
            NoCapacity::NoHeadroom => "no-headroom",
            NoCapacity::LinkFull => "link-full",
        })
    }
}

/// Routes the requests of one entry.
#[derive(Debug, Clone)]
pub struct Router {
    home: FailureDomainName,
    /// Headroom of owners.
    pub advertisements: Advertisements,
    /// Byte budget of the links to other regions.
    pub links: LinkBudget,
}

struct Choice {
    owner: InstanceName,
    incarnation: Incarnation,
    link_region: Option<RegionName>,
    reason: RouteReason,
    lost_ppm: u32,
}

impl Router {
    /// Starts a router of an entry in `home`.
    pub fn new(home: FailureDomainName, adverts: Advertisements, links: LinkBudget) -> Router {
        Router { home, advertisements: adverts, links }
    }

    /// Chooses a target and counts the request against ramp, headroom and link.
    ///
    pub fn choose(
        &mut self,
        request: &RouteRequest<'_>,
        view: RouteView<'_>,
        ramp: &mut Ramp,
        now: Instant,
    ) -> Result<Target, NoCapacity> {
        if !request.is_arrival_counted {
            ramp.record_arrival(request.rank, now);
        }
        let home = self.home.clone();
        let order = domains_to_try(view.config, &home, ramp);
        let (served, lost): (Vec<_>, Vec<_>) =
            order.into_iter().partition(|d| !self.owners(view, d, request, now).is_empty());
        let lost_ppm = lost.into_iter().map(|d| ramp.share_ppm(d)).sum();
        let mut reason = NoCapacity::NoBackendServer;
        for domain in served {
            match self.try_domain(domain, request, view, ramp, lost_ppm, now) {
                Ok(choice) => return Ok(self.take(domain, choice, request, view, ramp, now)),
                Err(refused) => reason = reason.max(refused),
            }
        }
        Err(reason)
    }

    fn try_domain(
        &mut self,
        domain: &FailureDomainName,
        request: &RouteRequest<'_>,
        view: RouteView<'_>,
        ramp: &mut Ramp,
        lost_ppm: u32,
        now: Instant,
    ) -> Result<Choice, NoCapacity> {
        if request.counted_domain != Some(domain) {
            ramp.check_request(domain, request.rank, lost_ppm, now).map_err(NoCapacity::from)?;
        }
        let (reason, link_region) = self.distance(view.config, domain);
        if let Some(region) = &link_region {
            let (sent, answer) = (request.request_bytes, request.answer_bytes);
            if !self.links.has_room(region, sent, answer, now) {
                return Err(NoCapacity::LinkFull);
            }
        }
        let mut owners = self.owners(view, domain, request, now);
        if reason != RouteReason::Home {
            let name = &view.service.name;
            owners
                .retain(|(o, _)| self.advertisements.has_headroom(name, domain, &o.instance, now));
        }
        let owner = pick(&owners, request.random).ok_or(NoCapacity::NoHeadroom)?;
        let LiveEntry { instance, incarnation, .. } = owner.clone();
        Ok(Choice { owner: instance, incarnation, link_region, reason, lost_ppm })
    }

    fn take(
        &mut self,
        domain: &FailureDomainName,
        choice: Choice,
        request: &RouteRequest<'_>,
        view: RouteView<'_>,
        ramp: &mut Ramp,
        now: Instant,
    ) -> Target {
        if request.counted_domain != Some(domain) {
            ramp.record_sent(domain, request.rank, now);
        }
        if choice.reason != RouteReason::Home {
            self.advertisements.spend(&view.service.name, domain, &choice.owner);
        }
        if let Some(region) = &choice.link_region {
            self.links.spend(region, request.request_bytes, request.answer_bytes);
        }
        let Choice { owner, incarnation, link_region, reason, lost_ppm } = choice;
        let (failure_domain, share_ppm) = (domain.clone(), ramp.share_ppm(domain));
        Target { failure_domain, owner, incarnation, link_region, reason, share_ppm, lost_ppm }
    }

    fn distance(
        &self,
        config: &Config,
        domain: &FailureDomainName,
    ) -> (RouteReason, Option<RegionName>) {
        if *domain == self.home {
            return (RouteReason::Home, None);
        }
        let region = config.regions.iter().find(|r| r.failure_domains.contains(domain));
        match region {
            Some(r) if r.failure_domains.contains(&self.home) => (RouteReason::HomeRegion, None),
            region => (RouteReason::OtherRegion, region.map(|r| r.name.clone())),
        }
    }

    /// Returns the live owners that can serve the service in `domain`, with weights.
    ///
    /// A drained failure domain serves the share that the ramp has not moved yet, so that a planned
    /// drain refuses nobody. Its share ends at nothing.
    fn owners<'a>(
        &self,
        view: RouteView<'a>,
        domain: &FailureDomainName,
        request: &RouteRequest<'_>,
        now: Instant,
    ) -> Vec<(&'a LiveEntry, u64)> {
        let mut owners = if *domain == self.home {
            self.home_owners(view, domain, now)
        } else {
            self.advertised_owners(view, domain, now)
        };
        owners.retain(|(o, weight)| *weight > 0 && !request.excluded.contains(&o.instance));
        owners
    }

    /// In the home failure domain, owners weigh as much as the slots of their servers.
    fn home_owners<'a>(
        &self,
        view: RouteView<'a>,
        domain: &FailureDomainName,
        now: Instant,
    ) -> Vec<(&'a LiveEntry, u64)> {
        let mut slots: BTreeMap<&LiveEntry, u64> = BTreeMap::new();
        let servers = view.service.backend_servers.iter().filter(|s| s.failure_domain == *domain);
        for server in servers {
            let drain = Drain::BackendServer(server.name.clone());
            let owner = view.assignment.owner(&server.name);
            if let Some(owner) = owner.filter(|_| !view.config.drains.contains(&drain)) {
                let sum = slots.entry(owner).or_default();
                *sum = sum.saturating_add(server.slots.0);
            }
        }
        let without_server: Vec<_> = self
            .advertisements
            .for_service(&view.service.name, now)
            .filter(|a| a.failure_domain == *domain && a.usable_backend_servers == 0)
            .map(|a| (&a.owner, a.incarnation))
            .collect();
        slots.retain(|o, _| !without_server.contains(&(&o.instance, o.incarnation)));
        slots.into_iter().collect()
    }

    /// Elsewhere, owners weigh as much as their advertised headroom.
    fn advertised_owners<'a>(
        &self,
        view: RouteView<'a>,
        domain: &FailureDomainName,
        now: Instant,
    ) -> Vec<(&'a LiveEntry, u64)> {
        let adverts = self.advertisements.for_service(&view.service.name, now);
        let usable =
            adverts.filter(|a| a.failure_domain == *domain && a.usable_backend_servers > 0);
        let live = usable.filter_map(|a| {
            let is_owner = |e: &&LiveEntry| e.instance == a.owner && e.incarnation == a.incarnation;
            Some((view.entries.iter().find(is_owner)?, a.requests_per_s))
        });
        live.collect()
    }
}

impl From<ShiftRefusal> for NoCapacity {
    fn from(reason: ShiftRefusal) -> NoCapacity {
        match reason {
            ShiftRefusal::NoShare | ShiftRefusal::ShareExhausted => NoCapacity::ShiftCap,
            ShiftRefusal::KeptForUrgent => NoCapacity::KeptForUrgent,
        }
    }
}

/// Picks an owner with a probability in proportion to its weight.
fn pick<'a>(owners: &[(&'a LiveEntry, u64)], random: u64) -> Option<&'a LiveEntry> {
    let total: u64 = owners.iter().fold(0, |sum, (_, weight)| sum.saturating_add(*weight));
    let mut point = random.checked_rem(total)?;
    for (owner, weight) in owners {
        if point < *weight {
            return Some(owner);
        }
        point -= weight;
    }
    None
}
