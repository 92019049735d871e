//! The threads of hollow nodes.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

use super::{ControlAccess, HollowNode};
use crate::hollow::observations::Observations;

/// The number of threads that run hollow nodes. With the main thread of this process, they use a quarter of the cores of
/// the machine that the largest runs are meant for.
const NODE_THREADS: u32 = 3;

/// The numbers of the nodes of one thread.
#[derive(Clone, Copy)]
struct NodeNumbers {
    first: u32,
    /// The number of nodes in all threads.
    node_count: u32,
}

impl NodeNumbers {
    fn iter(self) -> impl Iterator<Item = u32> {
        (self.first..self.node_count).step_by(NODE_THREADS as usize)
    }

    /// Returns the index of a node among the nodes of this thread.
    fn index_of(self, number: u32) -> usize {
        (number.saturating_sub(self.first) / NODE_THREADS) as usize
    }
}

/// The threads that run hollow nodes. Dropping this stops and joins them.
pub struct NodeThreads {
    access: ControlAccess,
    observations: Arc<Observations>,
    nodes: u32,
    running: RefCell<RunningThreads>,
}

#[derive(Default)]
struct RunningThreads {
    restarts: Vec<mpsc::UnboundedSender<u32>>,
    threads: Vec<JoinHandle<std::io::Result<()>>>,
}

impl NodeThreads {
    /// Prepares to run `nodes` hollow nodes, which [`NodeThreads::start`] starts.
    pub fn new(access: &ControlAccess, observations: &Arc<Observations>, nodes: u32) -> NodeThreads {
        NodeThreads {
            access: access.clone(),
            observations: Arc::clone(observations),
            nodes,
            running: RefCell::default(),
        }
    }

    /// Starts the threads and all their nodes.
    pub fn start(&self) {
        let mut running = self.running.borrow_mut();
        for first in 0..NODE_THREADS {
            let (restart, restarts) = mpsc::unbounded_channel();
            let (access, observations) = (self.access.clone(), Arc::clone(&self.observations));
            let numbers = NodeNumbers { first, node_count: self.nodes };
            let run = move || run_nodes(&access, &observations, numbers, restarts);
            running.threads.push(std::thread::spawn(run));
            running.restarts.push(restart);
        }
    }

    /// Requests a restart of the node with this number.
    pub fn restart(&self, number: u32) {
        let thread = (number % NODE_THREADS) as usize;
        // If the thread has ended, its nodes are missing from the number of connected nodes.
        let _ = self.running.borrow().restarts[thread].send(number);
    }
}

impl Drop for NodeThreads {
    fn drop(&mut self) {
        let running = self.running.get_mut();
        running.restarts.clear();
        for thread in running.threads.drain(..) {
            if !matches!(thread.join(), Ok(Ok(()))) {
                eprintln!("a thread of hollow nodes panicked, or could not create its runtime");
            }
        }
    }
}

/// Runs the nodes of one thread until the channel `restarts` is closed, which carries the numbers of nodes to restart.
fn run_nodes(
    access: &ControlAccess,
    observations: &Arc<Observations>,
    numbers: NodeNumbers,
    mut restarts: mpsc::UnboundedReceiver<u32>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let node = |number| Rc::new(HollowNode::new(number, access.clone(), Arc::clone(observations)));
        let nodes: Vec<Rc<HollowNode>> = numbers.iter().map(node).collect();
        for node in &nodes {
            spawn_local(Rc::clone(node).run());
        }
        while let Some(number) = restarts.recv().await {
            if let Some(node) = nodes.get(numbers.index_of(number)) {
                node.restart.notify_one();
            }
        }
    });
    Ok(())
}
