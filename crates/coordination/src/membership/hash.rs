//! A hash that is equal in every process and version, unlike the one of the standard library.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes `parts` with FNV-1a and a final mix; the end of each part counts.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = OFFSET;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
        hash = (hash ^ 0xff).wrapping_mul(PRIME);
    }
    mix(hash)
}

/// Spreads every bit of `value` over the result (the finalizer of MurmurHash3).
pub(crate) fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// Yields the value after `state` of a simple sequence, for several draws from one random number.
pub(crate) fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mix(*state)
}
