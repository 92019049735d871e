//! `state`: exports, imports and verifies the state of control.

use std::io::Write;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use clap::Subcommand;

use super::check::read_file;
use super::control_client::{get, ControlAddresses};
use super::error::OperatorError;
use crate::control::backup::Backup;
use crate::control::store;
use crate::disk;
use crate::operator::PathError;

#[derive(Subcommand)]
pub(crate) enum StateCommand {
    /// Write the newest acknowledged state of a running core to a file
    Export {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// Path of the new file; an existing file is not overwritten
        file: PathBuf,
    },
    /// Create the state of a control node from an exported file, before the node is started
    Import {
        /// Path of the exported file
        file: PathBuf,
        /// State folder of the control node (its `stateDir` setting)
        #[arg(long)]
        into: PathBuf,
        /// Address of a voter, to replace the voters listed in the file; may be repeated
        #[arg(long = "voter")]
        voters: Vec<Ipv4Addr>,
        /// Highest version that may have been acknowledged since the export; versions up to it are not accepted again
        #[arg(long, default_value_t = 0)]
        acknowledged: u64,
    },
    /// Verify an exported file, or the state folder of a stopped control node
    Verify {
        /// Path of the exported file or state folder
        path: PathBuf,
    },
}

/// Runs the command; returns its output.
pub(crate) async fn run(command: StateCommand) -> Result<String, OperatorError> {
    match command {
        StateCommand::Export { addresses, file } => export(&addresses, &file).await,
        StateCommand::Import { file, into, voters, acknowledged } => {
            import(&file, &into, voters, acknowledged)
        }
        StateCommand::Verify { path } if path.is_dir() => verify_folder(&path),
        StateCommand::Verify { path } => verify_backup(&path),
    }
}

async fn export(addresses: &ControlAddresses, file: &Path) -> Result<String, OperatorError> {
    let response = get(addresses, "/api/state").await?;
    // Validated before it is written, as an incomplete backup would otherwise be noticed only when it is needed.
    let backup = Backup::read(response.body()).map_err(PathError::at(file))?;
    write_durably(file, response.body()).map_err(PathError::at(file))?;
    Ok(format!("configuration {}, change {}, exported", backup.rev, backup.seq))
}

/// Writes a new file, and syncs it and its directory entry to disk.
fn write_durably(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut file = std::fs::File::create_new(path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    disk::sync_folder(folder.unwrap_or(Path::new(".")))
}

fn import(
    file: &Path,
    into: &Path,
    voters: Vec<Ipv4Addr>,
    acknowledged: u64,
) -> Result<String, OperatorError> {
    let backup = read_backup(file)?;
    let imported = format!("configuration {}, change {}, imported", backup.rev, backup.seq);
    let voters = if voters.is_empty() { backup.voters.clone() } else { voters };
    let state = backup.state(voters, acknowledged).map_err(PathError::at(file))?;
    store::create(into, &state).map_err(PathError::at(into))?;
    Ok(imported)
}

fn verify_folder(folder: &Path) -> Result<String, OperatorError> {
    let Some(state) = store::verify(folder).map_err(PathError::at(folder))? else {
        return Ok("the store is empty: the node has neither promised a view nor accepted a state yet".into());
    };
    let (record, view) = (&state.record, state.accepted);
    let (rev, seq, voters) = (record.rev, record.seq, state.members.voters.len());
    Ok(format!("configuration {rev}, change {seq}, accepted in view {view}, {voters} voters"))
}

fn verify_backup(path: &Path) -> Result<String, OperatorError> {
    let backup = read_backup(path)?;
    let (rev, seq, voters) = (backup.rev, backup.seq, backup.voters.len());
    Ok(format!("backup of configuration {rev}, change {seq}, {voters} voters"))
}

fn read_backup(path: &Path) -> Result<Backup, OperatorError> {
    Ok(Backup::read(&read_file(path)?).map_err(PathError::at(path))?)
}
