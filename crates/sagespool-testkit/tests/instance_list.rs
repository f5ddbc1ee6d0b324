//! The contract of the fake instance list, and its lag.

mod http_calls;

use std::net::TcpStream;
use std::time::Duration;

use futures_lite::FutureExt;
use http_calls::{CallAnswer, call, until};
use sagespool_messages::MemberRole;
use sagespool_testkit::{FakeInstanceList, InstanceEntry, InstanceListOptions, InstanceState};
use sagespool_types::InstanceName;
use serde_json::json;
use smol::{Timer, block_on};
use trillium_client::Method::Get;

const NEVER: Duration = Duration::from_secs(3600);

fn start(lag: Duration) -> FakeInstanceList {
    FakeInstanceList::start(InstanceListOptions::builder().lag(lag).build()).expect("it starts")
}

fn name(text: &str) -> InstanceName {
    text.parse().expect("a name")
}

fn entry(instance: &str) -> InstanceEntry {
    InstanceEntry {
        instance: name(instance),
        role: MemberRole::Entry,
        region: "muscat".parse().expect("a name"),
        centre: "ghala".parse().expect("a name"),
        address: "127.0.0.1:4000".parse().expect("an address"),
        state: InstanceState::Live,
    }
}

fn names(list: &FakeInstanceList) -> Vec<String> {
    list.listed().iter().map(|entry| entry.instance.to_string()).collect()
}

/// A long poll that must be answered well before its own timeout.
async fn poll(list: &FakeInstanceList, after: u64) -> CallAnswer {
    let target = format!("/instances?after={after}&wait_ms=60000");
    let answer = call(list.address(), Get, &target, "");
    let bound = async {
        Timer::after(Duration::from_secs(30)).await;
        panic!("the long poll after {after} is not answered")
    };
    answer.or(bound).await
}

#[test]
fn listed_instances() {
    let list = start(Duration::ZERO);
    list.set(entry("entry-2"));
    list.set(entry("entry-1"));
    list.set(entry("entry-1"));
    list.mark_leaving(&name("entry-2"));
    list.remove(&name("entry-9"));
    block_on(async {
        let answer = call(list.address(), Get, "/instances", "").await;
        let shown = |instance: &str, state: &str| {
            json!({
                "instance": instance, "role": "entry", "region": "muscat", "centre": "ghala",
                "address": "127.0.0.1:4000", "state": state,
            })
        };
        let instances = [shown("entry-1", "live"), shown("entry-2", "leaving")];
        assert_eq!(answer.headers.get_str("content-type"), Some("application/json"));
        // A repeated `set` and the removal of an unknown instance change nothing.
        assert_eq!(answer.body, json!({"revision": 3, "instances": instances}));
        for (target, status) in [
            ("/instances?after=3&wait_ms=0", 200),
            ("/instances?after=x&wait_ms=0", 400),
            ("/instances?after=3", 400),
        ] {
            assert_eq!(call(list.address(), Get, target, "").await.status, status, "{target}");
        }
    });
}

#[test]
fn lagging_changes() {
    // An instance is removed while the list lags, and another is added without lag. The list must
    // still show the old one only: later changes never become visible before earlier ones.
    let list = start(Duration::ZERO);
    list.set(entry("old"));
    assert_eq!(names(&list), ["old"]);
    list.set_lag(NEVER);
    list.remove(&name("old"));
    list.set_lag(Duration::ZERO);
    list.set(entry("new"));
    assert_eq!(names(&list), ["old"]);
    block_on(async {
        let answer = call(list.address(), Get, "/instances?after=1&wait_ms=1", "").await;
        assert_eq!(answer.body["revision"], 1);
    });
}

#[test]
fn long_poll() {
    let list = start(Duration::from_millis(20));
    block_on(async {
        list.set(entry("entry-1"));
        // No further change wakes the poll: it must return when the lag has passed.
        assert_eq!(poll(&list, 0).await.body["revision"], 1);
        let (answer, ()) = futures_lite::future::zip(poll(&list, 1), async {
            list.mark_leaving(&name("entry-1"));
        })
        .await;
        assert_eq!(answer.body["instances"][0]["state"], "leaving");
        assert_eq!(poll(&list, 1).await.body["revision"], 2);
    });
}

#[test]
fn graceful_stop() {
    let list = start(Duration::ZERO);
    let address = list.address();
    block_on(async {
        let target = "/instances?after=0&wait_ms=60000";
        let waiting = smol::spawn(call(address, Get, target, ""));
        until("the call waits", || list.waiting_calls() == 1).await;
        list.stop().await;
        assert_eq!(waiting.await.status, 200);
        assert!(TcpStream::connect(address).is_err());
    });
}
