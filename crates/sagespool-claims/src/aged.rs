//! Claims without details, grouped by hour.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use sagespool_types::{IncarnationId, KeyDigest, ParseError, WallTime, derives};

const HOUR_MS: u64 = 3_600_000;
const FINGERPRINT_BYTES: usize = 8;

derives! { record;
    /// Fingerprints of claimed keys: the upper half of each digest, sorted.
    ///
    /// With a million fingerprints, a new key matches a claimed one with a probability
    /// of 1 in 10^13.
    #[derive(Default)]
    #[serde(try_from = "String", into = "String")]
    pub struct FingerprintSet {
        prints: Vec<u64>,
    }
}

fn fingerprint_of(key: KeyDigest) -> u64 {
    (key.0 >> 64) as u64
}

impl FingerprintSet {
    pub(crate) fn insert(&mut self, key: KeyDigest) {
        let fingerprint = fingerprint_of(key);
        if let Err(index) = self.prints.binary_search(&fingerprint) {
            self.prints.insert(index, fingerprint);
        }
    }

    /// True if the key's fingerprint is in the set.
    pub fn contains(&self, key: KeyDigest) -> bool {
        self.prints.binary_search(&fingerprint_of(key)).is_ok()
    }

    /// The number of keys in the set.
    pub fn len(&self) -> usize {
        self.prints.len()
    }

    /// True if the set has no keys.
    pub fn is_empty(&self) -> bool {
        self.prints.is_empty()
    }
}

impl TryFrom<String> for FingerprintSet {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        let error = || ParseError::new("a set of claims", &text, "base64 of 8 bytes per claim");
        let bytes = STANDARD_NO_PAD.decode(&text).map_err(|_| error())?;
        let (chunks, rest) = bytes.as_chunks::<FINGERPRINT_BYTES>();
        if !rest.is_empty() {
            return Err(error());
        }
        let mut prints: Vec<_> = chunks.iter().map(|chunk| u64::from_le_bytes(*chunk)).collect();
        prints.sort_unstable();
        Ok(Self { prints })
    }
}

impl From<FingerprintSet> for String {
    fn from(set: FingerprintSet) -> String {
        let bytes: Vec<u8> =
            set.prints.iter().flat_map(|fingerprint| fingerprint.to_le_bytes()).collect();
        STANDARD_NO_PAD.encode(bytes)
    }
}

derives! { record;
    /// The claims of one hour, without details.
    #[derive(Default)]
    pub struct AgedClaims {
        /// The claimed keys.
        pub keys: FingerprintSet,
        /// The home that first found the hour past its retention, and the time of that.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub mark: Option<(IncarnationId, WallTime)>,
    }
}

/// The number of whole hours since 1970.
pub(crate) fn hour_of(at: WallTime) -> u64 {
    at.0 / HOUR_MS
}

impl AgedClaims {
    /// True if an hour's claims may be dropped. A claim that is dropped early lets its
    /// request run twice, and wall clocks can be wrong. So two homes must find the hour
    /// past its retention, or the same home twice at least an hour apart. A home by whose
    /// clock the hour is within its retention clears the mark.
    pub(crate) fn may_be_dropped(
        &mut self,
        past: bool,
        home: IncarnationId,
        now: WallTime,
    ) -> bool {
        if !past {
            self.mark = None;
            return false;
        }
        let Some((marked_by, marked_at)) = self.mark else {
            self.mark = Some((home, now));
            return false;
        };
        marked_by != home || now.0 >= marked_at.0 + HOUR_MS
    }
}

/// True if an hour ended longer ago than the retention plus a margin of one hour for
/// clock skew.
pub(crate) fn is_past_retention(hour: u64, now: WallTime, retention_millis: u64) -> bool {
    let end = (hour + 1) * HOUR_MS;
    now.0 > end.saturating_add(retention_millis).saturating_add(HOUR_MS)
}

/// Upper bound of the hours' size in the stored record, in bytes.
pub(crate) fn max_hours_bytes<'hours>(hours: impl Iterator<Item = &'hours AgedClaims>) -> usize {
    const HOUR_BYTES: usize = 100;
    hours.map(|aged| HOUR_BYTES + (aged.keys.len() * FINGERPRINT_BYTES).div_ceil(3) * 4).sum()
}
