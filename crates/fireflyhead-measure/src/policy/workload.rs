//! Demand: arrivals of each class and the adapters that they ask for.
//!
//! Assumptions: arrivals are Poisson and do not react to delays, except that a refused
//! caller comes back after the advised delay, at most [`MAX_RETRIES`] times. Popularity of
//! adapters follows a Zipf law and is the same for all classes. A shift draws a new random
//! order of popularity, so that the new favourites are almost all cold. The work of a
//! request is half fixed and half exponentially distributed; dispatchers know only the
//! mean of the class. Every class draws from its own generator, so that all policies see the same
//! arrivals.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::policy::capacity::zipf_weights;
use crate::policy::deployment::ADAPTERS;

/// Retries of one refused request.
pub const MAX_RETRIES: u8 = 3;

/// Popularity of adapters.
#[derive(Clone, Debug)]
pub struct Popularity {
    cumulative: Vec<f64>,
    order: Vec<usize>,
}

impl Popularity {
    /// Popularity by a Zipf law over a random order of the adapters.
    pub fn new(exponent: f64, seed: u64) -> Popularity {
        let mut sum = 0.0;
        let add = |weight: f64| {
            sum += weight;
            sum
        };
        let cumulative = zipf_weights(exponent).into_iter().map(add).collect();
        let mut popularity = Popularity { cumulative, order: (0..ADAPTERS).collect() };
        popularity.shuffle(seed);
        popularity
    }

    /// Draws a new order.
    pub fn shuffle(&mut self, seed: u64) {
        self.order.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    }

    /// Adapter of one request.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let x: f64 = rng.random();
        let rank = self.cumulative.partition_point(|&sum| sum < x);
        self.order[rank.min(ADAPTERS - 1)]
    }
}

/// Poisson arrivals of one class.
#[derive(Debug)]
pub struct Source {
    /// Index of the class.
    pub class: usize,
    /// Requests a second.
    pub rate: f64,
    /// Time of the first arrival and end of arrivals, in seconds.
    pub span: (f64, f64),
    /// Whether the requests are retries of requests that the callers gave up on.
    pub retry: bool,
    /// Whether the requests belong to a flood and not to the steady demand.
    pub flood: bool,
    rng: ChaCha8Rng,
}

impl Source {
    /// Source with its own generator.
    pub fn new(class: usize, rate: f64, span: (f64, f64), seed: u64) -> Source {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Source { class, rate, span, retry: false, flood: false, rng }
    }

    /// The same source as part of a flood.
    pub fn into_flood(self, retry: bool) -> Source {
        Source { retry, flood: true, ..self }
    }

    /// Time between two arrivals.
    pub fn gap(&mut self) -> Duration {
        Duration::from_secs_f64(exponential(&mut self.rng) / self.rate.max(1e-9))
    }

    /// Work of the next request, with the mean `mean`.
    pub fn work(&mut self, mean: f64) -> f64 {
        mean * (0.5 + 0.5 * exponential(&mut self.rng))
    }

    /// Adapter of the next request.
    pub fn adapter(&mut self, popularity: &Popularity) -> usize {
        popularity.draw(&mut self.rng)
    }
}

/// Exponentially distributed number with the mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
