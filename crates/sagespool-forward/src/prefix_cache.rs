//! Estimates which prompt prefixes an engine has cached.

use std::collections::HashMap;

use sagespool_types::TokenCount;

use crate::PromptPart;

/// Model of an engine's prefix cache, with least-recently-used eviction.
///
/// An engine reuses a part only if it has cached all parts before it. A part is therefore
/// identified together with all parts before it.
#[derive(Debug)]
pub struct CacheEstimate {
    capacity: TokenCount,
    total_tokens: TokenCount,
    clock: u64,
    parts: HashMap<u64, CachedPart>,
}

#[derive(Debug)]
struct CachedPart {
    tokens: TokenCount,
    last_used: u64,
}

/// Fraction of an engine's memory that is assumed to hold cached parts. Running requests take the
/// rest.
const CACHE_MEMORY_FRACTION: f64 = 0.7;

impl CacheEstimate {
    /// Creates an empty cache for an engine with `memory` tokens.
    pub fn new(memory: TokenCount) -> Self {
        let capacity = TokenCount((memory.0 as f64 * CACHE_MEMORY_FRACTION) as u64);
        Self { capacity, total_tokens: TokenCount::ZERO, clock: 0, parts: HashMap::new() }
    }

    /// Tokens of a prompt, from its start, that the engine has probably cached.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> TokenCount {
        let mut cached = TokenCount::ZERO;
        for (part, prefix) in parts.iter().zip(prefix_ids(parts)) {
            if !self.parts.contains_key(&prefix) {
                break;
            }
            cached += part.tokens;
        }
        cached
    }

    /// Records that the engine prefills a prompt.
    pub fn record(&mut self, parts: &[PromptPart]) {
        self.clock += 1;
        for (part, prefix) in parts.iter().zip(prefix_ids(parts)) {
            let last_used = self.clock;
            let fresh = CachedPart { tokens: part.tokens, last_used };
            if self.parts.insert(prefix, fresh).is_none() {
                self.total_tokens += part.tokens;
            }
        }
        while self.total_tokens > self.capacity {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.last_used);
        let Some(prefix) = oldest.map(|(prefix, _)| *prefix) else {
            self.total_tokens = TokenCount::ZERO;
            return;
        };
        if let Some(part) = self.parts.remove(&prefix) {
            self.total_tokens = self.total_tokens.saturating_sub(part.tokens);
        }
    }
}

/// The ids of a prompt's prefixes: of each part together with all parts before it.
pub(crate) fn prefix_ids(parts: &[PromptPart]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().scan(0u64, |prefix, part| {
        *prefix = mix(*prefix ^ part.id);
        Some(*prefix)
    })
}

/// Hash of a name for rendezvous hashing.
pub(crate) fn hash_name(text: &str) -> u64 {
    text.bytes().fold(0u64, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
