//! Shares of traffic per failure domain, and moving from one set of shares to another.

use std::{collections::BTreeMap, fmt};

use pollenshed_state::ids::FailureDomainName;

/// All of the traffic, in parts per million.
pub const ONE_PPM: u32 = 1_000_000;

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
    pub fn home() -> Shares {
        Shares::default()
    }

    /// Builds shares from the failure domains other than the home one.
    ///
    /// If the shares exceed the whole, which only a faulty peer can send, they are cut in the order
    /// of the names.
    pub fn away(shares: impl IntoIterator<Item = (FailureDomainName, u32)>) -> Shares {
        let mut away = BTreeMap::new();
        for (domain, share) in shares {
            away.insert(domain, share);
        }
        let mut left = ONE_PPM;
        away.retain(|_, share: &mut u32| {
            *share = (*share).min(left);
            left -= *share;
            *share > 0
        });
        Shares { away }
    }

    /// Returns the share that goes to `domain`, a failure domain other than the home one.
    pub fn of(&self, domain: &FailureDomainName) -> u32 {
        self.away.get(domain).copied().unwrap_or(0)
    }

    /// Returns the share that leaves the home failure domain.
    pub fn away_ppm(&self) -> u32 {
        self.away.values().sum()
    }

    /// Returns the share that stays.
    pub fn home_ppm(&self) -> u32 {
        ONE_PPM - self.away_ppm()
    }

    /// Returns the failure domains other than the home one that get a share.
    pub fn iter(&self) -> impl Iterator<Item = (&FailureDomainName, u32)> {
        self.away.iter().map(|(d, s)| (d, *s))
    }

    /// Returns how much traffic has another place in `other`.
    pub fn distance_ppm(&self, other: &Shares) -> u32 {
        let grown = |from: &Shares, to: &Shares| -> u32 {
            to.iter().map(|(d, s)| s.saturating_sub(from.of(d))).sum()
        };
        let home = other.home_ppm().saturating_sub(self.home_ppm());
        grown(self, other) + home
    }

    /// Moves at most `step_ppm` of the traffic towards `target` and returns how much moved.
    ///
    /// Each share that is too large gives in the order of the names, the home share last, and each
    /// that is too small takes in the same order.
    pub fn step_towards(&mut self, target: &Shares, step_ppm: u32) -> u32 {
        let moved = step_ppm.min(self.distance_ppm(target));
        let mut to_give = moved;
        for (domain, share) in &mut self.away {
            let given = share.saturating_sub(target.of(domain)).min(to_give);
            *share -= given;
            to_give -= given;
        }
        let mut to_take = moved - self.home_gain(target, moved - to_give);
        for (domain, wanted) in target.iter() {
            let share = self.away.entry(domain.clone()).or_insert(0);
            let taken = wanted.saturating_sub(*share).min(to_take);
            *share += taken;
            to_take -= taken;
        }
        self.away.retain(|_, share| *share > 0);
        moved
    }

    /// Returns how much of `given_away`, which other failure domains gave, the home one keeps.
    fn home_gain(&self, target: &Shares, given_away: u32) -> u32 {
        let home_before = self.home_ppm() - given_away;
        target.home_ppm().saturating_sub(home_before).min(given_away)
    }
}
