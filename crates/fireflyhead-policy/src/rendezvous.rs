//! Rendezvous (highest random weight) hashing.
//!
//! All nodes compute the same ranking of members for a subject without coordination. When a member
//! is lost, only the subjects for which it ranked first move to another member.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Keys of the hash, fixed because all nodes must compute the same ranking.
const HASH_KEYS: (u64, u64) = (0x6669_7265, 0x666c_7968);

/// Returns the score of a member for a subject, given their hashes; the member with the highest score
/// ranks first. Of many subjects, a member ranks first for a share in proportion to its `share`, nearly
/// so if there are only a few members.
pub fn weighted_score(subject: u64, member: u64, share: f64) -> f64 {
    let hash = mix(subject ^ member.rotate_left(32));
    // Uniform in (0, 1): the upper 53 bits are exact as a float.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    share / uniform
}

/// Distributes the bits of `value` evenly, with the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hash of a list of fields, which depends on where each of them ends.
pub(crate) fn hash_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    for field in fields {
        hasher.write_u64(field.len() as u64);
        hasher.write(field);
    }
    hasher.finish()
}

/// Returns the weight of `member` for `subject`; the member with the highest weight ranks first.
pub fn weight(subject: &str, member: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(member.as_bytes());
    hasher.finish()
}
