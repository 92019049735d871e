//! Causes between shield and edge, and how many lines a flood of failures writes.

use std::time::Duration;

use glenfall::http::failure::{Cause, Failure};
use glenfall::metrics::log_limit::LogLimit;
use hyper::header::HeaderValue;
use tokio::time::{advance, Instant};

#[test]
fn what_a_shield_says_of_a_failure_is_what_its_edge_reads() {
    for cause in Cause::ALL {
        for way in ["", "s-1: no connection, s-2: not run (503)"] {
            let failure = Failure::after(*cause, way.into());
            assert_eq!(Failure::decode(Some(&failure.encode())), failure);
        }
    }
    assert_eq!(Failure::decode(None).cause, Cause::Unstated);
    assert_eq!(Failure::decode(Some(&HeaderValue::from_static("another-release x"))).cause, Cause::Unstated);
    // A server's name that fits in no header, and a way longer than a line.
    assert_eq!(Failure::after(Cause::NoServer, "a\nb".into()).encode(), "no-server");
    assert!(Failure::after(Cause::NoServer, "ä".repeat(1000)).encode().len() < 500);
    let late = Failure::from(Cause::NoAnswer).preceded_by("shield a silent");
    assert_eq!(late.way, "shield a silent");
    assert_eq!(late.preceded_by("").preceded_by("b").way, "b, shield a silent");
}

#[tokio::test(start_paused = true)]
async fn a_flood_is_counted_and_little_of_it_written() {
    let mut limit = LogLimit::new(3.0, 2.0);
    let written =
        |limit: &mut LogLimit| (0..10).filter_map(|_| limit.admit(Instant::now())).collect::<Vec<_>>();
    assert_eq!(written(&mut limit), [0, 0, 0]);
    assert!(written(&mut limit).is_empty());
    advance(Duration::from_secs(1)).await;
    assert_eq!(written(&mut limit), [17, 0]);
    advance(Duration::from_secs(100)).await;
    assert_eq!(written(&mut limit), [8, 0, 0]);
}
