//! The execution status for each stage and event of a send, the limits of a sequence of sends, and how response
//! bodies are delimited.

use glenfall_http_client::send::{execution_status, ExecutionStatus, SendEvent, SendSequence, SendStage};
use glenfall_http_client::BodyFraming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The execution status of a non-idempotent request for each event, by stage: unconnected, connected, partly sent, sent,
/// interim received, response started.
const EXPECTED_STATUS: [(SendEvent, [&str; 6]); 11] = [
    (SendEvent::NoConnection, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (SendEvent::Broken, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (SendEvent::TimedOut, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (SendEvent::Malformed, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (SendEvent::WrongRequest, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (SendEvent::NotRun, ["not run"; 6]),
    (SendEvent::UnprovenRefusal, ["unknown"; 6]),
    (SendEvent::Failure, ["answered"; 6]),
    (SendEvent::Success, ["answered"; 6]),
    (SendEvent::Abandoned, ["dropped"; 6]),
    (SendEvent::Stopping, ["waits"; 6]),
];

#[test]
fn execution_status_matches_the_table_in_the_docs() {
    assert_eq!(EXPECTED_STATUS.map(|(event, _)| event), SendEvent::ALL);
    let page = include_str!("../../docs/hardening.md");
    for (event, statuses) in EXPECTED_STATUS {
        assert_eq!(
            SendStage::ALL.map(|stage| execution_status(stage, event, false).to_string()),
            statuses,
            "{event:?}"
        );
        let row = format!("| `{event:?}` | {} |", statuses.join(" | "));
        assert!(page.contains(&row), "docs/hardening.md has no row {row}");
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_retried_nor_reported_as_not_run() {
    for stage in SendStage::ALL {
        for event in SendEvent::ALL {
            for failure in [false, true] {
                let (non_idempotent, idempotent) =
                    (execution_status(stage, event, false), execution_status(stage, event, true));
                let may_retry = non_idempotent.may_retry(false, failure);
                // A retry is allowed only before the last byte, or if the server states that the request has not run.
                assert!(!may_retry || !stage.is_sent() || event == SendEvent::NotRun, "{stage:?} {event:?}");
                assert_eq!(
                    may_retry,
                    non_idempotent == ExecutionStatus::NotRun,
                    "a non-idempotent request is retried if and only if it has not run"
                );
                // Idempotence only adds retries.
                assert!(idempotent.may_retry(true, failure) || !may_retry, "{stage:?} {event:?}");
                // A stop signal alone decides nothing, and nothing is sent for a client that has disconnected.
                assert_eq!(non_idempotent == ExecutionStatus::InProgress, event == SendEvent::Stopping);
                assert!(event != SendEvent::Abandoned || !idempotent.may_retry(true, failure));
            }
        }
    }
}

#[test]
fn a_body_is_delimited_by_one_header_or_by_the_close_of_the_connection() {
    for (lines, framing) in [
        (&["content-length: 5"][..], BodyFraming::Delimited),
        (&["transfer-encoding: Chunked "], BodyFraming::Delimited),
        (&[], BodyFraming::UntilClose),
        (&["transfer-encoding: gzip"], BodyFraming::Ambiguous),
        (&["transfer-encoding: gzip, chunked"], BodyFraming::Ambiguous),
        (&["transfer-encoding: chunked", "transfer-encoding: gzip"], BodyFraming::Ambiguous),
        (&["transfer-encoding: chunked", "content-length: 5"], BodyFraming::Ambiguous),
    ] {
        let parts = lines.iter().map(|line| line.split_once(": ").expect("a header"));
        let headers = parts.map(|(name, value)| {
            (HeaderName::from_static(name), HeaderValue::from_str(value).expect("a value"))
        });
        let mut header_map = HeaderMap::new();
        for (name, value) in headers {
            header_map.append(name, value);
        }
        assert_eq!(BodyFraming::of(&header_map), framing, "{lines:?}");
    }
}

#[test]
fn sends_end_at_the_limit_at_a_final_response_or_after_four_unreachable_servers() {
    let ended = |sends: &mut SendSequence, event| {
        sends.record_end(SendStage::ResponseStarted, event, event == SendEvent::Failure)
    };
    for (case, idempotent, events, used, may_send, is_exhausted) in [
        ("none yet", true, &[][..], 0, true, false),
        ("a success", true, &[SendEvent::Success], 1, false, false),
        ("a failure", true, &[SendEvent::Failure], 1, true, false),
        ("a failure, not idempotent", false, &[SendEvent::Failure], 1, false, false),
        ("a time-out, not idempotent", false, &[SendEvent::TimedOut], 1, false, false),
        ("not run, not idempotent", false, &[SendEvent::NotRun], 1, true, false),
        ("all used", true, &[SendEvent::TimedOut, SendEvent::Broken], 2, false, true),
        ("all used, not idempotent", false, &[SendEvent::NotRun, SendEvent::NotRun], 2, false, true),
        ("a success after a failure", true, &[SendEvent::Failure, SendEvent::Success], 2, false, false),
    ] {
        let mut sends = SendSequence::new(2, idempotent);
        for event in events {
            assert!(sends.may_send(), "{case}");
            ended(&mut sends, *event);
        }
        assert_eq!(
            (sends.used(), sends.may_send(), sends.is_exhausted()),
            (used, may_send, is_exhausted),
            "{case}"
        );
    }
    let mut sends = SendSequence::new(2, false);
    for _ in 0..4 {
        assert!(sends.may_send());
        sends.record_end(SendStage::Unconnected, SendEvent::NoConnection, false);
    }
    assert_eq!(
        (sends.used(), sends.may_send(), sends.is_exhausted()),
        (0, false, false),
        "no server was reached"
    );
    let mut sends = SendSequence::new(2, true);
    ended(&mut sends, SendEvent::NotRun);
    sends.stop();
    assert!(!sends.may_send() && !sends.is_exhausted(), "a stopped sequence sends to no other server");
}
