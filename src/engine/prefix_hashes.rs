use sha2::{Digest, Sha256};

/// Size of a block of prompt text in the prefix index.
const BLOCK_BYTES: usize = 512;
/// Maximum length of an indexed prefix, in blocks.
const MAX_BLOCKS: usize = 64;

/// Hashes the prompt's prefixes at block boundaries, shortest first. The scope is part of each
/// hash, so that prefixes of different organisations never match.
pub fn prefix_hashes(scope: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = Sha256::new();
    hasher.update((scope.len() as u64).to_be_bytes());
    hasher.update(scope.as_bytes());
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hasher.update(block);
            let digest: [u8; 32] = hasher.clone().finalize().into();
            let mut first_bytes = [0; 8];
            first_bytes.copy_from_slice(&digest[..8]);
            u64::from_be_bytes(first_bytes)
        })
        .collect()
}
