//! Lookup of branches by bearer token, across changes of the configuration.

#![allow(clippy::unwrap_used)]

use sagespool_settings::{
    BranchConfig, BranchObject, FleetConfiguration, FleetObject, branch_shard, check_fleet,
    split_branches,
};
use sagespool_types::{BranchName, ConfigVersion, SecretHash};
use serde_json::json;

fn fleet() -> FleetObject {
    let class =
        json!({"name": "only", "priority": 0, "deadline_ms": 1000, "longest_deadline_ms": 1000});
    let value = json!({
        "classes": [class], "default_class": "only", "services": [],
        "key_retention_ms": 1000, "answer_retention_ms": 1000
    });
    check_fleet(&value).unwrap()
}

fn branch(name: &str) -> BranchName {
    name.parse().unwrap()
}

fn object(branches: &[(&str, &[&str])]) -> BranchObject {
    let config = |tokens: &[&str]| {
        let key_hashes = tokens.iter().map(|token| SecretHash::of(token)).collect();
        BranchConfig::builder().key_hashes(key_hashes).build()
    };
    let branches = branches.iter().map(|(name, tokens)| (branch(name), config(tokens))).collect();
    BranchObject { branches }
}

fn configuration(branches: &[(&str, &[&str])]) -> FleetConfiguration {
    FleetConfiguration::build(ConfigVersion(1), fleet(), [&object(branches)])
}

/// The configuration after the object of the branch's shard was replaced by one with only this
/// branch.
fn changed(present: &FleetConfiguration, name: &str, tokens: &[&str]) -> FleetConfiguration {
    let version = ConfigVersion(present.version().0 + 1);
    present.with_branches(version, branch_shard(&branch(name)), object(&[(name, tokens)]))
}

fn owner<'a>(configuration: &'a FleetConfiguration, token: &str) -> Option<&'a str> {
    configuration.branch_by_token(token).map(BranchName::as_str)
}

#[test]
fn known_tokens() {
    let configuration = configuration(&[("ruwi-bids", &["k1", "k2"]), ("dhofar", &["k3"])]);
    assert_eq!(owner(&configuration, "k1"), Some("ruwi-bids"));
    assert_eq!(owner(&configuration, "k2"), Some("ruwi-bids"));
    assert_eq!(owner(&configuration, "k3"), Some("dhofar"));
    let hash = SecretHash::of("k1").to_string();
    for token in ["", "k", "k4", "K1", "k1 ", hash.as_str()] {
        assert_eq!(owner(&configuration, token), None, "{token}");
    }
}

#[test]
fn hash_prefix_collision() {
    // The index is keyed by the first bytes of a hash. A token whose hash shares only these must be
    // rejected: a caller could try tokens until the first bytes match.
    let hash = SecretHash::of("k1").to_string();
    let near: SecretHash = format!("{}{}", &hash[..48], "0".repeat(16)).parse().unwrap();
    let config = BranchConfig::builder().key_hashes(vec![near]).build();
    let object = BranchObject { branches: [(branch("ruwi-bids"), config)].into() };
    let configuration = FleetConfiguration::build(ConfigVersion(1), fleet(), [&object]);
    assert_eq!(owner(&configuration, "k1"), None);
}

#[test]
fn replaced_key() {
    // An operator replaces a leaked key. If the hash of the revoked key stayed in the index, the
    // leaked key could still be used to spend tokens.
    let first = configuration(&[("ruwi-bids", &["old"])]);
    let both = changed(&first, "ruwi-bids", &["old", "new"]);
    assert_eq!(owner(&both, "old"), Some("ruwi-bids"));
    assert_eq!(owner(&both, "new"), Some("ruwi-bids"));
    let last = changed(&both, "ruwi-bids", &["new"]);
    assert_eq!(owner(&last, "old"), None);
    assert_eq!(owner(&last, "new"), Some("ruwi-bids"));

    // Earlier versions stay unchanged for the requests that use them.
    assert_eq!(owner(&first, "new"), None);
    assert_eq!(owner(&both, "old"), Some("ruwi-bids"));
}

#[test]
fn removed_branch() {
    let first = configuration(&[("ruwi-bids", &["k1"]), ("dhofar", &["k3"])]);
    let shard = branch_shard(&branch("ruwi-bids"));
    let last = first.with_branches(ConfigVersion(2), shard, BranchObject::default());
    assert_eq!(owner(&last, "k1"), None);
    assert!(last.branch(&branch("ruwi-bids")).is_none());
    assert_eq!(owner(&last, "k3"), Some("dhofar"));
}

#[test]
fn shared_key() {
    // Two operators register the same key for two branches at once, in two objects. A request with
    // it could be billed to the wrong branch. So the key is rejected, `check_change` reports it, and
    // its removal from one branch makes it valid for the other.
    let present = configuration(&[("ruwi-bids", &["same"]), ("dhofar", &["own"])]);
    let shared = changed(&present, "dhofar", &["own", "same"]);
    assert_eq!(owner(&shared, "same"), None);
    assert_eq!(owner(&shared, "own"), Some("dhofar"));
    let errors = present.check_change(&shared).unwrap_err().to_string();
    assert!(errors.contains("dhofar.key_hashes[1]: found a key that branch `ruwi-bids` has too"));

    let corrected = changed(&shared, "dhofar", &["own"]);
    assert_eq!(owner(&corrected, "same"), Some("ruwi-bids"));
    assert_eq!(shared.check_change(&corrected), Ok(()));
}

#[test]
fn misplaced_branch() {
    // An object has a branch of another shard, by an error of its writer. If the key were accepted,
    // its requests would find no configuration of the branch, hence no limits.
    let other = (branch_shard(&branch("ruwi-bids")) + 1) % 64;
    let present = configuration(&[("dhofar", &["own"])]);
    let version = ConfigVersion(2);
    let changed = present.with_branches(version, other, object(&[("ruwi-bids", &["k1"])]));
    assert_eq!(owner(&changed, "k1"), None);
    assert!(changed.branch(&branch("ruwi-bids")).is_none());
    let errors = present.check_change(&changed).unwrap_err().to_string();
    assert!(errors.contains("found a branch of another shard; allowed: this branch only in"));
}

#[test]
fn many_branches() {
    // At the design size of 57,000 branches each one is found, and a change leaves the others intact.
    let names: Vec<String> = (0..57_000).map(|number| format!("account-{number}")).collect();
    let tokens: Vec<String> = (0..57_000).map(|number| format!("key-{number}")).collect();
    let config =
        |token: &String| BranchConfig::builder().key_hashes(vec![SecretHash::of(token)]).build();
    let pairs = names.iter().zip(&tokens);
    let all = pairs.map(|(name, token)| (branch(name), config(token))).collect();
    let all = BranchObject { branches: all };
    let configuration = FleetConfiguration::build(ConfigVersion(1), fleet(), [&all]);

    let shard = branch_shard(&branch(&names[0]));
    let mut object = split_branches(all).remove(&shard).unwrap();
    object.branches.insert(branch(&names[0]), config(&"fresh".to_owned()));
    let changed = configuration.with_branches(ConfigVersion(2), shard, object);

    assert_eq!(owner(&changed, &tokens[0]), None);
    assert_eq!(owner(&changed, "fresh"), Some(names[0].as_str()));
    for (name, token) in names.iter().zip(&tokens).skip(1) {
        assert_eq!(owner(&changed, token), Some(name.as_str()));
    }
}
