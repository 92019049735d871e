//! Random streams of a seed: each part of the simulation draws from its own.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Operators that are not told what to do.
pub(crate) const OPERATORS: u64 = 0;
/// The events of a schedule.
pub(crate) const EVENTS: u64 = 1;
/// The events of an aimed schedule.
pub(crate) const AIMED_EVENTS: u64 = 2;
/// Machines, by their numbers, from here on.
pub(crate) const MACHINES: u64 = 100;
/// Channels of the network, from here on.
pub(crate) const CHANNELS: u64 = 1000;

/// One of the streams of a seed.
pub(crate) fn stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}
