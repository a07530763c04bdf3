//! Decides what to do about one intent on a ledger page.

use std::time::Duration;

use crate::codes::ResultCode;
use crate::endpoint::PlainReply;
use crate::ledger::intent::IntentResult;
use crate::ledger::record::{ClaimRecord, RecordState};

/// Retry delay returned when a page is full.
const FULL_PAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Next step for an intent, given the page as last read.
pub(crate) enum IntentDecision {
    Resolve(IntentResult),
    Insert(ClaimRecord),
    Update(RecordState),
    Read,
    ReadFloor,
}

/// Inputs of the decision on one intent.
pub(crate) struct DecisionView<'a> {
    /// Record of the intent's key, if the page has one.
    pub(crate) record: Option<&'a ClaimRecord>,
    /// Whether the page was read after the intent was submitted.
    pub(crate) is_fresh: bool,
    /// Whether the floor was read after the page was created; an expired page that was created
    /// again is only detected by that read.
    pub(crate) is_floor_checked: bool,
    /// Whether the page's bucket is below the floor.
    pub(crate) is_expired: bool,
    /// Whether the page has room for another record.
    pub(crate) has_room: bool,
}

pub(crate) fn refuse(code: ResultCode, retry_after: Option<Duration>) -> IntentDecision {
    IntentDecision::Resolve(IntentResult::Refused { code, retry_after })
}

pub(crate) fn insert_or_refuse(proposed: ClaimRecord, view: &DecisionView<'_>) -> IntentDecision {
    if view.is_expired {
        return refuse(ResultCode::IdempotencyKeyExpired, None);
    }
    if view.has_room {
        return IntentDecision::Insert(proposed);
    }
    if !view.is_fresh {
        return IntentDecision::Read;
    }
    refuse(ResultCode::LedgerFull, Some(FULL_PAGE_RETRY_AFTER))
}

/// Grants a recorded claim, unless its page had expired and was created again.
pub(crate) fn grant_or_check_floor(view: &DecisionView<'_>) -> IntentDecision {
    if !view.is_floor_checked {
        return IntentDecision::ReadFloor;
    }
    if view.is_expired {
        return refuse(ResultCode::IdempotencyKeyExpired, None);
    }
    IntentDecision::Resolve(IntentResult::Granted)
}

pub(crate) fn replay_or_refuse(state: &RecordState) -> IntentDecision {
    let RecordState::Done { status, content_type, body } = state else {
        return refuse(ResultCode::ClaimUnknown, None);
    };
    let Some(body) = body.as_ref().and_then(|body| body.to_bytes()) else {
        return refuse(ResultCode::AnswerNotKept, None);
    };
    let (status, content_type) = (*status, content_type.clone());
    IntentDecision::Resolve(IntentResult::Finished(PlainReply { status, content_type, body }))
}
