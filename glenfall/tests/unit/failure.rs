//! Failures between shield and edge, and the rate limit of log lines.

use std::time::Duration;

use glenfall::http::failure::{Cause, Failure};
use glenfall::metrics::log_limit::LogLimit;
use hyper::header::HeaderValue;
use tokio::time::{advance, Instant};

#[test]
fn a_failure_survives_the_header_between_shield_and_edge() {
    for cause in Cause::ALL {
        for attempts in ["", "s-1: no connection, s-2: not run (503)"] {
            let failure = Failure::with_attempts(*cause, attempts.into());
            assert_eq!(Failure::decode(Some(&failure.encode())), failure);
        }
    }
    assert_eq!(Failure::decode(None).cause, Cause::Unspecified);
    assert_eq!(
        Failure::decode(Some(&HeaderValue::from_static("another-release x"))).cause,
        Cause::Unspecified
    );
    // A server name that is invalid in a header, and attempts longer than the limit.
    assert_eq!(Failure::with_attempts(Cause::NoServer, "a\nb".into()).encode(), "no-server");
    assert!(Failure::with_attempts(Cause::NoServer, "ä".repeat(1000)).encode().len() < 500);
    let failure = Failure::from(Cause::NoResponse).with_earlier_attempts("shield a silent");
    assert_eq!(failure.attempts, "shield a silent");
    assert_eq!(failure.with_earlier_attempts("").with_earlier_attempts("b").attempts, "b, shield a silent");
}

#[tokio::test(start_paused = true)]
async fn a_flood_of_log_lines_is_counted_and_mostly_suppressed() {
    let mut limit = LogLimit::new(3.0, 2.0);
    let written_lines =
        |limit: &mut LogLimit| (0..10).filter_map(|_| limit.admit(Instant::now())).collect::<Vec<_>>();
    assert_eq!(written_lines(&mut limit), [0, 0, 0]);
    assert!(written_lines(&mut limit).is_empty());
    advance(Duration::from_secs(1)).await;
    assert_eq!(written_lines(&mut limit), [17, 0]);
    advance(Duration::from_secs(100)).await;
    assert_eq!(written_lines(&mut limit), [8, 0, 0]);
}
