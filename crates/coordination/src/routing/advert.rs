//! Headroom that owners advertise, and this entry's share of it.

use std::collections::BTreeMap;

use pollenshed_state::{
    ids::{FailureDomainName, Incarnation, InstanceName, ServiceName},
    time::Instant,
};

use super::bucket::{Bucket, PER_SECOND, TOKEN};

/// What an owner takes of one service from other failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advertisement {
    /// The owner.
    pub owner: InstanceName,
    /// Run of the owner.
    pub incarnation: Incarnation,
    /// The service.
    pub service: ServiceName,
    /// Failure domain of the backend servers.
    pub failure_domain: FailureDomainName,
    /// Requests per second that the owner takes from other failure domains, from all entries.
    pub requests_per_s: u64,
    /// Equal parts into which entries split the rate, see [`super::SendingDomains`].
    pub parts: u64,
    /// Raised by the owner with each advertisement.
    pub sequence: u64,
    /// How long it can still be used.
    pub ttl_left_ms: u64,
    /// Backend servers that take work.
    pub usable_backend_servers: u32,
    /// Of these, servers that are still ramping up.
    pub cold_backend_servers: u32,
}

/// Why an advertisement was not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdvertisementRejection {
    /// Membership knows the owner as another incarnation, or not at all.
    OtherIncarnation,
    /// A newer one, or this one, is known.
    StaleSequence,
    /// Its time is over.
    Expired,
}

type Key = (ServiceName, FailureDomainName, InstanceName);

#[derive(Debug, Clone)]
struct Stored {
    advert: Advertisement,
    expires_at: Instant,
    bucket: Bucket,
    /// Number of the store operation that brought the advertisement.
    arrival: u64,
}

/// Advertisements in force, by service, failure domain and owner.
#[derive(Debug, Clone)]
pub struct Advertisements {
    ttl_ms: u64,
    spend_from: Instant,
    stored: BTreeMap<Key, Stored>,
    arrivals: u64,
}

impl Advertisements {
    /// Starts empty. Nothing is spent before `spend_from` (see the module's documentation), and no
    /// advertisement is used for longer than `ttl_ms`.
    pub fn new(ttl_ms: u64, spend_from: Instant) -> Advertisements {
        Advertisements { ttl_ms, spend_from, stored: BTreeMap::new(), arrivals: 0 }
    }

    /// Stores an advertisement.
    ///
    /// `current` is the owner's incarnation in the own membership table.
    pub fn store(
        &mut self,
        advert: Advertisement,
        current: Option<Incarnation>,
        now: Instant,
    ) -> Result<(), AdvertisementRejection> {
        if current != Some(advert.incarnation) {
            return Err(AdvertisementRejection::OtherIncarnation);
        }
        if advert.ttl_left_ms == 0 {
            return Err(AdvertisementRejection::Expired);
        }
        let key = (advert.service.clone(), advert.failure_domain.clone(), advert.owner.clone());
        let (rate, size) = entry_share(advert.requests_per_s, advert.parts);
        let mut bucket = Bucket::new(rate, size, now);
        if let Some(known) = self.stored.remove(&key) {
            let is_same_run = known.advert.incarnation == advert.incarnation;
            if is_same_run && known.advert.sequence >= advert.sequence {
                self.stored.insert(key, known);
                return Err(AdvertisementRejection::StaleSequence);
            }
            bucket = known.bucket;
            bucket.set_rate(rate, size, now);
        }
        let expires_at = now.plus_ms(advert.ttl_left_ms.min(self.ttl_ms));
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.stored.insert(key, Stored { advert, expires_at, bucket, arrival });
        Ok(())
    }

    /// Returns whether a request of `service` to `domain` fits into the share of `owner`.
    pub fn has_headroom(
        &mut self,
        service: &ServiceName,
        domain: &FailureDomainName,
        owner: &InstanceName,
        now: Instant,
    ) -> bool {
        let is_old_enough = now >= self.spend_from;
        let key = (service.clone(), domain.clone(), owner.clone());
        let Some(stored) = self.stored.get_mut(&key) else { return false };
        is_old_enough
            && now < stored.expires_at
            && stored.advert.usable_backend_servers > 0
            && stored.bucket.has(TOKEN, now)
    }

    /// Spends one request. Call it only after [`Advertisements::has_headroom`].
    pub fn spend(
        &mut self,
        service: &ServiceName,
        domain: &FailureDomainName,
        owner: &InstanceName,
    ) {
        let key = (service.clone(), domain.clone(), owner.clone());
        if let Some(stored) = self.stored.get_mut(&key) {
            stored.bucket.take(TOKEN);
        }
    }

    /// Returns the advertisements in force of a service.
    pub fn for_service<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &'a Advertisement> {
        self.in_force(now).map(|(a, _)| a).filter(move |a| a.service == *service)
    }

    /// Returns the advertisements in force that arrived after the operation `after`, with the time
    /// that each can still be used in `ttl_left_ms`, to be passed on.
    ///
    /// A peer that was sent all up to [`Advertisements::last_arrival`] needs only later ones. One that a
    /// lost message held comes again with its next sequence.
    pub fn received_after(&self, after: u64, now: Instant) -> Vec<Advertisement> {
        let news = self.stored.values().filter(|s| s.arrival > after && now < s.expires_at);
        let passed = news.map(|s| {
            let ttl_left_ms = s.expires_at.since_ms(now);
            Advertisement { ttl_left_ms, ..s.advert.clone() }
        });
        passed.filter(|advert| advert.ttl_left_ms > 0).collect()
    }

    /// Returns the number of the last store operation.
    pub fn last_arrival(&self) -> u64 {
        self.arrivals
    }

    fn in_force(&self, now: Instant) -> impl Iterator<Item = (&Advertisement, Instant)> {
        let stored = self.stored.values().filter(move |s| now < s.expires_at);
        stored.map(|s| (&s.advert, s.expires_at))
    }

    /// Drops what has expired for so long that its bucket has no debt to remember.
    pub fn expire(&mut self, now: Instant) {
        let ttl_ms = self.ttl_ms;
        self.stored.retain(|_, s| now < s.expires_at.plus_ms(ttl_ms));
    }
}

/// Returns refill rate and bucket size of one of `parts` equal shares.
fn entry_share(requests_per_s: u64, parts: u64) -> (i128, i128) {
    let share = i128::from(requests_per_s) * PER_SECOND / i128::from(parts.max(1));
    if share < 2 * PER_SECOND {
        return (share, TOKEN);
    }
    // A fifth of the share is burst, at least one request, and the refill rate is the rest.
    let burst = (share / 5).max(PER_SECOND);
    (share - burst, burst * (TOKEN / PER_SECOND))
}

/// The owner's own bound on requests from other failure domains, for one service.
///
/// It holds whatever entries believe. A request over it is refused as not run.
#[derive(Debug, Clone)]
pub struct InboundLimiter {
    bucket: Bucket,
}

impl InboundLimiter {
    /// Starts with nothing to give.
    pub fn new(now: Instant) -> InboundLimiter {
        InboundLimiter { bucket: Bucket::new(0, 0, now) }
    }

    /// Follows the advertised rate. No tokens are added by the change itself.
    pub fn set_advertised_rate(&mut self, requests_per_s: u64, now: Instant) {
        let (rate, size) = entry_share(requests_per_s, 1);
        self.bucket.set_rate(rate, size, now);
    }

    /// Takes a request from another failure domain, or returns `false` if it is over the bound.
    pub fn admit(&mut self, now: Instant) -> bool {
        let is_admitted = self.bucket.has(TOKEN, now);
        if is_admitted {
            self.bucket.take(TOKEN);
        }
        is_admitted
    }
}
