//! Read-only accessors for the parts of a response.

/// Implements the accessors of a type with the private fields `status`, `headers` and `body`.
macro_rules! response_accessors {
    ($response:ty) => {
        impl $response {
            /// The status of the response.
            pub fn status(&self) -> hyper::StatusCode {
                self.status
            }

            /// All headers of the response.
            pub fn headers(&self) -> &hyper::HeaderMap {
                &self.headers
            }

            /// The complete body of the response.
            pub fn body(&self) -> &bytes::Bytes {
                &self.body
            }
        }
    };
}

pub(super) use response_accessors;
