//! Hashes of objects, the same on all machines.

use glenfall_balancer::splitmix64;

/// Bits of a hash that an `f64` holds exactly.
const F64_MANTISSA_BITS: u32 = 53;

/// A number from 0 up to 1 that chooses an object's service where a route splits its requests; the same at all shields.
pub fn object_fraction(host: &str, path: &str) -> f64 {
    let bits = object_hash(host, path) >> (u64::BITS - F64_MANTISSA_BITS);
    bits as f64 / (1u64 << F64_MANTISSA_BITS) as f64
}

/// The hash of an object. Requests for ranges of one object share it.
pub fn object_hash(host: &str, path: &str) -> u64 {
    // The separator distinguishes the same text when it is split into host and path at different positions.
    let host_hash = mix_text(0, host) ^ 1;
    mix_text(host_hash, path)
}

fn mix_text(seed: u64, text: &str) -> u64 {
    text.as_bytes().chunks(size_of::<u64>()).fold(seed, |hash, chunk| {
        let mut block = [0; size_of::<u64>()];
        block[..chunk.len()].copy_from_slice(chunk);
        splitmix64(hash ^ u64::from_le_bytes(block))
    })
}
