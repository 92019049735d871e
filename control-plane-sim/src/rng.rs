//! Random streams of a seed: each part of the simulation draws from a stream of its own, so that an event in one part
//! changes nothing in the others.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The stream of the operators' requests that are not part of a schedule.
pub(crate) const OPERATOR_STREAM: u64 = 0;
/// The stream of the events of a random schedule.
pub(crate) const EVENT_STREAM: u64 = 1;
/// The stream of the events of a targeted schedule.
pub(crate) const TARGETED_EVENT_STREAM: u64 = 2;
/// The first stream of the machines; a machine's number is added.
pub(crate) const FIRST_MACHINE_STREAM: u64 = 100;
/// The first stream of the network channels; a channel's index is added.
pub(crate) const FIRST_CHANNEL_STREAM: u64 = 1000;

/// Returns the generator of one of the streams of a seed.
pub(crate) fn stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}
