//! The contract of the fake model engine: orders.

#[macro_use]
mod calls;

use std::time::Duration;

use calls::{MODEL, complete, completion, post, run, until};
use serde_json::{Value, json};

fn with(mut body: Value, name: &str, value: Value) -> Value {
    body[name] = value;
    body
}

#[test]
fn fenced_orders() {
    // An order with an old fencing number arrives after one with a newer number. Engines that
    // honour fencing numbers reject it, also after a crash; the others carry it out.
    let cases = [(true, 409, "prefill"), (false, 200, "decode")];
    run(async {
        for (honours_fences, status, role) in cases {
            let engine = engine!(honours_fences: honours_fences);
            let address = engine.address();
            let new = json!({ "fence": 7, "order": { "set_role": "prefill" } });
            let old = json!({ "fence": 6, "order": { "set_role": "decode" } });
            assert_eq!(post(address, "/orders", &new).await.unwrap().status, 200);
            assert_eq!(
                post(address, "/orders", &new).await.unwrap().status,
                200,
                "the same number"
            );
            let answer = post(address, "/orders", &old).await.unwrap();
            assert_eq!(answer.status, status);
            if honours_fences {
                assert_eq!(answer.json(), json!({ "newest": 7 }));
            }
            assert_eq!(engine.current_load().role, role);
            engine.crash();
            engine.restart().unwrap();
            assert_eq!(post(address, "/orders", &old).await.unwrap().status, status);
            let accepted: Vec<_> = engine.orders().iter().map(|order| order.accepted).collect();
            assert_eq!(accepted, [true, true, !honours_fences, !honours_fences]);
        }
    });
}

#[test]
fn model_orders() {
    let adapter = json!({ "model": MODEL, "adapter": "letters" });
    let cases = [
        (json!({ "load_model": "sage-small" }), vec![MODEL, "sage-small"]),
        (json!({ "load_adapter": adapter }), vec![MODEL, "sage-small", "sage-large.letters"]),
        (json!({ "unload_model": MODEL }), vec!["sage-small", "sage-large.letters"]),
    ];
    run(async {
        let engine = engine!(load_time: Duration::from_millis(1));
        for (fence, (order, models)) in cases.into_iter().enumerate() {
            let body = json!({ "fence": fence, "order": order });
            assert_eq!(post(engine.address(), "/orders", &body).await.unwrap().status, 200);
            until("the order is carried out", || engine.current_load().models == models).await;
        }
        let refusal = complete(engine.address(), &[], &completion("hello", 1)).await;
        assert_eq!(refusal.err().expect("the model is unloaded").status, 404);
        let other = with(completion("hello", 1), "model", json!("sage-small"));
        complete(engine.address(), &[], &other).await.unwrap().read_to_end().await.unwrap();
    });
}
