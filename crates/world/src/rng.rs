//! Random numbers that replay: one stream for each purpose, derived from the seed.

use rand::SeedableRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The generator of every stream: xoshiro256++.
pub type Rng = rand_xoshiro::Xoshiro256PlusPlus;

/// The stream of that seed for that purpose. Streams of other purposes are unaffected by how much is drawn.
pub fn stream(seed: u64, purpose: &str) -> Rng {
    Rng::seed_from_u64(xxh3_64_with_seed(purpose.as_bytes(), seed))
}
