//! Chooses the failure domain and the owner that a request goes to.

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

/// Properties of a request that affect its route.
#[derive(Debug, Clone)]
pub struct RouteRequest<'a> {
    /// Rank of the requested operation.
    pub rank: Rank,
    /// Size of the request that counts against the budget of a link.
    pub request_bytes: ByteSize,
    /// Expected size of the answer; the largest possible size if there is no better estimate.
    pub answer_bytes: ByteSize,
    /// Owners that have already refused this request.
    pub excluded: &'a [InstanceName],
    /// Failure domain that an earlier attempt of this request was counted for, if there was one.
    pub counted_domain: Option<&'a FailureDomainName>,
    /// Whether an earlier call already counted the arrival of this request.
    pub is_arrival_counted: bool,
    /// Random number that selects an owner within the failure domain.
    pub random: u64,
}

/// State of the system as this entry sees it.
#[derive(Debug, Clone, Copy)]
pub struct RouteView<'a> {
    /// Current configuration.
    pub config: &'a Config,
    /// Service that the request calls.
    pub service: &'a Service,
    /// Which entry owns each backend server.
    pub assignment: &'a Assignment,
    /// Live entries according to the membership table.
    pub entries: &'a [LiveEntry],
}

/// Destination that was chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Failure domain of the backend servers.
    pub failure_domain: FailureDomainName,
    /// Instance that dispatches the request to one of its backend servers.
    pub owner: InstanceName,
    /// Incarnation of the owner; the owner refuses a dispatch that names another one.
    pub incarnation: Incarnation,
    /// Region that the request is sent to over a link, if it leaves this entry's region. The
    /// answer's actual size is later passed to [`LinkBudget::adjust_answer`] with it.
    pub link_region: Option<RegionName>,
    /// Relation of the failure domain to the entry's home.
    pub reason: RouteReason,
    /// Share of the service's traffic that may go to the failure domain, in parts per million.
    pub share_ppm: u32,
    /// Sum of the shares of failure domains that can't serve now, in parts per million.
    pub lost_ppm: u32,
}

/// Relation of the chosen failure domain to the entry's home, for the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// The entry's own failure domain.
    Home,
    /// Another failure domain of the home region.
    HomeRegion,
    /// A failure domain of another region.
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

/// Why no failure domain can take a request, which is then refused as not run.
///
/// If failure domains differ in the reason, the last of these variants is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoCapacity {
    /// No failure domain that has a share has an owner with a usable backend server.
    NoBackendServer,
    /// The shift cap allows no more requests to the failure domains that can serve.
    ShiftCap,
    /// The remaining requests that the shift cap allows are reserved for more urgent ranks.
    ReservedForUrgent,
    /// No owner has advertised headroom that this entry could still use.
    NoHeadroom,
    /// The byte budget of the link is used up.
    LinkFull,
}

impl fmt::Display for NoCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NoCapacity::NoBackendServer => "no-backend-server",
            NoCapacity::ShiftCap => "shift-cap",
            NoCapacity::ReservedForUrgent => "kept-for-urgent",
            NoCapacity::NoHeadroom => "no-headroom",
            NoCapacity::LinkFull => "link-full",
        })
    }
}

/// Chooses targets for the requests of one entry.
#[derive(Debug, Clone)]
pub struct Router {
    home: FailureDomainName,
    /// Headroom that the owners have advertised.
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
    /// Returns the router of an entry whose own failure domain is `home`.
    pub fn new(home: FailureDomainName, adverts: Advertisements, links: LinkBudget) -> Router {
        Router { home, advertisements: adverts, links }
    }

    /// Chooses a target and counts the request against ramp, headroom and link budget.
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
        let (serving, lost): (Vec<_>, Vec<_>) =
            order.into_iter().partition(|d| !self.owners(view, d, request, now).is_empty());
        let lost_ppm = lost.into_iter().map(|d| ramp.share_ppm(d)).sum();
        let mut reason = NoCapacity::NoBackendServer;
        for domain in serving {
            match self.try_domain(domain, request, view, ramp, lost_ppm, now) {
                Ok(choice) => return Ok(self.commit(domain, choice, request, view, ramp, now)),
                Err(no_capacity) => reason = reason.max(no_capacity),
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
        let (reason, link_region) = self.classify_domain(view.config, domain);
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
        let owner = pick_weighted(&owners, request.random).ok_or(NoCapacity::NoHeadroom)?;
        let LiveEntry { instance, incarnation, .. } = owner.clone();
        Ok(Choice { owner: instance, incarnation, link_region, reason, lost_ppm })
    }

    fn commit(
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

    fn classify_domain(
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

    /// Returns the live owners that can serve the service in `domain`, with their weights.
    ///
    /// Owners in a drained failure domain are included: it serves the share that the ramp has not
    /// moved yet, which falls to 0, so that a planned drain refuses no requests.
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

    /// Returns the owners in the home failure domain, weighted by the slots of their backend
    /// servers.
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
        let without_usable_server: Vec<_> = self
            .advertisements
            .for_service(&view.service.name, now)
            .filter(|a| a.failure_domain == *domain && a.usable_backend_servers == 0)
            .map(|a| (&a.owner, a.incarnation))
            .collect();
        slots.retain(|o, _| !without_usable_server.contains(&(&o.instance, o.incarnation)));
        slots.into_iter().collect()
    }

    /// Returns the owners in another failure domain, weighted by their advertised headroom.
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
            ShiftRefusal::ReservedForUrgent => NoCapacity::ReservedForUrgent,
        }
    }
}

/// Picks an owner with a probability proportional to its weight.
fn pick_weighted<'a>(owners: &[(&'a LiveEntry, u64)], random: u64) -> Option<&'a LiveEntry> {
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
