//! Headroom advertised by owners, and the rate limits that both sides apply to it.

use std::collections::BTreeMap;

use pollenshed_state::{
    ids::{FailureDomainName, Incarnation, InstanceName, ServiceName},
    time::Instant,
};

use super::bucket::{Bucket, PER_SECOND, TOKEN};

/// Rate of requests to one service that an owner accepts from other failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advertisement {
    /// Instance that dispatches to the backend servers.
    pub owner: InstanceName,
    /// Incarnation of the owner that the rate is valid for.
    pub incarnation: Incarnation,
    /// Service that the backend servers run.
    pub service: ServiceName,
    /// Failure domain of the backend servers.
    pub failure_domain: FailureDomainName,
    /// Requests per second that the owner accepts from all entries of other failure domains
    /// together.
    pub requests_per_s: u64,
    /// Number of equal parts into which the rate is split among entries, see
    /// [`super::SendingDomains`].
    pub parts: u64,
    /// Sequence number, which the owner increases with each advertisement.
    pub sequence: u64,
    /// Time in milliseconds for which the advertisement is still valid.
    pub ttl_left_ms: u64,
    /// Number of backend servers that accept requests.
    pub usable_backend_servers: u32,
    /// Number of the usable backend servers that are still ramping up.
    pub cold_backend_servers: u32,
}

/// Why an advertisement was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdvertisementRejection {
    /// The membership table lists the owner with another incarnation, or not at all.
    OtherIncarnation,
    /// The same advertisement or a newer one is already stored.
    StaleSequence,
    /// The time to live has run out.
    Expired,
}

type AdvertisementKey = (ServiceName, FailureDomainName, InstanceName);

#[derive(Debug, Clone)]
struct StoredAdvertisement {
    advert: Advertisement,
    expires_at: Instant,
    bucket: Bucket,
    /// Value of `Advertisements::arrivals` when the advertisement was stored.
    arrival: u64,
}

/// Advertisements by service, failure domain and owner, each with the token bucket of this entry.
#[derive(Debug, Clone)]
pub struct Advertisements {
    ttl_ms: u64,
    spend_from: Instant,
    stored: BTreeMap<AdvertisementKey, StoredAdvertisement>,
    arrivals: u64,
}

impl Advertisements {
    /// Returns an empty table. No headroom is usable before `spend_from`, because a new entry must
    /// first become known to the owners (see the documentation of [`crate::routing`]). No
    /// advertisement is used for longer than `ttl_ms`.
    pub fn new(ttl_ms: u64, spend_from: Instant) -> Advertisements {
        Advertisements { ttl_ms, spend_from, stored: BTreeMap::new(), arrivals: 0 }
    }

    /// Stores an advertisement if it is newer than the stored one of the same owner.
    ///
    /// `current` is the owner's incarnation in this entry's membership table.
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
        let (rate, size) = bucket_rate_and_size(advert.requests_per_s, advert.parts);
        let mut bucket = Bucket::new(rate, size, now);
        if let Some(previous) = self.stored.remove(&key) {
            let is_same_incarnation = previous.advert.incarnation == advert.incarnation;
            if is_same_incarnation && previous.advert.sequence >= advert.sequence {
                self.stored.insert(key, previous);
                return Err(AdvertisementRejection::StaleSequence);
            }
            bucket = previous.bucket;
            bucket.set_rate(rate, size, now);
        }
        let expires_at = now.plus_ms(advert.ttl_left_ms.min(self.ttl_ms));
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.stored.insert(key, StoredAdvertisement { advert, expires_at, bucket, arrival });
        Ok(())
    }

    /// Returns whether this entry's part of the owner's headroom allows one more request of
    /// `service` to `domain`.
    pub fn has_headroom(
        &mut self,
        service: &ServiceName,
        domain: &FailureDomainName,
        owner: &InstanceName,
        now: Instant,
    ) -> bool {
        let is_started_up = now >= self.spend_from;
        let key = (service.clone(), domain.clone(), owner.clone());
        let Some(stored) = self.stored.get_mut(&key) else { return false };
        is_started_up
            && now < stored.expires_at
            && stored.advert.usable_backend_servers > 0
            && stored.bucket.has(TOKEN, now)
    }

    /// Takes the headroom of one request. Call it only after [`Advertisements::has_headroom`]
    /// returned `true`.
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

    /// Returns the unexpired advertisements of a service.
    pub fn for_service<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &'a Advertisement> {
        self.unexpired(now).map(|(a, _)| a).filter(move |a| a.service == *service)
    }

    /// Returns the unexpired advertisements stored after the operation number `after`, with
    /// `ttl_left_ms` reduced to the remaining time, so that they can be forwarded to a peer.
    ///
    /// A peer that has been sent everything up to [`Advertisements::last_arrival`] needs only later
    /// ones. An advertisement in a lost message is replaced by the owner's next one.
    pub fn received_after(&self, after: u64, now: Instant) -> Vec<Advertisement> {
        let newer = self.stored.values().filter(|s| s.arrival > after && now < s.expires_at);
        let forwarded = newer.map(|s| {
            let ttl_left_ms = s.expires_at.since_ms(now);
            Advertisement { ttl_left_ms, ..s.advert.clone() }
        });
        forwarded.filter(|advert| advert.ttl_left_ms > 0).collect()
    }

    /// Returns the number of successful store operations so far, for
    /// [`Advertisements::received_after`].
    pub fn last_arrival(&self) -> u64 {
        self.arrivals
    }

    fn unexpired(&self, now: Instant) -> impl Iterator<Item = (&Advertisement, Instant)> {
        let stored = self.stored.values().filter(move |s| now < s.expires_at);
        stored.map(|s| (&s.advert, s.expires_at))
    }

    /// Removes advertisements one `ttl_ms` after they expired. Until then, the bucket is kept so
    /// that a renewed advertisement continues with the tokens that are left.
    pub fn expire(&mut self, now: Instant) {
        let ttl_ms = self.ttl_ms;
        self.stored.retain(|_, s| now < s.expires_at.plus_ms(ttl_ms));
    }
}

/// Returns the refill rate and the size of the token bucket for one of `parts` equal parts.
fn bucket_rate_and_size(requests_per_s: u64, parts: u64) -> (i128, i128) {
    let share = i128::from(requests_per_s) * PER_SECOND / i128::from(parts.max(1));
    if share < 2 * PER_SECOND {
        return (share, TOKEN);
    }
    // The bucket holds a fifth of the part, at least one request; the refill rate is the remainder.
    let burst = (share / 5).max(PER_SECOND);
    (share - burst, burst * (TOKEN / PER_SECOND))
}

/// Rate limiter of an owner for requests from other failure domains, for one service.
///
/// It enforces the advertised rate even when entries work with outdated advertisements. The owner
/// refuses a request above the limit as not run.
#[derive(Debug, Clone)]
pub struct InboundLimiter {
    bucket: Bucket,
}

impl InboundLimiter {
    /// Returns a limiter that admits nothing until a rate is set.
    pub fn new(now: Instant) -> InboundLimiter {
        InboundLimiter { bucket: Bucket::new(0, 0, now) }
    }

    /// Sets the limit to the rate that the owner advertises. The change itself adds no tokens.
    pub fn set_advertised_rate(&mut self, requests_per_s: u64, now: Instant) {
        let (rate, size) = bucket_rate_and_size(requests_per_s, 1);
        self.bucket.set_rate(rate, size, now);
    }

    /// Admits a request from another failure domain, or returns `false` if it exceeds the limit.
    pub fn admit(&mut self, now: Instant) -> bool {
        let is_admitted = self.bucket.has(TOKEN, now);
        if is_admitted {
            self.bucket.take(TOKEN);
        }
        is_admitted
    }
}
