//! Which parts of prompts an engine has probably kept.

use std::collections::HashMap;

use sagespool_types::TokenCount;

use crate::PromptPart;

/// The parts that were sent to an engine, the least recently used given up first.
///
/// An engine finds a part again only if it has kept all parts before it, so a part is known by
/// itself and all before it.
#[derive(Debug)]
pub struct PartCache {
    room: TokenCount,
    held: TokenCount,
    clock: u64,
    parts: HashMap<u64, HeldPart>,
}

#[derive(Debug)]
struct HeldPart {
    tokens: TokenCount,
    used: u64,
}

/// Part of an engine's memory that is counted on for parts: running requests take the rest.
const MEMORY_SHARE: f64 = 0.7;

impl PartCache {
    /// An empty cache of an engine with so much memory.
    pub fn new(memory: TokenCount) -> Self {
        let room = TokenCount((memory.0 as f64 * MEMORY_SHARE) as u64);
        Self { room, held: TokenCount::ZERO, clock: 0, parts: HashMap::new() }
    }

    /// How many tokens of a prompt, from its start, the engine has probably kept.
    pub fn kept(&self, parts: &[PromptPart]) -> TokenCount {
        let mut kept = TokenCount::ZERO;
        for (part, chain) in parts.iter().zip(chain_ids(parts)) {
            if !self.parts.contains_key(&chain) {
                break;
            }
            kept += part.tokens;
        }
        kept
    }

    /// Notes that the engine reads a prompt.
    pub fn note(&mut self, parts: &[PromptPart]) {
        self.clock += 1;
        for (part, chain) in parts.iter().zip(chain_ids(parts)) {
            let used = self.clock;
            let fresh = HeldPart { tokens: part.tokens, used };
            if self.parts.insert(chain, fresh).is_none() {
                self.held += part.tokens;
            }
        }
        while self.held > self.room {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.used);
        let Some(chain) = oldest.map(|(chain, _)| *chain) else {
            self.held = TokenCount::ZERO;
            return;
        };
        if let Some(part) = self.parts.remove(&chain) {
            self.held = self.held.less(part.tokens);
        }
    }
}

/// The ids of a prompt's beginnings: of each part together with all parts before it.
pub(crate) fn chain_ids(parts: &[PromptPart]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().scan(0u64, |chain, part| {
        *chain = mix(*chain ^ part.id);
        Some(*chain)
    })
}

/// A number that stands for a name in rendezvous hashing.
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0u64, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Spreads the bits of a number evenly (the finalizer of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
