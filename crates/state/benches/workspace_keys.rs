//! Time of finding the workspace of a key, which every request pays, by the number of keys.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion};
use pollenshed_state::routes::{KeyDigest, Workspace, Workspaces};

/// Keys of each workspace.
const KEYS_PER_WORKSPACE: usize = 10;

fn key(number: usize) -> String {
    format!("key-{number:032x}")
}

fn workspaces(key_count: usize) -> Workspaces {
    let mut workspaces = Workspaces::default();
    for number in 0..key_count / KEYS_PER_WORKSPACE {
        let name = format!("workspace-{number}").parse().expect("valid name");
        let first = number * KEYS_PER_WORKSPACE;
        let keys = (first..first + KEYS_PER_WORKSPACE).map(|n| KeyDigest::of(key(n).as_bytes()));
        workspaces
            .insert(Workspace { name, rank: None, limit: None, home_regions: Vec::new() }, keys);
    }
    workspaces
}

fn find_workspace(c: &mut Criterion) {
    let mut group = c.benchmark_group("find_workspace");
    group.warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2));
    for key_count in [100, 10_000, 100_000] {
        let workspaces = workspaces(key_count);
        let keys: Vec<String> = (0..1_024).map(|n| key(n * 7_919 % (2 * key_count))).collect();
        let mut next = keys.iter().cycle();
        group.bench_function(BenchmarkId::from_parameter(key_count), |b| {
            b.iter(|| {
                let key = next.next().map_or(&[][..], |key| key.as_bytes());
                black_box(workspaces.by_key(&KeyDigest::of(black_box(key))))
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    find_workspace(&mut criterion);
    criterion.final_summary();
}
