//! Rules that match a call by its method and path, and request limits.

use sagespool_types::derives;

use crate::check::{ObjectNode, ValueNode};

derives! { record;
    /// Matches calls by method (or any) and by a path prefix.
    pub struct RouteRule {
        /// The method in capitals; `None` matches every method.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub method: Option<String>,
        /// The start of the path, from `/`, in whole segments: `/letters` matches `/letters` and
        /// `/letters/7`, but not `/letterheads`.
        pub path_prefix: String,
    }
}

impl RouteRule {
    /// Whether the rule matches a call. `path` may include a query.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits =
            self.method.as_ref().is_none_or(|wanted| wanted.eq_ignore_ascii_case(method));
        method_fits && CallPath::new(path).is_below(&self.path_prefix)
    }
}

derives! { record;
    /// Request limits; `None` means unlimited.
    #[derive(Default, Copy, Eq, bon::Builder)]
    pub struct LimitConfig {
        /// Requests running at once.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub running: Option<u32>,
        /// Requests started per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub requests_per_second: Option<u32>,
    }
}

impl LimitConfig {
    /// Whether no limit is set.
    pub fn is_unlimited(&self) -> bool {
        self.running.is_none() && self.requests_per_second.is_none()
    }
}

/// A normalized path, for comparison with rules.
///
/// The service may decode `%6cetters`, ignore case, collapse `//` and `/./` or resolve `..`. A
/// rule compared with the raw path would miss such a non-idempotent call, and a retry would run
/// it twice. The path is compared both with `..` resolved and unresolved. If the service is
/// stricter, a call may be treated as non-idempotent needlessly, which only costs a claim.
pub(crate) struct CallPath {
    resolved: Vec<String>,
    literal: Vec<String>,
}

impl CallPath {
    pub fn new(path: &str) -> Self {
        let literal = normalized_segments(path);
        Self { resolved: resolve_dot_segments(&literal), literal }
    }

    pub fn is_below(&self, prefix: &str) -> bool {
        let prefix = normalized_segments(prefix);
        self.resolved.starts_with(&prefix) || self.literal.starts_with(&prefix)
    }
}

fn normalized_segments(path: &str) -> Vec<String> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let path = decode_fully(path).replace('\\', "/").to_lowercase();
    let bare = path.split('/').map(strip_parameters);
    bare.filter(|segment| !segment.is_empty() && *segment != ".").map(str::to_owned).collect()
}

/// For many services `letters;v=1` names the same resource as `letters`.
fn strip_parameters(segment: &str) -> &str {
    segment.split(';').next().unwrap_or_default()
}

fn resolve_dot_segments(literal: &[String]) -> Vec<String> {
    let mut resolved = Vec::new();
    for segment in literal {
        if segment == ".." {
            resolved.pop();
        } else {
            resolved.push(segment.clone());
        }
    }
    resolved
}

/// A path that is still encoded after this many rounds is compared as it is.
const MAX_DECODE_ROUNDS: usize = 3;

fn decode_fully(path: &str) -> String {
    let mut path = path.to_owned();
    for _ in 0..MAX_DECODE_ROUNDS {
        let decoded = decode_once(&path);
        if decoded == path {
            break;
        }
        path = decoded;
    }
    path
}

fn decode_once(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        if let Some(byte) = decode_percent(&bytes[at..]) {
            decoded.push(byte);
            at += ENCODED_BYTE_LEN;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const ENCODED_BYTE_LEN: usize = 3;

fn decode_percent(bytes: &[u8]) -> Option<u8> {
    let [b'%', digits @ ..] = bytes.get(..ENCODED_BYTE_LEN)? else { return None };
    let digits = std::str::from_utf8(digits).ok()?;
    if digits.starts_with('+') {
        return None;
    }
    u8::from_str_radix(digits, 16).ok()
}

const MAX_PREFIX_BYTES: usize = 256;
const METHODS: [(&str, &str); 7] = [
    ("GET", "GET"),
    ("HEAD", "HEAD"),
    ("POST", "POST"),
    ("PUT", "PUT"),
    ("PATCH", "PATCH"),
    ("DELETE", "DELETE"),
    ("OPTIONS", "OPTIONS"),
];

pub(crate) fn read_rule(object: &ObjectNode) -> Option<RouteRule> {
    let method = object.optional("method", |node| node.one_of(&METHODS));
    let path_prefix = object.required("path_prefix", read_prefix);
    Some(RouteRule { method: method?.map(str::to_owned), path_prefix: path_prefix? })
}

fn read_prefix(node: ValueNode) -> Option<String> {
    const ALLOWED: &str = "a path from `/` of at most 256 bytes, without `?`, `#`, `%`, `;`, `..` \
                           or spaces";
    let text = node.text(ALLOWED)?;
    let plain = text.chars().all(|c| c.is_ascii_graphic() && !"?#%;\\".contains(c));
    let fits = plain && text.starts_with('/') && text.len() <= MAX_PREFIX_BYTES;
    if !fits || text.split('/').any(|segment| segment == "..") {
        return node.reject(ALLOWED);
    }
    Some(text.to_owned())
}

const MAX_LIMIT: u32 = 1_000_000;

pub(crate) fn read_limits(object: &ObjectNode) -> Option<LimitConfig> {
    let bound = |node: ValueNode| node.number_u32(1..=MAX_LIMIT);
    let running = object.optional("running", bound);
    let requests_per_second = object.optional("requests_per_second", bound);
    Some(LimitConfig { running: running?, requests_per_second: requests_per_second? })
}
