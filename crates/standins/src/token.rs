//! The checkable answer: each token is a digest over every layer in order.

use sha2::{Digest, Sha256};

/// First value of the fold: depends on the prompt and on the model's name and version.
pub fn seed(model: &str, version: &str, prompt: &str) -> u64 {
    let mut hasher = Sha256::new();
    for part in [model, version, prompt] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    first_word(&hasher.finalize())
}

/// Folds one layer into the state of a token.
pub fn fold_layer(state: u64, layer: u16) -> u64 {
    let mixed = (state ^ (u64::from(layer) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 31)).rotate_left(17).wrapping_add(0x94d0_49bb_1331_11eb)
}

/// Folds the layers from `first` to `last`, both included, in order.
pub fn fold_layers(state: u64, first: u16, last: u16) -> u64 {
    (first..=last).fold(state, fold_layer)
}

/// Recomputes a whole answer; independent of everything that routed it.
pub fn expected_answer(
    model: &str,
    version: &str,
    prompt: &str,
    layers: u16,
    length: u32,
) -> Vec<u64> {
    let mut tokens = Vec::with_capacity(length as usize);
    let mut previous = seed(model, version, prompt);
    for _ in 0..length {
        previous = fold_layers(previous, 0, layers - 1);
        tokens.push(previous);
    }
    tokens
}

/// SHA-256 over the tokens as little-endian bytes, in hexadecimal.
pub fn answer_digest(tokens: &[u64]) -> Box<str> {
    let mut hasher = Sha256::new();
    for token in tokens {
        hasher.update(token.to_le_bytes());
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}

fn first_word(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes[..8].try_into().expect("a digest has more than 8 bytes"))
}
