//! Edits of the configuration objects and the changes that they report.

#![allow(clippy::unwrap_used)]

use sagespool_operations::{
    CommandItem, ConfigEdit, EditError, EditedObject, OperatorLine, changes_between, parse_line,
};
use sagespool_types::SecretHash;
use serde_json::{Value, json};

fn edit(line: &str) -> ConfigEdit {
    let Ok(OperatorLine::Command(command)) = parse_line(line) else { panic!("{line}") };
    match command.items.into_iter().next() {
        Some(CommandItem::Edit(edit)) => edit,
        other => panic!("{line}: {other:?}"),
    }
}

fn branches() -> Value {
    json!({"branches": {
        "ruwi-bids": {"key_hashes": [SecretHash::of("one"), SecretHash::of("two")], "weight": 2},
        "sohar-hub": {"key_hashes": []}
    }})
}

fn fleet() -> Value {
    let class =
        json!({"name": "lookup", "priority": 1, "deadline_ms": 100, "longest_deadline_ms": 100});
    json!({
        "classes": [class], "default_class": "lookup",
        "services": [{"name": "notes", "kind": "service", "price": 3}],
        "key_retention_ms": 1000, "answer_retention_ms": 1000
    })
}

fn apply(line: &str, present: &Value) -> Result<EditedObject, EditError> {
    edit(line).apply(Some(present))
}

fn changes(line: &str, present: &Value) -> Vec<String> {
    let edited = apply(line, present).unwrap();
    edited.changes.iter().map(ToString::to_string).collect()
}

#[test]
fn branch_edits() {
    let (one, two, three) = (SecretHash::of("one"), SecretHash::of("two"), SecretHash::of("three"));
    let keys = |keys: &[&SecretHash]| serde_json::to_string(keys).unwrap();
    let rule = r#"{"method":"POST","path_prefix":"/letters","service":"notes"}"#;
    let at = |field: &str, change: &str| format!("branches.ruwi-bids.{field}: {change}");
    let table = [
        ("set ruwi-bids weight 5".to_owned(), at("weight", "2 -> 5")),
        (
            "set ruwi-bids limit rate 9".to_owned(),
            at("limits", r#"none -> {"requests_per_second":9}"#),
        ),
        (
            "hold-back ruwi-bids lookup 40".to_owned(),
            at("held_back", r#"none -> [{"class":"lookup","tokens":40}]"#),
        ),
        (
            "non-idempotent notes POST /letters for ruwi-bids".to_owned(),
            at("non_idempotent", &format!("none -> [{rule}]")),
        ),
        (
            format!("add key ruwi-bids {three}"),
            at(
                "key_hashes",
                &format!("{} -> {}", keys(&[&one, &two]), keys(&[&one, &two, &three])),
            ),
        ),
        (
            format!("revoke key ruwi-bids {}", &one.as_str()[..8]),
            at("key_hashes", &format!("{} -> {}", keys(&[&one, &two]), keys(&[&two]))),
        ),
    ];
    for (line, wanted) in table {
        assert_eq!(changes(&line, &branches()), [wanted], "{line}");
        let edited = apply(&line, &branches()).unwrap().value;
        assert!(changes(&line, &edited).is_empty(), "{line} a second time must change nothing");
        assert_eq!(edited["branches"]["sohar-hub"]["key_hashes"], json!([]), "{line}");
    }
}

#[test]
fn new_branch() {
    let line = format!("create branch dhofar key-hash {} weight 4", SecretHash::of("k"));
    let first = edit(&line).apply(None).unwrap();
    assert_eq!(first.value["branches"]["dhofar"]["weight"], json!(4));
    assert_eq!(first.changes.len(), 1);
    assert!(apply(&line, &first.value).unwrap().changes.is_empty());
    let other = format!("create branch dhofar key-hash {} weight 5", SecretHash::of("k"));
    let error = apply(&other, &first.value).unwrap_err();
    assert!(error.message.contains("already exists with other settings"), "{error:?}");
}

#[test]
fn fleet_edits() {
    let table = [
        ("set class lookup priority 0", "classes.lookup.priority: 1 -> 0"),
        ("set class lookup limit running 7", r#"classes.lookup.limits: none -> {"running":7}"#),
        (
            "set service notes limit rate 3",
            r#"services.notes.limits: none -> {"requests_per_second":3}"#,
        ),
        (
            "non-idempotent notes any /letters",
            r#"services.notes.non_idempotent: none -> [{"path_prefix":"/letters"}]"#,
        ),
    ];
    for (line, wanted) in table {
        assert_eq!(changes(line, &fleet()), [wanted], "{line}");
        let edited = apply(line, &fleet()).unwrap().value;
        assert!(changes(line, &edited).is_empty(), "{line} a second time must change nothing");
    }
    let declared = apply("non-idempotent notes any /letters", &fleet()).unwrap().value;
    let undone = changes("idempotent notes any /letters", &declared);
    assert_eq!(undone.len(), 1, "{undone:?}");
}

/// A refused edit has a reason, and the closest known name if one is similar.
#[test]
fn refused_edits() {
    let table = [
        ("set ruwi-bid weight 5", branches(), "no branch `ruwi-bid`", Some("ruwi-bids")),
        ("set class loopkup priority 1", fleet(), "no class `loopkup`", Some("lookup")),
        ("set service xyz limit rate 1", fleet(), "no service `xyz`", None),
        (
            "set ruwi-bids weight 5",
            json!({"branches": {"Ruwi": {}}}),
            "stored object is not valid",
            None,
        ),
        ("non-idempotent notes any /a?b", fleet(), "result would not be valid", None),
    ];
    for (line, present, message, nearest) in table {
        let error = apply(line, &present).unwrap_err();
        assert!(error.message.contains(message), "{line}: {error:?}");
        assert_eq!(error.nearest.as_deref(), nearest, "{line}");
    }
    assert!(edit("set class lookup priority 1").apply(None).is_err());
}

/// Two key hashes share a prefix: revoking by this prefix must not remove an arbitrary one of them.
#[test]
fn shared_hash_prefix() {
    let key = |end: &str| format!("01234567{}{end}", "0".repeat(55));
    let present = json!({"branches": {"a": {"key_hashes": [key("1"), key("2")]}}});
    let error = apply("revoke key a 01234567", &present).unwrap_err();
    assert!(error.message.contains("2 keys begin with"), "{error:?}");
    let edited = apply(&format!("revoke key a {}", key("2")), &present).unwrap();
    assert_eq!(edited.value["branches"]["a"]["key_hashes"], json!([key("1")]));
}

#[test]
fn differing_fields() {
    let before =
        json!({"a": 1, "list": [{"name": "x", "n": 1}, {"name": "y", "n": 2}], "plain": [1]});
    let after = json!({"a": 1, "list": [{"name": "y", "n": 3}], "plain": [1, 2], "new": null});
    let texts: Vec<String> =
        changes_between(&before, &after).iter().map(ToString::to_string).collect();
    let wanted = [
        r#"list.x: {"n":1,"name":"x"} -> none"#,
        "list.y.n: 2 -> 3",
        "plain: [1] -> [1,2]",
        "new: none -> null",
    ];
    assert_eq!(texts, wanted);
    let change = &changes_between(&before, &after)[1];
    assert!(change.is_within("list.y") && change.is_within("list"));
    assert!(!change.is_within("list.y.nn") && !change.is_within("lis"));
}
