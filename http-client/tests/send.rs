//! Every stage of a send with everything that may happen to it.

use glenfall_http_client::send::{execution_status, ExecutionStatus, SendEvent, SendSequence, SendStage};
use glenfall_http_client::BodyEnd;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

const WORDS: [(SendEvent, [&str; 6]); 11] = [
    // Unconnected, untouched, partly, whole, informed, answering; to what may run once only.
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
fn what_follows_is_as_the_table_of_the_docs_says() {
    assert_eq!(WORDS.map(|(event, _)| event), SendEvent::ALL);
    let page = include_str!("../../docs/hardening.md");
    for (event, words) in WORDS {
        assert_eq!(
            SendStage::ALL.map(|stage| execution_status(stage, event, false).to_string()),
            words,
            "{event:?}"
        );
        let row = format!("| `{event:?}` | {} |", words.join(" | "));
        assert!(page.contains(&row), "docs/hardening.md has no row {row}");
    }
}

#[test]
fn what_may_have_run_is_never_sent_again_nor_promised_not_to_have() {
    for stage in SendStage::ALL {
        for event in SendEvent::ALL {
            for failure in [false, true] {
                let (once, twice) =
                    (execution_status(stage, event, false), execution_status(stage, event, true));
                let may = once.may_retry(false, failure);
                // Only what never had its last byte, and what the server itself says.
                assert!(!may || !stage.is_sent() || event == SendEvent::NotRun, "{stage:?} {event:?}");
                assert_eq!(
                    may,
                    once == ExecutionStatus::NotRun,
                    "what may go out again may be refused, and nothing else"
                );
                // To be allowed to run twice opens ways, and closes none.
                assert!(twice.may_retry(true, failure) || !may, "{stage:?} {event:?}");
                // Nothing is settled by the wish to stop, and nothing is sent for nobody.
                assert_eq!(once == ExecutionStatus::Waits, event == SendEvent::Stopping);
                assert!(event != SendEvent::Abandoned || !twice.may_retry(true, failure));
            }
        }
    }
}

#[test]
fn the_end_of_a_body_is_stated_in_one_way_or_the_close_of_its_connection() {
    for (lines, end) in [
        (&["content-length: 5"][..], BodyEnd::Stated),
        (&["transfer-encoding: Chunked "], BodyEnd::Stated),
        (&[], BodyEnd::Close),
        (&["transfer-encoding: gzip"], BodyEnd::Unclear),
        (&["transfer-encoding: gzip, chunked"], BodyEnd::Unclear),
        (&["transfer-encoding: chunked", "transfer-encoding: gzip"], BodyEnd::Unclear),
        (&["transfer-encoding: chunked", "content-length: 5"], BodyEnd::Unclear),
    ] {
        let parts = lines.iter().map(|line| line.split_once(": ").expect("a header"));
        let headers = parts.map(|(name, value)| {
            (HeaderName::from_static(name), HeaderValue::from_str(value).expect("a value"))
        });
        let mut all = HeaderMap::new();
        for (name, value) in headers {
            all.append(name, value);
        }
        assert_eq!(BodyEnd::of(&all), end, "{lines:?}");
    }
}

#[test]
fn sends_end_with_their_number_with_a_settled_answer_or_with_four_unreachable_servers() {
    let ended = |sends: &mut SendSequence, event| {
        sends.ended(SendStage::Answering, event, event == SendEvent::Failure)
    };
    for (case, repeatable, events, used, may_begin, is_short) in [
        ("none yet", true, &[][..], 0, true, false),
        ("a success", true, &[SendEvent::Success], 1, false, false),
        ("a failure", true, &[SendEvent::Failure], 1, true, false),
        ("a failure of what runs once", false, &[SendEvent::Failure], 1, false, false),
        ("silence, and what runs once", false, &[SendEvent::TimedOut], 1, false, false),
        ("not run, and what runs once", false, &[SendEvent::NotRun], 1, true, false),
        ("all used", true, &[SendEvent::TimedOut, SendEvent::Broken], 2, false, true),
        ("all used, and what runs once", false, &[SendEvent::NotRun, SendEvent::NotRun], 2, false, true),
        ("a good end", true, &[SendEvent::Failure, SendEvent::Success], 2, false, false),
    ] {
        let mut sends = SendSequence::new(2, repeatable);
        for event in events {
            assert!(sends.may_begin(), "{case}");
            ended(&mut sends, *event);
        }
        assert_eq!(
            (sends.used(), sends.may_begin(), sends.is_short()),
            (used, may_begin, is_short),
            "{case}"
        );
    }
    let mut sends = SendSequence::new(2, false);
    for _ in 0..4 {
        assert!(sends.may_begin());
        sends.ended(SendStage::Unconnected, SendEvent::NoConnection, false);
    }
    assert_eq!((sends.used(), sends.may_begin(), sends.is_short()), (0, false, false), "nobody was reached");
    let mut sends = SendSequence::new(2, true);
    ended(&mut sends, SendEvent::NotRun);
    sends.settle();
    assert!(!sends.may_begin() && !sends.is_short(), "no other server is to be asked");
}
