//! The configuration objects: validation, lookups and shards.

#![allow(clippy::unwrap_used)]

use quickcheck::quickcheck;
use sagespool_settings::{
    BranchConfig, BranchObject, BranchRule, ClassHoldback, FleetConfiguration, FleetObject,
    RouteRule, branch_object_key, branch_object_shard, branch_shard, check_branches, check_fleet,
    parse_branches, parse_fleet, split_branches,
};
use sagespool_types::{BranchName, ConfigVersion, SecretHash, TokenCount};
use serde_json::{Value, json};

fn fleet_value() -> Value {
    json!({
        "classes": [
            {"name": "lookup", "priority": 0, "deadline_ms": 2000, "longest_deadline_ms": 10000},
            {"name": "draft", "priority": 5, "deadline_ms": 60000, "longest_deadline_ms": 600000,
             "limits": {"running": 40}}
        ],
        "default_class": "draft",
        "services": [
            {"name": "sage-core", "kind": "engine",
             "models": [{"name": "dossier-large", "bytes_per_token": 4, "most_tokens": 4096}]},
            {"name": "portal-api", "kind": "service", "price": 5,
             "non_idempotent": [{"method": "POST", "path_prefix": "/letters"}]}
        ],
        "key_retention_ms": 86400000,
        "answer_retention_ms": 600000
    })
}

fn branches_value() -> Value {
    json!({
        "branches": {
            "ruwi-bids": {
                "key_hashes": [SecretHash::of("k-ruwi").to_string()],
                "weight": 4,
                "limits": {"running": 20, "requests_per_second": 50},
                "non_idempotent": [{"service": "portal-api", "path_prefix": "/bids/final"}],
                "held_back": [{"class": "lookup", "tokens": 5000}]
            },
            "control-room": {"key_hashes": [SecretHash::of("k-room").to_string()], "operator": true}
        }
    })
}

fn fleet() -> FleetObject {
    check_fleet(&fleet_value()).unwrap()
}

fn branches() -> BranchObject {
    check_branches(&branches_value()).unwrap()
}

fn configuration() -> FleetConfiguration {
    FleetConfiguration::build(ConfigVersion(7), fleet(), [&branches()])
}

/// The value with the one at a JSON pointer replaced; `null` removes the field.
fn changed(mut value: Value, pointer: &str, new: Value) -> Value {
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    match value.pointer_mut(parent).unwrap() {
        Value::Array(items) => items.push(new),
        Value::Object(fields) if new.is_null() => drop(fields.remove(name).unwrap()),
        Value::Object(fields) => drop(fields.insert(name.to_owned(), new)),
        other => panic!("nothing below {other}"),
    }
    value
}

#[test]
fn fleet_object_errors() {
    let lookup = fleet_value()["classes"][0].clone();
    let core = fleet_value()["services"][0].clone();
    let second_core = changed(core, "/name", json!("sage-spare"));
    let rows: &[(&str, Value, &str)] = &[
        (
            "/default_class",
            json!("drafts"),
            "$.default_class: found \"drafts\"; allowed: one of `lookup`, `draft`; did you mean `draft`?",
        ),
        ("/default_class", json!(null), "$.default_class: found nothing"),
        ("/classes", json!([]), "$.classes: found 0 entries; allowed: from 1 to 32"),
        ("/classes/-", lookup, "$.classes[2]: found a duplicate entry"),
        (
            "/classes/0/priority",
            json!(256),
            "$.classes[0].priority: found 256; allowed: a whole number from 0 to 255",
        ),
        (
            "/classes/0/longest_deadline_ms",
            json!(1),
            "$.classes[0].longest_deadline_ms: found 1; allowed: at least `deadline_ms`, which is 2000",
        ),
        ("/classes/1/limits/running", json!(0), "$.classes[1].limits.running: found 0"),
        (
            "/services/-",
            second_core,
            "$.services[2].models[0].name: found \"dossier-large\"; allowed: each model in one service; `sage-core` has it",
        ),
        ("/services/0/models", json!(null), "$.services[0].models: found no model"),
        ("/services/0/price", json!(5), "$.services[0].price: found a price; allowed: no price"),
        (
            "/services/0/models/0/bytes_per_token",
            json!(0),
            "$.services[0].models[0].bytes_per_token: found 0",
        ),
        ("/services/1/price", json!(null), "$.services[1].price: found nothing; allowed: a price"),
        (
            "/services/1/price",
            json!(0),
            "$.services[1].price: found 0; allowed: a whole number from 1",
        ),
        (
            "/services/1/kind",
            json!("plain"),
            "$.services[1].kind: found \"plain\"; allowed: one of `engine`, `service`",
        ),
        (
            "/services/1/non_idempotent/0/method",
            json!("post"),
            "$.services[1].non_idempotent[0].method: found \"post\"; allowed: one of",
        ),
        (
            "/services/1/non_idempotent/0/path_prefix",
            json!("letters"),
            "$.services[1].non_idempotent[0].path_prefix: found \"letters\"; allowed: a path from `/`",
        ),
        (
            "/services/1/non_idempotent/0/path_prefix",
            json!("/a/../b"),
            "path_prefix: found \"/a/../b\"",
        ),
        (
            "/answer_retention_ms",
            json!(90000000),
            "$.answer_retention_ms: found 90000000; allowed: at most `key_retention_ms`",
        ),
        ("/clases", json!([]), "$.clases: found an unknown field; allowed: the fields `classes`"),
    ];
    for (pointer, value, expected) in rows {
        let errors = check_fleet(&changed(fleet_value(), pointer, value.clone())).unwrap_err();
        assert_eq!(errors.errors.len(), 1, "{pointer}: {errors}");
        assert!(errors.to_string().contains(expected), "{pointer}: {errors}");
    }
}

#[test]
fn branch_object_errors() {
    let rows: &[(&str, Value, &str)] = &[
        ("/branches", json!([]), "$.branches: found a list; allowed: an object"),
        (
            "/branches/Ruwi Bids",
            json!({"key_hashes": []}),
            "$.branches[\"Ruwi Bids\"]: found \"Ruwi Bids\"; allowed: a branch name",
        ),
        (
            "/branches/ruwi-bids/key_hashes",
            json!(null),
            "$.branches.ruwi-bids.key_hashes: found nothing",
        ),
        (
            "/branches/ruwi-bids/weight",
            json!(0),
            "$.branches.ruwi-bids.weight: found 0; allowed: a whole number from 1 to 1000",
        ),
        (
            "/branches/ruwi-bids/operator",
            json!("yes"),
            "$.branches.ruwi-bids.operator: found \"yes\"; allowed: true or false",
        ),
        ("/branches/ruwi-bids/limits/runing", json!(1), "did you mean `running`?"),
        (
            "/branches/ruwi-bids/non_idempotent/0/service",
            json!(null),
            "$.branches.ruwi-bids.non_idempotent[0].service: found nothing",
        ),
        (
            "/branches/ruwi-bids/held_back/-",
            json!({"class": "lookup", "tokens": 1}),
            "$.branches.ruwi-bids.held_back[1]: found a duplicate entry",
        ),
        (
            "/branches/ruwi-bids/held_back/0/tokens",
            json!(-1),
            "$.branches.ruwi-bids.held_back[0].tokens: found -1",
        ),
    ];
    for (pointer, value, expected) in rows {
        let errors =
            check_branches(&changed(branches_value(), pointer, value.clone())).unwrap_err();
        assert_eq!(errors.errors.len(), 1, "{pointer}: {errors}");
        assert!(errors.to_string().contains(expected), "{pointer}: {errors}");
    }
}

#[test]
fn all_errors_at_once() {
    let value = changed(fleet_value(), "/classes/0/priority", json!("high"));
    let value = changed(value, "/answer_retention_ms", json!(90_000_000));
    let value = changed(value, "/services/1/price", json!(null));
    let value = changed(value, "/typo", json!(1));
    let errors = check_fleet(&value).unwrap_err();
    let paths: Vec<&str> = errors.errors.iter().map(|error| error.path.as_str()).collect();
    let expected =
        ["$.classes[0].priority", "$.services[1].price", "$.answer_retention_ms", "$.typo"];
    assert_eq!(paths, expected);
}

#[test]
fn clear_text_keys_hidden() {
    // An operator enters a key in place of its hash. Every process that watches the object logs the
    // error, so it must not contain the key.
    let value =
        json!({"branches": {"ruwi-bids": {"key_hashes": ["my-clear-key", ["my-clear-key"]]}}});
    let errors = check_branches(&value).unwrap_err();
    assert_eq!(errors.errors.len(), 2);
    assert!(!errors.to_string().contains("my-clear-key"), "{errors}");
}

#[test]
fn repeated_branch() {
    let hash = SecretHash::of("k");
    let branch_json = format!("\"ruwi-bids\": {{\"key_hashes\": [\"{hash}\"]}}");
    let errors =
        parse_branches(&format!("{{\"branches\": {{{branch_json}, {branch_json}}}}}")).unwrap_err();
    assert_eq!(errors.errors[0].path, "$.branches.ruwi-bids");
    assert!(parse_fleet(&fleet_value().to_string()).is_ok());
}

#[test]
fn round_trip() {
    // Objects that a process writes to the store must be valid for every other process.
    let fleet = fleet();
    assert_eq!(check_fleet(&serde_json::to_value(&fleet).unwrap()).unwrap(), fleet);
    let branches = branches();
    assert_eq!(check_branches(&serde_json::to_value(&branches).unwrap()).unwrap(), branches);
}

#[test]
fn lookups() {
    let configuration = configuration();
    assert_eq!(configuration.version(), ConfigVersion(7));
    assert_eq!(configuration.default_class().name.as_str(), "draft");
    assert_eq!(configuration.class(&"lookup".parse().unwrap()).unwrap().deadline_ms, 2000);
    assert!(configuration.class(&"other".parse().unwrap()).is_none());
    let service = configuration.service(&"portal-api".parse().unwrap()).unwrap();
    assert_eq!(service.price, Some(TokenCount(5)));
    let model = "dossier-large".parse().unwrap();
    assert_eq!(configuration.service_of_model(&model).unwrap().name.as_str(), "sage-core");
    assert_eq!(configuration.model(&model).unwrap().most_tokens, 4096);
    assert_eq!(configuration.branch(&"ruwi-bids".parse().unwrap()).unwrap().weight, 4);
    assert_eq!(configuration.branch(&"control-room".parse().unwrap()).unwrap().weight, 1);
    assert!(configuration.branch(&"unknown".parse().unwrap()).is_none());
    assert_eq!(configuration.branches().count(), 2);
}

#[test]
fn equivalent_paths() {
    // If rules are compared with the raw path, a path that the service reads as `/letters` isn't
    // recognized as non-idempotent: a retry after a lost answer posts the letter twice.
    let configuration = configuration();
    let branch: BranchName = "control-room".parse().unwrap();
    let service = "portal-api".parse().unwrap();
    let declared = |method, path| configuration.is_non_idempotent(&branch, &service, method, path);
    let letters = [
        "/letters",
        "/letters/",
        "/letters/7?draft=1",
        "/letters?x=/status",
        "//letters",
        "/./letters",
        "/status/../letters",
        "/letters/../status",
        "/%6Cetters",
        "/%256cetters",
        "/Letters",
        "/letters;v=1",
        "\\letters",
        "/status/%2e%2e/letters",
        "/status%2f..%2fletters",
    ];
    for path in letters {
        assert!(declared("POST", path), "{path}");
    }
    assert!(declared("post", "/letters"));
    let others = ["/", "/letterheads", "/status/letters", "/status?next=/letters", "/%zzletters"];
    for path in others {
        assert!(!declared("POST", path), "{path}");
    }
    assert!(!declared("GET", "/letters"));
}

#[test]
fn branch_rules() {
    let configuration = configuration();
    let service = "portal-api".parse().unwrap();
    let (ruwi, room) = ("ruwi-bids".parse().unwrap(), "control-room".parse().unwrap());
    assert!(configuration.is_non_idempotent(&ruwi, &service, "PUT", "/bids/final/3"));
    assert!(!configuration.is_non_idempotent(&room, &service, "PUT", "/bids/final/3"));
    assert!(!configuration.is_non_idempotent(
        &ruwi,
        &"sage-core".parse().unwrap(),
        "PUT",
        "/bids/final"
    ));
}

#[test]
fn dangling_references() {
    // One operator removes a class while another holds back tokens for it. Both objects are valid
    // alone, and a process that rejected the combination would keep an old configuration for ever.
    // So the reference is applied without effect, and only a change that causes it is rejected.
    let mut object = branches();
    let name: BranchName = "ruwi-bids".parse().unwrap();
    let config = object.branches.get_mut(&name).unwrap();
    config.held_back =
        vec![ClassHoldback { class: "lookups".parse().unwrap(), tokens: TokenCount(1) }];
    let route = RouteRule { method: None, path_prefix: "/".to_owned() };
    config.non_idempotent = vec![BranchRule { service: "portal".parse().unwrap(), route }];
    let shard = branch_shard(&name);
    let object = split_branches(object).remove(&shard).unwrap();

    let present = configuration();
    let changed = present.with_branches(ConfigVersion(8), shard, object);
    let errors = present.check_change(&changed).unwrap_err();
    let key = branch_object_key(shard);
    let paths: Vec<&str> = errors.errors.iter().map(|error| error.path.as_str()).collect();
    let held = format!("{key}:$.branches.ruwi-bids.held_back[0].class");
    let rule = format!("{key}:$.branches.ruwi-bids.non_idempotent[0].service");
    assert_eq!(paths, [held, rule]);
    assert_eq!(errors.errors[0].nearest.as_deref(), Some("lookup"));

    assert_eq!(changed.branch(&name).unwrap().held_back.len(), 1);
    let later = changed.with_fleet(ConfigVersion(9), fleet());
    assert_eq!(changed.check_change(&later), Ok(()));
}

#[test]
fn shard_keys() {
    assert_eq!(branch_object_key(7), "configuration/branches/7");
    assert_eq!(branch_object_shard("configuration/branches/7"), Some(7));
    for key in ["configuration/branches/4096", "configuration/branches/07", "configuration/fleet"] {
        assert_eq!(branch_object_shard(key), None, "{key}");
    }
    // Must never change: with another shard, every stored branch would be lost.
    assert_eq!(branch_shard(&"ruwi-bids".parse().unwrap()), 1375);
}

#[test]
fn even_shards() {
    // A change is sent through the fleet as the whole object, with 2 KB per second for all control
    // traffic: 57,000 branches must spread evenly over the objects and leave none empty.
    let config = BranchConfig::builder().key_hashes(vec![SecretHash::of("k"); 2]).build();
    let name = |number: u32| format!("client-account-{number}").parse().unwrap();
    let branches = (0..57_000).map(|number| (name(number), config.clone())).collect();
    let shards = split_branches(BranchObject { branches });
    assert_eq!(shards.len(), 4096);
    for object in shards.values() {
        let size = serde_json::to_vec(object).unwrap().len();
        assert!(size < 8_000, "{size} bytes");
    }
}

quickcheck! {
    fn own_shard(numbers: Vec<u16>) -> bool {
        let config = BranchConfig::builder().build();
        let name = |number: &u16| -> BranchName { format!("b-{number}").parse().unwrap() };
        let branches = numbers.iter().map(|number| (name(number), config.clone())).collect();
        let object = BranchObject { branches };
        let shards = split_branches(object.clone());
        let count: usize = shards.values().map(|shard| shard.branches.len()).sum();
        let placed = shards
            .iter()
            .all(|(shard, object)| object.branches.keys().all(|name| branch_shard(name) == *shard));
        placed && count == object.branches.len()
    }
}
