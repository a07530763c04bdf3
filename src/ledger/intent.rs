//! Messages of the page state machine: intents and their results, actions and their outcomes.

use std::time::Duration;
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::endpoint::PlainReply;
use crate::ids::ObjectVersion;
use crate::ledger::record::{ClaimSettlement, RequestFingerprint};
use crate::platform::{StoreError, StoredObject};

/// Number of an intent, unique for one page on one host.
pub type IntentId = u64;

/// Operation that a caller requests on a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageIntent {
    /// Claims a key.
    Claim {
        /// Name of the key's record in the page.
        name: Box<str>,
        /// Sequence number of the claim, unique in the holder's incarnation.
        sequence: u64,
        /// Digest of the request.
        fingerprint: RequestFingerprint,
        /// Time limit of the call.
        deadline: Duration,
    },
    /// Records the outcome of a claimed call.
    Settle {
        /// Name of the key's record in the page.
        name: Box<str>,
        /// Sequence number of the claim.
        sequence: u64,
        /// Outcome of the call.
        settlement: ClaimSettlement,
    },
}

/// Result of an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntentResult {
    /// The claim is recorded on the platform, in a page that had not expired.
    Granted,
    /// The call under this key already ran; this is its response.
    Finished(PlainReply),
    /// The claim is refused, and its call must not be sent.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
    /// The settlement is recorded, or the record has another state that it may not replace.
    Settled,
    /// The platform did not confirm the intent in time.
    TimedOut {
        /// Whether the intent may have been recorded nevertheless.
        is_ambiguous: bool,
    },
}

/// Next action that the ledger service takes for a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageAction {
    /// Wait for the next intent.
    Idle,
    /// Wait for this time or the next intent, whichever comes first.
    Wait(Instant),
    /// Read the page.
    Read,
    /// Read the floor.
    ReadFloor,
    /// Write the page.
    Write {
        /// Version that the stored page must have.
        expected: ObjectVersion,
        /// Encoded page.
        value: Box<[u8]>,
    },
}

/// Outcome of the last platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageEvent {
    /// Result of reading the page.
    Read(Result<Option<StoredObject>, StoreError>),
    /// Result of reading the floor: the lowest bucket that may be used.
    Floor(Result<u64, StoreError>),
    /// Result of writing the page: its new version.
    Write(Result<ObjectVersion, StoreError>),
}

/// Results of intents, and the next action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageStep {
    /// Intents that ended in this step, with their results.
    pub results: Vec<(IntentId, IntentResult)>,
    /// Next action.
    pub action: PageAction,
}

impl PageIntent {
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Claim { name, .. } | Self::Settle { name, .. } => name,
        }
    }

    pub(crate) fn sequence(&self) -> u64 {
        match self {
            Self::Claim { sequence, .. } | Self::Settle { sequence, .. } => *sequence,
        }
    }
}
