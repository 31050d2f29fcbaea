use std::net::SocketAddr;

use super::{CallerLimits, Settings, Timing};
use crate::{config::Config, findings::Violations};

/// Number of readers that poll the platform at the size of the two-year target: 3 in each of 40
/// failure domains.
pub const PLANNED_READERS: u64 = 3 * 40;

/// Reads of one poll: the head row and the instance list.
pub const READS_PER_POLL: u64 = 2;

/// Reads per second that polls may use. It is half of the 2,000 that the store sustains; the rest
/// is left to claims, submissions and readers that change during a poll.
pub const POLL_READS_PER_S: u64 = 1_000;

/// Shortest poll period at which all readers together stay within [`POLL_READS_PER_S`].
pub const MIN_PLATFORM_POLL_MS: u64 = PLANNED_READERS * READS_PER_POLL * 1000 / POLL_READS_PER_S;

/// Memory of an instance that callers may use: the 256 MB of the two-year target.
pub const MAX_CALLER_MEMORY_BYTES: u64 = 256_000_000;

/// Time within which a new configuration must be in force on all instances.
const MAX_CONFIG_ROLLOUT_MS: u64 = 20_000;

/// Time within which a leaving backend server must stop getting new work.
const MAX_LEAVE_DETECTION_MS: u64 = 3_000;

/// Adds a violation for each rule that `settings` break.
pub(super) fn check(settings: &Settings, violations: &mut Violations) {
    check_addresses(settings, violations);
    check_seed_peers(settings, violations);
    check_ranges(&settings.timing, violations);
    check_membership_timing(&settings.timing, violations);
    check_lifetimes(&settings.timing, violations);
    check_caller_limits(&settings.caller_limits, violations);
}

/// Adds a violation for each setting that does not fit the configuration.
pub(super) fn check_against(settings: &Settings, config: &Config, violations: &mut Violations) {
    let mut failure_domains = config.regions.iter().flat_map(|r| &r.failure_domains);
    if !failure_domains.any(|name| *name == settings.failure_domain) {
        let message = format!("{} is not in the configuration", settings.failure_domain);
        violations.add("failure_domain", message, "a failure domain of the configuration");
    }
    let deadline = config.ranks.iter().map(|r| r.deadline_ms).max().unwrap_or(0);
    if settings.timing.binding_lifetime_ms <= deadline {
        // If a ticket were forgotten while its request runs, the request could run a second time.
        let message = format!("it must exceed the longest deadline, {deadline} ms");
        let expected = format!("more than {deadline}");
        violations.add("timing.binding_lifetime_ms", message, expected);
    }
    let request = config.services.iter().map(|s| s.max_request_bytes.0).max().unwrap_or(0);
    if settings.caller_limits.max_buffered_bytes.0 < request {
        let message = format!("the largest request of the configuration has {request} bytes");
        violations.add("caller_limits.max_buffered_bytes", message, format!("{request} or more"));
    }
}

/// Returns whether one process cannot listen on both addresses, or cannot listen on one while
/// another process listens on the other. Port 0 lets the system pick a free port.
fn addresses_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port() && a.port() != 0
}

fn check_addresses(settings: &Settings, violations: &mut Violations) {
    let all = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("relay_address", settings.relay_address),
        ("operator_address", settings.operator_address),
        ("platform_address", settings.platform_address),
    ];
    for (i, (field, address)) in all.iter().enumerate() {
        if let Some((earlier, _)) = all[..i].iter().find(|(_, a)| addresses_conflict(*a, *address))
        {
            violations
                .add(
                    *field,
                    format!("{address} is already used by {earlier}"),
                    "an address that no other field uses",
                )
                .depends_on(*earlier);
        }
    }
    for (field, address) in &all[..3] {
        if address.ip().is_unspecified() {
            // Other processes get this address from lookups and gossip and connect to it.
            let message = format!("{address} cannot be announced to other processes");
            violations.add(
                *field,
                message,
                "the IP address under which others reach this instance",
            );
        }
    }
    check_connectable("platform_address", settings.platform_address, violations);
    let optional = [
        ("metrics_address", settings.metrics_address),
        ("announced_peer_address", settings.announced_peer_address),
        ("announced_relay_address", settings.announced_relay_address),
    ];
    for (field, address) in optional {
        if let Some(address) = address {
            check_connectable(field, address, violations);
        }
    }
}

fn check_connectable(path: &str, address: SocketAddr, violations: &mut Violations) {
    if address.port() == 0 || address.ip().is_unspecified() {
        let message = format!("{address} cannot be connected to");
        violations.add(path, message, "an IP address and port");
    }
}

fn check_seed_peers(settings: &Settings, violations: &mut Violations) {
    for (i, peer) in settings.seed_peers.iter().enumerate() {
        let path = format!("seed_peers[{i}]");
        check_connectable(&path, *peer, violations);
        if settings.seed_peers[..i].contains(peer) {
            violations.add(path, format!("duplicate address {peer}"), "each peer once");
        } else if *peer == settings.peer_address {
            let message = format!("{peer} is this instance's own peer_address");
            violations
                .add(path, message, "addresses of other instances")
                .depends_on("peer_address");
        }
    }
}

fn check_ranges(timing: &Timing, violations: &mut Violations) {
    let fields = [
        ("lookup_ttl_ms", timing.lookup_ttl_ms, 100, 60_000),
        ("binding_lifetime_ms", timing.binding_lifetime_ms, 1_000, 3_600_000),
        ("gossip_period_ms", timing.gossip_period_ms, 10, 5_000),
        ("suspect_after_ms", timing.suspect_after_ms, 20, 60_000),
        ("dead_after_ms", timing.dead_after_ms, 20, 60_000),
        ("fence_after_ms", timing.fence_after_ms, 20, 60_000),
        ("platform_poll_ms", timing.platform_poll_ms, 0, MAX_CONFIG_ROLLOUT_MS),
        ("platform_timeout_ms", timing.platform_timeout_ms, 10, MAX_CONFIG_ROLLOUT_MS),
        // Two probes must fit into the time in which a leaving backend server is detected.
        ("probe_period_ms", timing.probe_period_ms, 10, MAX_LEAVE_DETECTION_MS / 2),
        ("headroom_ttl_ms", timing.headroom_ttl_ms, 20, 60_000),
        ("stop_timeout_ms", timing.stop_timeout_ms, 100, 3_600_000),
    ];
    for (field, value, min, max) in fields {
        violations.check_range(format!("timing.{field}"), value, min, max);
    }
    let poll = timing.platform_poll_ms;
    if poll < MIN_PLATFORM_POLL_MS {
        let message = match (PLANNED_READERS * READS_PER_POLL * 1000).checked_div(poll) {
            Some(reads) => format!(
                "{PLANNED_READERS} readers would cause {reads} reads/s, but polls may use at most \
                 {POLL_READS_PER_S}"
            ),
            None => "a period of 0 would poll continuously".to_owned(),
        };
        violations.add(
            "timing.platform_poll_ms",
            message,
            format!("{MIN_PLATFORM_POLL_MS} or more"),
        );
    }
    // A change is detected up to one period later, and one call before that may time out.
    if poll.saturating_add(timing.platform_timeout_ms) > MAX_CONFIG_ROLLOUT_MS {
        violations
            .add(
                "timing.platform_poll_ms",
                "together with platform_timeout_ms, a change would take too long to detect",
                format!("a sum of at most {MAX_CONFIG_ROLLOUT_MS}"),
            )
            .depends_on("timing.platform_timeout_ms");
    }
}

/// Adds a violation unless `low` is below `high`.
fn require_below(low: (&str, u64), high: (&str, u64), violations: &mut Violations) {
    if low.1 >= high.1 {
        let message = format!("{} is not below {}, which is {}", low.1, high.0, high.1);
        violations
            .add(format!("timing.{}", low.0), message, format!("less than {}", high.1))
            .depends_on(format!("timing.{}", high.0));
    }
}

/// Adds a violation unless `field` spans two gossip periods, so one lost message has no effect.
fn require_two_gossip_periods(field: (&str, u64), timing: &Timing, violations: &mut Violations) {
    let least = timing.gossip_period_ms.saturating_mul(2);
    if field.1 < least {
        let message = format!("{} is less than two gossip periods", field.1);
        violations
            .add(format!("timing.{}", field.0), message, format!("{least} or more"))
            .depends_on("timing.gossip_period_ms");
    }
}

fn check_membership_timing(timing: &Timing, violations: &mut Violations) {
    let suspect = ("suspect_after_ms", timing.suspect_after_ms);
    let dead = ("dead_after_ms", timing.dead_after_ms);
    let fence = ("fence_after_ms", timing.fence_after_ms);
    let headroom = ("headroom_ttl_ms", timing.headroom_ttl_ms);
    for field in [suspect, fence, headroom] {
        require_two_gossip_periods(field, timing, violations);
    }
    require_below(suspect, dead, violations);
    // A paused owner must stop dispatching before its peers reassign its backend servers.
    require_below(fence, dead, violations);
    // Headroom of a dead owner must not be used at the same time as that of its successor.
    require_below(headroom, dead, violations);
}

fn check_lifetimes(timing: &Timing, violations: &mut Violations) {
    let lookup = ("lookup_ttl_ms", timing.lookup_ttl_ms);
    // A caller gets its binding with the lookup and may use it as long as the answer is cached.
    require_below(lookup, ("binding_lifetime_ms", timing.binding_lifetime_ms), violations);
    // A stopping entry serves callers that cached its address for one lookup TTL.
    require_below(lookup, ("stop_timeout_ms", timing.stop_timeout_ms), violations);
}

fn check_caller_limits(limits: &CallerLimits, violations: &mut Violations) {
    let (head, buffered) = (limits.max_head_bytes.0, limits.max_buffered_bytes.0);
    let fields = [
        ("max_connections", limits.max_connections, 1, 1_000_000),
        ("max_head_bytes", head, 1_024, 1_048_576),
        ("head_timeout_ms", limits.head_timeout_ms, 1, 600_000),
        ("body_pause_timeout_ms", limits.body_pause_timeout_ms, 1, 600_000),
        ("max_buffered_bytes", buffered, 1_024, MAX_CALLER_MEMORY_BYTES),
    ];
    for (field, value, min, max) in fields {
        violations.check_range(format!("caller_limits.{field}"), value, min, max);
    }
    let heads = limits.max_connections.saturating_mul(head);
    let sum = heads.saturating_add(buffered);
    if sum > MAX_CALLER_MEMORY_BYTES {
        let message = format!(
            "{} heads of {head} bytes and {buffered} buffered bytes add up to {sum} bytes",
            limits.max_connections
        );
        violations
            .add(
                "caller_limits",
                message,
                format!("at most {MAX_CALLER_MEMORY_BYTES} bytes in total"),
            )
            .depends_on("caller_limits");
    }
}
