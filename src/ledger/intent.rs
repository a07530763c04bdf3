//! What callers want of a page, what becomes of it, and what the shell does for it.

use std::time::Duration;
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::endpoint::PlainReply;
use crate::ids::ObjectVersion;
use crate::ledger::record::{ClaimSettlement, RequestFingerprint};
use crate::platform::{StoreError, StoredObject};

/// Number of an intent on its page.
pub type IntentId = u64;

/// What a caller wants to happen on a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageIntent {
    /// Claim a key.
    Claim {
        /// Name of the record.
        name: Box<str>,
        /// Number of the claim, unique in the holder's run.
        sequence: u64,
        /// Digest of the request.
        fingerprint: RequestFingerprint,
        /// Time that the call may take.
        deadline: Duration,
    },
    /// Record how a claimed call ended.
    Settle {
        /// Name of the record.
        name: Box<str>,
        /// Number of the claim.
        sequence: u64,
        /// How the call ended.
        settlement: ClaimSettlement,
    },
}

/// What became of an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntentResult {
    /// The claim stands on the platform, and the page was not deleted before.
    Granted,
    /// The key's call ran; this is its answer.
    Finished(PlainReply),
    /// The claim does not stand, and its call must not be sent.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The settlement stands, or another one that it may not change.
    Settled,
    /// The platform did not confirm the intent in time.
    GaveUp {
        /// Whether the claim may stand nevertheless.
        doubtful: bool,
    },
}

/// What the shell should do next for a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageAction {
    /// Nothing until the next intent.
    Idle,
    /// Nothing until then, or until the next intent.
    Wait(Instant),
    /// Read the page.
    Read,
    /// Read the floor.
    ReadFloor,
    /// Write the page.
    Write {
        /// Version that the page must have.
        expected: ObjectVersion,
        /// The page.
        value: Box<[u8]>,
    },
}

/// How the last action ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageEvent {
    /// The page was read.
    Read(Result<Option<StoredObject>, StoreError>),
    /// The floor was read: the lowest bucket that may be used.
    Floor(Result<u64, StoreError>),
    /// The page was written.
    Write(Result<ObjectVersion, StoreError>),
}

/// Answers and the next action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageStep {
    /// Intents that are answered now.
    pub answers: Vec<(IntentId, IntentResult)>,
    /// What to do next.
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
