//! With two simultaneous failures, a non-idempotent request still runs at most once, and a request
//! reported as `not-run` never ran.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_standins::{platform::Faults, proxy::Direction};
use support::{
    faults::{ProxiedFleet, signal, sleep_for},
    rounds::{FaultedInstance, Round, run_rounds},
    wait_for,
};

/// Fails the connections to all backend servers in one of five ways.
fn fail_backends(fleet: &ProxiedFleet, kind: usize, bytes: u64) {
    for backend in &fleet.server_proxies {
        match kind {
            0 => backend.cut(),
            1 => backend.cut_one_way(Direction::ToTarget),
            2 => backend.cut_one_way(Direction::ToCaller),
            3 => backend.reset_connections(),
            _ => backend.cut_after(Direction::ToCaller, Some(bytes)),
        }
    }
}

/// Guards against a second run or a false `not-run` by a successor that dispatches while the
/// answers of the killed owner's backend servers are lost.
#[gtest]
fn owner_killed_while_backend_connections_fail() {
    run_rounds(501..=502, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let faulted = fleet.any_owner();
        let (kind, bytes) = (rng.usize(..5), rng.u64(20..400));
        let time = Duration::from_millis(rng.u64(100..600));
        let is_killed_first = rng.bool();
        println!("seed {seed}: kind {kind}, held {time:?}, killed first {is_killed_first}");
        round.run(fleet, rng, |fleet| {
            if is_killed_first {
                fleet.fleet.daemons[faulted].kill();
            }
            fail_backends(fleet, kind, bytes);
            sleep_for(time);
            if !is_killed_first {
                fleet.fleet.daemons[faulted].kill();
            }
            fleet.heal();
        });
        fleet.restart(faulted);
        // Every filing may be at a backend server, and so the outcome of every filing may be
        // unknown.
        round.check(fleet, seed, |_| true);
    });
}

/// Guards against a second run by an entry that resumes after a pause during which the owner of its
/// filings was killed.
#[gtest]
fn entry_paused_while_its_peer_is_killed() {
    run_rounds(512..=513, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let killed = fleet.any_owner();
        let mut named = round.filings.iter().map(|f| f.named_instance.as_str());
        let name = named.find(|n| *n != fleet.locations[killed].0);
        let position = |n| fleet.locations.iter().position(|p| p.0 == n);
        let paused = name.and_then(position).unwrap_or((killed + 1) % fleet.locations.len());
        let third = (0..fleet.locations.len()).find(|at| ![paused, killed].contains(at)).unwrap();
        let lost =
            [FaultedInstance::capture(fleet, paused), FaultedInstance::capture(fleet, killed)];
        let before = Duration::from_millis(rng.u64(..200));
        // After a short pause the entry resumes within the deadline of its filings. During a long
        // one its peers come to consider it dead.
        let is_long = seed % 2 == 0;
        let after = Duration::from_millis(rng.u64(..400));
        println!("seed {seed}: killed after {before:?}, long pause {is_long}, else {after:?}");
        round.run(fleet, rng, |fleet| {
            signal(&fleet.fleet.daemons[paused], "-STOP");
            sleep_for(before);
            fleet.fleet.daemons[killed].kill();
            if is_long {
                wait_until_both_dead(fleet, third, [paused, killed]);
            } else {
                sleep_for(after);
            }
            signal(&fleet.fleet.daemons[paused], "-CONT");
        });
        fleet.restart(killed);
        round.check(fleet, seed, |f| {
            lost.iter().any(|instance| instance.is_named_by(f) || instance.may_own(f, fleet))
        });
    });
}

/// Waits until the third entry considers the two others dead.
fn wait_until_both_dead(fleet: &ProxiedFleet, third: usize, others: [usize; 2]) {
    wait_for("the third entry to take both for dead", || {
        let status = fleet.fleet.daemons[third].status()?;
        let is_dead = |at: usize| {
            let member =
                status.members.iter().find(|m| m.instance.as_str() == fleet.locations[at].0);
            member.is_none_or(|m| m.state == "dead")
        };
        others.into_iter().all(is_dead).then_some(())
    });
}

/// Guards against a takeover that needs the store, and against a second run or a false `not-run` of
/// the killed owner's filings while the store fails.
#[gtest]
fn store_down_while_owner_is_killed() {
    run_rounds(521..=522, |fleet, seed, rng| {
        let round = Round::prepare(fleet, seed, rng);
        let faulted = fleet.any_owner();
        let lost = FaultedInstance::capture(fleet, faulted);
        let faults = if rng.bool() {
            Faults { down: true, ..Faults::default() }
        } else {
            Faults { lose_write_replies: true, lose_read_replies: true, ..Faults::default() }
        };
        let began = fleet.fleet.platform.counts();
        fleet.fleet.platform.set_faults(faults);
        wait_for("calls that the store fails", || {
            (fleet.fleet.platform.counts().since(began).reads > 0).then_some(())
        });
        round.run(fleet, rng, |fleet| fleet.fleet.daemons[faulted].kill());
        for server in &lost.backend_servers {
            wait_for("a successor while the store is down", || fleet.owner_of(server));
        }
        // The restarted instance can find its peers only through the store.
        fleet.fleet.platform.set_faults(Faults::default());
        fleet.restart(faulted);
        round.check(fleet, seed, |f| lost.is_named_by(f) || lost.may_own(f, fleet));
    });
}
