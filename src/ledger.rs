//! Ledger of idempotency keys: at most one run of each non-idempotent call.
//!
//! Keys live in small pages on the platform. The time in a key and a hash of it name its page, so
//! that every host looks in the same place, whatever its clock says. A claim stands on the
//! platform before the call is sent, and only the claim's own holder ever sends.
//! docs/design/ledger.md gives the ways weighed and the proof.

mod decision;
mod expiry;
mod intent;
mod key;
mod options;
mod page;
mod record;
mod round;
mod service;

pub use expiry::{ExpiryReport, LedgerFloor};
pub use intent::{IntentId, IntentResult, PageAction, PageEvent, PageIntent, PageStep};
pub use key::IdempotencyKey;
pub use options::{LedgerGuard, LedgerOptions};
pub use page::LedgerPage;
pub(crate) use record::fingerprint;
pub use record::{
    ClaimHolder, ClaimRecord, ClaimSettlement, ClaimTicket, RecordState, RequestFingerprint,
    StoredBody,
};
pub use round::PageCommitter;
pub use service::{ClaimRequest, ClaimVerdict, HolderLiveness, LedgerError, LedgerService};
