//! Stable hashing and rendezvous hashing. All instances must compute the same values, which rules
//! out the randomly seeded hasher of the standard library.

use sha2::{Digest, Sha256};

/// The first eight bytes of the SHA-256 digest of `text`, in big-endian order.
pub fn stable_hash(text: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// Sorts `candidates` by descending rendezvous weight for `key`.
pub fn rendezvous_order<T: AsRef<str>>(key: &str, candidates: &mut [T]) {
    candidates
        .sort_by_cached_key(|c| std::cmp::Reverse(stable_hash(&format!("{key}|{}", c.as_ref()))));
}
