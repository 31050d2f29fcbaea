//! Tests that a non-idempotent request runs at most once under any fault, and that a filing with
//! the outcome `not-run` did not run.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_standins::{platform::Faults, proxy::Direction};
use support::{
    callers::Reply,
    faults::{signal, sleep_for},
    rounds::{DEADLINE_MS, FaultedInstance, Round, run_rounds},
    wait_for,
};

/// Guards against a second run when a filing is sent again and nothing fails.
#[gtest]
fn filing_sent_to_all_entries_at_once_runs_once() {
    run_rounds(1..=3, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        round.run(fleet, rng, |_| {});
        // Nothing fails, so every filing is answered.
        round.check(fleet, seed, |_| false);
        for filing in &round.filings {
            let all_done = filing.replies().iter().all(|r| matches!(r, Reply::Done(_)));
            expect_that!(all_done, eq(true), "seed {seed}: {:?}", filing.replies());
        }
    });
}

/// Guards against a second run or a false refusal after the named entry was killed.
#[gtest]
fn entry_killed_at_any_moment() {
    run_rounds(11..=15, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let faulted =
            fleet.locations.iter().position(|p| p.0 == round.filings[0].named_instance).unwrap();
        let lost = FaultedInstance::capture(fleet, faulted);
        round.run(fleet, rng, |fleet| fleet.fleet.daemons[faulted].kill());
        fleet.restart(faulted);
        // The restarted instance has lost its ledger and the outcomes of its attempts as an owner.
        round.check(fleet, seed, |f| lost.is_named_by(f) || lost.may_own(f, fleet));
    });
}

/// Guards against a second run or a false refusal after an owner was killed.
#[gtest]
fn owner_killed_at_any_moment() {
    run_rounds(21..=24, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let faulted = fleet.any_owner();
        let lost = FaultedInstance::capture(fleet, faulted);
        round.run(fleet, rng, |fleet| fleet.fleet.daemons[faulted].kill());
        fleet.restart(faulted);
        // The restarted instance has lost the outcomes of its attempts, and its ledger as an entry.
        round.check(fleet, seed, |f| lost.is_named_by(f) || lost.may_own(f, fleet));
    });
}

/// Guards against a second run by a process that is resumed after its peers declared it dead and
/// after the deadline of its requests.
#[gtest]
fn entry_or_owner_paused_and_resumed() {
    run_rounds(31..=34, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let named =
            fleet.locations.iter().position(|p| p.0 == round.filings[0].named_instance).unwrap();
        let faulted = if rng.bool() { named } else { fleet.any_owner() };
        let lost = FaultedInstance::capture(fleet, faulted);
        round.run(fleet, rng, |fleet| {
            signal(&fleet.fleet.daemons[faulted], "-STOP");
            // The pause is longer than the deadline, because the time until peers declare a process
            // dead is longer than the deadline.
            fleet.wait_until_dead(faulted);
            signal(&fleet.fleet.daemons[faulted], "-CONT");
        });
        // No ledger is lost. But the pause is longer than the deadline, so a filing whose answer
        // the paused instance had to read or to forward has no outcome in time.
        round.check(fleet, seed, |f| lost.is_named_by(f) || lost.may_own(f, fleet));
    });
}

/// Guards against a second run or a false refusal when connections between instances fail.
#[gtest]
fn connections_between_entry_and_owner_fail() {
    run_rounds(41..=48, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let faulted = fleet.any_owner();
        let lost = FaultedInstance::capture(fleet, faulted);
        let kind = rng.usize(..6);
        let time = Duration::from_millis(rng.u64(100..600));
        let bytes = rng.u64(100..3_000);
        round.run(fleet, rng, |fleet| {
            let relay = &fleet.peer_proxies[faulted].relay;
            match kind {
                0 => relay.cut(),
                1 => relay.cut_one_way(Direction::ToTarget),
                2 => relay.cut_one_way(Direction::ToCaller),
                3 => relay.reset_connections(),
                4 => relay.cut_after(Direction::ToTarget, Some(bytes)),
                _ => relay.cut_after(Direction::ToCaller, Some(bytes)),
            }
            sleep_for(time);
            fleet.heal();
        });
        // After a reset, the entry asks the owner over a new connection, and all processes are
        // alive, so every outcome is found. A silent cut lasts until the keepalive detects it,
        // which takes longer than the deadline, and a connection that is closed after every few
        // bytes may fail for as long. Filings between other instances, or within the faulted one, are
        // not affected.
        round.check(fleet, seed, |f| kind != 3 && !lost.is_named_by(f) && lost.may_own(f, fleet));
    });
}

/// Guards against a second run or a false refusal when connections to backend servers fail.
#[gtest]
fn connections_to_backend_servers_fail() {
    run_rounds(51..=58, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let kind = rng.usize(..6);
        let time = Duration::from_millis(rng.u64(100..600));
        let bytes = rng.u64(20..400);
        round.run(fleet, rng, |fleet| {
            for backend in &fleet.server_proxies {
                match kind {
                    0 => backend.cut(),
                    1 => backend.cut_one_way(Direction::ToTarget),
                    2 => backend.cut_one_way(Direction::ToCaller),
                    3 => backend.reset_connections(),
                    4 => backend.cut_after(Direction::ToTarget, Some(bytes)),
                    _ => backend.cut_after(Direction::ToCaller, Some(bytes)),
                }
            }
            sleep_for(time);
            fleet.heal();
        });
        // The outcome of any filing may be lost, because each may be at a backend server.
        round.check(fleet, seed, |_| true);
    });
}

/// Guards against a second run when backend servers answer late, before or after the deadline.
#[gtest]
fn answers_arrive_late() {
    run_rounds(61..=64, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let is_in_time = rng.bool();
        let delay = if is_in_time { 100 } else { DEADLINE_MS + 200 };
        for (_, backend) in &fleet.fleet.backends {
            backend.set_faults(|f| f.answer_delay = Duration::from_millis(delay));
        }
        round.run(fleet, rng, |_| {});
        for (_, backend) in &fleet.fleet.backends {
            backend.set_faults(|f| f.answer_delay = Duration::ZERO);
        }
        // No outcome is lost if answers arrive before the deadline. Later ones may not be waited
        // for.
        round.check(fleet, seed, |_| !is_in_time);
    });
}

/// Guards against an effect of a store outage on filings: a second run, a refusal or a lost
/// outcome.
#[gtest]
fn store_down_or_replies_lost() {
    run_rounds(71..=74, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let faults = match rng.u8(..3) {
            0 => Faults { down: true, ..Faults::default() },
            1 => Faults { lose_write_replies: true, lose_read_replies: true, ..Faults::default() },
            _ => Faults { delay: Duration::from_secs(1), ..Faults::default() },
        };
        let counts_before = fleet.fleet.platform.counts();
        fleet.fleet.platform.set_faults(faults);
        wait_for("calls that the store fails", || {
            (fleet.fleet.platform.counts().since(counts_before).reads > 0).then_some(())
        });
        round.run(fleet, rng, |_| {});
        // Filings with a ticket don't use the store.
        round.check(fleet, seed, |_| false);
        fleet.fleet.platform.set_faults(Faults::default());
        for filing in &round.filings {
            let all_done = filing.replies().iter().all(|r| matches!(r, Reply::Done(_)));
            expect_that!(all_done, eq(true), "seed {seed}: {:?}", filing.replies());
        }
    });
}
