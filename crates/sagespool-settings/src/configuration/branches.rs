//! Branches: the objects `configuration/branches/N`.

use std::collections::BTreeMap;

use sagespool_types::{BranchName, ClassName, SecretHash, ServiceName, TokenCount, derives};
use serde_json::Value;

use crate::check::{CheckNode, ObjectNode};
use crate::configuration::route::{read_limits, read_rule};
use crate::document::{check_document, check_text};
use crate::{LimitConfig, RouteRule, ValidationErrors};

derives! { record;
    /// Some of the branches.
    #[derive(Default)]
    pub struct BranchObject {
        /// Each branch by its name.
        pub branches: BTreeMap<BranchName, BranchConfig>,
    }
}

derives! { record;
    /// One branch.
    #[derive(bon::Builder)]
    pub struct BranchConfig {
        /// The hashes of its keys; several while one replaces another, none if all are revoked.
        #[builder(default)]
        pub key_hashes: Vec<SecretHash>,
        /// Whether its keys may also ask and command as an operator.
        #[serde(default, skip_serializing_if = "is_false")]
        #[builder(default)]
        pub operator: bool,
        /// Its share of a full upstream, beside other branches' weights.
        #[serde(default = "default_weight")]
        #[builder(default = DEFAULT_WEIGHT)]
        pub weight: u32,
        /// Its limits.
        #[serde(default, skip_serializing_if = "LimitConfig::is_unlimited")]
        #[builder(default)]
        pub limits: LimitConfig,
        /// Its calls that may never run twice, beside those of the services.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub non_idempotent: Vec<BranchRule>,
        /// Tokens of its budget that only a class may spend.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub held_back: Vec<ClassHoldback>,
    }
}

derives! { record;
    /// Calls of a branch that may never run twice.
    pub struct BranchRule {
        /// Of this service.
        pub service: ServiceName,
        /// These calls.
        #[serde(flatten)]
        pub route: RouteRule,
    }
}

derives! { record;
    /// Tokens of a branch's budget that only one class may spend.
    #[derive(Eq)]
    pub struct ClassHoldback {
        /// The class.
        pub class: ClassName,
        /// How many.
        pub tokens: TokenCount,
    }
}

/// The weight of a branch for which none is set.
const DEFAULT_WEIGHT: u32 = 1;
const GREATEST_WEIGHT: u32 = 1000;
const MOST_KEYS: usize = 8;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

#[allow(clippy::trivially_copy_pass_by_ref)] // the signature that serde asks for
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Checks an object of branches before it is accepted or taken over. What it
/// refers to in the fleet's object is checked by
/// [`FleetConfiguration::check_change`](crate::FleetConfiguration::check_change).
///
/// # Errors
///
/// Every fault at once.
pub fn check_branches(value: &Value) -> Result<BranchObject, ValidationErrors> {
    check_document(value, read_object)
}

/// As [`check_branches`], from a file's text; repeated fields are faults too.
///
/// # Errors
///
/// Every fault at once.
pub fn parse_branches(text: &str) -> Result<BranchObject, ValidationErrors> {
    check_text(text, read_object)
}

fn read_object(object: &ObjectNode) -> Option<BranchObject> {
    let branches = object.required("branches", |node| node.entries(read_named));
    Some(BranchObject { branches: branches?.into_iter().collect() })
}

fn read_named(name: &str, node: CheckNode) -> Option<(BranchName, BranchConfig)> {
    let name = match name.parse() {
        Ok(name) => Some(name),
        Err(fault) => {
            let fault: sagespool_types::ParseError = fault;
            let allowed = format!("{} ({})", fault.wanted, fault.help);
            node.fault_with(format!("{name:?}"), allowed, None)
        }
    };
    let entry = node.object(read_branch);
    Some((name?, entry?))
}

fn read_branch(object: &ObjectNode) -> Option<BranchConfig> {
    let key_hashes = object.required("key_hashes", read_hashes);
    let operator = object.or("operator", false, CheckNode::flag);
    let weight = object.or("weight", DEFAULT_WEIGHT, |node| node.small_number(1..=GREATEST_WEIGHT));
    let limits = object.or("limits", LimitConfig::default(), |node| node.object(read_limits));
    let non_idempotent = object
        .or("non_idempotent", Vec::new(), |node| node.list(|rule| rule.object(read_branch_rule)));
    let held_back = object.or("held_back", Vec::new(), |node| {
        node.named_list(0..=MOST_HELD_BACK, read_held_back, |held: &ClassHoldback| {
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

const MOST_HELD_BACK: usize = 32;

fn read_hashes(node: CheckNode) -> Option<Vec<SecretHash>> {
    let whole = node.clone();
    let hashes = node.list_of_unique(read_hash)?;
    if hashes.len() > MOST_KEYS {
        return whole.fault_with(format!("{} keys", hashes.len()), "at most 8 keys", None);
    }
    Some(hashes)
}

/// Guards against a key in clear text: one written here in place of its hash isn't shown.
fn read_hash(node: CheckNode) -> Option<SecretHash> {
    const ALLOWED: &str = "the SHA-256 of a key as 64 lower-case hexadecimal digits";
    match node.text_unseen(ALLOWED)?.parse() {
        Ok(hash) => Some(hash),
        Err(_) => node.fault_with("a text that isn't a hash (not shown)", ALLOWED, None),
    }
}

fn read_branch_rule(object: &ObjectNode) -> Option<BranchRule> {
    let service = object.required("service", CheckNode::parse);
    let route = read_rule(object);
    Some(BranchRule { service: service?, route: route? })
}

fn read_held_back(object: &ObjectNode) -> Option<ClassHoldback> {
    let class = object.required("class", CheckNode::parse);
    let tokens = object.required("tokens", |node| node.number(1..=MOST_TOKENS).map(TokenCount));
    Some(ClassHoldback { class: class?, tokens: tokens? })
}

const MOST_TOKENS: u64 = 1 << 53;
