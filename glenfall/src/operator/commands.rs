//! The operator's verbs: checking files, and calls to `control`.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use clap::{Args, Subcommand};
use glenfall_control_plane::config::Config;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request};
use tokio::time::Instant;

use crate::control::backup::{Backup, BackupError};
use crate::control::store::{self, StoreError};
use crate::disk;
use crate::http::response::ServerResponse;
use crate::memory_budget::MemoryBudget;
use crate::operator::declarative_config::{self, DeclareError, Declared, Difference};
use crate::settings::Settings;
use crate::upstream::pool::{ExchangeParams, Pool};

/// One call to a control node; it answers within a second or not at all.
const CALL: Duration = Duration::from_millis(1500);
/// A change of the voters: the node waits for three views.
const CORE_CALL: Duration = Duration::from_millis(4500);
/// How often all nodes are asked before a call is given up.
const ROUNDS: usize = 3;
/// Connections a verb may hold.
const CONNECTIONS: usize = 8;
/// The largest answers of control, and room.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a verb failed; one line.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    #[error("{}: {what}", path.display())]
    File { path: PathBuf, what: std::io::Error },
    #[error("{}: {what}", path.display())]
    Wrong { path: PathBuf, what: String },
    #[error("{status}: {body}")]
    Refused { status: u16, body: String },
    #[error("{}: {what}", path.display())]
    Backup { path: PathBuf, what: BackupError },
    #[error("{}: {what}", path.display())]
    Store { path: PathBuf, what: StoreError },
    #[error(transparent)]
    Declared(#[from] DeclareError),
    #[error("version {current} is in force, not {expected}: look at the change again")]
    Moved { expected: u64, current: u64 },
    #[error("no control node gives a clear answer; the same call may be made again")]
    NoAnswer,
}

/// Where control is.
#[derive(Args, Clone)]
pub struct ControlAddresses {
    /// `controlAddr` of a control node; may be repeated
    #[arg(long = "control", required = true)]
    pub controls: Vec<SocketAddrV4>,
}

#[derive(Subcommand)]
pub enum ConfigVerb {
    /// Print the newest configuration
    Get {
        #[command(flatten)]
        at: ControlAddresses,
    },
    /// Put a whole configuration in force
    Put {
        #[command(flatten)]
        at: ControlAddresses,
        /// The version that it builds on, 0 for the first
        #[arg(long)]
        builds_on: u64,
        file: PathBuf,
    },
    /// Change named items
    Patch {
        #[command(flatten)]
        at: ControlAddresses,
        /// The version that it builds on
        #[arg(long)]
        builds_on: u64,
        file: PathBuf,
    },
}

#[derive(Subcommand)]
pub enum DeclaredVerb {
    /// Check the files of a folder, and what they make together
    Check { folder: PathBuf },
    /// Show what would change
    Plan {
        #[command(flatten)]
        at: ControlAddresses,
        folder: PathBuf,
    },
    /// Put what a folder declares in force
    Apply {
        #[command(flatten)]
        at: ControlAddresses,
        /// Only where this version is in force, as it was when the change was looked at
        #[arg(long)]
        if_rev: Option<u64>,
        folder: PathBuf,
    },
    /// Write what is in force as files into a folder
    Export {
        #[command(flatten)]
        at: ControlAddresses,
        folder: PathBuf,
    },
}

#[derive(Subcommand)]
pub enum StateVerb {
    /// Write the newest acknowledged state of a running core to a file
    Export {
        #[command(flatten)]
        at: ControlAddresses,
        /// A new file; one that exists is not written over
        file: PathBuf,
    },
    /// Put an exported state into an empty state folder, before control starts there
    Import {
        file: PathBuf,
        /// `stateDir` of the control node
        #[arg(long)]
        into: PathBuf,
        /// Addresses of the control nodes that vote, if others than in the file; may be repeated
        #[arg(long = "voter")]
        voters: Vec<Ipv4Addr>,
        /// The highest version that may have been acknowledged since the export: none up to it is taken again
        #[arg(long, default_value_t = 0)]
        acknowledged: u64,
    },
    /// Check an exported file, or the state folder of a control node that is stopped
    Verify { path: PathBuf },
}

#[derive(Subcommand)]
pub enum CoreVerb {
    /// Show who votes, who stands by, and what may be lost, as each control node sees it
    List {
        #[command(flatten)]
        at: ControlAddresses,
    },
    /// Make a control node that stands by a voter
    Add {
        #[command(flatten)]
        at: ControlAddresses,
        /// Address of the machine
        node: Ipv4Addr,
    },
    /// Take a voter out; one that stands by takes its place
    Remove {
        #[command(flatten)]
        at: ControlAddresses,
        /// Address of the machine
        node: Ipv4Addr,
    },
}

#[derive(Args)]
pub struct PurgeArgs {
    #[command(flatten)]
    at: ControlAddresses,
    /// All objects with this label
    #[arg(long, conflicts_with_all = ["host", "path"])]
    label: Option<String>,
    /// Host of one object
    #[arg(long, requires = "path", required_unless_present = "label")]
    host: Option<String>,
    /// Path of one object
    #[arg(long, requires = "host")]
    path: Option<String>,
}

fn read(path: &Path) -> Result<Vec<u8>, OperatorError> {
    std::fs::read(path).map_err(|what| OperatorError::File { path: path.to_owned(), what })
}

/// Checks a settings file (TOML) or a configuration (JSON); says what it is.
pub fn check(path: &Path) -> Result<String, OperatorError> {
    let bytes = read(path)?;
    let wrong = |what: String| OperatorError::Wrong { path: path.to_owned(), what };
    let json = bytes.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{');
    if json {
        let config = Config::read(&bytes).map_err(|e| wrong(e.to_string()))?;
        let (paths, backends) = (config.paths.len(), config.backends.len());
        return Ok(format!("configuration {}: {paths} paths, {backends} backends", config.rev));
    }
    let text = String::from_utf8(bytes).map_err(|e| wrong(e.to_string()))?;
    let boot = Settings::parse(&text).map_err(wrong)?;
    boot.chain_settings().map_err(|e| wrong(e.to_string()))?;
    Ok(format!("settings of {} in zone {}", boot.node, boot.zone))
}

/// Calls control nodes in turn until one gives a clear answer.
pub async fn call_control(
    at: &ControlAddresses,
    method: Method,
    path: &'static str,
    if_match: Option<u64>,
    body: Bytes,
) -> Result<ServerResponse, OperatorError> {
    call_within(CALL, at, method, path, if_match, body).await
}

async fn call_within(
    within: Duration,
    at: &ControlAddresses,
    method: Method,
    path: &'static str,
    if_match: Option<u64>,
    body: Bytes,
) -> Result<ServerResponse, OperatorError> {
    let pool = Pool::new(CONNECTIONS, MemoryBudget::new(MAX_RESPONSE_BYTES));
    for addr in at.controls.iter().cycle().take(at.controls.len() * ROUNDS) {
        let request = || {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = method.clone();
            *request.uri_mut() = hyper::Uri::from_static(path);
            if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
                request.headers_mut().insert(header::HOST, host);
            }
            if let Some(version) = if_match {
                request.headers_mut().insert(header::IF_MATCH, HeaderValue::from(version));
            }
            request
        };
        let params = ExchangeParams::internal(*addr, Instant::now() + within);
        match pool.exchange(params, request).await {
            Ok(reply) if reply.status().is_success() => return Ok(reply),
            Ok(reply) if reply.status().is_client_error() || is_final(&reply) => {
                let body = String::from_utf8_lossy(reply.body()).into_owned();
                return Err(OperatorError::Refused { status: reply.status().as_u16(), body });
            }
            // Changes and purges are known again when they are repeated.
            Ok(_) | Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    Err(OperatorError::NoAnswer)
}

/// Whether no other node and no later call gives another answer, whatever the status: the order is older than what
/// control remembers.
fn is_final(reply: &ServerResponse) -> bool {
    let body = serde_json::from_slice::<serde_json::Value>(reply.body());
    body.is_ok_and(|body| body.get("forgottenUpTo").is_some())
}

fn text(reply: ServerResponse) -> String {
    String::from_utf8_lossy(reply.body()).into_owned()
}

pub async fn config(verb: &ConfigVerb) -> Result<String, OperatorError> {
    match verb {
        ConfigVerb::Get { at } => {
            call_control(at, Method::GET, "/api/config", None, Bytes::new()).await.map(text)
        }
        ConfigVerb::Put { at, builds_on, file } => {
            check(file)?;
            let body = read(file)?.into();
            call_control(at, Method::PUT, "/api/config", Some(*builds_on), body).await.map(text)
        }
        ConfigVerb::Patch { at, builds_on, file } => {
            let body = read(file)?.into();
            call_control(at, Method::PATCH, "/api/config", Some(*builds_on), body).await.map(text)
        }
    }
}

/// What is in force and its version; nothing and 0 before the first.
async fn in_force(at: &ControlAddresses) -> Result<(u64, Bytes), OperatorError> {
    match call_control(at, Method::GET, "/api/config", None, Bytes::new()).await {
        Ok(reply) => {
            let rev =
                serde_json::from_slice::<serde_json::Value>(reply.body()).map_err(DeclareError::from)?;
            Ok((rev["rev"].as_u64().unwrap_or(0), reply.body().clone()))
        }
        Err(OperatorError::Refused { status: 404, .. }) => Ok((0, Bytes::new())),
        Err(error) => Err(error),
    }
}

pub async fn declared(verb: DeclaredVerb) -> Result<String, OperatorError> {
    let lines = |differences: &[Difference]| {
        let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
        lines.join("\n")
    };
    match verb {
        DeclaredVerb::Check { folder } => {
            let [routes, services] = Declared::read(&folder)?.counts();
            Ok(format!("{routes} routes, {services} services"))
        }
        DeclaredVerb::Plan { at, folder } => {
            let declared = Declared::read(&folder)?;
            let (rev, document) = in_force(&at).await?;
            let differences = declared.differences(&document)?;
            Ok(match &differences[..] {
                [] => format!("version {rev} is what is declared"),
                some => format!("to version {rev}:\n{}", lines(some)),
            })
        }
        DeclaredVerb::Apply { at, if_rev, folder } => {
            let declared = Declared::read(&folder)?;
            let (rev, document) = in_force(&at).await?;
            if let Some(expected) = if_rev.filter(|expected| *expected != rev) {
                return Err(OperatorError::Moved { expected, current: rev });
            }
            let differences = declared.differences(&document)?;
            if differences.is_empty() && rev > 0 {
                return Ok(format!("version {rev} is what is declared"));
            }
            // Who changes it meanwhile makes this fail with 412, and nothing is lost.
            let next = declared.document(rev + 1);
            call_control(&at, Method::PUT, "/api/config", Some(rev), next.into()).await?;
            Ok(format!("version {} is in force:\n{}", rev + 1, lines(&differences)))
        }
        DeclaredVerb::Export { at, folder } => {
            let (rev, document) = in_force(&at).await?;
            let left_out = if rev > 0 { declarative_config::write(&document, &folder)? } else { Vec::new() };
            let told = left_out.iter().map(|field| format!("\nleft out: {field}"));
            Ok(format!("version {rev} written{}", told.collect::<String>()))
        }
    }
}

fn backup(path: &Path) -> Result<Backup, OperatorError> {
    Backup::read(&read(path)?).map_err(|what| OperatorError::Backup { path: path.to_owned(), what })
}

pub async fn state(verb: StateVerb) -> Result<String, OperatorError> {
    match verb {
        StateVerb::Export { at, file } => {
            let reply = call_control(&at, Method::GET, "/api/state", None, Bytes::new()).await?;
            // What is not whole here would be of no use when it is needed.
            let wrong = |what| OperatorError::Backup { path: file.clone(), what };
            let backup = Backup::read(reply.body()).map_err(wrong)?;
            let broken = |what| OperatorError::File { path: file.clone(), what };
            let out = std::fs::File::create_new(&file).map_err(broken)?;
            let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty());
            let folder = folder.unwrap_or(Path::new("."));
            let synced = |()| out.sync_all().and_then(|()| disk::sync_folder(folder));
            (&out).write_all(reply.body()).and_then(synced).map_err(broken)?;
            Ok(format!("configuration {}, change {}, exported", backup.rev, backup.seq))
        }
        StateVerb::Import { file, into, voters, acknowledged } => {
            let backup = backup(&file)?;
            let told = format!("configuration {}, change {}, imported", backup.rev, backup.seq);
            let voters = if voters.is_empty() { backup.voters.clone() } else { voters };
            let unsound = |what| OperatorError::Backup { path: file.clone(), what };
            let state = backup.state(voters, acknowledged).map_err(unsound)?;
            let wrong = |what| OperatorError::Store { path: into.clone(), what };
            store::create(&into, &state).map_err(wrong)?;
            Ok(told)
        }
        StateVerb::Verify { path } if path.is_dir() => match store::verify(&path) {
            Ok(Some(state)) => {
                let (record, view) = (&state.record, state.accepted);
                let (rev, seq, voters) = (record.rev, record.seq, state.members.voters.len());
                Ok(format!("configuration {rev}, change {seq}, accepted in view {view}, {voters} voters"))
            }
            Ok(None) => Ok("a store without state: nothing was promised or accepted yet".into()),
            Err(what) => Err(OperatorError::Store { path, what }),
        },
        StateVerb::Verify { path } => {
            let backup = backup(&path)?;
            let (rev, seq, voters) = (backup.rev, backup.seq, backup.voters.len());
            Ok(format!("backup of configuration {rev}, change {seq}, {voters} voters"))
        }
    }
}

pub async fn purge(args: &PurgeArgs) -> Result<String, OperatorError> {
    let body = match &args.label {
        Some(label) => serde_json::json!({ "label": label }),
        None => serde_json::json!({ "hostname": args.host, "urlPath": args.path }),
    };
    call_control(&args.at, Method::POST, "/api/purge", None, body.to_string().into()).await.map(text)
}

pub async fn core(verb: &CoreVerb) -> Result<String, OperatorError> {
    let (at, body) = match verb {
        CoreVerb::List { at } => return from_each(at, "/api/core").await,
        CoreVerb::Add { at, node } => (at, serde_json::json!({ "add": node })),
        CoreVerb::Remove { at, node } => (at, serde_json::json!({ "remove": node })),
    };
    let body = body.to_string().into();
    call_within(CORE_CALL, at, Method::POST, "/api/core", None, body).await.map(text)
}

/// What each control node sees, one document apiece.
pub async fn status(at: &ControlAddresses) -> Result<String, OperatorError> {
    from_each(at, "/api/status").await
}

async fn from_each(at: &ControlAddresses, path: &'static str) -> Result<String, OperatorError> {
    let mut seen = Vec::new();
    for control in &at.controls {
        let one = ControlAddresses { controls: vec![*control] };
        let reply = call_control(&one, Method::GET, path, None, Bytes::new()).await;
        let value = match reply {
            Ok(reply) => serde_json::from_slice(reply.body()).unwrap_or(serde_json::Value::Null),
            Err(error) => serde_json::json!({ "control": control, "error": error.to_string() }),
        };
        seen.push(value);
    }
    Ok(serde_json::to_string_pretty(&seen).unwrap_or_default())
}
