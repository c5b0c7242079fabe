//! Rendezvous (highest random weight) hashing.
//!
//! Every node ranks the same set in the same order without talking to the others, and
//! the loss of one member moves only what that member held.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Keys of the hash; fixed, because all nodes must compute the same order.
const KEYS: (u64, u64) = (0x6669_7265, 0x666c_7968);

/// Weight of `member` for `subject`; the highest weight ranks first.
pub fn weight(subject: &str, member: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEYS.0, KEYS.1);
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(member.as_bytes());
    hasher.finish()
}
