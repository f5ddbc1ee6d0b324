//! Branches: the objects `configuration/branches/N`.

use std::collections::BTreeMap;

use sagespool_types::{BranchName, ClassName, SecretHash, ServiceName, TokenCount, derives};
use serde_json::Value;

use crate::check::{ObjectNode, ValueNode};
use crate::configuration::route::{read_limits, read_rule};
use crate::document::{check_document, check_text};
use crate::{LimitConfig, RouteRule, ValidationErrors};

derives! { record;
    /// The branches of one shard, or of a file.
    #[derive(Default)]
    pub struct BranchObject {
        /// The branches by name.
        pub branches: BTreeMap<BranchName, BranchConfig>,
    }
}

derives! { record;
    /// The configuration of a branch.
    #[derive(bon::Builder)]
    pub struct BranchConfig {
        /// The hashes of its keys; several while a key is being replaced, none if all are revoked.
        #[builder(default)]
        pub key_hashes: Vec<SecretHash>,
        /// Whether its keys may also be used for operator queries and commands.
        #[serde(default, skip_serializing_if = "is_false")]
        #[builder(default)]
        pub operator: bool,
        /// Its share of an upstream at capacity, relative to the weights of other branches.
        #[serde(default = "default_weight")]
        #[builder(default = DEFAULT_WEIGHT)]
        pub weight: u32,
        /// Limits of this branch.
        #[serde(default, skip_serializing_if = "LimitConfig::is_unlimited")]
        #[builder(default)]
        pub limits: LimitConfig,
        /// Its non-idempotent calls, in addition to those of the services.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub non_idempotent: Vec<BranchRule>,
        /// Tokens of its budget that are reserved for one class each.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub held_back: Vec<ClassHoldback>,
    }
}

derives! { record;
    /// Calls of a branch that must not run twice.
    pub struct BranchRule {
        /// The service that the rule applies to.
        pub service: ServiceName,
        /// Which calls of the service match.
        #[serde(flatten)]
        pub route: RouteRule,
    }
}

derives! { record;
    /// Tokens of a branch's budget that only one class may spend.
    #[derive(Eq)]
    pub struct ClassHoldback {
        /// The class that may spend them.
        pub class: ClassName,
        /// Number of tokens.
        pub tokens: TokenCount,
    }
}

/// Weight of a branch without a configured weight.
const DEFAULT_WEIGHT: u32 = 1;
const MAX_WEIGHT: u32 = 1000;
const MAX_KEYS: usize = 8;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

#[allow(clippy::trivially_copy_pass_by_ref)] // the signature that serde asks for
fn is_false(boolean: &bool) -> bool {
    !boolean
}

/// Validates an object of branches, before it is accepted or applied. Its references to the
/// fleet object are checked by
/// [`FleetConfiguration::check_change`](crate::FleetConfiguration::check_change).
///
/// # Errors
///
/// Every validation error at once.
pub fn check_branches(value: &Value) -> Result<BranchObject, ValidationErrors> {
    check_document(value, read_object)
}

/// Like [`check_branches`], but parses `text` first; repeated fields are also errors.
///
/// # Errors
///
/// Every validation error at once.
pub fn parse_branches(text: &str) -> Result<BranchObject, ValidationErrors> {
    check_text(text, read_object)
}

fn read_object(object: &ObjectNode) -> Option<BranchObject> {
    let branches = object.required("branches", |node| node.entries(read_named_branch));
    Some(BranchObject { branches: branches?.into_iter().collect() })
}

fn read_named_branch(name: &str, node: ValueNode) -> Option<(BranchName, BranchConfig)> {
    let name = match name.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            let error: sagespool_types::ParseError = error;
            let allowed = format!("{} ({})", error.wanted, error.help);
            node.reject_with(format!("{name:?}"), allowed, None)
        }
    };
    let config = node.object(read_branch);
    Some((name?, config?))
}

fn read_branch(object: &ObjectNode) -> Option<BranchConfig> {
    let key_hashes = object.required("key_hashes", read_hashes);
    let operator = object.or_default("operator", false, ValueNode::boolean);
    let weight =
        object.or_default("weight", DEFAULT_WEIGHT, |node| node.number_u32(1..=MAX_WEIGHT));
    let limits =
        object.or_default("limits", LimitConfig::default(), |node| node.object(read_limits));
    let non_idempotent = object.or_default("non_idempotent", Vec::new(), |node| {
        node.list(|rule| rule.object(read_branch_rule))
    });
    let held_back = object.or_default("held_back", Vec::new(), |node| {
        node.named_list(0..=MAX_HOLDBACKS, read_holdback, |held: &ClassHoldback| {
            held.class.as_str()
        })
    });
    Some(BranchConfig {
        key_hashes: key_hashes?,
        operator: operator?,
        weight: weight?,
        limits: limits?,
        non_idempotent: non_idempotent?,
        held_back: held_back?,
    })
}

const MAX_HOLDBACKS: usize = 32;

fn read_hashes(node: ValueNode) -> Option<Vec<SecretHash>> {
    let whole = node.clone();
    let hashes = node.unique_list(read_hash)?;
    if hashes.len() > MAX_KEYS {
        return whole.reject_with(format!("{} keys", hashes.len()), "at most 8 keys", None);
    }
    Some(hashes)
}

/// Doesn't show an invalid hash: it can be a key in clear text.
fn read_hash(node: ValueNode) -> Option<SecretHash> {
    const ALLOWED: &str = "the SHA-256 of a key as 64 lower-case hexadecimal digits";
    match node.text_redacted(ALLOWED)?.parse() {
        Ok(hash) => Some(hash),
        Err(_) => node.reject_with("a text that isn't a hash (not shown)", ALLOWED, None),
    }
}

fn read_branch_rule(object: &ObjectNode) -> Option<BranchRule> {
    let service = object.required("service", ValueNode::parse);
    let route = read_rule(object);
    Some(BranchRule { service: service?, route: route? })
}

fn read_holdback(object: &ObjectNode) -> Option<ClassHoldback> {
    let class = object.required("class", ValueNode::parse);
    let tokens =
        object.required("tokens", |node| node.number(1..=MAX_HOLDBACK_TOKENS).map(TokenCount));
    Some(ClassHoldback { class: class?, tokens: tokens? })
}

const MAX_HOLDBACK_TOKENS: u64 = 1 << 53;
