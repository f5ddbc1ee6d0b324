//! Claims whose details are no longer needed, an hour at a time.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use sagespool_types::{IncarnationId, KeyDigest, ParseError, WallTime, derives};

const HOUR_MILLIS: u64 = 3_600_000;
const PRINT_BYTES: usize = 8;

derives! { record;
    /// Fingerprints of claimed keys: the upper half of each digest, sorted.
    ///
    /// With a million fingerprints kept, a fresh key is taken for a claimed one
    /// with a chance of 1 in 10^13.
    #[derive(Default)]
    #[serde(try_from = "String", into = "String")]
    pub struct PrintSet {
        prints: Vec<u64>,
    }
}

fn print_of(key: KeyDigest) -> u64 {
    (key.0 >> 64) as u64
}

impl PrintSet {
    pub(crate) fn insert(&mut self, key: KeyDigest) {
        let print = print_of(key);
        if let Err(place) = self.prints.binary_search(&print) {
            self.prints.insert(place, print);
        }
    }

    /// True if the key's fingerprint is in the set.
    pub fn contains(&self, key: KeyDigest) -> bool {
        self.prints.binary_search(&print_of(key)).is_ok()
    }

    /// How many keys are in it.
    pub fn len(&self) -> usize {
        self.prints.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.prints.is_empty()
    }
}

impl TryFrom<String> for PrintSet {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        let fault = || ParseError::new("a set of claims", &text, "base64 of 8 bytes a claim");
        let bytes = STANDARD_NO_PAD.decode(&text).map_err(|_| fault())?;
        let (chunks, rest) = bytes.as_chunks::<PRINT_BYTES>();
        if !rest.is_empty() {
            return Err(fault());
        }
        let mut prints: Vec<_> = chunks.iter().map(|chunk| u64::from_le_bytes(*chunk)).collect();
        prints.sort_unstable();
        Ok(Self { prints })
    }
}

impl From<PrintSet> for String {
    fn from(set: PrintSet) -> String {
        let bytes: Vec<u8> = set.prints.iter().flat_map(|print| print.to_le_bytes()).collect();
        STANDARD_NO_PAD.encode(bytes)
    }
}

derives! { record;
    /// The claims of one hour.
    #[derive(Default)]
    pub struct AgedClaims {
        /// The keys.
        pub keys: PrintSet,
        /// The home that first found the hour past its retention, and when.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub mark: Option<(IncarnationId, WallTime)>,
    }
}

/// The hour that a time falls into.
pub(crate) fn hour_of(at: WallTime) -> u64 {
    at.0 / HOUR_MILLIS
}

impl AgedClaims {
    /// True if an hour's claims may be forgotten now. Forgetting one early
    /// would let its request run twice, and wall clocks can be wrong: so two
    /// homes must find the hour past its retention, or the same one twice an
    /// hour apart, and any home whose clock says otherwise takes the mark back.
    pub(crate) fn may_go(&mut self, past: bool, home: IncarnationId, now: WallTime) -> bool {
        if !past {
            self.mark = None;
            return false;
        }
        let Some((marked_by, marked_at)) = self.mark else {
            self.mark = Some((home, now));
            return false;
        };
        marked_by != home || now.0 >= marked_at.0 + HOUR_MILLIS
    }
}

/// True if an hour ended longer ago than the retention and a margin of an hour
/// for clocks that differ.
pub(crate) fn is_past(hour: u64, now: WallTime, retention_millis: u64) -> bool {
    let end = (hour + 1) * HOUR_MILLIS;
    now.0 > end.saturating_add(retention_millis).saturating_add(HOUR_MILLIS)
}

/// The most bytes that the hours take in the store's object.
pub(crate) fn hours_bytes<'hours>(hours: impl Iterator<Item = &'hours AgedClaims>) -> usize {
    const HOUR_BYTES: usize = 100;
    hours.map(|aged| HOUR_BYTES + (aged.keys.len() * PRINT_BYTES).div_ceil(3) * 4).sum()
}
