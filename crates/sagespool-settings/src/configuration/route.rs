//! Rules that match a call by its method and path.

use sagespool_types::derives;

use crate::check::{CheckNode, ObjectNode};

derives! { record;
    /// Calls with a method (or any) whose path is a prefix or lies below it.
    pub struct RouteRule {
        /// The method in capitals, or nothing for every method.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub method: Option<String>,
        /// The path's beginning, from `/`, in whole segments: `/letters` is for `/letters` and
        /// `/letters/7`, not for `/letterheads`.
        pub path_prefix: String,
    }
}

impl RouteRule {
    /// Whether a call falls under the rule. `path` may have a query.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits =
            self.method.as_ref().is_none_or(|wanted| wanted.eq_ignore_ascii_case(method));
        method_fits && CallPath::new(path).lies_below(&self.path_prefix)
    }
}

derives! { record;
    /// Limits; nothing means unlimited.
    #[derive(Default, Copy, Eq, bon::Builder)]
    pub struct LimitConfig {
        /// Requests running at once.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub running: Option<u32>,
        /// Requests started a second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub requests_per_second: Option<u32>,
    }
}

impl LimitConfig {
    /// Whether nothing is limited.
    pub fn is_unlimited(&self) -> bool {
        self.running.is_none() && self.requests_per_second.is_none()
    }
}

/// A call's path, ready to be compared with rules.
///
/// Guards against a non-idempotent call that passes as another: the service
/// behind may decode `%6cetters`, ignore case, fold `//` and `/./` or resolve
/// `..`, so a rule compared letter by letter would miss it, and a retry would
/// run it twice. A path is compared both with `..` resolved and left as it
/// stands. Where the service reads paths more strictly than that, a call is
/// taken for non-idempotent without need, which costs a claim and no more.
pub(crate) struct CallPath {
    resolved: Vec<String>,
    literal: Vec<String>,
}

impl CallPath {
    pub fn new(path: &str) -> Self {
        let literal = segments_of(path);
        Self { resolved: resolve(&literal), literal }
    }

    pub fn lies_below(&self, prefix: &str) -> bool {
        let prefix = segments_of(prefix);
        self.resolved.starts_with(&prefix) || self.literal.starts_with(&prefix)
    }
}

fn segments_of(path: &str) -> Vec<String> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let path = decode_fully(path).replace('\\', "/").to_lowercase();
    let bare = path.split('/').map(without_parameters);
    bare.filter(|segment| !segment.is_empty() && *segment != ".").map(str::to_owned).collect()
}

/// `letters;v=1` names the same resource as `letters` for many services.
fn without_parameters(segment: &str) -> &str {
    segment.split(';').next().unwrap_or_default()
}

fn resolve(literal: &[String]) -> Vec<String> {
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

/// A path that is still encoded after so many rounds is compared as it is.
const MOST_DECODINGS: usize = 3;

fn decode_fully(path: &str) -> String {
    let mut path = path.to_owned();
    for _ in 0..MOST_DECODINGS {
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
        if let Some(byte) = encoded_byte(&bytes[at..]) {
            decoded.push(byte);
            at += ENCODED_LENGTH;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const ENCODED_LENGTH: usize = 3;

fn encoded_byte(bytes: &[u8]) -> Option<u8> {
    let [b'%', digits @ ..] = bytes.get(..ENCODED_LENGTH)? else { return None };
    let digits = std::str::from_utf8(digits).ok()?;
    if digits.starts_with('+') {
        return None;
    }
    u8::from_str_radix(digits, 16).ok()
}

const LONGEST_PREFIX: usize = 256;
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

fn read_prefix(node: CheckNode) -> Option<String> {
    const ALLOWED: &str = "a path from `/` of at most 256 bytes, without `?`, `#`, `%`, `;`, `..` \
                           or spaces";
    let text = node.text(ALLOWED)?;
    let plain = text.chars().all(|c| c.is_ascii_graphic() && !"?#%;\\".contains(c));
    let fits = plain && text.starts_with('/') && text.len() <= LONGEST_PREFIX;
    if !fits || text.split('/').any(|segment| segment == "..") {
        return node.fault(ALLOWED);
    }
    Some(text.to_owned())
}

const GREATEST_LIMIT: u32 = 1_000_000;

pub(crate) fn read_limits(object: &ObjectNode) -> Option<LimitConfig> {
    let bound = |node: CheckNode| node.small_number(1..=GREATEST_LIMIT);
    let running = object.optional("running", bound);
    let requests_per_second = object.optional("requests_per_second", bound);
    Some(LimitConfig { running: running?, requests_per_second: requests_per_second? })
}
