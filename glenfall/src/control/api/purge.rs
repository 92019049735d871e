//! `/api/purge`: invalidates all stored responses of an object, or of all objects with a label.

use std::rc::Rc;

use glenfall_control_plane::messages::Purge;
use serde::Deserialize;

use super::empty_response;
use super::error::ApiError;
use crate::control::node::Control;
use crate::http_server::FullResponse;

/// Longest host, path or label in bytes.
const MAX_TARGET_BYTES: usize = 8 << 10;

/// The body of a request. Either `label`, or both `hostname` and `urlPath`, must be present.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PurgeRequest {
    hostname: Option<String>,
    url_path: Option<String>,
    label: Option<String>,
}

impl PurgeRequest {
    fn target(self) -> Result<Purge, ApiError> {
        match (self.label, self.hostname, self.url_path) {
            (Some(label), None, None) if is_valid_length(&label) => Ok(Purge::Label(label)),
            (None, Some(hostname), Some(path)) if is_valid_length(&hostname) && is_valid_length(&path) => {
                Ok(Purge::Object { hostname, path })
            }
            _ => Err(ApiError::InvalidPurgeTarget),
        }
    }
}

fn is_valid_length(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TARGET_BYTES
}

/// Purges an object or a label; succeeds once no proxy can serve the purged responses any more.
pub(super) async fn purge(control: &Rc<Control>, body: &[u8]) -> Result<FullResponse, ApiError> {
    let request: PurgeRequest = serde_json::from_slice(body).map_err(ApiError::InvalidBody)?;
    let target = request.target()?;
    if control.chain.has_quorum() && control.purges.purge(target).await.is_ok() {
        Ok(empty_response())
    } else {
        Err(ApiError::NoQuorum)
    }
}
