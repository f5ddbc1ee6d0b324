//! Account, loss and arrival reports from log lines.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use sagespool_report::{AccountReport, ArrivalLoss, ArrivalReport, LogLine, LossGroup, LossReport};
use sagespool_types::TokenCount;

const LOG: &str = r#"
  0.0404 gateway-1 time=2026-01-07T09:27:46.039Z level=info event=grant-acknowledged branch=b-1 granted=400 book_free=100 prepaid=1000 closed=200 holders=1 revision=48
  0.1000 gateway-1 time=2026-01-07T09:27:46.100Z level=info event=request-ended request=1 route=digest branch=b-1 outcome=answered status=200 upstream=i-1 sends=1 events=7 charged=500 first_ms=42 total_ms=42 plan=27 detail=""
  1.0000 gateway-1 time=2026-01-07T09:27:47.000Z level=info event=request-ended request=2 route=digest branch=b-1 outcome=caller-gone status=0 upstream=i-1 sends=1 events=0 charged=60 first_ms=42 total_ms=42 plan=27 detail=""
  2.5000 gateway-2 time=2026-01-07T09:27:48.500Z level=info event=request-ended request=3 route=digest branch=b-1 outcome=refused status=502 upstream=i-1 sends=1 events=0 charged=40 first_ms=9 total_ms=9 plan=27 detail=broken
  2.6000 gateway-2 time=2026-01-07T09:27:48.600Z level=info event=request-ended request=4 route=digest branch=b-1 outcome=refused status=402 upstream="" sends=0 events=0 charged=0 first_ms=9 total_ms=9 plan=27 detail=budget-spent
  2.6000 gateway-2 time=2026-01-07T09:27:48.700Z level=info event=budget-lent branch=b-1 to=c1fd wanted=30 lent=20
  2.7000 gateway-2 time=2026-01-07T09:27:48.800Z level=warn event=connections-closed-unread count=18 last_peer=10.0.0.7:1 turn_ms=0 open=9
  2.8000 gateway-2 time=2026-01-07T09:27:48.900Z level=warn event=send-failed request=3 upstream=i-1 cause=not-connected not_run=true sends=0
  2.9000 gateway-2 time=2026-01-07T09:27:48.950Z level=warn event=send-failed request=3 upstream=i-1 cause=broken not_run=false sends=1
text that some other program wrote
"#;

fn lines() -> impl Iterator<Item = LogLine<'static>> {
    LOG.lines().filter_map(LogLine::parse)
}

#[test]
fn account_spending() {
    let mut report = AccountReport::default();
    lines().for_each(|line| report.add_line(line));
    let spend = report.of(&"b-1".parse().unwrap()).unwrap();
    assert_eq!(spend.answered, TokenCount(500));
    assert_eq!((spend.caller_gone, spend.failed), (TokenCount(60), TokenCount(40)));
    assert_eq!(spend.stranded(), TokenCount(300));
    assert_eq!((spend.refused_spent, spend.grants, spend.loans), (1, 1, 1));
    let text = report.to_string();
    assert!(text.contains("0.500") && text.contains("0.300"), "{text}");
}

#[test]
fn lost_requests() {
    let mut report = LossReport::default();
    lines().for_each(|line| report.add_line(line));
    let group = |second: i64, reason: &str| LossGroup {
        second,
        route: "digest".to_owned(),
        reason: reason.to_owned(),
    };
    assert_eq!(report.count(&group(0, "caller-gone")), 1);
    assert_eq!(report.count(&group(2, "refused broken")), 1);
    assert_eq!(report.count(&group(2, "refused budget-spent")), 1);
    assert_eq!(report.count(&group(0, "answered")), 0);
}

#[test]
fn arrivals_by_gateway() {
    let mut report = ArrivalReport::default();
    lines().for_each(|line| report.add_line(line.source().unwrap(), line));
    let first = report.of("gateway-1").unwrap();
    assert_eq!((first.ended, first.answered, first.closed_unread), (2, 1, 0));
    let second = report.of("gateway-2").unwrap();
    assert_eq!((second.ended, second.closed_unread, second.unsent), (2, 18, 1));
    assert_eq!(second.busiest(), Some(("b-1", 2)));
    let loss = |gateway: &str, reason: &str| ArrivalLoss {
        gateway: gateway.to_owned(),
        branch: "b-1".to_owned(),
        reason: reason.to_owned(),
    };
    assert_eq!(report.count(&loss("gateway-2", "refused budget-spent")), 1);
    assert_eq!(report.count(&loss("gateway-1", "refused budget-spent")), 0);
    assert!(report.to_string().contains("caller-gone"), "{report}");
}
