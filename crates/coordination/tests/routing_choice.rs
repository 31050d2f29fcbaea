//! The choice of failure domain and owner within shares, headroom and link budgets.

mod routing_support;

use googletest::prelude::*;
use pollenshed_coordination::{
    ownership::{Assignment, LiveEntry},
    routing::{
        Advertisement, Advertisements, LinkBudget, NoCapacity, RouteReason, RouteRequest,
        RouteView, Router, Target,
    },
    shift::{Ramp, Shares},
};
use pollenshed_state::{
    config::{Config, Drain, Rank},
    ids::{FailureDomainName, InstanceName},
    time::Instant,
    units::{ByteSize, Percent},
};
use routing_support::{DOMAINS, config, domain, entry, instance, ms, shift_policy};

struct Setup {
    config: Config,
    entries: Vec<LiveEntry>,
    router: Router,
    ramp: Ramp,
    request_bytes: u64,
    is_arrival_counted: bool,
}

impl Setup {
    /// One entry in each failure domain; entry 0 does the routing. `remote` holds the shares of the
    /// other failure domains.
    fn new(remote: [u32; 3]) -> Setup {
        let config = config(12);
        let entries: Vec<_> = (0..4).map(|n| entry(n, DOMAINS[n])).collect();
        let home = domain(DOMAINS[0]);
        let links = LinkBudget::new(&config.network, 1, ms(0));
        let router = Router::new(home.clone(), Advertisements::new(2_000, ms(0)), links);
        let mut ramp = Ramp::new(home, shift_policy(10, 5, 1_000));
        ramp.adopt_position(
            Shares::from_remote(DOMAINS[1..].iter().map(|d| domain(d)).zip(remote)),
            ms(0),
        );
        Setup { config, entries, router, ramp, request_bytes: 100, is_arrival_counted: false }
    }

    /// Drains all backend servers of the service, so that none in the home failure domain is
    /// usable.
    fn drain_all_servers(&mut self) {
        let servers = self.config.services[0].backend_servers.clone();
        let drains = servers.into_iter().map(|s| Drain::BackendServer(s.name));
        self.config.drains.extend(drains);
    }

    fn advertise(&mut self, owner: usize, requests_per_s: u64, now: Instant) {
        let service = self.config.services[0].name.clone();
        let LiveEntry { instance, incarnation, failure_domain } = self.entries[owner].clone();
        let advert = Advertisement {
            owner: instance,
            incarnation,
            service,
            failure_domain,
            requests_per_s,
            parts: 1,
            sequence: now.as_ms() + 1,
            ttl_left_ms: 2_000,
            usable_backend_servers: 3,
            cold_backend_servers: 0,
        };
        self.router.advertisements.store(advert, Some(incarnation), now).unwrap();
    }

    fn choose(&mut self, now: Instant) -> std::result::Result<Target, NoCapacity> {
        self.choose_again(&[], None, now)
    }

    fn choose_again(
        &mut self,
        excluded: &[InstanceName],
        counted_domain: Option<&FailureDomainName>,
        now: Instant,
    ) -> std::result::Result<Target, NoCapacity> {
        let assignment = Assignment::compute(&self.config, &self.entries);
        let view = RouteView {
            config: &self.config,
            service: &self.config.services[0],
            assignment: &assignment,
            entries: &self.entries,
        };
        let request = RouteRequest {
            rank: Rank::Urgent,
            request_bytes: ByteSize(self.request_bytes),
            answer_bytes: ByteSize(100),
            excluded,
            counted_domain,
            is_arrival_counted: self.is_arrival_counted || counted_domain.is_some(),
            random: 0,
        };
        self.router.choose(&request, view, &mut self.ramp, now)
    }

    /// Routes `count` requests, one every 10 ms, and returns how many went to each failure domain.
    fn route(&mut self, count: u64, from_ms: u64) -> [u64; 4] {
        let mut sent = [0; 4];
        for n in 0..count {
            let target = self.choose(ms(from_ms + n * 10));
            if let Ok(target) = target {
                let to = DOMAINS.iter().position(|d| domain(d) == target.failure_domain);
                sent[to.unwrap()] += 1;
            }
        }
        sent
    }
}

/// Guards against requests that leave the home failure domain while it has the whole share.
#[gtest]
fn home_domain_gets_everything_at_first() {
    let mut setup = Setup::new([0, 0, 0]);
    setup.advertise(1, 1_000, ms(0));
    expect_that!(setup.route(100, 1_000), eq([100, 0, 0, 0]));
    let target = setup.choose(ms(1_990)).unwrap();
    expect_that!(target.reason, eq(RouteReason::Home));
    expect_that!(target.owner, eq(&instance(0)));
}

/// Guards against requests that are split differently from the position of the ramp.
#[gtest]
fn requests_follow_the_position() {
    let mut setup = Setup::new([200_000, 100_000, 0]);
    for owner in 1..4 {
        setup.advertise(owner, 1_000, ms(0));
    }
    // Of 101 requests, 20.2 and 10.1 are rounded down, and the home failure domain takes the rest.
    expect_that!(setup.route(101, 500), eq([71, 20, 10, 0]));
    let reasons: Vec<_> = (0..20)
        .filter_map(|n| setup.choose(ms(1_600 + n)).ok())
        .map(|t| (t.reason, t.link_region.is_some()))
        .collect();
    expect_that!(reasons, contains(eq(&(RouteReason::HomeRegion, false))));
    expect_that!(reasons, contains(eq(&(RouteReason::OtherRegion, true))));
}

/// Guards against requests sent to an owner without headroom or with an expired advertisement.
#[gtest]
fn expired_or_missing_headroom_is_not_used() {
    let mut setup = Setup::new([1_000_000, 0, 0]);
    expect_that!(setup.choose(ms(500)).map(|_| ()), err(eq(NoCapacity::NoBackendServer)));
    setup.advertise(1, 10, ms(500));
    expect_that!(setup.choose(ms(1_000)).map(|t| t.owner == instance(1)), ok(eq(true)));
    expect_that!(setup.choose(ms(1_001)).map(|_| ()), ok(eq(())));
    expect_that!(setup.choose(ms(1_002)).map(|_| ()), err(eq(NoCapacity::NoHeadroom)));
    expect_that!(setup.choose(ms(2_500)).map(|_| ()), err(eq(NoCapacity::NoBackendServer)));
}

/// Guards against new requests to a target that is drained, dead or excluded.
#[gtest]
fn drained_dead_and_excluded_targets_get_nothing() {
    let drains =
        [Drain::FailureDomain(domain(DOMAINS[0])), Drain::Region("north".parse().unwrap())];
    for drain in drains {
        // A drained failure domain serves its share until the ramp has moved it.
        let mut setup = Setup::new([100_000, 0, 0]);
        setup.config.drains.push(drain.clone());
        setup.advertise(1, 10_000, ms(0));
        expect_that!(setup.route(100, 500), eq([90, 10, 0, 0]));
        let mut setup = Setup::new([1_000_000, 0, 0]);
        setup.config.drains.push(drain);
        setup.advertise(1, 10_000, ms(0));
        expect_that!(setup.route(100, 500), eq([0, 100, 0, 0]));
    }
    let mut setup = Setup::new([0, 0, 0]);
    setup.drain_all_servers();
    expect_that!(setup.choose(ms(0)).map(|_| ()), err(eq(NoCapacity::NoBackendServer)));
    let mut setup = Setup::new([1_000_000, 0, 0]);
    setup.advertise(1, 1_000, ms(0));
    expect_that!(setup.choose(ms(500)).map(|_| ()), ok(eq(())));
    setup.entries.remove(1);
    expect_that!(setup.choose(ms(510)).map(|_| ()), err(eq(NoCapacity::NoBackendServer)));
    let mut setup = Setup::new([0, 0, 0]);
    let again = setup.choose_again(&[instance(0)], Some(&domain(DOMAINS[0])), ms(0));
    expect_that!(again.map(|_| ()), err(eq(NoCapacity::NoBackendServer)));
}

/// Guards against a further attempt that is counted as another request and exceeds the share.
#[gtest]
fn further_attempt_is_counted_once() {
    let mut setup = Setup::new([0, 0, 0]);
    setup.entries.push(entry(9, DOMAINS[0]));
    for n in 0..50 {
        let first = setup.choose(ms(n)).unwrap();
        let home = first.failure_domain.clone();
        let again = setup.choose_again(std::slice::from_ref(&first.owner), Some(&home), ms(n));
        expect_that!(again.map(|t| t.owner == first.owner), ok(eq(false)));
    }
}

/// Guards against a lost home failure domain whose requests all move at once, or none of them.
#[gtest]
fn lost_home_domain_moves_only_the_share_of_the_ramp() {
    let mut setup = Setup::new([100_000, 0, 0]);
    setup.advertise(1, 10_000, ms(0));
    setup.drain_all_servers();
    expect_that!(setup.route(100, 500), eq([0, 10, 0, 0]));
}

/// Guards against more traffic on a link than the configured share of its rate.
#[gtest]
fn link_budget_bounds_requests_to_other_regions() {
    let mut setup = Setup::new([0, 1_000_000, 0]);
    // Half of 50% of 8 Mbit/s is for requests: 250,000 bytes per second.
    setup.request_bytes = 5_000;
    let mut sent = 0;
    for second in 0..4 {
        setup.advertise(2, 1_000, ms(second * 1_000));
        sent += setup.route(100, second * 1_000)[2];
    }
    let bytes = sent * 5_000;
    expect_that!(bytes, all!(le(4 * 250_000), ge(4 * 200_000 - 50_000)));
    setup.config.network.region_link_share_percent = Percent(0);
    let network = setup.config.network.clone();
    setup.router.links.set_share(&network, 1, ms(4_000));
    setup.advertise(2, 1_000, ms(4_000));
    expect_that!(setup.choose(ms(4_500)).map(|_| ()), err(eq(NoCapacity::LinkFull)));
}

/// Guards against the refusal of a request that waited for an owner longer than one interval while
/// the home failure domain has the whole share. Its arrival no longer counts in the interval then.
#[gtest]
fn request_that_waited_for_an_owner_is_served_at_home() {
    let mut setup = Setup::new([0, 0, 0]);
    let entries = std::mem::take(&mut setup.entries);
    let refused = setup.choose(ms(0)).map(|_| ());
    expect_that!(refused, err(eq(NoCapacity::NoBackendServer)));
    setup.entries = entries;
    setup.is_arrival_counted = true;
    expect_that!(setup.choose(ms(2_000)).map(|_| ()), ok(eq(())));
    setup.is_arrival_counted = false;
    expect_that!(setup.route(5, 2_010), eq([5, 0, 0, 0]));
}
