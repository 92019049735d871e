//! Finds the process that has opened a connection, from what the kernel publishes under `/proc`: on loopback all machines
//! have the same address as senders.

use std::net::SocketAddrV4;

/// How many fields of a line in `/proc/net/tcp` are between the addresses and the inode: state, queues, timer,
/// retransmits, owner and timeout.
const FIELDS_BEFORE_INODE: usize = 6;

/// A process of the system, and its machine.
pub struct MachineProcess {
    /// The process.
    pub pid: u32,
    /// The name of the machine.
    pub machine: String,
}

impl MachineProcess {
    fn has_open(&self, socket: &str) -> bool {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).into_iter().flatten().flatten();
        let mut links = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok());
        links.any(|link| link.as_os_str() == socket)
    }
}

/// Returns an address as `/proc/net/tcp` writes it.
fn hexadecimal(address: SocketAddrV4) -> String {
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Returns the inode of the socket that is connected from one address to another.
fn inode(table: &str, from: SocketAddrV4, to: SocketAddrV4) -> Option<&str> {
    let (from, to) = (hexadecimal(from), hexadecimal(to));
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_connection = fields.next() == Some(&from[..]) && fields.next() == Some(&to[..]);
        if is_connection {
            fields.nth(FIELDS_BEFORE_INODE)
        } else {
            None
        }
    })
}

/// Returns the machine of the process that has connected from one address to another, among these processes.
pub fn machine_of_caller(from: SocketAddrV4, to: SocketAddrV4, processes: &[MachineProcess]) -> Option<&str> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let socket = format!("socket:[{}]", inode(&table, from, to)?);
    processes.iter().find(|process| process.has_open(&socket)).map(|process| &process.machine[..])
}
