//! Idempotency ledger: runs each non-idempotent call at most once.
//!
//! Keys are stored in small pages on the platform. A key's timestamp and hash determine its page,
//! so that every host finds the same page, whatever its clock says. A claim is recorded on the
//! platform before the call is sent, and only the process that holds the claim sends the call.
//! docs/design/ledger.md compares the alternatives and proves the guarantee.

mod committer;
mod decision;
mod expiry;
mod intent;
mod key;
mod options;
mod page;
mod record;
mod service;

pub use committer::PageCommitter;
pub use expiry::{ExpiryReport, LedgerFloor};
pub use intent::{IntentId, IntentResult, PageAction, PageEvent, PageIntent, PageStep};
pub use key::IdempotencyKey;
pub use options::{LedgerOptions, LedgerRule};
pub use page::LedgerPage;
pub(crate) use record::fingerprint;
pub use record::{
    ClaimHolder, ClaimRecord, ClaimSettlement, ClaimTicket, RecordState, RequestFingerprint,
    StoredBody,
};
pub use service::{ClaimRequest, ClaimVerdict, HolderLiveness, LedgerError, LedgerService};
