//! Shares of traffic per failure domain, and moving from one set of shares to another.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use pollenshed_state::ids::FailureDomainName;

/// All of the traffic, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Shares of traffic in parts per million; what is not listed stays in the home failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shares {
    away: BTreeMap<FailureDomainName, u32>,
}

/// Writes the shares that leave the home failure domain as `NAME:PPM` with commas between, or `home`
/// if everything stays.
impl fmt::Display for Shares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.away.is_empty() {
            return f.write_str("home");
        }
        for (number, (domain, share)) in self.away.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            write!(f, "{comma}{domain}:{share}")?;
        }
        Ok(())
    }
}

impl Shares {
    /// Everything stays in the home failure domain.
    pub fn all_home() -> Shares {
        Shares::default()
    }

    /// Builds shares from the failure domains other than the home one.
    ///
    /// If the shares exceed the whole, which only a faulty peer can send, they are cut in the order
    /// of the names.
    pub fn from_remote(shares: impl IntoIterator<Item = (FailureDomainName, u32)>) -> Shares {
        let mut away = BTreeMap::new();
        for (domain, share) in shares {
            away.insert(domain, share);
        }
        let mut left = WHOLE_PPM;
        away.retain(|_, share: &mut u32| {
            *share = (*share).min(left);
            left -= *share;
            *share > 0
        });
        Shares { away }
    }

    /// Returns the share that goes to `domain`, a failure domain other than the home one.
    pub fn ppm_of(&self, domain: &FailureDomainName) -> u32 {
        self.away.get(domain).copied().unwrap_or(0)
    }

    /// Returns the share that leaves the home failure domain.
    pub fn remote_ppm(&self) -> u32 {
        self.away.values().sum()
    }

    /// Returns the share that stays.
    pub fn home_ppm(&self) -> u32 {
        WHOLE_PPM - self.remote_ppm()
    }

    /// Returns the failure domains other than the home one that get a share.
    pub fn iter(&self) -> impl Iterator<Item = (&FailureDomainName, u32)> {
        self.away.iter().map(|(d, s)| (d, *s))
    }

    /// Returns how much traffic has another place in `other`.
    pub fn distance_ppm(&self, other: &Shares) -> u32 {
        let grown = |from: &Shares, to: &Shares| -> u32 {
            to.iter().map(|(d, s)| s.saturating_sub(from.ppm_of(d))).sum()
        };
        let home = other.home_ppm().saturating_sub(self.home_ppm());
        grown(self, other) + home
    }

    /// Moves at most `step_ppm` of the traffic towards `target` and returns how much moved.
    ///
    /// Failure domains that get nothing any more give first, because their traffic may be lost, then
    /// all others in the order of their names; those that are too small take in the same order. The
    /// home failure domain comes last in each group.
    pub fn step_towards(&mut self, target: &Shares, step_ppm: u32) -> u32 {
        let moved = step_ppm.min(self.distance_ppm(target));
        let mut parts = self.parts(target);
        let mut to_give = moved;
        parts.sort_by_key(|part| part.wanted > 0);
        for part in &mut parts {
            let given = part.share.saturating_sub(part.wanted).min(to_give);
            part.share -= given;
            to_give -= given;
        }
        let mut to_take = moved;
        for part in &mut parts {
            let taken = part.wanted.saturating_sub(part.share).min(to_take);
            part.share += taken;
            to_take -= taken;
        }
        let away = parts.into_iter().filter_map(|part| Some((part.domain?, part.share)));
        self.away = away.filter(|(_, share)| *share > 0).collect();
        moved
    }

    /// Returns the shares here and in `target`, in the order of the names, the home domain last.
    fn parts(&self, target: &Shares) -> Vec<Part> {
        let names: BTreeSet<_> = self.away.keys().chain(target.away.keys()).collect();
        let away = names.into_iter().map(|name| Part {
            domain: Some(name.clone()),
            share: self.ppm_of(name),
            wanted: target.ppm_of(name),
        });
        let home = Part { domain: None, share: self.home_ppm(), wanted: target.home_ppm() };
        away.chain([home]).collect()
    }
}

/// A share now and in the target.
struct Part {
    /// The failure domain; nothing for the home one.
    domain: Option<FailureDomainName>,
    share: u32,
    wanted: u32,
}
