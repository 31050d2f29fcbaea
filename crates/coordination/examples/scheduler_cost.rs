//! Measures the time of one `submit`, `next` and `finish` for several queue lengths and numbers of
//! callers.
//!
//! Run it with `cargo run --release -p pollenshed-coordination --example scheduler_cost`.

use std::time::Instant as Clock;

use pollenshed_coordination::limits::{
    CacheState, Occupancy, RunOutcome, Scheduler, SchedulerPolicy, ServerSpec, SubmitResult, Work,
    WorkId,
};
use pollenshed_state::{
    config::Rank,
    ids::{CallerName, Digest, ParseNameError, ServiceName},
    time::Instant,
    units::{ByteSize, Slots},
};

const SERVERS: usize = 2;
const ROUNDS: u64 = 100_000;
const DEADLINE_MS: u64 = 10_000_000;

/// Scheduler with a generator of requests from a number of callers.
struct Load {
    scheduler: Scheduler,
    service: ServiceName,
    callers: Vec<CallerName>,
    next_id: u64,
}

impl Load {
    fn new(callers: usize) -> Result<Load, ParseNameError> {
        let service: ServiceName = "tavole".parse()?;
        let policy = SchedulerPolicy { max_queued: 1 << 20, ..SchedulerPolicy::default() };
        let mut scheduler =
            Scheduler::new(SchedulerPolicy { max_queued_bytes: ByteSize(1 << 40), ..policy });
        for i in 0..SERVERS {
            let name = format!("server-{i}").parse()?;
            let spec = ServerSpec { name, service: service.clone(), slots: Slots(4) };
            scheduler.add_server(spec, Occupancy::Empty, CacheState::Warm, Instant::START);
        }
        let callers =
            (0..callers).map(|i| format!("caller-{i}").parse()).collect::<Result<_, _>>()?;
        Ok(Load { scheduler, service, callers, next_id: 0 })
    }

    fn submit(&mut self, now: Instant) -> bool {
        let id = self.next_id;
        self.next_id += 1;
        let mut content = [0; 32];
        content[..8].copy_from_slice(&id.to_le_bytes());
        let work = Work {
            id: WorkId(id),
            service: self.service.clone(),
            rank: Rank::ALL[id as usize % 3],
            caller: self.callers[id as usize / 3 % self.callers.len()].clone(),
            deadline: now.plus_ms(DEADLINE_MS),
            excluded: Vec::new(),
            content: Digest::from_bytes(content),
            body_bytes: ByteSize(1_000),
            remote: false,
        };
        self.scheduler.submit(work, now, id) == SubmitResult::Queued
    }

    /// Returns the mean time of one round in nanoseconds, at a queue length of about `queued`.
    fn measure(&mut self, queued: usize) -> u64 {
        let mut now = Instant::from_ms(1);
        while self.scheduler.queued() < queued && self.submit(now) {}
        let started = Clock::now();
        let mut finished = 0;
        while finished < ROUNDS {
            now = now.plus_us(10);
            self.submit(now);
            if let Some(next) = self.scheduler.next(now) {
                self.scheduler.finish(next.id, RunOutcome::Answered { latency_us: 1_000 }, now);
            }
            finished += 1;
        }
        started.elapsed().as_nanos() as u64 / ROUNDS
    }
}

fn main() -> Result<(), ParseNameError> {
    println!("{:>8} {:>8} {:>14} {:>10}", "queued", "callers", "ns per request", "queued end");
    for queued in [10, 1_000, 100_000] {
        for callers in [1, 100, 10_000] {
            let mut load = Load::new(callers)?;
            let ns = load.measure(queued);
            println!("{queued:>8} {callers:>8} {ns:>14} {:>10}", load.scheduler.queued());
        }
    }
    Ok(())
}
