//! Hash function with the same results in every process and release.

/// FNV-1a with the MurmurHash3 finalizer. The result must not change between releases: processes of
/// different releases have to make the same decisions from it.
pub(crate) fn hash(bytes: &[u8], salt: u64) -> u64 {
    let mut state = 0xcbf2_9ce4_8422_2325_u64 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in bytes {
        state = (state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    state = (state ^ (state >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    state = (state ^ (state >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    state ^ (state >> 33)
}
