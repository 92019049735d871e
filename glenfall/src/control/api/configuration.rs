//! `/api/config`: reads and changes the configuration.

use bytes::Bytes;
use glenfall_control_plane::chain::{Call, Outcome};
use glenfall_control_plane::config::ConfigChange;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::StatusCode;
use serde_json::json;

use super::error::ApiError;
use super::{encoded_response, json_response};
use crate::control::node::Control;
use crate::http_server::{FullRequest, FullResponse};

/// The committed configuration, with its version as the entity tag.
pub(super) async fn read(control: &Control) -> Result<FullResponse, ApiError> {
    let Outcome::Document(record) = control.chain.call(Call::Read).await else {
        return Err(ApiError::NoActiveView);
    };
    if record.rev == 0 {
        return Err(ApiError::NoConfiguration);
    }
    let mut response = encoded_response(StatusCode::OK, Bytes::from(record.document.clone()));
    response.headers_mut().insert(header::ETAG, HeaderValue::from(record.rev));
    Ok(response)
}

/// Replaces the configuration or parts of it, if the version in `If-Match` is the current one.
pub(super) async fn change(
    control: &Control,
    request: &FullRequest,
    new_change: impl Fn(Vec<u8>) -> ConfigChange,
) -> Result<FullResponse, ApiError> {
    let base = base_version(&request.head.headers).ok_or(ApiError::MissingBaseVersion)?;
    let change = new_change(request.body.to_vec());
    match control.chain.call(Call::Change { builds_on: base, change }).await {
        Outcome::Done { rev } => Ok(json_response(StatusCode::OK, &json!({ "rev": rev }))),
        Outcome::Conflict { current } => Err(ApiError::VersionConflict { current, base }),
        Outcome::Invalid(error) => Err(ApiError::InvalidConfiguration(error)),
        Outcome::Forgotten { up_to, current } => Err(ApiError::OutcomeForgotten { up_to, current }),
        Outcome::Document(_) | Outcome::Unchanged | Outcome::Unavailable => Err(ApiError::OutcomeUnknown),
    }
}

/// The version in `If-Match`, with or without quotes; `None` if it is missing or not a number.
fn base_version(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::IF_MATCH)?.to_str().ok()?;
    value.trim().trim_matches('"').parse().ok()
}
