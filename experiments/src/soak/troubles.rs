//! Carries out the troubles of a schedule on real processes.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::os::unix::process::ExitStatusExt;
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::local_system::LocalSystem;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::time::{sleep, sleep_until, Instant};

use super::clients::Clients;
use super::observed::{Kind, Observed, Promise};
use super::operators::Operators;
use super::play::{Marked, SharedLocal};
use super::relay::{Conduct, Network};
use super::schedule::{CutKind, Part, Timed, Trouble};
use super::servers::Servers;

/// How often ended processes are looked for.
const WATCH: Duration = Duration::from_millis(50);
/// A process that was told to leave has gone by then.
const LEFT: Duration = Duration::from_secs(9);
/// Pause between hangups.
const HANGUPS: Duration = Duration::from_millis(150);
/// Most that a server that leaves serves on beyond what it has to, in seconds.
const LINGERS_S: f64 = 5.0;

/// The machines of a play, and what is expected of their processes.
pub struct Machines {
    pub local: SharedLocal,
    network: Rc<Network>,
    observed: Rc<Observed>,
    /// Processes that were made to end, by machine and role, and may be found ended.
    expected: RefCell<BTreeSet<(String, &'static str)>>,
    cores: u8,
}

impl Machines {
    pub fn new(local: LocalSystem, network: Rc<Network>, observed: Rc<Observed>) -> Rc<Self> {
        let cores = local.relayed().len() as u8;
        let machines =
            Machines { local: RefCell::new(local), network, observed, expected: RefCell::default(), cores };
        machines.tell_pids();
        Rc::new(machines)
    }

    fn tell_pids(&self) {
        let local = self.local.borrow();
        self.network
            .set_pids(local.all_pids().into_iter().map(|(pid, node)| (pid, node.to_owned())).collect());
    }

    fn roles(&self, machine: u8, part: Part) -> &'static [&'static str] {
        match (machine <= self.cores, part) {
            (true, Part::Both) => &["shield", "control"],
            (true, Part::Proxy) => &["shield"],
            (true, Part::Control) => &["control"],
            (false, Part::Both) => &["edge", "agent"],
            (false, Part::Proxy) => &["edge"],
            (false, Part::Control) => &["agent"],
        }
    }

    fn signal(&self, machine: u8, part: Part, signal: Signal) {
        let local = self.local.borrow();
        let node = local.node(machine);
        for role in self.roles(machine, part) {
            if matches!(signal, Signal::SIGKILL | Signal::SIGTERM) {
                self.expected.borrow_mut().insert((node.clone(), role));
            }
            for pid in local.pids(&node, Some(role)) {
                // One that has ended already needs no signal.
                let _ = kill(Pid::from_raw(pid as i32), signal);
            }
        }
    }

    /// Waits until the processes of a machine that were made to end have ended, or another trouble has started them again.
    async fn ended(&self, machine: u8, part: Part) {
        let began = Instant::now();
        let node = self.local.borrow().node(machine);
        while began.elapsed() < LEFT {
            let ended = self.local.borrow_mut().ended().unwrap_or_default();
            let expected = self.expected.borrow().clone();
            let has_ended = |role: &&'static str| {
                let is_down = ended.iter().any(|(of, ended_role, _)| *of == node && ended_role == role);
                is_down || !expected.contains(&(node.clone(), *role))
            };
            if self.roles(machine, part).iter().all(has_ended) {
                return;
            }
            sleep(WATCH).await;
        }
        self.observed.broken(Promise::ProcessStays, format!("{node} has not ended after SIGTERM"));
        self.signal(machine, part, Signal::SIGKILL);
        sleep(WATCH).await;
    }

    fn start_again(&self, machine: u8) {
        let node = self.local.borrow().node(machine);
        if let Err(error) = self.start_node(&node) {
            self.observed.broken(Promise::ProcessStays, format!("{node} can't be started: {error}"));
        }
    }

    /// Starts what has ended on a machine; what is about to end by another trouble stays expected.
    fn start_node(&self, node: &str) -> std::io::Result<()> {
        let mut local = self.local.borrow_mut();
        for (of, role, _) in local.ended()?.into_iter().filter(|(of, ..)| of == node) {
            self.expected.borrow_mut().remove(&(of, role));
        }
        local.start_again(node)?;
        drop(local);
        self.tell_pids();
        Ok(())
    }

    /// Starts whatever has ended, on all machines.
    pub fn start_ended(&self) -> std::io::Result<()> {
        let ended = self.local.borrow_mut().ended()?;
        ended.into_iter().try_for_each(|(node, ..)| self.start_node(&node))
    }

    /// Looks for processes that end though nobody made them.
    pub async fn watch(self: Rc<Self>) {
        loop {
            sleep(WATCH).await;
            let ended = self.local.borrow_mut().ended().unwrap_or_default();
            for (node, role, status) in ended {
                if !self.expected.borrow_mut().insert((node.clone(), role)) {
                    continue;
                }
                if status.signal() == Some(Signal::SIGHUP as i32) {
                    // Between the start of a process and its handler the signal has its default effect.
                    self.observed.count("ended by a hangup at its start");
                } else {
                    self.observed.broken(Promise::ProcessStays, format!("{role} on {node} ended: {status}"));
                }
                // As the platform does it.
                if let Err(error) = self.start_node(&node) {
                    self.observed.broken(Promise::ProcessStays, format!("{node}: {error}"));
                }
            }
        }
    }

    /// The pairs of machines between which a cut stops what is said.
    fn cut_pairs(&self, machine: u8, others: &[u8], kind: CutKind) -> Vec<(String, String)> {
        let local = self.local.borrow();
        let mut pairs = Vec::new();
        for other in others.iter().filter(|other| **other != machine) {
            let (own, other) = (local.node(machine), local.node(*other));
            if kind != CutKind::Hears {
                pairs.push((own.clone(), other.clone()));
            }
            if kind != CutKind::Says {
                pairs.push((other, own));
            }
        }
        pairs
    }
}

/// All that troubles are done to.
#[derive(Clone)]
pub struct Troubles {
    pub machines: Rc<Machines>,
    pub servers: Rc<Servers>,
    pub clients: Rc<Clients>,
    pub operators: Rc<Operators>,
}

impl Troubles {
    /// Makes a trouble at its time, and ends it.
    pub async fn play(self, timed: Timed, began: Instant) {
        sleep_until(began + Duration::from_secs_f64(timed.at)).await;
        let over = began + Duration::from_secs_f64(timed.at + timed.for_s);
        match timed.trouble {
            Trouble::Kill { machine, part } => self.kill(&[machine], part, over).await,
            Trouble::KillCore { part } => {
                let cores: Vec<u8> = (1..=self.machines.cores).collect();
                self.kill(&cores, part, over).await;
            }
            Trouble::Freeze { machine, part } => {
                let _marked = self.mark(machine, Kind::Unplanned);
                self.machines.signal(machine, part, Signal::SIGSTOP);
                sleep_until(over).await;
                self.machines.signal(machine, part, Signal::SIGCONT);
            }
            Trouble::Leave { machine, part } => self.leave(machine, part, over).await,
            Trouble::Hangup { machine } => {
                let _marked = self.mark(machine, Kind::Planned);
                while Instant::now() < over {
                    self.machines.signal(machine, Part::Both, Signal::SIGHUP);
                    sleep(HANGUPS).await;
                }
            }
            Trouble::Wipe { machine } => self.wipe(machine, over).await,
            Trouble::Cut { machine, kind } => {
                let others: Vec<u8> = (1..=self.machines.cores).collect();
                self.cut(machine, &others, kind, over).await;
            }
            Trouble::CutPair { first, second, kind } => self.cut(first, &[second], kind, over).await,
            Trouble::ClientsLeave => {
                self.clients.leaving.set(self.clients.leaving.get() + 1);
                sleep_until(over).await;
                self.clients.leaving.set(self.clients.leaving.get() - 1);
            }
            Trouble::AnswersLost => {
                self.operators.answers_lost.set(self.operators.answers_lost.get() + 1);
                sleep_until(over).await;
                self.operators.answers_lost.set(self.operators.answers_lost.get() - 1);
            }
            of_server => self.server(of_server, over).await,
        }
    }

    fn mark(&self, machine: u8, kind: Kind) -> Marked {
        Marked::new(&self.machines.observed, machine, kind)
    }

    fn restarts(&self, machine: u8) {
        self.clients.edges.iter().filter(|edge| edge.machine == machine).for_each(|edge| edge.restarts());
    }

    async fn kill(&self, machines: &[u8], part: Part, over: Instant) {
        let _marked: Vec<Marked> =
            machines.iter().map(|machine| self.mark(*machine, Kind::Unplanned)).collect();
        for machine in machines {
            self.restarts(*machine);
            self.machines.signal(*machine, part, Signal::SIGKILL);
        }
        sleep_until(over).await;
        for machine in machines {
            self.machines.ended(*machine, part).await;
            self.restarts(*machine);
            self.machines.start_again(*machine);
        }
    }

    async fn leave(&self, machine: u8, part: Part, over: Instant) {
        // An edge whose agent alone leaves goes on.
        let _marked = self.mark(machine, Kind::Planned);
        self.machines.signal(machine, part, Signal::SIGTERM);
        sleep_until(over).await;
        self.machines.ended(machine, part).await;
        self.restarts(machine);
        self.machines.start_again(machine);
    }

    async fn wipe(&self, machine: u8, over: Instant) {
        let _marked = self.mark(machine, Kind::Unplanned);
        self.machines.signal(machine, Part::Both, Signal::SIGKILL);
        self.machines.ended(machine, Part::Both).await;
        let node = self.machines.local.borrow().node(machine);
        if let Err(error) = self.machines.local.borrow_mut().wipe(&node) {
            self.machines.observed.broken(Promise::ProcessStays, format!("{node} can't be wiped: {error}"));
        }
        sleep_until(over).await;
        self.machines.start_again(machine);
    }

    async fn cut(&self, machine: u8, others: &[u8], kind: CutKind, over: Instant) {
        let involved = others.iter().chain([&machine]);
        let _marked: Vec<Marked> = involved.map(|machine| self.mark(*machine, Kind::Unplanned)).collect();
        let pairs = self.machines.cut_pairs(machine, others, kind);
        pairs.iter().for_each(|(from, to)| self.machines.network.cut(from, to));
        sleep_until(over).await;
        pairs.iter().for_each(|(from, to)| self.machines.network.join(from, to));
    }

    async fn server(&self, trouble: Trouble, over: Instant) {
        let (Trouble::Drain { service }
        | Trouble::Goodbye { service }
        | Trouble::Crash { service }
        | Trouble::Slow { service, .. }
        | Trouble::Silent { service }
        | Trouble::LosesAnswers { service }
        | Trouble::Refuses { service }) = trouble
        else {
            return;
        };
        let Some(server) = self.servers.any_well(service) else { return };
        let conduct = match trouble {
            Trouble::Drain { .. } | Trouble::Goodbye { .. } | Trouble::Crash { .. } => {
                let lingers = Duration::from_secs_f64(LINGERS_S);
                server.origin.lingers.set(lingers);
                match trouble {
                    Trouble::Drain { .. } => server.origin.drain(),
                    Trouble::Goodbye { .. } => server.origin.say_goodbye(),
                    _ => server.origin.crash(),
                }
                if let Err(error) = self.servers.add(service).await {
                    eprintln!("no other server: {error}");
                }
                return;
            }
            Trouble::Slow { times, .. } => {
                server.origin.slow.set(times);
                sleep_until(over).await;
                server.origin.slow.set(1.0);
                return;
            }
            Trouble::Silent { .. } => Conduct::Silent,
            Trouble::LosesAnswers { .. } => Conduct::LosesAnswers,
            _ => Conduct::Refuses,
        };
        server.conduct.set(conduct);
        sleep_until(over).await;
        server.conduct.set(Conduct::Well);
    }
}
