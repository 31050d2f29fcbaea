//! Splits the requests of a route among services by weight.
//!
//! Smooth weighted round robin keeps the shares exact in short times too, where drawing at random
//! would stray from them.

use pollenshed_state::routes::Destination;

/// Position of a route in its split.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Returns the index of the destination that receives the next request. Destinations without
    /// weight receive none unless all are without.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        if self.credits.len() != destinations.len() {
            self.credits = vec![0; destinations.len()];
        }
        let total: i64 = destinations.iter().map(|d| i64::from(d.weight)).sum();
        let mut best = 0;
        for (i, destination) in destinations.iter().enumerate() {
            self.credits[i] += i64::from(destination.weight);
            if self.credits[i] > self.credits[best] {
                best = i;
            }
        }
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= total;
        }
        best
    }
}
