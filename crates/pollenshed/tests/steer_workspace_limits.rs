//! Limits of workspaces over all instances, with real processes.

mod steer_support;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_standins::steered::ServerOptions;
use serde_json::json;
use steer_support::*;

const INSTANCES: usize = 4;

/// Limit of the workspace, and what is tolerated in a window.
const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
const ALLOWED_IN_WINDOW: f64 = (RATE_PER_S * 5.0 + BURST) * 1.1 + 20.0;

/// Pause of a caller after a refusal. All callers together ask for several times the limit.
const PAUSE: Duration = Duration::from_millis(20);
const CALLERS_PER_INSTANCE: usize = 3;

/// Callers that press on all instances.
#[derive(Default)]
struct Callers {
    stopped: AtomicBool,
    count: AtomicUsize,
    served_at: Mutex<Vec<Instant>>,
}

impl Callers {
    fn press(&self, address: SocketAddr) {
        let start = Instant::now();
        // A test that has failed does not stop its callers.
        while !self.stopped.load(Ordering::Relaxed) && start.elapsed() < 5 * WAIT_TIMEOUT {
            let number = self.count.fetch_add(1, Ordering::Relaxed);
            let headers = format!("X-Affinity-Key: {}\r\nAuthorization: Token k-1\r\n", number % 6);
            let text = request("GET", "/read/1", &format!("r-{number}"), &headers, "");
            let caller = Caller::open(address, WAIT_TIMEOUT).ok();
            let answer = caller.and_then(|mut caller| caller.exchange(&text));
            if answer.as_ref().is_some_and(|answer| answer.status == 200) {
                self.served_at.lock().unwrap().push(Instant::now());
                continue;
            }
            if let Some(refusal) = answer.filter(|answer| answer.status == 429) {
                let after_s: f64 = refusal.header("retry-after").unwrap().parse().unwrap();
                assert!(after_s > 0.0 && after_s <= 3.0, "{after_s}");
            }
            thread::sleep(PAUSE);
        }
    }

    /// Waits until this ratio of the limit is served in the part of a window after `start`.
    fn wait_until_served(&self, ratio: f64, start: Instant) {
        wait_for("service within the limit", || {
            let from = start.max(Instant::now().checked_sub(WINDOW)?);
            let served_at = self.served_at.lock().unwrap();
            let served = served_at.iter().filter(|at| **at >= from).count();
            let owed = ratio * RATE_PER_S * WINDOW.as_secs_f64();
            (served as f64 >= owed).then_some(())
        });
    }
}

/// Returns the largest number of moments in a window.
fn most_in_window(mut at: Vec<Instant>) -> usize {
    at.sort_unstable();
    let in_window = |(index, start): (usize, &Instant)| {
        at[index..].iter().take_while(|later| later.duration_since(*start) < WINDOW).count()
    };
    at.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Returns the number of the instance that gives out permits for most groups of workspaces.
fn largest_keeper(fleet: &Fleet) -> usize {
    let log = fleet.instances[0].log();
    let field = |line: &str, name: &str| {
        line.split(' ').find_map(|part| part.strip_prefix(name)).map(str::to_owned)
    };
    let lines = log.lines().filter(|line| line.contains("limit: keeper;"));
    let keepers: BTreeMap<_, _> =
        lines.filter_map(|line| Some((field(line, "slot=")?, field(line, "keeper=")?))).collect();
    let slots = |name: &str| keepers.values().filter(|keeper| *keeper == name).count();
    (0..fleet.instances.len()).max_by_key(|i| slots(&fleet.instances[*i].name)).unwrap()
}

/// Waits until an instance has owned a share of the limits this many times.
fn wait_for_share(instance: &Instance, times: usize) {
    wait_for("a share of the limits", || {
        let owned = instance.log().matches("limit: share; owned=true").count();
        (owned == times).then_some(())
    });
}

/// Guards against a workspace that gets more than its limit, or much less, over all instances when
/// the one that gives out most permits is killed and started again.
#[googletest::test]
fn a_killed_keeper_neither_raises_nor_stops_the_limit() {
    let options = |number| ServerOptions {
        name: format!("i-{number}"),
        slots: 16,
        queue: 100,
        uncached_run: Duration::from_millis(5),
        cached_run: Duration::from_millis(5),
        ..Default::default()
    };
    let mut fleet = Fleet::open((0..2).map(options).collect());
    let mut limited = config(2);
    limited["tenants"] = json!([
        { "name": "north", "api_keys": ["k-1"], "rate_per_s": RATE_PER_S, "burst": BURST },
    ]);
    fleet.store.put("op", "config", limited.to_string().as_bytes());
    for _ in 0..INSTANCES {
        fleet.start("palermo-a");
    }
    fleet.wait_until_ready();
    fleet.instances.iter().for_each(|instance| wait_for_share(instance, 1));
    let addresses: Vec<_> = fleet.instances.iter().map(Instance::callers).collect();
    let callers = Callers::default();
    thread::scope(|scope| {
        let callers = &callers;
        for address in addresses.iter().flat_map(|address| [*address; CALLERS_PER_INSTANCE]) {
            scope.spawn(move || callers.press(address));
        }
        callers.wait_until_served(0.9, Instant::now());
        let keeper = largest_keeper(&fleet);
        fleet.instances[keeper].signal("KILL");
        // What the killed instance owned is out of use until it is back.
        callers.wait_until_served(0.6, Instant::now());
        fleet.restart(keeper);
        wait_for_share(&fleet.instances[keeper], 2);
        callers.wait_until_served(0.9, Instant::now());
        callers.stopped.store(true, Ordering::Relaxed);
    });
    let arrivals = fleet.servers.iter().flat_map(|server| server.arrivals()).collect();
    expect_that!(most_in_window(arrivals) as f64, le(ALLOWED_IN_WINDOW));
}
