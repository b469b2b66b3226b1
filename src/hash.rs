//! Stable hashing and rendezvous order. All instances must compute the same values, so the
//! standard library's seeded hasher does not fit.

use sha2::{Digest, Sha256};

/// First eight bytes of the SHA-256 of `text`.
pub fn stable_hash(text: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// Sorts `candidates` by their rendezvous weight for `key`, highest first.
pub fn rendezvous_order<T: AsRef<str>>(key: &str, candidates: &mut [T]) {
    candidates
        .sort_by_cached_key(|c| std::cmp::Reverse(stable_hash(&format!("{key}|{}", c.as_ref()))));
}
