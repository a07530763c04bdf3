//! Record that the ledger stores for one idempotency key.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::time::Duration;

use crate::endpoint::{PlainCall, PlainReply};
use crate::hex::encode_hex;
use crate::ids::{CustomerName, HostName, Incarnation};
use crate::ledger::key::IdempotencyKey;

/// Number of digest bytes in a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of a request in hexadecimal; a key reused with another fingerprint is refused.
pub type RequestFingerprint = Box<str>;

/// Process that claims keys: one incarnation of a process on a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Host that runs the process.
    pub host: HostName,
    /// Incarnation of the process on the host.
    pub incarnation: Incarnation,
}

/// Unique ID of a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ClaimId {
    #[serde(flatten)]
    pub(crate) holder: ClaimHolder,
    pub(crate) sequence: u64,
}

/// Proof of a granted claim; its owner may send the call once.
#[derive(Debug, PartialEq, Eq)]
pub struct ClaimTicket {
    pub(crate) key: IdempotencyKey,
    pub(crate) customer: CustomerName,
    pub(crate) claim: ClaimId,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimSettlement {
    /// The call ran and returned this response.
    Done(PlainReply),
    /// The call did not run and never will under this claim; the key may be claimed again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// State of the call under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum RecordState {
    /// The key is claimed, and its holder may be running the call.
    Claimed,
    /// The call ran.
    Done {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response.
        content_type: Box<str>,
        /// Body of the response; `None` if it was too large or dropped to bound the page's size.
        body: Option<StoredBody>,
    },
    /// The call may have run; the key is never sent again.
    Unknown,
    /// The call did not run; the key may be claimed again.
    NotRun,
}

/// Body of a stored response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredBody {
    /// Body in UTF-8.
    Text(Box<str>),
    /// Any other body, in hexadecimal.
    Hex(Box<str>),
}

/// Record of one key in a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    pub(crate) fingerprint: RequestFingerprint,
    #[serde(flatten)]
    pub(crate) claim: ClaimId,
    pub(crate) deadline_ms: u64,
    #[serde(flatten)]
    pub(crate) state: RecordState,
}

impl ClaimRecord {
    /// State of the call under the record's key.
    pub fn state(&self) -> &RecordState {
        &self.state
    }

    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl StoredBody {
    pub(crate) fn from_bytes(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.into()),
            Err(_) => Self::Hex(encode_hex(bytes)),
        }
    }

    pub(crate) fn to_bytes(&self) -> Option<Box<[u8]>> {
        match self {
            Self::Text(text) => Some(text.as_bytes().into()),
            Self::Hex(text) => decode_hex(text),
        }
    }
}

impl RecordState {
    pub(crate) fn from_settlement(settlement: &ClaimSettlement, max_response_bytes: usize) -> Self {
        match settlement {
            ClaimSettlement::Done(reply) => Self::Done {
                status: reply.status,
                content_type: reply.content_type.clone(),
                body: (reply.body.len() <= max_response_bytes)
                    .then(|| StoredBody::from_bytes(&reply.body)),
            },
            ClaimSettlement::NotRun => Self::NotRun,
            ClaimSettlement::Unknown => Self::Unknown,
        }
    }
}

/// Computes the fingerprint of a request to a service.
pub(crate) fn fingerprint(service: &str, call: &PlainCall) -> RequestFingerprint {
    let mut hasher = Sha256::new();
    for part in [service.as_bytes(), call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    encode_hex(&hasher.finalize()[..FINGERPRINT_BYTES])
}

fn decode_hex(text: &str) -> Option<Box<[u8]>> {
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}
