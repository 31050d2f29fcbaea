//! Shares of traffic per failure domain, and steps from one set of shares to another.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use pollenshed_state::ids::FailureDomainName;

/// The whole traffic of a service at an entry, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Shares of traffic in parts per million, by failure domain.
///
/// Only remote failure domains, that is, all except the home one, are stored; the rest of the
/// traffic stays in the home failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shares {
    remote: BTreeMap<FailureDomainName, u32>,
}

/// Writes the shares of remote failure domains as comma-separated `NAME:PPM`, or `home` if all
/// traffic stays in the home failure domain.
impl fmt::Display for Shares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.remote.is_empty() {
            return f.write_str("home");
        }
        for (number, (domain, share)) in self.remote.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            write!(f, "{comma}{domain}:{share}")?;
        }
        Ok(())
    }
}

impl Shares {
    /// Returns shares that keep all traffic in the home failure domain.
    pub fn all_home() -> Shares {
        Shares::default()
    }

    /// Returns shares from those of the remote failure domains.
    ///
    /// If they add up to more than [`WHOLE_PPM`], which only a faulty peer can send, the excess is
    /// cut from the last ones in the order of names.
    pub fn from_remote(shares: impl IntoIterator<Item = (FailureDomainName, u32)>) -> Shares {
        let mut remote = BTreeMap::new();
        for (domain, share) in shares {
            remote.insert(domain, share);
        }
        let mut left = WHOLE_PPM;
        remote.retain(|_, share: &mut u32| {
            *share = (*share).min(left);
            left -= *share;
            *share > 0
        });
        Shares { remote }
    }

    /// Returns the share of `domain`, a remote failure domain; 0 if it has none.
    pub fn ppm_of(&self, domain: &FailureDomainName) -> u32 {
        self.remote.get(domain).copied().unwrap_or(0)
    }

    /// Returns the sum of the shares of all remote failure domains.
    pub fn remote_ppm(&self) -> u32 {
        self.remote.values().sum()
    }

    /// Returns the share that stays in the home failure domain.
    pub fn home_ppm(&self) -> u32 {
        WHOLE_PPM - self.remote_ppm()
    }

    /// Returns the remote failure domains that have a share, in the order of names.
    pub fn iter(&self) -> impl Iterator<Item = (&FailureDomainName, u32)> {
        self.remote.iter().map(|(d, s)| (d, *s))
    }

    /// Returns the share of the traffic that has to move to get from these shares to `other`.
    pub fn distance_ppm(&self, other: &Shares) -> u32 {
        let grown = |from: &Shares, to: &Shares| -> u32 {
            to.iter().map(|(d, s)| s.saturating_sub(from.ppm_of(d))).sum()
        };
        let home = other.home_ppm().saturating_sub(self.home_ppm());
        grown(self, other) + home
    }

    /// Moves at most `step_ppm` of the traffic towards `target` and returns how much moved.
    ///
    /// Failure domains whose target share is 0 give up their share first, because they may have
    /// failed and lose this traffic, then all others in the order of names. Failure domains below
    /// their target take the traffic in the same order. The home failure domain comes last in each
    /// group.
    pub fn step_towards(&mut self, target: &Shares, step_ppm: u32) -> u32 {
        let moved = step_ppm.min(self.distance_ppm(target));
        let mut domains = self.domains(target);
        let mut to_give = moved;
        domains.sort_by_key(|domain| domain.target_ppm > 0);
        for domain in &mut domains {
            let given = domain.current_ppm.saturating_sub(domain.target_ppm).min(to_give);
            domain.current_ppm -= given;
            to_give -= given;
        }
        let mut to_take = moved;
        for domain in &mut domains {
            let taken = domain.target_ppm.saturating_sub(domain.current_ppm).min(to_take);
            domain.current_ppm += taken;
            to_take -= taken;
        }
        let remote =
            domains.into_iter().filter_map(|domain| Some((domain.name?, domain.current_ppm)));
        self.remote = remote.filter(|(_, share)| *share > 0).collect();
        moved
    }

    /// Returns current and target shares in the order of names, the home failure domain last.
    fn domains(&self, target: &Shares) -> Vec<DomainShares> {
        let names: BTreeSet<_> = self.remote.keys().chain(target.remote.keys()).collect();
        let remote = names.into_iter().map(|name| DomainShares {
            name: Some(name.clone()),
            current_ppm: self.ppm_of(name),
            target_ppm: target.ppm_of(name),
        });
        let home = DomainShares {
            name: None,
            current_ppm: self.home_ppm(),
            target_ppm: target.home_ppm(),
        };
        remote.chain([home]).collect()
    }
}

/// Current and target share of one failure domain.
struct DomainShares {
    /// `None` for the home failure domain.
    name: Option<FailureDomainName>,
    current_ppm: u32,
    target_ppm: u32,
}
