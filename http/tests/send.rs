//! Every stage of a send with everything that may happen to it.

use glenfall_http::send::{fate, Event, Fate, Sends, Stage};
use glenfall_http::BodyEnd;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

const WORDS: [(Event, [&str; 6]); 11] = [
    // Unconnected, untouched, partly, whole, informed, answering; to what may run once only.
    (Event::NoConnection, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (Event::Broken, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (Event::Silence, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (Event::Noise, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (Event::Foreign, ["not run", "not run", "not run", "unknown", "unknown", "unknown"]),
    (Event::NotRun, ["not run"; 6]),
    (Event::Unproven, ["unknown"; 6]),
    (Event::Failure, ["answered"; 6]),
    (Event::Success, ["answered"; 6]),
    (Event::Abandoned, ["dropped"; 6]),
    (Event::Stopping, ["waits"; 6]),
];

#[test]
fn what_follows_is_as_the_table_of_the_docs_says() {
    assert_eq!(WORDS.map(|(event, _)| event), Event::ALL);
    let page = include_str!("../../docs/hardening.md");
    for (event, words) in WORDS {
        assert_eq!(Stage::ALL.map(|stage| fate(stage, event, false).to_string()), words, "{event:?}");
        let row = format!("| `{event:?}` | {} |", words.join(" | "));
        assert!(page.contains(&row), "docs/hardening.md has no row {row}");
    }
}

#[test]
fn what_may_have_run_is_never_sent_again_nor_promised_not_to_have() {
    for stage in Stage::ALL {
        for event in Event::ALL {
            for failure in [false, true] {
                let (once, twice) = (fate(stage, event, false), fate(stage, event, true));
                let may = once.may_go_out_again(false, failure);
                // Only what never had its last byte, and what the server itself says.
                assert!(!may || !stage.is_sent() || event == Event::NotRun, "{stage:?} {event:?}");
                assert_eq!(
                    may,
                    once == Fate::NotRun,
                    "what may go out again may be refused, and nothing else"
                );
                // To be allowed to run twice opens ways, and closes none.
                assert!(twice.may_go_out_again(true, failure) || !may, "{stage:?} {event:?}");
                // Nothing is settled by the wish to stop, and nothing is sent for nobody.
                assert_eq!(once == Fate::Waits, event == Event::Stopping);
                assert!(event != Event::Abandoned || !twice.may_go_out_again(true, failure));
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
    let ended = |sends: &mut Sends, event| sends.ended(Stage::Answering, event, event == Event::Failure);
    for (case, repeatable, events, used, may_begin, is_short) in [
        ("none yet", true, &[][..], 0, true, false),
        ("a success", true, &[Event::Success], 1, false, false),
        ("a failure", true, &[Event::Failure], 1, true, false),
        ("a failure of what runs once", false, &[Event::Failure], 1, false, false),
        ("silence, and what runs once", false, &[Event::Silence], 1, false, false),
        ("not run, and what runs once", false, &[Event::NotRun], 1, true, false),
        ("all used", true, &[Event::Silence, Event::Broken], 2, false, true),
        ("all used, and what runs once", false, &[Event::NotRun, Event::NotRun], 2, false, true),
        ("a good end", true, &[Event::Failure, Event::Success], 2, false, false),
    ] {
        let mut sends = Sends::new(2, repeatable);
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
    let mut sends = Sends::new(2, false);
    for _ in 0..4 {
        assert!(sends.may_begin());
        sends.ended(Stage::Unconnected, Event::NoConnection, false);
    }
    assert_eq!((sends.used(), sends.may_begin(), sends.is_short()), (0, false, false), "nobody was reached");
    let mut sends = Sends::new(2, true);
    ended(&mut sends, Event::NotRun);
    sends.settle();
    assert!(!sends.may_begin() && !sends.is_short(), "no other server is to be asked");
}
