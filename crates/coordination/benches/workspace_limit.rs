//! Time of a decision on a request of a workspace with a limit, among 74 workspaces.

use std::hint::black_box;

use criterion::Criterion;
use pollenshed_coordination::steering::workspace_limit::{SLOTS, WorkspaceKey, WorkspaceLimits};
use pollenshed_state::{
    routes::{Bounds, Workspace, WorkspaceLimit},
    time::Instant,
    units::RequestRate,
};

const WORKSPACES: usize = 74;

/// A moment at which the instance has its share.
const SETTLED_MS: u64 = 10_000;

fn workspace(number: usize, rate: RequestRate) -> Workspace {
    Workspace {
        name: format!("space-{number}").parse().unwrap(),
        rank: None,
        limit: Some(WorkspaceLimit { rate, burst_requests: 344 }),
        home_regions: Vec::new(),
    }
}

fn decisions(criterion: &mut Criterion) {
    // One case in which all requests are admitted, and one in which none are.
    for (name, rate) in [("admitted", RequestRate(u64::MAX / 2)), ("refused", RequestRate(0))] {
        let start = Instant::from_ms(0);
        let mut limits = WorkspaceLimits::new(&"front-0".parse().unwrap(), 1, start);
        let spaces: Vec<_> = (0..WORKSPACES).map(|number| workspace(number, rate)).collect();
        limits.configure(&spaces, &Bounds::default(), start);
        limits.tick(Some(1), true, &[None; SLOTS], Instant::START);
        limits.tick(Some(1), true, &[None; SLOTS], Instant::from_ms(SETTLED_MS));
        let key = WorkspaceKey::of(&spaces[WORKSPACES / 2].name);
        let mut us = SETTLED_MS * 1_000;
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                us += 1_000;
                limits.record_demand(key);
                black_box(limits.take(key, &[None; SLOTS], us, Instant::from_us(us)))
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    criterion.final_summary();
}
