use crate::{
    config::{
        document::{Config, Rank},
        rules::{MAX_DEADLINE_MS, MAX_DELAY_US, report_empty, report_repeated},
    },
    findings::Violations,
    reader::MAX_NUMBER,
};

/// Checks the regions, the network and the ranks.
pub(super) fn check(config: &Config, violations: &mut Violations) {
    check_regions(config, violations);
    check_delays_and_links(config, violations);
    check_ranks(config, violations);
    check_deadlines(config, violations);
}

fn check_regions(config: &Config, violations: &mut Violations) {
    report_empty("regions", &config.regions, "region", violations);
    let names = config.regions.iter().enumerate();
    let names = names.map(|(i, region)| (format!("regions[{i}].name"), &region.name));
    report_repeated("region", names, violations);
    let mut failure_domains = Vec::new();
    for (i, region) in config.regions.iter().enumerate() {
        let path = format!("regions[{i}].failure_domains");
        report_empty(&path, &region.failure_domains, "failure domain", violations);
        let entries = region.failure_domains.iter().enumerate();
        failure_domains.extend(entries.map(|(k, name)| (format!("{path}[{k}]"), name)));
    }
    report_repeated("failure domain", failure_domains.into_iter(), violations);
}

fn check_delays_and_links(config: &Config, violations: &mut Violations) {
    let network = &config.network;
    for (field, delay) in [
        ("between_failure_domains_us", network.between_failure_domains_us),
        ("between_regions_us", network.between_regions_us),
        ("to_clients_us", network.to_clients_us),
    ] {
        violations.check_range(format!("network.{field}"), delay, 0, MAX_DELAY_US);
    }
    let share = network.region_link_share_percent.0;
    violations.check_range("network.region_link_share_percent", share, 1, 100);
    let link = network.region_link_bits_per_s.0;
    violations.check_range("network.region_link_bits_per_s", link, 1, MAX_NUMBER);
}

fn check_ranks(config: &Config, violations: &mut Violations) {
    let declared: Vec<Rank> = config.ranks.iter().map(|r| r.rank).collect();
    let mut sorted = declared.clone();
    sorted.sort();
    if sorted != Rank::ALL {
        let found: Vec<String> = declared.iter().map(Rank::to_string).collect();
        let message = format!("the list has [{}]", found.join(", "));
        violations.add("ranks", message, "urgent, standard and deferrable, each once");
    }
    for (i, policy) in config.ranks.iter().enumerate() {
        let path = format!("ranks[{i}].min_share_percent");
        // With a share of 0, overload of another rank could starve this one.
        violations.check_range(path, policy.min_share_percent.0, 1, 100);
    }
    let sum: u64 = config.ranks.iter().fold(0, |s, r| s.saturating_add(r.min_share_percent.0));
    if sum > 100 {
        let message = format!("the minimum shares add up to {sum} %");
        violations.add("ranks", message, "a sum of at most 100 %");
    }
}

/// Checks that each deadline is longer than a round trip to clients of another region. A shorter
/// deadline could never be met there.
fn check_deadlines(config: &Config, violations: &mut Violations) {
    let network = &config.network;
    let one_way_us = network.to_clients_us.saturating_add(network.between_regions_us);
    let round_trip_ms = one_way_us.saturating_mul(2).div_ceil(1000);
    for (i, policy) in config.ranks.iter().enumerate() {
        let path = format!("ranks[{i}].deadline_ms");
        if policy.deadline_ms == 0 || policy.deadline_ms > MAX_DEADLINE_MS {
            violations.check_range(path, policy.deadline_ms, 1, MAX_DEADLINE_MS);
        } else if policy.deadline_ms <= round_trip_ms {
            let message = format!(
                "{} is not above the round trip of {round_trip_ms} ms to clients of other regions",
                policy.deadline_ms
            );
            let expected = format!("more than {round_trip_ms}");
            violations
                .add(path, message, expected)
                .depends_on("network.to_clients_us")
                .depends_on("network.between_regions_us");
        }
    }
}
