//! The status and the body of each error that a control node answers with.

use glenfall::control::api::error::{ApiError, MAX_ERROR_TEXT_BYTES};
use glenfall_control_plane::chain::VoterChangeError;

fn invalid_json() -> serde_json::Error {
    serde_json::from_str::<u64>("x").unwrap_err()
}

#[test]
fn each_error_has_its_status_and_text() {
    let table = [
        (ApiError::UnknownPath, 404, "no such call"),
        (ApiError::MethodNotAllowed, 405, "method not known here"),
        (ApiError::ServerMethodNotAllowed, 405, "PUT or DELETE expected"),
        (ApiError::InvalidBody(invalid_json()), 400, "expected value at line 1 column 1"),
        (ApiError::NoConfiguration, 404, "no configuration yet"),
        (ApiError::NoActiveView, 503, "no view stands"),
        (
            ApiError::MissingBaseVersion,
            428,
            "If-Match: the number of the version that this builds on expected",
        ),
        (ApiError::OutcomeUnknown, 503, "no clear answer: the same call may be made again"),
        (ApiError::NoQuorum, 503, "this node does not reach a majority of the core"),
        (ApiError::InvalidPurgeTarget, 400, "hostname and urlPath, or label, expected"),
        (ApiError::InvalidVoterChange, 400, "add or remove expected, with an address"),
        (
            VoterChangeError::NoView.into(),
            503,
            "this node is in no view that stands: ask another one, or again in a moment",
        ),
        (
            VoterChangeError::InProgress.into(),
            503,
            "a change of the voters is under way: ask again in a moment",
        ),
        (VoterChangeError::AlreadyVoter([127, 0, 8, 1].into()).into(), 409, "127.0.8.1 is a voter already"),
        (ApiError::VoterChangePending, 503, "not all views stand yet: look at who votes, and ask again"),
        (ApiError::InvalidServerName, 400, "names of 1 to 128 bytes expected"),
        (ApiError::RegistryFull, 507, "no room for more servers"),
        (ApiError::NotReplicated, 503, "not all control nodes know it yet: say it again"),
        (ApiError::NotEncodable(invalid_json()), 500, "expected value at line 1 column 1"),
    ];
    for (error, status, text) in table {
        assert_eq!(error.status(), status, "{error:?}");
        assert_eq!(error.body().to_string(), format!(r#"{{"error":"{text}"}}"#));
        assert_eq!(error.log_reason(), text);
    }
}

#[test]
fn a_conflict_names_the_current_version() {
    let error = ApiError::VersionConflict { current: 7, base: 5 };
    assert_eq!(error.status(), 412);
    assert_eq!(error.body().to_string(), r#"{"error":"another version is current","current":7}"#);
    assert_eq!(error.log_reason(), "version 7 is current, not 5");
}

#[test]
fn a_forgotten_outcome_says_what_to_read_back() {
    let error = ApiError::OutcomeForgotten { up_to: 3, current: 9 };
    assert_eq!(error.status(), 503);
    assert_eq!(
        error.body().to_string(),
        "{\"error\":\"no clear answer: versions up to 3 may have been taken, too long ago to tell; \
         version 9 is in force: read it back, and do not send this again\",\"current\":9,\"forgottenUpTo\":3,\
         \"readBack\":\"/api/config\"}"
    );
    assert_eq!(error.log_reason(), "the outcome for versions up to 3 is no longer known");
}

#[test]
fn a_long_text_is_truncated_between_characters() {
    let quoted = format!("\"{}\"", "é".repeat(MAX_ERROR_TEXT_BYTES));
    let error = ApiError::InvalidBody(serde_json::from_str::<u64>(&quoted).unwrap_err());
    let text = error.log_reason();
    assert!(text.ends_with("é…") && text.len() <= MAX_ERROR_TEXT_BYTES + '…'.len_utf8(), "{text}");
    assert_eq!(error.body(), serde_json::json!({ "error": text }));
}
