//! `/api/state`: exports the committed state as a backup.

use glenfall_control_plane::chain::{Call, Outcome};
use hyper::StatusCode;

use super::error::ApiError;
use super::json_response;
use crate::control::backup::Backup;
use crate::control::node::Control;
use crate::http_server::FullResponse;

/// A backup of the newest acknowledged state. It is read through the chain, so that it is consistent even if the state
/// changes meanwhile.
pub(super) async fn export(control: &Control) -> Result<FullResponse, ApiError> {
    let Outcome::Document(record) = control.chain.call(Call::Read).await else {
        return Err(ApiError::NoActiveView);
    };
    let chain = control.chain.state();
    let view = chain.view().map_or(0, |view| view.number);
    let backup = Backup::of(&chain.members().voters, view, &record);
    let document = serde_json::to_value(backup).map_err(ApiError::NotEncodable)?;
    Ok(json_response(StatusCode::OK, &document))
}
