//! The encoding of a stored response as a row of the file.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::cache::object_key::ObjectKey;

/// A stored response as it was read from disk.
pub struct StoredRow {
    /// The cache key of the object.
    pub key: ObjectKey,
    /// The server's headers, as they are stored.
    pub headers: HeaderMap,
    /// The labels by which it can be purged.
    pub labels: Vec<Box<str>>,
    /// The complete object.
    pub body: Bytes,
    /// Time since its request was sent.
    pub age: Duration,
}

/// The parts of a row other than its body, encoded by postcard in the order of the fields.
#[derive(Serialize, Deserialize)]
pub struct RowHead {
    service: String,
    host: String,
    path: String,
    headers: Vec<HeaderField>,
    labels: Vec<String>,
}

/// Name and value of a header. The value need not be valid text.
#[derive(Serialize, Deserialize)]
struct HeaderField {
    name: String,
    value: Vec<u8>,
}

impl RowHead {
    /// Encodes the parts of a row other than its body, for [`decode`](Self::decode).
    pub fn encode(key: &ObjectKey, headers: &HeaderMap, labels: &[Box<str>]) -> postcard::Result<Vec<u8>> {
        let field = |(name, value): (&HeaderName, &HeaderValue)| HeaderField {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        };
        postcard::to_stdvec(&RowHead {
            service: key.service.to_string(),
            host: key.host.to_string(),
            path: key.path.to_string(),
            headers: headers.iter().map(field).collect(),
            labels: labels.iter().map(ToString::to_string).collect(),
        })
    }

    /// Decodes the output of [`encode`](Self::encode).
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }

    /// Combines it with its body. Invalid headers are left out.
    pub fn into_row(self, body: Vec<u8>, age: Duration) -> StoredRow {
        let mut headers = HeaderMap::new();
        for HeaderField { name, value } in &self.headers {
            if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        StoredRow {
            key: ObjectKey { service: self.service.into(), host: self.host.into(), path: self.path.into() },
            headers,
            labels: self.labels.into_iter().map(Box::from).collect(),
            body: body.into(),
            age,
        }
    }
}

/// The primary key of an object's row.
pub fn row_id(key: &ObjectKey) -> String {
    // None of the three parts contains a line break, as they come from the head of a request.
    format!("{}\n{}\n{}", key.service, key.host, key.path)
}

/// The CRC-32 of a row's head and body.
pub fn checksum(head: &[u8], body: &[u8]) -> i64 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(head);
    hash.update(body);
    i64::from(hash.finalize())
}
