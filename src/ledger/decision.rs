//! Parts of the decision on one intent.

use std::time::Duration;

use crate::codes::ResultCode;
use crate::endpoint::PlainReply;
use crate::ledger::intent::IntentResult;
use crate::ledger::record::{ClaimRecord, RecordState};

/// Wait that a caller is given when a page is full.
const FULL_PAGE_RETRY: Duration = Duration::from_secs(5);

/// What to do about an intent on the page as last seen.
pub(crate) enum IntentDecision {
    Answer(IntentResult),
    Insert(ClaimRecord),
    Update(RecordState),
    Read,
    ReadFloor,
}

/// What the decision on an intent may look at.
pub(crate) struct DecisionView<'a> {
    /// The key's record.
    pub(crate) record: Option<&'a ClaimRecord>,
    /// Whether the page was seen after the intent arrived.
    pub(crate) fresh: bool,
    /// Whether the page is known to be the first of its name.
    pub(crate) floor_passed: bool,
    /// Whether the floor is above the page.
    pub(crate) closed: bool,
    /// Whether the page takes another record.
    pub(crate) room: bool,
}

pub(crate) fn refuse(code: ResultCode, retry_after: Option<Duration>) -> IntentDecision {
    IntentDecision::Answer(IntentResult::Refused { code, retry_after })
}

pub(crate) fn insert_or_refuse(claim: ClaimRecord, view: &DecisionView<'_>) -> IntentDecision {
    if view.closed {
        return refuse(ResultCode::IdempotencyKeyExpired, None);
    }
    if view.room {
        return IntentDecision::Insert(claim);
    }
    if !view.fresh {
        return IntentDecision::Read;
    }
    refuse(ResultCode::LedgerFull, Some(FULL_PAGE_RETRY))
}

/// Grants a claim that stands, unless its page is a deleted one made anew.
pub(crate) fn confirm(view: &DecisionView<'_>) -> IntentDecision {
    if !view.floor_passed {
        return IntentDecision::ReadFloor;
    }
    if view.closed {
        return refuse(ResultCode::IdempotencyKeyExpired, None);
    }
    IntentDecision::Answer(IntentResult::Granted)
}

pub(crate) fn finished(state: &RecordState) -> IntentDecision {
    let RecordState::Done { status, content_type, body } = state else {
        return refuse(ResultCode::ClaimUnknown, None);
    };
    let Some(body) = body.as_ref().and_then(|body| body.to_bytes()) else {
        return refuse(ResultCode::AnswerNotKept, None);
    };
    let (status, content_type) = (*status, content_type.clone());
    IntentDecision::Answer(IntentResult::Finished(PlainReply { status, content_type, body }))
}
