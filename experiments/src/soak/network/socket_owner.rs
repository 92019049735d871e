//! Finds the process that opened a connection, by means of `/proc`. The address of the caller does not identify its
//! machine, because on loopback all machines connect from the same IP address.

use std::net::SocketAddrV4;

/// Number of fields between the addresses and the inode in a line of `/proc/net/tcp`: state, queues, timer,
/// retransmits, owner and timeout.
const FIELDS_BEFORE_INODE: usize = 6;

/// A process of the system under test.
pub struct MachineProcess {
    /// The process id.
    pub pid: u32,
    /// Name of the machine that the process belongs to.
    pub machine: String,
}

impl MachineProcess {
    fn has_open(&self, socket: &str) -> bool {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).into_iter().flatten().flatten();
        let mut links = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok());
        links.any(|link| link.as_os_str() == socket)
    }
}

/// Formats an address as in `/proc/net/tcp`.
fn proc_net_address(address: SocketAddrV4) -> String {
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Finds the inode of the socket that is connected from one address to another in the text of `/proc/net/tcp`.
fn socket_inode(table: &str, from: SocketAddrV4, to: SocketAddrV4) -> Option<&str> {
    let (from, to) = (proc_net_address(from), proc_net_address(to));
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

/// Returns the machine of the process that has connected from one address to another. `None` if it is not one of
/// `processes`.
pub fn machine_of_caller(from: SocketAddrV4, to: SocketAddrV4, processes: &[MachineProcess]) -> Option<&str> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let socket = format!("socket:[{}]", socket_inode(&table, from, to)?);
    processes.iter().find(|process| process.has_open(&socket)).map(|process| &process.machine[..])
}
