//! Reproducible random numbers: one stream for each purpose, derived from the seed.

use rand::SeedableRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Generator of all streams: xoshiro256++.
pub type Rng = rand_xoshiro::Xoshiro256PlusPlus;

/// Returns the stream for a seed and a purpose. Draws from it do not affect the streams of other purposes.
pub fn stream(seed: u64, purpose: &str) -> Rng {
    Rng::seed_from_u64(xxh3_64_with_seed(purpose.as_bytes(), seed))
}
