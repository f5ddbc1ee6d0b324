//! Each kind of invalid request gets its error response, and nothing runs or is billed for it.

mod common;

use common::*;
use sagespool_ledger::BranchAccount;
use serde_json::{Value, json};

/// Default limit of an entry for a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Default limit of an entry for a request head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_KEY_BYTES: usize = 255;
const COMPLETIONS: &str = "/v1/chat/completions";

/// How a request body is framed.
#[derive(Debug, Clone)]
enum BodyFraming {
    /// With its `content-length`.
    Sized(Vec<u8>),
    /// Chunked, without `content-length`.
    Chunked(Vec<u8>),
    /// With a `content-length` larger than the sent body.
    CutAt(Vec<u8>, usize),
}

/// One invalid request and the expected error response.
#[derive(Debug, Clone)]
struct InvalidCall {
    case: &'static str,
    method: &'static str,
    path: &'static str,
    headers: Vec<Vec<u8>>,
    body: BodyFraming,
    status: u16,
    code: &'static str,
    /// Text that the message or the help contains.
    mentions: &'static str,
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

impl InvalidCall {
    /// A valid call with the branch's key, to be made invalid by the other methods.
    fn new(case: &'static str, status: u16, code: &'static str, mentions: &'static str) -> Self {
        Self {
            case,
            method: "POST",
            path: COMPLETIONS,
            headers: vec![bearer(&token_of(BRANCH))],
            body: BodyFraming::Sized(good_body().to_string().into_bytes()),
            status,
            code,
            mentions,
        }
    }

    fn with_headers(mut self, headers: &[Vec<u8>]) -> Self {
        self.headers = headers.to_vec();
        self
    }

    fn with_header(mut self, name: &str, value: impl AsRef<[u8]>) -> Self {
        self.headers.push(header(name, value));
        self
    }

    fn with_text(mut self, body: impl AsRef<[u8]>) -> Self {
        self.body = BodyFraming::Sized(body.as_ref().to_vec());
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
            BodyFraming::Sized(body) => {
                (header("content-length", body.len().to_string()), body.clone())
            }
            BodyFraming::Chunked(body) => {
                let start = format!("{:x}\r\n", body.len()).into_bytes();
                let chunked = [start.as_slice(), body, b"\r\n0\r\n\r\n"].concat();
                (header("transfer-encoding", "chunked"), chunked)
            }
            BodyFraming::CutAt(body, length) => {
                (header("content-length", length.to_string()), body.clone())
            }
        };
        let line = format!("{} {} HTTP/1.1\r\nhost: entry\r\n", self.method, self.path);
        let close = header("connection", "close");
        let head = [line.into_bytes(), self.headers.concat(), framing, close].concat();
        [head.as_slice(), b"\r\n", &body].concat()
    }
}

fn wrong_keys() -> Vec<InvalidCall> {
    let own = bearer(&token_of(BRANCH));
    let missing = |case| InvalidCall::new(case, 401, "missing-key", "Bearer");
    vec![
        missing("no key").with_headers(&[]),
        missing("another scheme").with_headers(&[header("authorization", "Basic cnV3aTprZXk=")]),
        missing("a key without its scheme")
            .with_headers(&[header("authorization", token_of(BRANCH))]),
        missing("an empty key").with_headers(&[header("authorization", "Bearer  ")]),
        InvalidCall::new("an unknown key", 401, "unknown-key", "not a branch's")
            .with_headers(&[bearer("no-such-key")]),
        InvalidCall::new("two keys", 400, "repeated-header", "authorization")
            .with_headers(&[own, bearer(&token_of(OTHER_BRANCH))]),
        InvalidCall::new("another branch's key", 403, "other-branch", OTHER_BRANCH)
            .with_header("sagespool-branch", OTHER_BRANCH),
        InvalidCall::new("two branches", 400, "repeated-header", "sagespool-branch")
            .with_header("sagespool-branch", BRANCH)
            .with_header("sagespool-branch", OTHER_BRANCH),
    ]
}

fn wrong_headers() -> Vec<InvalidCall> {
    let key = |case| InvalidCall::new(case, 400, "idempotency-key", "255 printable");
    let deadline = |case| InvalidCall::new(case, 400, "deadline", "1 to 60000");
    vec![
        key("an empty idempotency key").with_header("idempotency-key", ""),
        key("an idempotency key with spaces").with_header("idempotency-key", "bid 7"),
        key("an idempotency key that is too long")
            .with_header("idempotency-key", "k".repeat(MAX_KEY_BYTES + 1)),
        InvalidCall::new("an idempotency key that isn't ASCII", 400, "idempotency-key", "ASCII")
            .with_header("idempotency-key", "rüwi"),
        InvalidCall::new(
            "an idempotency key that isn't text",
            400,
            "header-text",
            "idempotency-key",
        )
        .with_header("idempotency-key", b"bid-\xff"),
        InvalidCall::new("two idempotency keys", 400, "repeated-header", "idempotency-key")
            .with_header("idempotency-key", "bid-7")
            .with_header("idempotency-key", "bid-8"),
        InvalidCall::new("an unknown class", 400, "unknown-class", "one of: normal")
            .with_header("sagespool-class", "express"),
        deadline("a deadline that isn't a number").with_header("sagespool-deadline-ms", "soon"),
        deadline("a deadline with a fraction").with_header("sagespool-deadline-ms", "1.5"),
        deadline("a negative deadline").with_header("sagespool-deadline-ms", "-1"),
        deadline("no time at all").with_header("sagespool-deadline-ms", "0"),
        deadline("a deadline that is too long").with_header("sagespool-deadline-ms", "60001"),
        InvalidCall::new("a head over the limit", 431, "head-too-large", "at most 16384 bytes")
            .with_header("x-note", "n".repeat(MAX_HEAD_BYTES)),
        InvalidCall::new("an odd flag", 400, "non-idempotent", "`true` or `false`")
            .with_header("sagespool-non-idempotent", "maybe"),
        InvalidCall::new("non-idempotent without a key", 400, "key-needed", "Idempotency-Key")
            .with_header("sagespool-non-idempotent", "true"),
    ]
}

fn wrong_json() -> Vec<InvalidCall> {
    let malformed = |case, text| InvalidCall::new(case, 400, "malformed-json", text);
    let nested = "[".repeat(100_000);
    vec![
        malformed("no body", "line 1 column 0").with_text(""),
        malformed("JSON that breaks off", "line 2 column 10").with_text("{\n \"model\": "),
        malformed("an odd character", "line 1 column 10").with_text("{\"model\":?}"),
        malformed("bytes that aren't text", "line 1 column").with_text(b"{\"model\":\"\xff\"}"),
        malformed("two values", "trailing characters").with_text(format!("{} {{}}", good_body())),
        malformed("a list", "line 1 column").with_text("[1]"),
        malformed("deeply nested brackets", "line 1 column").with_text(&nested),
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
        InvalidCall::new("a body that is cut short", 400, "unreadable-body", "a whole body")
            .with_body(BodyFraming::CutAt(b"{\"model\":".to_vec(), 500)),
    ]
}

fn wrong_fields() -> Vec<InvalidCall> {
    let tokens = |case| InvalidCall::new(case, 400, "max-tokens", "1 to 1024");
    let user = |content: &str| json!([{"role": "user", "content": content}]);
    vec![
        InvalidCall::new("no message", 400, "no-messages", "at least one")
            .with_field("messages", json!([])),
        InvalidCall::new("an empty prompt", 400, "empty-prompt", "some content")
            .with_field("messages", user("")),
        InvalidCall::new("an unknown role", 400, "message-role", "messages[0].role")
            .with_field("messages", json!([{"role": "clerk", "content": "hello"}])),
        InvalidCall::new("an unknown model", 404, "unknown-model", "one of: small-model")
            .with_field("model", json!("large-model")),
        InvalidCall::new(
            "a name that no model can have",
            404,
            "unknown-model",
            "one of: small-model",
        )
        .with_field("model", json!("../Small Model")),
        tokens("no token").with_field("max_tokens", json!(0)),
        tokens("a negative number of tokens").with_field("max_tokens", json!(-5)),
        tokens("too many tokens").with_field("max_tokens", json!(MAX_TOKENS + 1)),
    ]
}

fn wrong_paths() -> Vec<InvalidCall> {
    let method = |case| InvalidCall::new(case, 405, "method", "POST");
    let service = |case| InvalidCall::new(case, 404, "unknown-service", "service");
    vec![
        method("GET of completions").at("GET", COMPLETIONS),
        method("DELETE of completions").at("DELETE", COMPLETIONS),
        InvalidCall::new("an unknown path", 404, "unknown-path", COMPLETIONS)
            .at("POST", "/v1/embeddings"),
        service("an unknown service").at("GET", "/services/faxes/7"),
        service("a name that no service can have").at("GET", "/services/%2e%2e/7"),
        service("no service").at("GET", "/services/"),
        service("engines as a plain service").at("POST", "/services/engines/v1/chat/completions"),
        InvalidCall::new("a letter without a key", 400, "key-needed", "Idempotency-Key")
            .at("POST", "/services/letters/letters/7"),
        InvalidCall::new(
            "a letter without a key, with an encoded path",
            400,
            "key-needed",
            "Idempotency-Key",
        )
        .at("POST", "/services/letters/x/..//%6cetters/7"),
        InvalidCall::new("a service call without a branch's key", 401, "missing-key", "Bearer")
            .at("GET", "/services/letters/status")
            .with_headers(&[]),
    ]
}

fn too_large() -> Vec<InvalidCall> {
    let large = |case| InvalidCall::new(case, 413, "body-too-large", "at most 1048576 bytes");
    let body = vec![b' '; MAX_BODY_BYTES + 1];
    vec![
        large("a body over the limit").with_body(BodyFraming::Sized(body.clone())),
        large("a length over the limit")
            .with_body(BodyFraming::CutAt(Vec::new(), 3 * MAX_BODY_BYTES)),
        large("chunks over the limit").with_body(BodyFraming::Chunked(body.clone())),
        large("a service's body over the limit")
            .at("PUT", "/services/letters/drafts")
            .with_body(BodyFraming::Chunked(body)),
    ]
}

impl InvalidCall {
    fn with_body(mut self, body: BodyFraming) -> Self {
        self.body = body;
        self
    }
}

/// Describes the first mismatch between a response and the expected error; `None` if it matches.
fn response_error(call: &InvalidCall, answer: &RawResponse) -> Option<String> {
    let error = &answer.json()["error"];
    let text = |name: &str| error[name].as_str().unwrap_or_default();
    let (message, help) = (text("message"), text("help"));
    let checks = [
        (answer.status == call.status, "status"),
        (text("code") == call.code, "code"),
        (format!("{message} {help}").contains(call.mentions), call.mentions),
        (!message.is_empty() && !help.is_empty(), "message and help"),
        (text("run_state") == "not-run", "run_state"),
        (answer.header("sagespool-run-state") == Some("not-run"), "sagespool-run-state"),
        (answer.header("sagespool-billed") == Some("0"), "sagespool-billed"),
        (answer.header("sagespool-request-id") == Some(text("request_id")), "request id"),
        (call.status != 401 || answer.header("www-authenticate") == Some("Bearer"), "scheme"),
        (call.status != 405 || answer.header("allow") == Some("POST"), "allowed method"),
    ];
    let missing = checks.iter().find(|(holds, _)| !holds)?.1;
    Some(format!("{}: no {missing} in {} {}", call.case, answer.head, answer.body))
}

fn unspent_account(fleet: &TestFleet, name: &str) -> BranchAccount {
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
            wrong_fields(),
            wrong_paths(),
            too_large(),
        ];
        let entries = fleet.entry_addresses();
        let mut faults = Vec::new();
        for (index, call) in parts.concat().iter().enumerate() {
            let entry = entries[index % entries.len()];
            let request = call.request();
            let answer = smol::unblock(move || exchange(entry, &request)).await;
            faults.extend(response_error(call, &answer));
        }
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        assert!(fleet.run_log.runs().is_empty(), "something ran: {:?}", fleet.run_log.runs());
        for name in [BRANCH, OTHER_BRANCH] {
            assert_eq!(
                account(&fleet, name),
                unspent_account(&fleet, name),
                "what {name} has spent"
            );
        }
        assert!(fleet.all_run(), "a process has ended");
        for entry in fleet.entries() {
            let call = completion(BRANCH, 5);
            let sent = send(&fleet, &call, entry).await;
            assert!(is_own_whole(&sent), "{sent:?}");
        }
        let cost: u64 = 2 * completion(BRANCH, 5).greatest_cost().0;
        wait_until_settled(&fleet, BRANCH, cost).await;
    });
}
