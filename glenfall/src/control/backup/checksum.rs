//! The checksum of a backup. All formats use the same computation.

use std::net::Ipv4Addr;

/// The content that the checksum covers.
pub(super) struct ChecksumInput<'a> {
    pub(super) view: u64,
    pub(super) seq: u64,
    pub(super) rev: u64,
    /// The table of applied orders, in an encoding that differs between the formats.
    pub(super) table: &'a [u8],
    pub(super) voters: &'a [Ipv4Addr],
    pub(super) document: &'a str,
}

impl ChecksumInput<'_> {
    /// The CRC-32 of all fields in order of declaration, with numbers in little-endian bytes.
    pub(super) fn crc32(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for number in [self.view, self.seq, self.rev] {
            hasher.update(&number.to_le_bytes());
        }
        hasher.update(self.table);
        for voter in self.voters {
            hasher.update(&voter.octets());
        }
        hasher.update(self.document.as_bytes());
        hasher.finalize()
    }
}
