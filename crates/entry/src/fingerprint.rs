//! Identity of a request that callers send more than once.

use std::fmt;

use hyper::Uri;
use sha2::{Digest, Sha256};

/// Hash of what stays the same when a caller sends a request again, at whatever host, over whatever
/// connection and with whatever attempt identifier. The customer's key is not part of it.
///
/// ```
/// use hyper::Uri;
/// use jacinthrock_entry::RequestFingerprint;
///
/// let uri = Uri::from_static("/desk/lookup?day=1");
/// let first = RequestFingerprint::new("studio.example", &uri, Some("kiln"), b"{}");
/// let again = RequestFingerprint::new("studio.example", &uri, Some("kiln"), b"{}");
/// let other = RequestFingerprint::new("studio.example", &uri, Some("bench"), b"{}");
/// assert_eq!(first, again);
/// assert_ne!(first, other);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Fingerprint of a request to a host name and path by a customer, if the request has a key.
    pub fn new(host: &str, uri: &Uri, customer: Option<&str>, body: &[u8]) -> Self {
        let path = uri.path_and_query().map_or("", |path| path.as_str());
        let mut hasher = Sha256::new();
        for field in [host.as_bytes(), path.as_bytes(), customer.unwrap_or_default().as_bytes()] {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.update([u8::from(customer.is_some())]);
        hasher.update(body);
        let hash = hasher.finalize();
        Self(hash.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes)))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
