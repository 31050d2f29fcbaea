//! Helpers for the tests of `limits`.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use pollenshed_coordination::limits::{
    CacheState, Occupancy, Scheduler, SchedulerPolicy, ServerSpec, SubmitResult, Work, WorkId,
};
use pollenshed_state::{
    config::Rank,
    ids::{BackendServerName, Digest, ServiceName},
    time::Instant,
    units::{ByteSize, Slots},
};
use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Configures `cases` cases from a fixed seed, so that each run tests the same ones.
pub fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x706f_6c6c),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

pub fn server(i: usize) -> BackendServerName {
    format!("server-{i}").parse().unwrap()
}

pub fn service() -> ServiceName {
    "tavole".parse().unwrap()
}

/// Creates a scheduler with warm and empty servers `server-0`, `server-1`, ...
pub fn scheduler(servers: usize, slots: u64, policy: SchedulerPolicy) -> Scheduler {
    let mut scheduler = Scheduler::new(policy);
    for i in 0..servers {
        add_server(&mut scheduler, i, slots, at(0));
    }
    scheduler
}

pub fn add_server(scheduler: &mut Scheduler, i: usize, slots: u64, now: Instant) {
    let spec = ServerSpec { name: server(i), service: service(), slots: Slots(slots) };
    scheduler.add_server(spec, Occupancy::Empty, CacheState::Warm, now);
}

/// Creates a request with unique content, derived from its id.
pub fn work(id: u64, rank: Rank, caller: u64, deadline: Instant) -> Work {
    Work {
        id: WorkId(id),
        service: service(),
        rank,
        caller: format!("caller-{caller}").parse().unwrap(),
        deadline,
        excluded: Vec::new(),
        content: Digest::of(&id.to_le_bytes()),
        body_bytes: ByteSize(1_000),
        remote: false,
    }
}

pub fn submit_queued(scheduler: &mut Scheduler, work: Work, now: Instant) {
    assert_eq!(scheduler.submit(work, now, 7), SubmitResult::Queued);
}
