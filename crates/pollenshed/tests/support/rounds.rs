//! Rounds of filings, each of which is sent several times while a fault is injected.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::Duration,
};

use fastrand::Rng;

use super::{
    callers::Filing,
    faults::{ProxiedFleet, THREE_ENTRIES, sleep_for},
};

/// Time that one filing takes at a backend server.
pub const SERVICE_TIME: Duration = Duration::from_millis(150);

/// Deadline of a filing.
pub const DEADLINE_MS: u64 = 1_200;

/// Filings of one round.
const FILINGS: u32 = 6;

/// Longest time from the start of a round to the fault. It is long enough that faults hit filings
/// before they are accepted, in the queue, at the backend server and after the answer.
const MAX_FAULT_DELAY_MS: u64 = 300;

static NEXT_BODY: AtomicU32 = AtomicU32::new(0);

/// Filings of one round. Each is sent to the entry that its ticket names and then to any entry.
pub struct Round {
    /// The filings.
    pub filings: Vec<Filing>,
}

impl Round {
    /// Prepares new filings with tickets from any entry.
    pub fn prepare(fleet: &ProxiedFleet, seed: u64, rng: &mut Rng) -> Round {
        let daemons = &fleet.fleet.daemons;
        let filings = (0..FILINGS).map(|_| {
            let number = NEXT_BODY.fetch_add(1, Ordering::SeqCst);
            let entry = daemons[rng.usize(..daemons.len())].caller_endpoint;
            Filing::prepare(entry, rng.u8(1..), format!("filing {number} seed {seed}"))
        });
        Round { filings: filings.collect() }
    }

    /// Sends all filings twice, injects a fault meanwhile and returns when all replies have
    /// arrived.
    pub fn run(
        &self,
        fleet: &mut ProxiedFleet,
        rng: &mut Rng,
        fault: impl FnOnce(&mut ProxiedFleet),
    ) {
        let entries: Vec<_> = fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
        let fault_delay = Duration::from_millis(rng.u64(..MAX_FAULT_DELAY_MS));
        thread::scope(|scope| {
            for filing in &self.filings {
                let again = entries[rng.usize(..entries.len())];
                let first = Duration::from_millis(rng.u64(..MAX_FAULT_DELAY_MS / 2));
                let pause = Duration::from_millis(rng.u64(..MAX_FAULT_DELAY_MS));
                scope.spawn(move || {
                    sleep_for(first);
                    filing.send(filing.address, DEADLINE_MS)
                });
                scope.spawn(move || {
                    sleep_for(first + pause);
                    filing.send(again, DEADLINE_MS)
                });
            }
            sleep_for(fault_delay);
            fault(fleet);
        });
    }

    /// Sends all filings to every entry after the fault and checks every reply so far.
    /// `may_be_unknown` tells whether the fault allows that the outcome of a filing stays unknown.
    ///
    /// The fleet first serves new requests at every entry, so late copies had time to run.
    pub fn check(&self, fleet: &ProxiedFleet, seed: u64, may_be_unknown: impl Fn(&Filing) -> bool) {
        fleet.wait_until_ready();
        for filing in &self.filings {
            for daemon in &fleet.fleet.daemons {
                filing.send(daemon.caller_endpoint, DEADLINE_MS);
            }
        }
        fleet.fleet.wait_until_served();
        let violations: Vec<_> =
            self.filings.iter().filter_map(|f| f.find_violation(&fleet.fleet)).collect();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        let unknown: Vec<_> = self.filings.iter().filter(|f| f.is_unknown()).collect();
        let allowed = self.filings.iter().filter(|f| may_be_unknown(f)).count();
        let refused = self.filings.iter().filter(|f| f.was_refused()).count();
        println!(
            "seed {seed}: {} of {FILINGS} unknown, {allowed} may be, {refused} refused",
            unknown.len()
        );
        for filing in unknown {
            let replies = filing.replies();
            assert!(may_be_unknown(filing), "seed {seed}: {} unknown: {replies:?}", filing.ticket);
        }
    }
}

/// The instance that a fault hits, with what it owned before the fault.
pub struct FaultedInstance {
    /// Its name.
    pub name: &'static str,
    /// The backend servers that it owned.
    pub backend_servers: Vec<String>,
}

impl FaultedInstance {
    /// Records the name and the backend servers of an instance.
    pub fn capture(fleet: &ProxiedFleet, at: usize) -> FaultedInstance {
        FaultedInstance { name: fleet.locations[at].0, backend_servers: fleet.owned_by(at) }
    }

    /// Tells whether the filing's ticket names the instance.
    pub fn is_named_by(&self, filing: &Filing) -> bool {
        filing.named_instance == self.name
    }

    /// Tells whether the instance may have been the filing's owner. A filing that did not run may
    /// have been on its way to any owner.
    pub fn may_own(&self, filing: &Filing, fleet: &ProxiedFleet) -> bool {
        match fleet.fleet.backend_that_ran(filing.body.as_bytes()) {
            Some(name) => self.backend_servers.contains(&name),
            None => true,
        }
    }
}

/// Calls `run_round` for each seed, all on the same fleet.
pub fn run_rounds(
    seeds: impl IntoIterator<Item = u64>,
    mut run_round: impl FnMut(&mut ProxiedFleet, u64, &mut Rng),
) {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    for seed in seeds {
        run_round(&mut fleet, seed, &mut Rng::with_seed(seed));
    }
}
