//! The emulated origin servers of a run, each behind a relay that can inject network faults.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use glenfall::operator::commands::ControlAddresses;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::network::{relay_to_server, ServerNetwork, ServerNetworkFault};
use crate::execution_log::ExecutionLog;
use crate::origin::Origin;
use crate::plan::Plan;

/// Port of all servers; each listens on its own IP address behind its relay.
const LISTEN_PORT: u16 = 8000;
/// Last octet of the IP address of all relays in front of servers.
const RELAY_HOST: u8 = 100;

/// An origin server and the network in front of it.
pub struct Server {
    /// The emulated server.
    pub origin: Rc<Origin>,
    /// The relayed network, into which faults can be injected.
    pub network: ServerNetwork,
}

/// All servers of a run.
pub struct Servers {
    plan: Plan,
    /// Third octet of the IP addresses of servers and relays.
    net: u8,
    controls: ControlAddresses,
    execution_log: Rc<ExecutionLog>,
    all: RefCell<Vec<Rc<Server>>>,
    started: Cell<u8>,
}

impl Servers {
    /// Starts the servers of all services in a plan.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(
        plan: &Plan,
        net: u8,
        controls: ControlAddresses,
        execution_log: &Rc<ExecutionLog>,
    ) -> io::Result<Rc<Self>> {
        let servers = Rc::new(Servers {
            plan: plan.clone(),
            net,
            controls,
            execution_log: Rc::clone(execution_log),
            all: RefCell::default(),
            started: Cell::new(0),
        });
        for (service, service_plan) in plan.services.iter().enumerate() {
            for _ in 0..service_plan.servers {
                servers.add(service).await?;
            }
        }
        Ok(servers)
    }

    /// Starts one more server for a service, an index into the services of the plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of its relay can't be bound.
    pub async fn add(&self, service: usize) -> io::Result<()> {
        let number = self.started.replace(self.started.get() + 1);
        let plan = &self.plan.services[service];
        let relay_ip = Ipv4Addr::new(127, 0, self.net, RELAY_HOST);
        let listener = TcpListener::bind((relay_ip, 0)).await?;
        let announced = SocketAddrV4::new(relay_ip, listener.local_addr()?.port());
        let target = SocketAddrV4::new(Ipv4Addr::new(127, 2, self.net, number), LISTEN_PORT);
        let seed = self.plan.seed ^ u64::from(number);
        let origin = Origin::new(number, plan, &self.plan.classes, &self.execution_log, seed);
        let network = ServerNetwork::new();
        relay_to_server(listener, target, network.clone());
        let zone = format!("zone-{}", number % self.plan.system.zones + 1);
        spawn_local(Rc::clone(&origin).run(target, announced, zone, self.controls.clone()));
        self.all.borrow_mut().push(Rc::new(Server { origin, network }));
        Ok(())
    }

    /// Returns the first server of a service without an active fault; `None` if there is none.
    pub fn any_healthy(&self, service: usize) -> Option<Rc<Server>> {
        let name = &self.plan.services[service].name;
        let is_healthy = |server: &&Rc<Server>| {
            server.origin.is_healthy() && server.network.fault() == ServerNetworkFault::None
        };
        let all = self.all.borrow();
        all.iter().filter(|server| server.origin.plan.name == *name).find(is_healthy).cloned()
    }

    /// Describes the requests that arrived at servers after their drain time since the last call, one text per server.
    pub fn take_arrivals_after_drain(&self) -> Vec<String> {
        let all = self.all.borrow();
        let describe = |server: &Rc<Server>| match server.origin.take_arrivals_after_drain() {
            0 => None,
            count => Some(format!("{count} requests at {} after its drain time", server.origin.id)),
        };
        all.iter().filter_map(describe).collect()
    }
}
