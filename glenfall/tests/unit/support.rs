//! Helpers that several tests share: a runtime, fake servers, temporary folders, and small values of the system's
//! types.

use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::Deref;
use std::path::{Path, PathBuf};

use glenfall::cache::ObjectKey;
use glenfall::settings::Settings;
use glenfall_control_plane::messages::Server;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

/// Runs a test that spawns local tasks, in real time, and checks that no invariant is violated.
pub fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let result = LocalSet::new().block_on(&runtime, test);
    // The count covers all tests that this process has run so far.
    assert_eq!(glenfall_control_plane::invariant::violations(), 0);
    result
}

/// A listener on a free port, and its address.
pub async fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    match listener.local_addr().expect("its address") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(address) => panic!("bound an IPv4 address, got {address}"),
    }
}

/// Starts a fake server, which handles each connection with `handle_connection` in a task of its own.
pub async fn start_fake_server<F>(mut handle_connection: impl FnMut(TcpStream) -> F + 'static) -> SocketAddrV4
where
    F: Future<Output = ()> + 'static,
{
    let (listener, address) = listener().await;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(handle_connection(stream));
        }
    });
    address
}

/// A folder for one test, which does not exist yet and is removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("glenfall-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        Folder(folder)
    }
}

impl Deref for Folder {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Copies the files of a folder into another one, which is emptied first.
pub fn copy_files(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder").flatten() {
        std::fs::copy(entry.path(), to.join(entry.file_name())).expect("a copy");
    }
}

/// The settings of a node, with extra lines at their end.
pub fn settings(extra_lines: &str) -> Settings {
    let text = "node = \"n\"\nzone = \"z\"\nbindIp = \"127.0.0.1\"\nportRange = [1, 9]\n\
                seedNodes = [\"127.0.0.1:1\"]\n[listeners]\n";
    Settings::parse(&format!("{text}{extra_lines}")).expect("settings")
}

/// A server of the service `s`, which is ready and past its slow start.
pub fn server(id: &str, port: u16) -> Server {
    Server {
        id: id.into(),
        backend: "s".into(),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), port),
        zone: "z".into(),
        capacity: 2,
        ready: true,
        warmup_left_ms: 0,
    }
}

/// The cache key of an object of the service `s`.
pub fn object_key(path: &str) -> ObjectKey {
    ObjectKey { service: "s".into(), host: "h".into(), path: path.into() }
}
