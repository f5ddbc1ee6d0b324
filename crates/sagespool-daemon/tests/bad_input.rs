//! What a caller gets wrong: each sort with its clear error, and nothing runs or is billed for it.

mod common;

use common::*;
use sagespool_ledger::BranchAccount;
use serde_json::{Value, json};

/// The longest body that an entry takes if its settings don't say otherwise.
const BODY_LIMIT: usize = 1024 * 1024;
/// The longest head.
const HEAD_LIMIT: usize = 16 * 1024;
const LONGEST_KEY: usize = 255;
const COMPLETIONS: &str = "/v1/chat/completions";

/// How a body is sent.
#[derive(Debug, Clone)]
enum BodyForm {
    /// With its length.
    Sized(Vec<u8>),
    /// In chunks, without its length.
    Chunked(Vec<u8>),
    /// With a length that is more than what comes.
    CutAt(Vec<u8>, usize),
}

/// One sort of bad input, and what the caller is told.
#[derive(Debug, Clone)]
struct BadCall {
    sort: &'static str,
    method: &'static str,
    path: &'static str,
    headers: Vec<Vec<u8>>,
    body: BodyForm,
    status: u16,
    code: &'static str,
    /// What the message or the help names.
    names: &'static str,
}

fn header(name: &str, value: impl AsRef<[u8]>) -> Vec<u8> {
    [name.as_bytes(), b": ", value.as_ref(), b"\r\n"].concat()
}

fn bearer(token: &str) -> Vec<u8> {
    header("authorization", format!("Bearer {token}"))
}

fn good_body() -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": "Is the bid open? len:5"}],
        "max_tokens": 5,
    })
}

impl BadCall {
    /// A call that would be good, with the branch's key.
    fn new(sort: &'static str, status: u16, code: &'static str, names: &'static str) -> Self {
        Self {
            sort,
            method: "POST",
            path: COMPLETIONS,
            headers: vec![bearer(&token_of(BRANCH))],
            body: BodyForm::Sized(good_body().to_string().into_bytes()),
            status,
            code,
            names,
        }
    }

    fn with_keys(mut self, headers: &[Vec<u8>]) -> Self {
        self.headers = headers.to_vec();
        self
    }

    fn with_header(mut self, name: &str, value: impl AsRef<[u8]>) -> Self {
        self.headers.push(header(name, value));
        self
    }

    fn with_text(mut self, body: impl AsRef<[u8]>) -> Self {
        self.body = BodyForm::Sized(body.as_ref().to_vec());
        self
    }

    fn with_field(self, name: &str, value: Value) -> Self {
        let mut body = good_body();
        body[name] = value;
        self.with_text(body.to_string())
    }

    fn at(mut self, method: &'static str, path: &'static str) -> Self {
        self.method = method;
        self.path = path;
        self
    }

    fn request(&self) -> Vec<u8> {
        let (framing, body) = match &self.body {
            BodyForm::Sized(body) => {
                (header("content-length", body.len().to_string()), body.clone())
            }
            BodyForm::Chunked(body) => {
                let start = format!("{:x}\r\n", body.len()).into_bytes();
                let chunked = [start.as_slice(), body, b"\r\n0\r\n\r\n"].concat();
                (header("transfer-encoding", "chunked"), chunked)
            }
            BodyForm::CutAt(body, length) => {
                (header("content-length", length.to_string()), body.clone())
            }
        };
        let line = format!("{} {} HTTP/1.1\r\nhost: entry\r\n", self.method, self.path);
        let close = header("connection", "close");
        let head = [line.into_bytes(), self.headers.concat(), framing, close].concat();
        [head.as_slice(), b"\r\n", &body].concat()
    }
}

fn wrong_keys() -> Vec<BadCall> {
    let own = bearer(&token_of(BRANCH));
    let missing = |sort| BadCall::new(sort, 401, "missing-key", "Bearer");
    vec![
        missing("no key").with_keys(&[]),
        missing("another scheme").with_keys(&[header("authorization", "Basic cnV3aTprZXk=")]),
        missing("a key without its scheme").with_keys(&[header("authorization", token_of(BRANCH))]),
        missing("an empty key").with_keys(&[header("authorization", "Bearer  ")]),
        BadCall::new("a key of nobody", 401, "unknown-key", "not a branch's")
            .with_keys(&[bearer("no-such-key")]),
        BadCall::new("two keys", 400, "repeated-header", "authorization")
            .with_keys(&[own, bearer(&token_of(OTHER_BRANCH))]),
        BadCall::new("another branch's key", 403, "other-branch", OTHER_BRANCH)
            .with_header("sagespool-branch", OTHER_BRANCH),
        BadCall::new("two branches", 400, "repeated-header", "sagespool-branch")
            .with_header("sagespool-branch", BRANCH)
            .with_header("sagespool-branch", OTHER_BRANCH),
    ]
}

fn wrong_headers() -> Vec<BadCall> {
    let key = |sort| BadCall::new(sort, 400, "idempotency-key", "255 printable");
    let deadline = |sort| BadCall::new(sort, 400, "deadline", "1 to 60000");
    vec![
        key("an empty idempotency key").with_header("idempotency-key", ""),
        key("an idempotency key with spaces").with_header("idempotency-key", "bid 7"),
        key("an idempotency key that is too long")
            .with_header("idempotency-key", "k".repeat(LONGEST_KEY + 1)),
        BadCall::new("an idempotency key that isn't ASCII", 400, "idempotency-key", "ASCII")
            .with_header("idempotency-key", "rüwi"),
        BadCall::new("an idempotency key that isn't text", 400, "header-text", "idempotency-key")
            .with_header("idempotency-key", b"bid-\xff"),
        BadCall::new("two idempotency keys", 400, "repeated-header", "idempotency-key")
            .with_header("idempotency-key", "bid-7")
            .with_header("idempotency-key", "bid-8"),
        BadCall::new("an unknown class", 400, "unknown-class", "one of: normal")
            .with_header("sagespool-class", "express"),
        deadline("a deadline that isn't a number").with_header("sagespool-deadline-ms", "soon"),
        deadline("a deadline with a fraction").with_header("sagespool-deadline-ms", "1.5"),
        deadline("a negative deadline").with_header("sagespool-deadline-ms", "-1"),
        deadline("no time at all").with_header("sagespool-deadline-ms", "0"),
        deadline("a deadline that is too long").with_header("sagespool-deadline-ms", "60001"),
        BadCall::new("a head over the limit", 431, "head-too-large", "at most 16384 bytes")
            .with_header("x-note", "n".repeat(HEAD_LIMIT)),
        BadCall::new("an odd flag", 400, "non-idempotent", "`true` or `false`")
            .with_header("sagespool-non-idempotent", "maybe"),
        BadCall::new("once only without a key", 400, "key-needed", "Idempotency-Key")
            .with_header("sagespool-non-idempotent", "true"),
    ]
}

fn wrong_json() -> Vec<BadCall> {
    let malformed = |sort, place| BadCall::new(sort, 400, "malformed-json", place);
    let nested = "[".repeat(100_000);
    vec![
        malformed("no body", "line 1 column 0").with_text(""),
        malformed("JSON that breaks off", "line 2 column 10").with_text("{\n \"model\": "),
        malformed("an odd character", "line 1 column 10").with_text("{\"model\":?}"),
        malformed("bytes that aren't text", "line 1 column").with_text(b"{\"model\":\"\xff\"}"),
        malformed("two values", "trailing characters").with_text(format!("{} {{}}", good_body())),
        malformed("a list", "line 1 column").with_text("[1]"),
        malformed("endless brackets", "line 1 column").with_text(&nested),
        malformed("no model", "`model`").with_text("{\"messages\": []}"),
        malformed("a field twice", "`max_tokens`").with_text(
            "{\"model\": \"m\", \"messages\": [], \"max_tokens\": 1, \"max_tokens\": 9}",
        ),
        malformed("messages of another type", "expected a sequence")
            .with_field("messages", json!("hello")),
        malformed("content of another type", "expected a string")
            .with_field("messages", json!([{"role": "user", "content": 7}])),
        malformed("a flag of another type", "expected a boolean")
            .with_field("stream", json!("yes")),
        malformed("max_tokens of another type", "expected i64")
            .with_field("max_tokens", json!("many")),
        malformed("max_tokens with a fraction", "expected i64")
            .with_field("max_tokens", json!(1.5)),
        malformed("max_tokens beyond all numbers", "line 1 column").with_text(
            good_body()
                .to_string()
                .replace("\"max_tokens\":5", "\"max_tokens\":99999999999999999999"),
        ),
        BadCall::new("a body that is cut short", 400, "unreadable-body", "a whole body")
            .with_body(BodyForm::CutAt(b"{\"model\":".to_vec(), 500)),
    ]
}

fn wrong_wishes() -> Vec<BadCall> {
    let tokens = |sort| BadCall::new(sort, 400, "max-tokens", "1 to 1024");
    let user = |content: &str| json!([{"role": "user", "content": content}]);
    vec![
        BadCall::new("no message", 400, "no-messages", "at least one")
            .with_field("messages", json!([])),
        BadCall::new("an empty prompt", 400, "empty-prompt", "some content")
            .with_field("messages", user("")),
        BadCall::new("an unknown role", 400, "message-role", "messages[0].role")
            .with_field("messages", json!([{"role": "clerk", "content": "hello"}])),
        BadCall::new("an unknown model", 404, "unknown-model", "one of: small-model")
            .with_field("model", json!("large-model")),
        BadCall::new("a name that no model can have", 404, "unknown-model", "one of: small-model")
            .with_field("model", json!("../Small Model")),
        tokens("no token").with_field("max_tokens", json!(0)),
        tokens("fewer than none").with_field("max_tokens", json!(-5)),
        tokens("too many tokens").with_field("max_tokens", json!(MOST_TOKENS + 1)),
    ]
}

fn wrong_places() -> Vec<BadCall> {
    let method = |sort| BadCall::new(sort, 405, "method", "POST");
    let service = |sort| BadCall::new(sort, 404, "unknown-service", "service");
    vec![
        method("GET of completions").at("GET", COMPLETIONS),
        method("DELETE of completions").at("DELETE", COMPLETIONS),
        BadCall::new("an unknown path", 404, "unknown-path", COMPLETIONS)
            .at("POST", "/v1/embeddings"),
        service("an unknown service").at("GET", "/services/faxes/7"),
        service("a name that no service can have").at("GET", "/services/%2e%2e/7"),
        service("no service").at("GET", "/services/"),
        service("engines as a plain service").at("POST", "/services/engines/v1/chat/completions"),
        BadCall::new("a letter without a key", 400, "key-needed", "Idempotency-Key")
            .at("POST", "/services/letters/letters/7"),
        BadCall::new("a letter without a key, in disguise", 400, "key-needed", "Idempotency-Key")
            .at("POST", "/services/letters/x/..//%6cetters/7"),
        BadCall::new("a service call without a branch's key", 401, "missing-key", "Bearer")
            .at("GET", "/services/letters/status")
            .with_keys(&[]),
    ]
}

fn too_large() -> Vec<BadCall> {
    let large = |sort| BadCall::new(sort, 413, "body-too-large", "at most 1048576 bytes");
    let body = vec![b' '; BODY_LIMIT + 1];
    vec![
        large("a body over the limit").with_body(BodyForm::Sized(body.clone())),
        large("a length over the limit").with_body(BodyForm::CutAt(Vec::new(), 3 * BODY_LIMIT)),
        large("chunks over the limit").with_body(BodyForm::Chunked(body.clone())),
        large("a service's body over the limit")
            .at("PUT", "/services/letters/drafts")
            .with_body(BodyForm::Chunked(body)),
    ]
}

impl BadCall {
    fn with_body(mut self, body: BodyForm) -> Self {
        self.body = body;
        self
    }
}

/// What is wrong with the answer to a bad call, if anything is.
fn fault_of(call: &BadCall, answer: &RawAnswer) -> Option<String> {
    let error = &answer.json()["error"];
    let text = |name: &str| error[name].as_str().unwrap_or_default();
    let (message, help) = (text("message"), text("help"));
    let checks = [
        (answer.status == call.status, "status"),
        (text("code") == call.code, "code"),
        (format!("{message} {help}").contains(call.names), call.names),
        (!message.is_empty() && !help.is_empty(), "message and help"),
        (text("run_state") == "not-run", "run_state"),
        (answer.header("sagespool-run-state") == Some("not-run"), "sagespool-run-state"),
        (answer.header("sagespool-billed") == Some("0"), "sagespool-billed"),
        (answer.header("sagespool-request-id") == Some(text("request_id")), "request id"),
        (call.status != 401 || answer.header("www-authenticate") == Some("Bearer"), "scheme"),
        (call.status != 405 || answer.header("allow") == Some("POST"), "allowed method"),
    ];
    let missing = checks.iter().find(|(holds, _)| !holds)?.1;
    Some(format!("{}: no {missing} in {} {}", call.sort, answer.head, answer.body))
}

fn untouched(fleet: &TestFleet, name: &str) -> BranchAccount {
    let before = account(fleet, name);
    BranchAccount { settled: Default::default(), grants: Default::default(), ..before }
}

#[test]
fn bad_input() {
    run(async {
        let fleet = SmallFleet::default().start().await;
        let parts = [
            wrong_keys(),
            wrong_headers(),
            wrong_json(),
            wrong_wishes(),
            wrong_places(),
            too_large(),
        ];
        let entries = fleet.entry_addresses();
        let mut faults = Vec::new();
        for (place, call) in parts.concat().iter().enumerate() {
            let entry = entries[place % entries.len()];
            let request = call.request();
            let answer = smol::unblock(move || exchange(entry, &request)).await;
            faults.extend(fault_of(call, &answer));
        }
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        assert!(fleet.run_log.runs().is_empty(), "something ran: {:?}", fleet.run_log.runs());
        for name in [BRANCH, OTHER_BRANCH] {
            assert_eq!(account(&fleet, name), untouched(&fleet, name), "what {name} has spent");
        }
        assert!(fleet.all_run(), "a process has ended");
        for entry in fleet.entries() {
            let call = completion(BRANCH, 5);
            let sent = send(&fleet, &call, entry).await;
            assert!(is_own_whole(&sent), "{sent:?}");
        }
        let cost: u64 = 2 * completion(BRANCH, 5).greatest_cost().0;
        until_settled(&fleet, BRANCH, cost).await;
    });
}
