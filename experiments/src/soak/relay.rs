//! TCP relays between processes, through which the soak plays troubles of the network without any privilege: cuts
//! between machines, one way or both, and servers that fall silent or lose their answers.
//!
//! What a cut holds up for long is lost with its connection, as the sender's kernel would have given it up.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use super::owner::owner_of;

/// Whoever is no machine of the system: clients, servers and operators.
pub const OUTSIDE: &str = "outside";
/// What is held up for longer than this does not arrive: the processes give their connections up by then.
const LOST: Duration = Duration::from_millis(1500);
/// Bytes passed on at once.
const CHUNK: usize = 16 << 10;
/// Pause when no descriptor is left for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Which machines are cut off from which.
pub struct Network {
    /// What is said from the first to the second does not arrive.
    cuts: RefCell<HashSet<(String, String)>>,
    changed: watch::Sender<u64>,
    /// The processes of the system, each with its machine.
    pids: RefCell<Vec<(u32, String)>>,
}

impl Network {
    pub fn new() -> Rc<Self> {
        Rc::new(Network {
            cuts: RefCell::default(),
            changed: watch::Sender::new(0),
            pids: RefCell::default(),
        })
    }

    /// The processes are these now.
    pub fn set_pids(&self, pids: Vec<(u32, String)>) {
        self.pids.replace(pids);
    }

    /// Cuts the way from one machine to another.
    pub fn cut(&self, from: &str, to: &str) {
        self.cuts.borrow_mut().insert((from.to_owned(), to.to_owned()));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Joins them again.
    pub fn join(&self, from: &str, to: &str) {
        self.cuts.borrow_mut().remove(&(from.to_owned(), to.to_owned()));
        self.changed.send_modify(|count| *count += 1);
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let cuts = self.cuts.borrow();
        !cuts.is_empty() && cuts.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Waits until what is said from one machine to another arrives; false where it was lost meanwhile.
    async fn arrives(&self, from: &str, to: &str) -> bool {
        if !self.is_cut(from, to) {
            return true;
        }
        let began = Instant::now();
        let mut changed = self.changed.subscribe();
        while self.is_cut(from, to) {
            if changed.changed().await.is_err() {
                return false;
            }
        }
        began.elapsed() < LOST
    }
}

/// What a server's network does with what it says and hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    Well,
    /// Nothing goes through, in neither way.
    Silent,
    /// Requests arrive, and connections are reset in place of answers.
    LosesAnswers,
    /// Connections are reset as they are opened.
    Refuses,
}

/// The conduct of a server's network, as it is now.
#[derive(Clone)]
pub struct ConductSwitch(Rc<(Cell<Conduct>, watch::Sender<()>)>);

impl ConductSwitch {
    pub fn new() -> Self {
        ConductSwitch(Rc::new((Cell::new(Conduct::Well), watch::Sender::new(()))))
    }

    pub fn set(&self, conduct: Conduct) {
        self.0 .0.set(conduct);
        self.0 .1.send_replace(());
    }

    pub fn get(&self) -> Conduct {
        self.0 .0.get()
    }

    async fn until_not_silent(&self) {
        let mut changed = self.0 .1.subscribe();
        while self.get() == Conduct::Silent {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// What stands between the two ends of a connection.
#[derive(Clone)]
enum Between {
    Machines { network: Rc<Network>, caller: Rc<str>, called: Rc<str> },
    Server(ConductSwitch),
}

impl Between {
    /// Waits until what the caller says goes through; false where the connection breaks.
    async fn to_called(&self) -> bool {
        match self {
            Between::Machines { network, caller, called } => network.arrives(caller, called).await,
            Between::Server(conduct) => {
                conduct.until_not_silent().await;
                conduct.get() != Conduct::Refuses
            }
        }
    }

    /// The same for what the other side says.
    async fn to_caller(&self) -> bool {
        match self {
            Between::Machines { network, caller, called } => network.arrives(called, caller).await,
            Between::Server(conduct) => {
                conduct.until_not_silent().await;
                conduct.get() == Conduct::Well
            }
        }
    }
}

/// Relays what comes to `announced` on to `target`, a process of the machine `called`.
pub async fn relay_machine(
    network: Rc<Network>,
    announced: SocketAddrV4,
    target: SocketAddrV4,
    called: &str,
) -> io::Result<()> {
    let listener = TcpListener::bind(announced).await?;
    let called: Rc<str> = called.into();
    spawn_local(async move {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let caller = caller_of(&network, peer, announced);
            let (network, called) = (Rc::clone(&network), Rc::clone(&called));
            spawn_local(connection(stream, target, Between::Machines { network, caller, called }));
        }
    });
    Ok(())
}

fn caller_of(network: &Network, peer: SocketAddr, announced: SocketAddrV4) -> Rc<str> {
    let SocketAddr::V4(peer) = peer else { return OUTSIDE.into() };
    owner_of(peer, announced, &network.pids.borrow()).unwrap_or(OUTSIDE).into()
}

/// Relays what comes to this listener on to a server.
pub fn relay_server(listener: TcpListener, target: SocketAddrV4, conduct: ConductSwitch) {
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(connection(stream, target, Between::Server(conduct.clone())));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
}

async fn connection(stream: TcpStream, target: SocketAddrV4, between: Between) {
    // What is dropped resets: a close in order would say that all was said.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    if !between.to_called().await {
        return;
    }
    let Ok(called) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), called.set_nodelay(true));
    let (from_caller, to_caller) = stream.into_split();
    let (from_called, to_called) = called.into_split();
    let up = pass_on(from_caller, to_called, || between.to_called());
    let down = pass_on(from_called, to_caller, || between.to_caller());
    tokio::pin!(up, down);
    tokio::select! {
        closed = &mut up => if closed {
            // The caller says nothing more, and may still hear.
            down.await;
        },
        closed = &mut down => if closed {
            up.await;
        },
    }
}

/// Passes bytes on until one side is done; true where it was closed in order.
async fn pass_on(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, admits: impl AsyncFn() -> bool) -> bool {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = match from.read(&mut chunk).await {
            Ok(read) => read,
            Err(_) => return false,
        };
        if !admits().await {
            return false;
        }
        if read == 0 {
            return to.shutdown().await.is_ok();
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return false;
        }
    }
}
