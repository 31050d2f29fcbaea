//! Routing state of the entry: the router, and for each service its ramp and its retry budget.

use std::collections::HashMap;

use pollenshed_coordination::{
    limits::RetryBudget,
    routing::{
        Advertisement, Advertisements, LinkBudget, NoCapacity, RouteRequest, RouteView, Router,
        Target,
    },
    shift::{Ramp, Shares, WHOLE_PPM},
};
use pollenshed_state::{
    config::{Config, Network, Rank, Service},
    ids::{InstanceName, ServiceName},
    settings::Settings,
    time::Instant,
    units::{BitRate, Percent},
};

/// Weight of the refusals in one steering step when they raise the refused share.
const REFUSED_SHARE_WEIGHT: f64 = 0.1;

/// Decrease of the refused share per step without refusals. It is small, so that traffic returns to
/// the home failure domain slowly after an overload.
const REFUSED_SHARE_DECAY_PER_STEP: f64 = 0.02;

/// Requests of one service that were sent to the home failure domain since the last step, and the
/// share that it refuses, smoothed over the steps.
#[derive(Debug, Clone, Copy, Default)]
struct HomeLoad {
    sent: u64,
    refused: u64,
    refused_share: f64,
}

/// Decides where this entry sends requests and how fast that may change.
pub struct Routing {
    settings: Settings,
    home_loads: HashMap<ServiceName, HomeLoad>,
    /// Chooses targets; holds the advertised headroom and the link budgets.
    pub router: Router,
    /// Limits, for each service, how fast traffic moves between failure domains.
    pub ramps: HashMap<ServiceName, Ramp>,
    retry_budgets: HashMap<ServiceName, RetryBudget>,
    /// Number of the last stored advertisement that was sent to each peer.
    last_sent_arrivals: HashMap<InstanceName, u64>,
}

impl Routing {
    /// Starts without ramps and with link budgets of 0, until a configuration sets them.
    pub fn new(settings: &Settings, now: Instant) -> Routing {
        let ttl_ms = settings.timing.headroom_ttl_ms;
        // Owners divide their headroom among the entries, and count this entry only after gossip
        // has told them of it.
        let adverts = Advertisements::new(ttl_ms, now.plus_ms(settings.timing.dead_after_ms));
        let none = Network {
            between_failure_domains_us: 0,
            between_regions_us: 0,
            to_clients_us: 0,
            region_link_bits_per_s: BitRate(0),
            region_link_share_percent: Percent(0),
        };
        let links = LinkBudget::new(&none, 1, now);
        Routing {
            router: Router::new(settings.failure_domain.clone(), adverts, links),
            ramps: HashMap::new(),
            home_loads: HashMap::new(),
            retry_budgets: HashMap::new(),
            last_sent_arrivals: HashMap::new(),
            settings: settings.clone(),
        }
    }

    /// Applies the shift policies, minimum shares and link budgets of a configuration.
    pub fn update_policies(&mut self, config: &Config, entries_in_region: u64, now: Instant) {
        self.router.links.set_share(&config.network, entries_in_region, now);
        for service in &config.services {
            let home = self.settings.failure_domain.clone();
            self.ramps
                .entry(service.name.clone())
                .and_modify(|ramp| ramp.set_policy(service.shift.clone(), now))
                .or_insert_with(|| Ramp::new(home, service.shift.clone()));
        }
        let min_shares = Rank::ALL.map(|rank| {
            let policy = config.ranks.iter().find(|p| p.rank == rank);
            policy.map_or(Percent(0), |p| p.min_share_percent)
        });
        for ramp in self.ramps.values_mut() {
            ramp.set_min_shares(min_shares);
        }
        self.ramps.retain(|name, _| config.services.iter().any(|s| s.name == *name));
    }

    /// Chooses the owner that a request is sent to, within the ramp of its service.
    pub fn choose(
        &mut self,
        request: &RouteRequest<'_>,
        view: RouteView<'_>,
        now: Instant,
    ) -> Result<Target, NoCapacity> {
        let home = self.settings.failure_domain.clone();
        let ramp = self
            .ramps
            .entry(view.service.name.clone())
            .or_insert_with(|| Ramp::new(home, view.service.shift.clone()));
        self.router.choose(request, view, ramp, now)
    }

    /// Returns the shares of a service's traffic by failure domain, for log lines.
    pub fn ramp_position(&self, service: &ServiceName) -> Shares {
        self.ramps.get(service).map_or_else(Shares::all_home, |ramp| ramp.position().clone())
    }

    /// Returns the advertisements that have not been sent to a peer yet, and marks them as sent.
    pub fn unsent_advertisements(
        &mut self,
        peer: &InstanceName,
        now: Instant,
    ) -> Vec<Advertisement> {
        let sent = self.last_sent_arrivals.entry(peer.clone()).or_default();
        let unsent = self.router.advertisements.received_after(*sent, now);
        *sent = self.router.advertisements.last_arrival();
        unsent
    }

    /// Forgets what was sent to peers that are gone, so that they get all advertisements if they
    /// return.
    pub fn retain_peers(&mut self, is_known: impl Fn(&InstanceName) -> bool) {
        self.last_sent_arrivals.retain(|peer, _| is_known(peer));
    }

    /// Returns the retry budget of a service, with the share that the configuration sets.
    pub fn retry_budget(&mut self, service: &Service) -> &mut RetryBudget {
        let share = service.retry_budget_percent;
        let budget = self
            .retry_budgets
            .entry(service.name.clone())
            .or_insert_with(|| RetryBudget::new(share));
        budget.set_share(share);
        budget
    }

    /// Counts an attempt at an owner of the home failure domain, for [`Routing::update_home_ppm`].
    /// `was_refused` says that the owner or the backend server refused it for lack of capacity.
    pub fn record_home_attempt(&mut self, service: &ServiceName, was_refused: bool) {
        let load = self.home_loads.entry(service.clone()).or_default();
        load.sent += 1;
        load.refused += u64::from(was_refused);
    }

    /// Returns the share of the traffic, in parts per million, that the home failure domain can
    /// serve, and restarts the counts for the next steering step.
    pub fn update_home_ppm(&mut self, service: &ServiceName) -> u32 {
        let load = self.home_loads.entry(service.clone()).or_default();
        let refused = if load.sent == 0 { 0.0 } else { load.refused as f64 / load.sent as f64 };
        if refused > 0.0 {
            load.refused_share += REFUSED_SHARE_WEIGHT * (1.0 - load.refused_share) * refused;
        } else {
            load.refused_share = (load.refused_share - REFUSED_SHARE_DECAY_PER_STEP).max(0.0);
        }
        (load.sent, load.refused) = (0, 0);
        WHOLE_PPM - (load.refused_share * f64::from(WHOLE_PPM)) as u32
    }
}
