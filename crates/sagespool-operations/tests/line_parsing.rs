//! Parsing of valid lines; positions and suggestions of the errors in invalid ones.

#![allow(clippy::unwrap_used)]

use quickcheck::quickcheck;
use sagespool_messages::EngineOrder;
use sagespool_operations::{
    BranchChange, ClassChange, CommandItem, ConfigEdit, ConfigSection, LimitChange, LimitKind,
    OperatorCommand, OperatorLine, OperatorQuery, ServiceChange, parse_line, verb_help,
};
use sagespool_settings::{BranchConfig, BranchRule, ClassHoldback, LimitConfig, RouteRule};
use sagespool_types::{CommandId, ConfigVersion, ContentDigest, RequestId, SecretHash, TokenCount};

fn query(line: &str) -> OperatorQuery {
    match parse_line(line).unwrap() {
        OperatorLine::Query(query) => query,
        OperatorLine::Command(command) => panic!("{line} is a command: {command:?}"),
    }
}

fn command(line: &str) -> OperatorCommand {
    match parse_line(line).unwrap() {
        OperatorLine::Command(command) => command,
        OperatorLine::Query(query) => panic!("{line} is a query: {query:?}"),
    }
}

fn single_item(line: &str) -> CommandItem {
    let mut command = command(line);
    assert_eq!(command.items.len(), 1, "{line}");
    command.items.remove(0)
}

fn branch_edit(branch: &str, change: BranchChange) -> CommandItem {
    CommandItem::Edit(ConfigEdit::Branch { branch: branch.parse().unwrap(), change })
}

#[test]
fn query_lines() {
    let branch = |name: &str| name.parse().unwrap();
    let table = [
        ("spend", OperatorQuery::Spend { branches: vec![] }),
        ("  SPEND ruwi-bids ", OperatorQuery::Spend { branches: vec![branch("ruwi-bids")] }),
        (
            "spend a, b,c",
            OperatorQuery::Spend { branches: vec![branch("a"), branch("b"), branch("c")] },
        ),
        ("running", OperatorQuery::Running { branch: None }),
        ("running a", OperatorQuery::Running { branch: Some(branch("a")) }),
        ("upstreams", OperatorQuery::Upstreams),
        ("members", OperatorQuery::Members),
        ("configuration", OperatorQuery::Configuration { place: None }),
        (
            "configuration branch a",
            OperatorQuery::Configuration { place: Some(ConfigSection::Branch(branch("a"))) },
        ),
        (
            "configuration class lookup",
            OperatorQuery::Configuration {
                place: Some(ConfigSection::Class("lookup".parse().unwrap())),
            },
        ),
        (
            "request 00000000000000000000000000000abc",
            OperatorQuery::Request { request: RequestId(0xabc) },
        ),
        ("key a letter-7", OperatorQuery::Key { branch: branch("a"), key: "letter-7".to_owned() }),
        (
            r#"key a "a key, with \"everything\" in it""#,
            OperatorQuery::Key {
                branch: branch("a"),
                key: r#"a key, with "everything" in it"#.to_owned(),
            },
        ),
        ("quarantine", OperatorQuery::Quarantine),
        ("commands", OperatorQuery::Commands),
        ("command ff", OperatorQuery::Command { command: CommandId(255) }),
        ("help", OperatorQuery::Help { word: None }),
        ("help top-up", OperatorQuery::Help { word: Some("top-up".to_owned()) }),
    ];
    for (line, wanted) in table {
        assert_eq!(query(line), wanted, "{line}");
    }
}

#[test]
fn command_lines() {
    let hash = SecretHash::of("a key");
    let create = format!("create branch a key-hash {hash} operator weight 3 running 5 rate 70");
    let entry = BranchConfig::builder()
        .key_hashes(vec![hash.clone()])
        .operator(true)
        .weight(3)
        .limits(LimitConfig { running: Some(5), requests_per_second: Some(70) })
        .build();
    let limit = |kind, limit| LimitChange { kind, limit };
    let letters = RouteRule { method: Some("POST".to_owned()), path_prefix: "/letters".to_owned() };
    let any = RouteRule { method: None, path_prefix: "/letters".to_owned() };
    let rule = BranchRule { service: "notes".parse().unwrap(), route: letters.clone() };
    let class =
        |change| CommandItem::Edit(ConfigEdit::Class { class: "lookup".parse().unwrap(), change });
    let service = |change| {
        CommandItem::Edit(ConfigEdit::Service { service: "notes".parse().unwrap(), change })
    };
    let held = ClassHoldback { class: "lookup".parse().unwrap(), tokens: TokenCount(500) };
    let order = |order| CommandItem::Order { upstream: "engine-1".parse().unwrap(), order };
    let grant = "00c0ffee00c0ffee-7";
    let table = [
        (
            "top-up a 5_000_000".to_owned(),
            CommandItem::TopUp { branch: "a".parse().unwrap(), tokens: TokenCount(5_000_000) },
        ),
        (create, branch_edit("a", BranchChange::Create(entry))),
        ("set a weight 7".to_owned(), branch_edit("a", BranchChange::Weight(7))),
        ("set branch class weight 7".to_owned(), branch_edit("class", BranchChange::Weight(7))),
        (
            "set a limit rate none".to_owned(),
            branch_edit("a", BranchChange::Limit(limit(LimitKind::Rate, None))),
        ),
        ("set class lookup priority 0".to_owned(), class(ClassChange::Priority(0))),
        (
            "set class lookup limit running 9".to_owned(),
            class(ClassChange::Limit(limit(LimitKind::Running, Some(9)))),
        ),
        (
            "set service notes limit rate 4".to_owned(),
            service(ServiceChange::Limit(limit(LimitKind::Rate, Some(4)))),
        ),
        ("hold-back a lookup 500".to_owned(), branch_edit("a", BranchChange::HoldBack(held))),
        (
            "non-idempotent notes post /letters".to_owned(),
            service(ServiceChange::Declare { route: letters, declared: true }),
        ),
        (
            "idempotent notes any /letters".to_owned(),
            service(ServiceChange::Declare { route: any, declared: false }),
        ),
        (
            "non-idempotent notes POST /letters for a".to_owned(),
            branch_edit("a", BranchChange::Declare { rule, declared: true }),
        ),
        (format!("add key a {hash}"), branch_edit("a", BranchChange::AddKey(hash))),
        (
            "revoke key a 0123abcd".to_owned(),
            branch_edit("a", BranchChange::RevokeKey("0123abcd".parse().unwrap())),
        ),
        (
            "drain engine-1".to_owned(),
            CommandItem::Drain { name: "engine-1".parse().unwrap(), on: true },
        ),
        (
            "undrain engine-1".to_owned(),
            CommandItem::Drain { name: "engine-1".parse().unwrap(), on: false },
        ),
        ("stop entry-2".to_owned(), CommandItem::Stop { instance: "entry-2".parse().unwrap() }),
        (
            "load sage on engine-1".to_owned(),
            order(EngineOrder::LoadModel("sage".parse().unwrap())),
        ),
        (
            "load sage adapter tender on engine-1".to_owned(),
            order(EngineOrder::LoadAdapter {
                model: "sage".parse().unwrap(),
                adapter: "tender".to_owned(),
            }),
        ),
        (
            "unload sage on engine-1".to_owned(),
            order(EngineOrder::UnloadModel("sage".parse().unwrap())),
        ),
        (
            format!("release a {grant}"),
            CommandItem::Release { branch: "a".parse().unwrap(), grant: grant.parse().unwrap() },
        ),
        ("lift ff".to_owned(), CommandItem::Lift { content: ContentDigest(255) }),
        ("cancel ff".to_owned(), CommandItem::Cancel { command: CommandId(255) }),
    ];
    for (line, wanted) in table {
        let item = single_item(&line);
        assert_eq!(item, wanted, "{line}");
        // The rendered item parses into the same item.
        assert_eq!(single_item(&item.to_string()), wanted, "{line} as {item}");
    }
}

#[test]
fn several_items() {
    let command = command("top-up a 5, b 6 , c 7");
    let texts: Vec<String> = command.items.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["top-up a 5", "top-up b 6", "top-up c 7"]);
    let loads = crate::command("load sage on engine-1, engine-2");
    let texts: Vec<String> = loads.items.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["load sage on engine-1", "load sage on engine-2"]);
    let hash = SecretHash::of("k");
    let created = crate::command(&format!(
        "create branch a key-hash {hash} weight 2, b key-hash {hash} if version 9"
    ));
    assert_eq!(created.items.len(), 2);
    assert_eq!(created.seen, Some(ConfigVersion(9)));
}

/// Invalid lines, the text at the error's position, and the suggested word.
#[test]
fn invalid_lines() {
    let hash = SecretHash::of("a key");
    let long = "x".repeat(65);
    let table: Vec<(String, &str, Option<&str>)> = vec![
        ("".into(), "", None),
        ("spned ruwi-bids".into(), "spned", Some("spend")),
        ("topup a 5".into(), "topup", Some("top-up")),
        ("memebrs".into(), "memebrs", Some("members")),
        ("\"spend\" a".into(), "\"spend\"", Some("spend")),
        ("zzz".into(), "zzz", None),
        ("spend Ruwi Bids".into(), "Ruwi", None),
        (format!("spend {long}"), long.as_str(), None),
        ("spend a b".into(), "b", None),
        ("spend a,".into(), "", None),
        ("spend , a".into(), ",", None),
        ("members all".into(), "all", None),
        ("configuration brnch a".into(), "brnch", Some("branch")),
        ("request xyz".into(), "xyz", None),
        ("key a".into(), "", None),
        ("key a \"no end".into(), "\"no end", None),
        ("help topup".into(), "topup", Some("top-up")),
        ("top-up a".into(), "", None),
        ("top-up a many".into(), "many", None),
        ("top-up a 0".into(), "0", None),
        ("top-up a -5".into(), "-5", None),
        ("top-up a 9_999_999_999_999_999".into(), "9_999_999_999_999_999", None),
        ("top-up a 5, b 6, a 7".into(), "7", None),
        ("top-up a 5 if version 3".into(), "if", Some("if")),
        ("create a key-hash x".into(), "a", None),
        ("create branch a".into(), "", None),
        ("create branch a key-hash secret".into(), "secret", None),
        (format!("create branch a key-hash {hash} wieght 3"), "wieght", Some("weight")),
        (format!("create branch a key-hash {hash} weight 0"), "0", None),
        ("set a wieght 7".into(), "wieght", Some("weight")),
        ("set a limit runing 7".into(), "runing", Some("running")),
        ("set class lookup weight 7".into(), "weight", None),
        ("set class lookup priority 256".into(), "256", None),
        ("set service notes priority 7".into(), "priority", None),
        ("set a weight 7 if versoin 3".into(), "versoin", Some("version")),
        ("set a weight 7 iff version 3".into(), "iff", Some("if")),
        ("non-idempotent notes PSOT /letters".into(), "PSOT", Some("POST")),
        ("non-idempotent notes POST letters".into(), "letters", None),
        ("add key a 0123abcd".into(), "0123abcd", None),
        ("revoke key a 0123".into(), "0123", None),
        ("revoke a 01234567".into(), "a", None),
        ("drain".into(), "", None),
        ("load sage engine-1".into(), "engine-1", None),
        ("release a 7".into(), "7", None),
        ("lift xyz".into(), "xyz", None),
        ("cancel".into(), "", None),
    ];
    for (line, position, nearest) in table {
        let error = parse_line(&line).expect_err(&line);
        let characters: Vec<char> = line.chars().collect();
        let at = error.at.start..error.at.end.min(characters.len());
        let found: String = if at.start >= characters.len() {
            String::new()
        } else {
            characters[at].iter().collect()
        };
        assert_eq!(found, position, "{line}: {error}");
        assert_eq!(error.nearest.as_deref(), nearest, "{line}: {error}");
    }
}

#[test]
fn error_text() {
    let error = parse_line("set ruwi-bids wieght 7").unwrap_err();
    let text = error.to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "`wieght` is not `weight` or `limit`");
    assert_eq!(lines[1], "  set ruwi-bids wieght 7");
    assert_eq!(lines[2], "                ^^^^^^");
    assert_eq!(lines[3], "did you mean `weight`?");
    assert!(lines[4].starts_with("help: set BRANCH weight N"), "{text}");
}

#[test]
fn limits_of_lines() {
    let many: Vec<String> = (0..201).map(|number| format!("b{number} 1")).collect();
    let error = parse_line(&format!("top-up {}", many.join(", "))).unwrap_err();
    assert!(error.message.contains("at most 200 items"), "{error}");
    let error = parse_line(&format!("key a {}", "x".repeat(20_000))).unwrap_err();
    assert!(error.message.contains("longer than 16384 characters"), "{error}");
}

#[test]
fn every_usage() {
    for help in verb_help(None) {
        assert!(help.usage.starts_with(help.word), "{help:?}");
        let read = parse_line(&format!("help {}", help.word)).unwrap();
        let word = Some(help.word.to_owned());
        assert_eq!(read, OperatorLine::Query(OperatorQuery::Help { word }));
        assert_eq!(verb_help(Some(help.word)), [help]);
    }
}

quickcheck! {
    /// Parsing terminates for every input, and the position of an error is in the line or just after it.
    fn any_line(words: Vec<String>) -> bool {
        let starts = ["", "spend ", "top-up a 5, ", "set a ", "create branch ", "key a "];
        let line = words.join(" ");
        starts.iter().all(|start| {
            let line = format!("{start}{line}");
            let length = line.chars().count();
            match parse_line(&line) {
                Ok(_) => true,
                Err(error) => error.at.start < error.at.end && error.at.start <= length,
            }
        })
    }
}
