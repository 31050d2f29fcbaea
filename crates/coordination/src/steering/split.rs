//! Splits the requests of a route among services by weight.
//!
//! Smooth weighted round robin keeps the shares exact over short periods too, where a random choice
//! would deviate from them.

use pollenshed_state::routes::Destination;

/// Round robin state of one route.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    current_weights: Vec<i64>,
}

impl WeightedSplit {
    /// Returns the index of the destination that receives the next request. Destinations of weight
    /// 0 receive none unless all weights are 0.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        if self.current_weights.len() != destinations.len() {
            self.current_weights = vec![0; destinations.len()];
        }
        let total: i64 = destinations.iter().map(|d| i64::from(d.weight)).sum();
        let mut best = 0;
        for (i, destination) in destinations.iter().enumerate() {
            self.current_weights[i] += i64::from(destination.weight);
            if self.current_weights[i] > self.current_weights[best] {
                best = i;
            }
        }
        if let Some(weight) = self.current_weights.get_mut(best) {
            *weight -= total;
        }
        best
    }
}
