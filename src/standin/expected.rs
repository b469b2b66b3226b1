//! Deterministic output of the engine stand-in for a prompt, so that checks can recompute it.

use crate::hash::stable_hash;

const MIN_LENGTH: u64 = 32;
const LENGTH_SPREAD: u64 = 480;
const SYLLABLES: [&str; 16] = [
    "ka", "lo", "mi", "nu", "ra", "se", "ti", "vo", "ba", "de", "fi", "go", "hu", "ja", "pe", "zu",
];

/// The output token at `index` for `prompt`.
pub fn expected_token(prompt: &str, index: u64) -> String {
    token_for_hash(stable_hash(prompt), index)
}

/// Number of output tokens for `prompt`, at most `max_output_tokens`.
pub fn expected_length(prompt: &str, max_output_tokens: u64) -> u64 {
    length_for_hash(stable_hash(prompt), max_output_tokens)
}

/// Number of tokens of a prompt. Each word is a token.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// Hashes of the prompt's prefixes that consist of whole blocks, shortest first, seeded with the
/// scope.
pub fn prefix_hashes(scope: &str, prompt: &str, block_tokens: u64) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hash = stable_hash(scope);
    let whole = words.chunks_exact(block_tokens.max(1) as usize);
    whole
        .map(|block| {
            hash = stable_hash(&format!("{hash:x}|{}", block.join(" ")));
            hash
        })
        .collect()
}

pub(crate) fn token_for_hash(prompt_hash: u64, index: u64) -> String {
    let mixed = mix(prompt_hash ^ mix(index));
    (0..4).map(|part| SYLLABLES[(mixed >> (part * 4)) as usize & 15]).collect()
}

pub(crate) fn length_for_hash(prompt_hash: u64, max_output_tokens: u64) -> u64 {
    (MIN_LENGTH + mix(prompt_hash) % LENGTH_SPREAD).min(max_output_tokens)
}

/// One step of the SplitMix64 generator.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
