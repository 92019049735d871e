//! The servers of a play, each behind a relay that can spoil what it says; those that leave or crash are replaced.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use glenfall::operator::commands::ControlAddresses;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::relay::{relay_server, Conduct, ConductSwitch};
use crate::ledger::Ledger;
use crate::origin::Origin;
use crate::plan::Plan;

/// Where servers listen behind their relays, each at an address of its own.
const HIDDEN_PORT: u16 = 8000;

/// A server and its network.
pub struct Server {
    pub origin: Rc<Origin>,
    pub conduct: ConductSwitch,
}

pub struct Servers {
    plan: Plan,
    net: u8,
    controls: ControlAddresses,
    ledger: Rc<Ledger>,
    all: RefCell<Vec<Rc<Server>>>,
    started: Cell<u8>,
}

impl Servers {
    /// Starts all servers of a plan.
    pub async fn start(
        plan: &Plan,
        net: u8,
        controls: ControlAddresses,
        ledger: &Rc<Ledger>,
    ) -> io::Result<Rc<Self>> {
        let servers = Rc::new(Servers {
            plan: plan.clone(),
            net,
            controls,
            ledger: Rc::clone(ledger),
            all: RefCell::default(),
            started: Cell::new(0),
        });
        for service in 0..plan.services.len() {
            for _ in 0..plan.services[service].servers {
                servers.add(service).await?;
            }
        }
        Ok(servers)
    }

    /// Starts one more server of a service.
    pub async fn add(&self, service: usize) -> io::Result<()> {
        let number = self.started.replace(self.started.get() + 1);
        let plan = &self.plan.services[service];
        let announced = TcpListener::bind((Ipv4Addr::new(127, 0, self.net, 100), 0)).await?;
        let port = announced.local_addr()?.port();
        let announced_at = SocketAddrV4::new(Ipv4Addr::new(127, 0, self.net, 100), port);
        let target = SocketAddrV4::new(Ipv4Addr::new(127, 2, self.net, number), HIDDEN_PORT);
        let seed = self.plan.seed ^ u64::from(number);
        let origin = Origin::new(number, plan, &self.plan.classes, &self.ledger, seed);
        let conduct = ConductSwitch::new();
        relay_server(announced, target, conduct.clone());
        let zone = format!("zone-{}", number % self.plan.system.zones + 1);
        spawn_local(Rc::clone(&origin).run(target, announced_at, zone, self.controls.clone()));
        self.all.borrow_mut().push(Rc::new(Server { origin, conduct }));
        Ok(())
    }

    /// A server of a service that is in its usual state.
    pub fn any_well(&self, service: usize) -> Option<Rc<Server>> {
        let name = &self.plan.services[service].name;
        let all = self.all.borrow();
        let is_well = |server: &&Rc<Server>| server.origin.is_well() && server.conduct.get() == Conduct::Well;
        all.iter().filter(|server| server.origin.plan.name == *name).find(is_well).cloned()
    }

    /// Requests that came to servers that had left, since the last look.
    pub fn take_late_arrivals(&self) -> Vec<String> {
        let all = self.all.borrow();
        let late = all.iter().filter(|server| !server.origin.late_arrivals.borrow().is_empty());
        late.map(|server| {
            let count = server.origin.late_arrivals.take().len();
            format!("{count} at {}", server.origin.id)
        })
        .collect()
    }
}
