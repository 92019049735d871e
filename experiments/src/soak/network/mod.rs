//! The network between the processes of a run. TCP relays between machines and in front of servers inject faults, which
//! needs no privileges.

mod partitions;
mod relay;
mod server_faults;
mod socket_owner;

pub use partitions::{MachineDirection, Partitions};
pub use relay::{relay_to_machine, relay_to_server};
pub use server_faults::{ServerNetwork, ServerNetworkFault};
pub use socket_owner::MachineProcess;
