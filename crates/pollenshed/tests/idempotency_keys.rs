//! Tests that a filing with an idempotency key runs at most once under any fault.

mod support;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use fastrand::Rng;
use googletest::prelude::*;
use pollenshed_protocol::platform::CLAIM_TABLE;
use pollenshed_standins::platform::Faults;
use pollenshed_state::ids::Digest;
use support::{
    callers::{Reply, post_keyed},
    faults::{ProxiedFleet, THREE_ENTRIES, answer_to, signal, sleep_for},
    wait_for,
};

const SERVICE_TIME: Duration = Duration::from_millis(150);

const DEADLINE_MS: u64 = 4_000;

const FILINGS_PER_ROUND: u32 = 4;

/// More than the claims of one entry in two seconds: each of three entries may make 16 a second.
const BURST_FILINGS: u32 = 40;

/// Longest time from the first copy of a key to the last one of the same round.
const MAX_SPREAD_MS: u64 = 200;

/// Longer than `platform_timeout_ms` of the fleet, so that claims take effect after the entry's
/// call has timed out.
const CLAIM_DELAY: Duration = Duration::from_millis(900);

static NEXT_KEY: AtomicU32 = AtomicU32::new(0);

/// A filing with an idempotency key, and the replies to all its copies.
struct KeyedFiling {
    key: String,
    body: String,
    replies: Mutex<Vec<Reply>>,
}

impl KeyedFiling {
    fn new(seed: u64) -> KeyedFiling {
        let number = NEXT_KEY.fetch_add(1, Ordering::SeqCst);
        KeyedFiling {
            key: format!("key-{number}-{seed}"),
            body: format!("filing {number} seed {seed}"),
            replies: Mutex::default(),
        }
    }

    fn send_once(&self, fleet: &ProxiedFleet, entry: usize) -> Reply {
        let address = fleet.fleet.daemons[entry].caller_endpoint;
        post_keyed(address, &self.key, &self.body, DEADLINE_MS)
    }

    /// Sends the filing until the entry no longer refuses it for its budget of claims, and records
    /// that reply.
    fn send(&self, fleet: &ProxiedFleet, entry: usize) -> Reply {
        let over_budget = Reply::NotRun("overloaded".to_owned());
        let reply = wait_for("a claim within the budget", || {
            Some(self.send_once(fleet, entry)).filter(|reply| *reply != over_budget)
        });
        self.replies.lock().unwrap().push(reply.clone());
        reply
    }

    fn runs(&self, fleet: &ProxiedFleet) -> usize {
        fleet.fleet.runs_of(self.body.as_bytes())
    }

    fn answer(&self) -> Reply {
        Reply::Done(answer_to("POST", "/filings", &self.body))
    }

    /// Returns the ticket in the key's claim row.
    fn claimed_ticket(&self, fleet: &ProxiedFleet) -> Option<String> {
        let store = pollenshed_transport::platform::Platform::open(
            fleet.fleet.platform.address(),
            support::CONDITION_TIMEOUT,
        );
        let row_key = Digest::of(format!("ledger\n{}", self.key).as_bytes()).hex();
        let row = store.get_row(CLAIM_TABLE, &row_key).unwrap()?;
        Some(row.value["ticket"].as_str()?.to_owned())
    }

    /// Checks that the filing ran at most once and that every answer is its own.
    fn check(&self, fleet: &ProxiedFleet, seed: u64) {
        let (runs, replies) = (self.runs(fleet), self.replies.lock().unwrap().clone());
        let ran = format!("seed {seed}: {} ran {runs} times: {replies:?}", self.key);
        assert!(runs <= 1, "{ran}");
        for reply in replies.iter().filter(|r| matches!(r, Reply::Done(_))) {
            assert!(runs == 1 && *reply == self.answer(), "{ran}");
        }
    }
}

fn rounds(
    seeds: impl IntoIterator<Item = u64>,
    mut run_round: impl FnMut(&mut ProxiedFleet, u64, &mut Rng),
) {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    for seed in seeds {
        println!("seed {seed}");
        run_round(&mut fleet, seed, &mut Rng::with_seed(seed));
    }
}

fn prepare(seed: u64) -> Vec<KeyedFiling> {
    (0..FILINGS_PER_ROUND).map(|_| KeyedFiling::new(seed)).collect()
}

/// Sends each filing twice to every entry, all within [`MAX_SPREAD_MS`], and waits for all replies.
fn send_to_all_entries(fleet: &ProxiedFleet, filings: &[KeyedFiling], rng: &mut Rng) {
    let entries = fleet.locations.len();
    thread::scope(|scope| {
        for filing in filings {
            for entry in (0..entries).chain(0..entries) {
                let pause = Duration::from_millis(rng.u64(..MAX_SPREAD_MS));
                scope.spawn(move || {
                    sleep_for(pause);
                    filing.send(fleet, entry)
                });
            }
        }
    });
}

/// Sends each filing once more to every entry and checks that every entry returns the answer of the
/// single run.
fn check_all_answered(fleet: &ProxiedFleet, filings: &[KeyedFiling], seed: u64) {
    for filing in filings {
        for entry in 0..fleet.locations.len() {
            let reply = filing.send(fleet, entry);
            expect_that!(reply, eq(&filing.answer()), "seed {seed}: {}", filing.key);
        }
        filing.check(fleet, seed);
    }
}

/// Guards against a second run when entries race for a key, and when it is sent again later.
#[gtest]
fn key_sent_to_all_entries_at_once_runs_once() {
    rounds(401..=403, |fleet, seed, rng| {
        let filings = prepare(seed);
        send_to_all_entries(fleet, &filings, rng);
        for filing in &filings {
            let replies = filing.replies.lock().unwrap().clone();
            // Nothing fails, so every copy is answered.
            expect_that!(replies, each(eq(&filing.answer())), "seed {seed}: {}", filing.key);
        }
        check_all_answered(fleet, &filings, seed);
    });
}

/// Guards against a run of a filing that was refused because the entry was over its budget of
/// claims, and against a second run when it is sent again.
#[gtest]
fn keys_over_the_budget_are_refused_and_run_once_later() {
    rounds([404], |fleet, seed, _| {
        let filings: Vec<_> = (0..BURST_FILINGS).map(|_| KeyedFiling::new(seed)).collect();
        let entry = fleet.any_owner();
        let replies: Vec<Reply> = thread::scope(|scope| {
            let fleet = &*fleet;
            let sent = filings.iter().map(|f| scope.spawn(move || f.send_once(fleet, entry)));
            let sent: Vec<_> = sent.collect();
            sent.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let refusal = Reply::NotRun("overloaded".to_owned());
        let refused: Vec<_> =
            filings.iter().zip(&replies).filter(|(_, reply)| **reply == refusal).collect();
        println!("seed {seed}: {} of {BURST_FILINGS} refused", refused.len());
        expect_that!(refused.len(), gt(0));
        for (filing, _) in refused {
            expect_that!(filing.runs(fleet), eq(0), "seed {seed}: {}", filing.key);
        }
        for filing in &filings {
            let reply = filing.send(fleet, (entry + 1) % fleet.locations.len());
            expect_that!(reply, eq(&filing.answer()), "seed {seed}: {}", filing.key);
            filing.check(fleet, seed);
        }
    });
}

/// Progress of a filing at which its claiming entry is killed.
#[derive(Debug, Clone, Copy)]
enum Step {
    Claimed,
    Running,
    Answered,
}

/// Sends a filing to one entry and kills the entry when the filing has reached the step.
fn kill_at(fleet: &mut ProxiedFleet, filing: &KeyedFiling, faulted: usize, step: Step) {
    let address = fleet.fleet.daemons[faulted].caller_endpoint;
    thread::scope(|scope| {
        let sent = scope.spawn(|| post_keyed(address, &filing.key, &filing.body, DEADLINE_MS));
        match step {
            Step::Claimed => {
                wait_for("the claim", || filing.claimed_ticket(fleet));
            }
            Step::Running => {
                wait_for("the run", || (filing.runs(fleet) > 0).then_some(()));
            }
            Step::Answered => {
                wait_for("the answer", || sent.is_finished().then_some(()));
            }
        }
        fleet.fleet.daemons[faulted].kill();
        filing.replies.lock().unwrap().push(sent.join().unwrap());
    });
}

/// Guards against an entry that runs a filing again because the entry that claimed its key is gone.
#[gtest]
fn claiming_entry_killed() {
    rounds(411..=413, |fleet, seed, rng| {
        let step = [Step::Claimed, Step::Running, Step::Answered][seed as usize % 3];
        let filing = KeyedFiling::new(seed);
        let faulted = rng.usize(..fleet.locations.len());
        kill_at(fleet, &filing, faulted, step);
        let others: Vec<_> = (0..fleet.locations.len()).filter(|at| *at != faulted).collect();
        thread::scope(|scope| {
            for entry in others {
                let (filing, fleet) = (&filing, &*fleet);
                scope.spawn(move || filing.send(fleet, entry));
            }
        });
        fleet.restart(faulted);
        filing.send(fleet, (faulted + 1) % fleet.locations.len());
        fleet.wait_until_ready();
        for entry in 0..fleet.locations.len() {
            filing.send(fleet, entry);
        }
        fleet.fleet.wait_until_served();
        filing.check(fleet, seed);
        let replies = filing.replies.lock().unwrap().clone();
        println!("seed {seed}: {step:?}, {} runs", filing.runs(fleet));
        // No entry knows what the killed entry did, so none may reply that the filing did not run.
        let refused = replies.iter().any(|r| matches!(r, Reply::NotRun(_)));
        expect_that!(refused, eq(false), "seed {seed}: {replies:?}");
    });
}

/// Guards against a run under a claim whose entry was killed before it ran the filing. The other
/// entries can't tell this from a run whose outcome was lost.
#[gtest]
fn claiming_entry_killed_before_the_run() {
    rounds([417], |fleet, seed, rng| {
        let filing = KeyedFiling::new(seed);
        let faulted = rng.usize(..fleet.locations.len());
        let lost = Faults { lose_write_replies: true, ..Faults::default() };
        fleet.fleet.platform.set_faults(Faults { lose_read_replies: true, ..lost });
        let refusal = Reply::NotRun("store-unavailable".to_owned());
        expect_that!(filing.send(fleet, faulted), eq(&refusal));
        fleet.fleet.daemons[faulted].kill();
        fleet.fleet.platform.set_faults(Faults::default());
        let ticket = filing.claimed_ticket(fleet).unwrap_or_default();
        let prefix = format!("{}.", fleet.locations[faulted].0);
        expect_that!(ticket, starts_with(prefix.as_str()));
        let gone = Reply::Unknown("entry-gone".to_owned());
        expect_that!(filing.send(fleet, (faulted + 1) % fleet.locations.len()), eq(&gone));
        fleet.restart(faulted);
        fleet.wait_until_ready();
        for entry in 0..fleet.locations.len() {
            expect_that!(filing.send(fleet, entry), eq(&gone));
        }
        expect_that!(filing.runs(fleet), eq(0));
    });
}

/// Guards against a second run or a lost answer after a planned stop of the claiming entry.
#[gtest]
fn claiming_entry_stops() {
    rounds([418], |fleet, seed, rng| {
        let filing = KeyedFiling::new(seed);
        let faulted = rng.usize(..fleet.locations.len());
        expect_that!(filing.send(fleet, faulted), eq(&filing.answer()));
        signal(&fleet.fleet.daemons[faulted], "-TERM");
        expect_that!(fleet.fleet.daemons[faulted].wait_for_end(), eq(true));
        for entry in (0..fleet.locations.len()).filter(|at| *at != faulted) {
            expect_that!(filing.send(fleet, entry), eq(&filing.answer()));
        }
        filing.check(fleet, seed);
    });
}

/// Guards against a second run after the claiming entry restarted at the same address and refuses
/// the relayed filing because it has no configuration yet.
#[gtest]
fn claiming_entry_restarted_without_configuration() {
    rounds([421], |fleet, seed, rng| {
        let filing = KeyedFiling::new(seed);
        let faulted = rng.usize(..fleet.locations.len());
        expect_that!(filing.send(fleet, faulted), eq(&filing.answer()));
        fleet.fleet.platform.set_faults(Faults { hide_objects: true, ..Faults::default() });
        let own = fleet.fleet.daemons[faulted].peer_endpoint.ip();
        for (at, peer) in fleet.peer_proxies.iter().enumerate() {
            if at == faulted {
                peer.control.cut();
            } else {
                peer.control.cut_source(own);
            }
        }
        fleet.restart(faulted);
        let reply = filing.send(fleet, (faulted + 1) % fleet.locations.len());
        expect_that!(reply, eq(&Reply::Unknown("entry-gone".to_owned())), "seed {seed}");
        filing.check(fleet, seed);
        fleet.fleet.platform.set_faults(Faults::default());
        fleet.heal();
        fleet.wait_until_ready();
        for entry in 0..fleet.locations.len() {
            filing.send(fleet, entry);
        }
        filing.check(fleet, seed);
    });
}

/// Guards against a run without a claim while the store is down, and against a second run of a
/// filing that was claimed before.
#[gtest]
fn store_down() {
    rounds(431..=432, |fleet, seed, rng| {
        let (known, new) = (prepare(seed), prepare(seed));
        send_to_all_entries(fleet, &known, rng);
        fleet.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
        let refusal = Reply::NotRun("store-unavailable".to_owned());
        for filing in known.iter().chain(&new) {
            let reply = filing.send(fleet, rng.usize(..fleet.locations.len()));
            expect_that!(reply, eq(&refusal), "seed {seed}: {}", filing.key);
        }
        for (filing, runs) in known.iter().map(|f| (f, 1)).chain(new.iter().map(|f| (f, 0))) {
            expect_that!(filing.runs(fleet), eq(runs), "seed {seed}: {}", filing.key);
        }
        fleet.fleet.platform.set_faults(Faults::default());
        check_all_answered(fleet, &known, seed);
        check_all_answered(fleet, &new, seed);
    });
}

/// Guards against a second run when the store writes a claim but its reply is lost or late.
#[gtest]
fn replies_to_claims_are_lost() {
    rounds(441..=446, |fleet, seed, rng| {
        let filings = prepare(seed);
        let refusal = Reply::NotRun("store-unavailable".to_owned());
        let lost = Faults { lose_write_replies: true, ..Faults::default() };
        let faults = match seed % 3 {
            0 => lost,
            1 => Faults { lose_read_replies: true, ..lost },
            _ => Faults { delay: CLAIM_DELAY, ..Faults::default() },
        };
        fleet.fleet.platform.set_faults(faults);
        send_to_all_entries(fleet, &filings, rng);
        fleet.fleet.platform.set_faults(Faults::default());
        for filing in &filings {
            let claimed = filing.claimed_ticket(fleet).is_some();
            let replies = filing.replies.lock().unwrap().clone();
            println!("seed {seed}: claimed {claimed}, {} runs", filing.runs(fleet));
            // The entry can read the row back only if the store answers reads in time.
            let expected = if seed % 3 == 0 { filing.answer() } else { refusal.clone() };
            expect_that!(replies, each(eq(&expected)), "seed {seed}: {}", filing.key);
        }
        check_all_answered(fleet, &filings, seed);
    });
}
