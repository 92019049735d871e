//! How the headers of a response delimit its body.

use hyper::header::{self, HeaderMap};

/// How the end of a response's body is known (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its `Content-Length`, or by its last chunk.
    Delimited,
    /// By the orderly close of the connection. After a reset the body is incomplete.
    UntilClose,
    /// Ambiguous. If two lengths are stated, the client and the server may not agree on the end; with a coding other
    /// than `chunked` the received bytes are not the body itself.
    Ambiguous,
}

impl BodyFraming {
    /// How the body that follows these response headers is delimited.
    pub fn of(headers: &HeaderMap) -> Self {
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        let mut codings = codings.iter().map(|coding| coding.as_bytes().trim_ascii());
        let has_length = headers.contains_key(header::CONTENT_LENGTH);
        match (codings.next(), codings.next()) {
            (None, _) if has_length => BodyFraming::Delimited,
            (None, _) => BodyFraming::UntilClose,
            (Some(coding), None) if !has_length && coding.eq_ignore_ascii_case(b"chunked") => {
                BodyFraming::Delimited
            }
            _ => BodyFraming::Ambiguous,
        }
    }
}
