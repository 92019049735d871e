//! Range requests for one range of bytes (RFC 9110, section 14).

/// Which part of an object a `Range` header requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteRange {
    /// The complete object, as the header names no single range with an explicit first byte.
    Complete,
    /// The bytes from `first` to `last`, both included.
    Part {
        /// Offset of the first byte.
        first: usize,
        /// Offset of the last byte, which exists.
        last: usize,
    },
    /// The range begins past the end of the object.
    NotSatisfiable,
}

impl ByteRange {
    /// Parses the value of a `Range` header for an object of this length. Several ranges, and ranges that are counted
    /// from the end, are answered with the complete object, which a server is allowed to do.
    pub fn parse(value: &str, object_length: usize) -> Self {
        let Some(bounds) = Bounds::parse(value) else { return ByteRange::Complete };
        if bounds.last < bounds.first {
            return ByteRange::Complete;
        }
        if bounds.first >= object_length {
            return ByteRange::NotSatisfiable;
        }
        ByteRange::Part { first: bounds.first, last: bounds.last.min(object_length - 1) }
    }
}

struct Bounds {
    first: usize,
    last: usize,
}

impl Bounds {
    fn parse(value: &str) -> Option<Self> {
        let (first, last) = value.trim().strip_prefix("bytes=")?.split_once('-')?;
        let first = first.trim().parse().ok()?;
        let last = match last.trim() {
            "" => usize::MAX,
            last => last.parse().ok()?,
        };
        Some(Bounds { first, last })
    }
}
