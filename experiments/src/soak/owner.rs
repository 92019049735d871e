//! Which process of the system has opened a connection, by what the kernel tells under `/proc`: on loopback all machines
//! have the same address as senders.

use std::net::SocketAddrV4;

/// An address as `/proc/net/tcp` writes it.
fn in_hexadecimal(addr: SocketAddrV4) -> String {
    format!("{:08X}:{:04X}", u32::from_le_bytes(addr.ip().octets()), addr.port())
}

/// The inode of the socket that is connected from one address to another.
fn inode(table: &str, from: SocketAddrV4, to: SocketAddrV4) -> Option<&str> {
    let (from, to) = (in_hexadecimal(from), in_hexadecimal(to));
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_it = fields.next() == Some(&from[..]) && fields.next() == Some(&to[..]);
        // State, queues, timer, retransmits, owner and timeout stand before it.
        if is_it {
            fields.nth(6)
        } else {
            None
        }
    })
}

/// The machine of the process that has connected from one address to another, among these processes.
pub fn owner_of(from: SocketAddrV4, to: SocketAddrV4, pids: &[(u32, String)]) -> Option<&str> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let socket = format!("socket:[{}]", inode(&table, from, to)?);
    let holds = |pid: u32| {
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
        let links = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok());
        links.into_iter().any(|link| link.as_os_str() == &socket[..])
    };
    pids.iter().find(|(pid, _)| holds(*pid)).map(|(_, node)| &node[..])
}
