//! Relays streams of events to callers, and continues them over another path after a fault.
//!
//! Silence of an endpoint does not end an answer. Another source is opened beside the silent one, if
//! the route and the retry budget allow it, and the first to go on is kept.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use jacinthrock::{CallRefusal, MetricName, ResultCode};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::call::{AllowedCall, OpenRequest, count_outcome, poison_refusal, unknown_outcome};
use crate::context::{RetryReason, StreamContext};
use crate::events::first_event_id;
use crate::failure::SourceFailure;
use crate::forward;
use crate::levels::{admit, count_stream};
use crate::response::{AbortedResponse, ResponseBody, endpoint_response, not_run_refusal};
use crate::source::{SourceHead, SourceStep, StreamSource};
use crate::stall::MIN_SILENCE;
use crate::state::EntryState;
use crate::times::EndedStream;
use crate::waiting::CALLER_TIMEOUT;

/// Silence after which a stream is not sent to another endpoint beside the silent one: the other
/// would have to read the whole prompt before the caller gives up.
const MAX_HEDGE_SILENCE: Duration = Duration::from_secs(1);
/// Maximum sources that a stream waits for at the same time.
const MAX_SOURCES: usize = 2;

/// A stream being relayed to its caller, from one source after another.
struct StreamRelay {
    context: Rc<StreamContext>,
    sources: Vec<StreamSource>,
    /// Head of the reply with which the first events came.
    head: Option<SourceHead>,
    /// Type of the content that the caller receives.
    content_type: Option<HeaderValue>,
    /// Largest difference between the identifiers of two events that followed each other.
    widest_step: Option<u64>,
    /// Whether a source failed that may have run the request.
    may_have_run: bool,
    /// Reason of the latest failure.
    fault: Box<str>,
    is_started: bool,
    is_silence_logged: bool,
    is_finished: bool,
    /// Whether the loss of connectivity to the service was taken into account.
    has_seen_loss: bool,
    /// Whether the stream has waited to learn whether connectivity is lost, before it broke off.
    has_asked_elsewhere: bool,
    lateness: LatenessRecord,
    deadline: Pin<Box<Sleep>>,
    _request: OpenRequest,
}

/// Serves a stream: opens it on a path and relays its events.
pub(crate) async fn serve(
    state: &Rc<EntryState>,
    call: Rc<AllowedCall>,
    request: OpenRequest,
) -> Result<Response<ResponseBody>, CallRefusal> {
    let mut relay = StreamRelay::new(StreamContext::new(state, call), request);
    let call = relay.context.call.clone();
    // The host that serves the stream admits it.
    if relay.context.next_host().is_none() {
        admit(&relay.context)?;
    }
    let takes_retry = call.forwarded().is_some_and(|forwarded| forwarded.takes_retry);
    relay.add_source(call.head.resume_after, takes_retry.then_some(RetryReason::Fault));
    loop {
        match relay.next_events().await {
            Ok(first) => {
                let now = Instant::now();
                relay.context.change_returns(|schedule| schedule.record_served(now));
                return Ok(relay.into_response(first));
            }
            Err(SourceFailure::Response(response)) => {
                count_outcome(state, &call.service, relay.outcome("endpoint_failed"));
                return Ok(*response);
            }
            Err(SourceFailure::NotRun(_) | SourceFailure::Unknown(_)) => {}
            Err(SourceFailure::Poison(blamed)) if !relay.may_have_run => {
                count_outcome(state, &call.service, "not_run");
                return Err(poison_refusal(&blamed));
            }
            Err(
                SourceFailure::NoPath(_) | SourceFailure::Poison(_) | SourceFailure::DeadlinePassed,
            ) => break,
        }
        if relay.may_have_run && !call.route.retry_policy.is_idempotent() {
            break;
        }
        if !relay.context.may_resend(RetryReason::Fault) {
            break;
        }
        relay.add_source(call.head.resume_after, Some(RetryReason::Fault));
    }
    let fault = std::mem::take(&mut relay.fault);
    if relay.may_have_run || call.remaining().is_zero() {
        return Err(unknown_outcome(state, &call, fault));
    }
    count_outcome(state, &call.service, "not_run");
    let now = Instant::now();
    count_stream(&relay.context, "refused");
    relay.context.record_refusal(now);
    let retry_after = relay.context.return_delay(now);
    let opening = relay.context.next_opening().map(|at| at.saturating_duration_since(now));
    let retry_after = retry_after.max(opening.unwrap_or_default());
    Err(not_run_refusal(ResultCode::NoChain, fault, retry_after))
}

/// Times of a stream that its caller compares with the objectives of the route.
#[derive(Default)]
struct LatenessRecord {
    /// Time from the request's arrival to the first event.
    first_event: Duration,
    longest_pause: Duration,
}

impl LatenessRecord {
    fn record_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(pause);
    }
}

/// Polls sources for the next step of any of them.
fn poll_sources(
    sources: &mut [StreamSource],
    context: &mut Context<'_>,
) -> Poll<(usize, SourceStep)> {
    for (index, source) in sources.iter_mut().enumerate() {
        if let Poll::Ready(step) = source.poll_step(context) {
            return Poll::Ready((index, step));
        }
    }
    Poll::Pending
}

impl StreamRelay {
    fn new(context: StreamContext, request: OpenRequest) -> Self {
        Self {
            deadline: Box::pin(sleep_until(context.call.deadline)),
            context: Rc::new(context),
            sources: Vec::new(),
            head: None,
            content_type: None,
            widest_step: None,
            may_have_run: false,
            fault: "".into(),
            is_started: false,
            is_silence_logged: false,
            is_finished: false,
            has_seen_loss: false,
            has_asked_elsewhere: false,
            lateness: LatenessRecord::default(),
            _request: request,
        }
    }

    fn add_source(&mut self, resume_after: Option<u64>, retry: Option<RetryReason>) {
        self.sources.push(StreamSource::new(&self.context, resume_after, retry));
    }

    /// Outcome of the request in metrics: that of the other host if it has served the stream.
    fn outcome(&self, own: &'static str) -> &'static str {
        if self.context.is_forwarded.get() { "forwarded" } else { own }
    }

    /// Event after which another source would go on; `None` if the stream cannot be resumed.
    fn resume_position(&self) -> Option<Option<u64>> {
        let call = &self.context.call;
        if !call.route.retry_policy.is_idempotent()
            || self.context.last_event_at.get().elapsed() >= CALLER_TIMEOUT
        {
            return None;
        }
        if self.is_started {
            return self.context.last_event_id.get().map(Some);
        }
        Some(call.head.resume_after)
    }

    /// Waits for the next complete events of any source; `None` at the end of the stream. Fails when
    /// no source is left.
    async fn next_events(&mut self) -> Result<Option<Bytes>, SourceFailure> {
        let context = self.context.clone();
        let mut loss = pin!(forward::lost(&context.state, &context.call.service));
        loop {
            let (index, step) = tokio::select! {
                biased;
                step = poll_fn(|context| poll_sources(&mut self.sources, context)) => step,
                () = &mut self.deadline => {
                    self.sources.clear();
                    self.context.log_fault(&[], "the request's time is over");
                    return Err(SourceFailure::DeadlinePassed);
                }
                () = &mut loss, if !self.has_seen_loss => {
                    self.has_seen_loss = true;
                    self.move_silent();
                    continue;
                }
            };
            match step {
                SourceStep::Opened(head) if self.is_of_stream(&head) => {
                    self.sources[index].head = Some(head);
                }
                SourceStep::Opened(_) => self.reject_source(index, "reply is no stream")?,
                SourceStep::Events(bytes, last) => {
                    let first = first_event_id(&bytes);
                    if !self.sources[index].has_events && !self.may_go_on_with(first) {
                        self.reject_source(index, "events do not follow those before")?;
                        continue;
                    }
                    self.keep_source(index);
                    self.record_events(first, last);
                    return Ok(Some(bytes));
                }
                SourceStep::Ended => {
                    self.keep_source(index);
                    self.sources.clear();
                    return Ok(None);
                }
                SourceStep::Silent => self.hedge(),
                SourceStep::Failed(failure) => self.drop_source(index, failure)?,
            }
        }
    }

    /// Drops a source that has failed; returns its failure if no other source is left.
    fn drop_source(&mut self, index: usize, failure: SourceFailure) -> Result<(), SourceFailure> {
        drop(self.sources.remove(index));
        self.record_failure(&failure);
        if self.sources.is_empty() { Err(failure) } else { Ok(()) }
    }

    /// Drops a source whose reply is not the rest of the stream.
    fn reject_source(&mut self, index: usize, fault: &str) -> Result<(), SourceFailure> {
        self.context.log_fault(&[], fault);
        self.drop_source(index, SourceFailure::Unknown(fault.into()))
    }

    /// Whether a reply may bring the rest of the stream, if that has begun.
    fn is_of_stream(&self, head: &SourceHead) -> bool {
        !self.is_started || head.headers.get(CONTENT_TYPE) == self.content_type.as_ref()
    }

    /// Whether the stream may go on with an event, the first of a source: it must come after the last
    /// one, and by no more than events have followed each other.
    fn may_go_on_with(&self, first: Option<u64>) -> bool {
        let Some(position) = self.position() else { return true };
        let step = first.and_then(|first| first.checked_sub(position));
        step.is_some_and(|step| step > 0 && self.widest_step.is_none_or(|widest| step <= widest))
    }

    /// Event after which the stream goes on; none at its beginning, or if it cannot be resumed.
    fn position(&self) -> Option<u64> {
        let StreamContext { call, last_event_id, .. } = &*self.context;
        let is_resumable = call.route.retry_policy.is_idempotent();
        last_event_id.get().or(call.head.resume_after).filter(|_| is_resumable)
    }

    /// Drops all sources but one, with which the stream goes on.
    fn keep_source(&mut self, index: usize) {
        if self.sources.len() > 1 {
            let kept = self.sources.swap_remove(index);
            self.sources = vec![kept];
        }
        if let Some(source) = self.sources.first_mut() {
            source.has_events = true;
        }
        if self.head.is_none() {
            self.head = self.sources[0].head.take();
        }
    }

    fn record_events(&mut self, first: Option<u64>, last: Option<u64>) {
        let step = first.and_then(|first| first.checked_sub(self.position().unwrap_or(0)));
        self.widest_step = self.widest_step.max(step);
        let now = Instant::now();
        if self.is_started {
            self.lateness.record_pause(now - self.context.last_event_at.get());
        } else {
            self.lateness.first_event = now - self.context.call.arrived;
        }
        self.is_started = true;
        self.is_silence_logged = false;
        self.context.last_event_at.set(now);
        if last.is_some() {
            self.context.last_event_id.set(last);
        }
    }

    /// Why the stream does not go on after a failure, for logs.
    fn break_reason(&self, failure: &SourceFailure) -> &'static str {
        match failure {
            SourceFailure::Response(_) => "answered",
            SourceFailure::Poison(_) => "poison",
            SourceFailure::DeadlinePassed => "deadline",
            _ if self.context.last_event_at.get().elapsed() >= CALLER_TIMEOUT => "caller_gone",
            _ if self.resume_position().is_none() => "not_resumable",
            SourceFailure::NoPath(_) => "no_path",
            SourceFailure::NotRun(_) | SourceFailure::Unknown(_) => {
                self.context.resend_obstacle(RetryReason::Fault)
            }
        }
    }

    fn record_failure(&mut self, failure: &SourceFailure) {
        match failure {
            SourceFailure::NotRun(reason) => self.fault = reason.clone(),
            SourceFailure::Unknown(reason) => {
                self.may_have_run = true;
                self.fault = reason.clone();
            }
            SourceFailure::Response(_) => self.may_have_run = true,
            SourceFailure::NoPath(reason) if self.fault.is_empty() => self.fault = reason.clone(),
            SourceFailure::Poison(blamed) => self.fault = blamed.to_string().into(),
            SourceFailure::NoPath(_) | SourceFailure::DeadlinePassed => {}
        }
    }

    /// Records how long the stream took, now that it has ended.
    fn record_time(&self) {
        let StreamContext { state, call, last_event_id, .. } = &*self.context;
        let now = Instant::now();
        let ended = EndedStream {
            length: call.stream_length(state),
            time: now - call.arrived,
            first_event: self.lateness.first_event,
            last_event: last_event_id.get().unwrap_or(0),
        };
        state.stream_times.borrow_mut().record(&call.service, ended, now);
    }

    /// Logs a complete stream that its caller takes for late, with the times that tell where.
    fn log_lateness(&self) {
        let LatenessRecord { first_event, longest_pause } = self.lateness;
        let StreamContext { state, call, .. } = &*self.context;
        let returned_after = self.context.retry_age().unwrap_or_default();
        let is_first_late = returned_after + first_event > call.route.objective;
        if !is_first_late && longest_pause <= call.route.event_gap {
            return;
        }
        let cause = match (is_first_late, self.context.waited.get() > first_event / 2) {
            (true, _) if !returned_after.is_zero() => "returned",
            (true, true) => "waited",
            (true, false) => "first_event",
            (false, _) => "pause",
        };
        state.metrics.count(MetricName::LateStreams, &[&call.service, cause]);
        log::info!(
            event = "stream_late", attempt = &*call.head.attempt, level = call.level, cause,
            returned_after_ms = returned_after.as_millis() as u64,
            waited_ms = self.context.waited.get().as_millis() as u64,
            first_event_ms = first_event.as_millis() as u64,
            longest_pause_ms = longest_pause.as_millis() as u64,
            sends = self.context.sends();
            "stream is complete but late"
        );
    }

    /// Opens a source at another host beside one that is silent since this host lost connectivity.
    fn move_silent(&mut self) {
        if self.context.is_forwarded.get()
            || self.context.next_host().is_none()
            || self.context.last_event_at.get().elapsed() < MIN_SILENCE
        {
            return;
        }
        // A second source at an endpoint of the service is as silent as the first.
        self.sources.truncate(1);
        self.hedge();
    }

    /// Opens another source beside a silent one, if that is allowed.
    fn hedge(&mut self) {
        let silence = self.context.last_event_at.get().elapsed();
        // A host that has not answered at all counts as silent only after half of the objective.
        let is_unanswered = self.context.is_forwarded.get() && !self.is_started;
        let is_worthwhile = self.sources.len() < MAX_SOURCES
            && (silence < MAX_HEDGE_SILENCE || is_unanswered)
            && (!is_unanswered || self.context.allows_second_host())
            && self.context.may_resend(RetryReason::Hedge);
        let position = self.resume_position().filter(|_| is_worthwhile);
        if !std::mem::replace(&mut self.is_silence_logged, true) || position.is_some() {
            let call = &self.context.call;
            log::info!(
                event = "stream_silent", attempt = &*call.head.attempt, sends = self.context.sends(),
                hedged = position.is_some(), last_event = self.context.last_event_id.get().unwrap_or(0),
                silent_ms = silence.as_millis() as u64;
                "stream is silent; waiting for its endpoint"
            );
        }
        if let Some(resume_after) = position {
            self.add_source(resume_after, Some(RetryReason::Hedge));
        }
    }

    /// Builds the response to the caller: the first events, then the others as they arrive.
    fn into_response(mut self, first: Option<Bytes>) -> Response<ResponseBody> {
        if first.is_none() {
            self.is_finished = true;
        }
        let head = self.head.take().unwrap_or_default();
        self.content_type = head.headers.get(CONTENT_TYPE).cloned();
        let later = stream::unfold(self, |mut relay| async move {
            let item = relay.next_frame().await?;
            Some((item, relay))
        });
        let first = first.map(|bytes| Ok(Frame::data(bytes)));
        let frames = futures::StreamExt::chain(stream::iter(first), later);
        endpoint_response(head.status, &head.headers, Box::pin(StreamBody::new(frames)))
    }

    /// Next frame of the response to the caller; resumes the stream after a fault.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, AbortedResponse>> {
        if self.is_finished {
            return None;
        }
        loop {
            let reason = match self.next_events().await {
                Ok(Some(bytes)) => return Some(Ok(Frame::data(bytes))),
                Ok(None) => {
                    self.is_finished = true;
                    self.record_time();
                    let StreamContext { state, call, .. } = &*self.context;
                    count_outcome(state, &call.service, self.outcome("answered"));
                    self.log_lateness();
                    return None;
                }
                Err(
                    failure @ (SourceFailure::NotRun(_)
                    | SourceFailure::Unknown(_)
                    | SourceFailure::NoPath(_)),
                ) => {
                    let reason = self.break_reason(&failure);
                    if let SourceFailure::NoPath(obstacle) = &failure {
                        self.fault = obstacle.clone();
                    }
                    let position = self.resume_position();
                    let may_resend = !matches!(failure, SourceFailure::NoPath(_))
                        && self.context.may_resend(RetryReason::Fault);
                    if let Some(resume_after) = position.filter(|_| may_resend) {
                        self.add_source(resume_after, Some(RetryReason::Fault));
                        continue;
                    }
                    // Once only: a retry that the budget grants no more fails the same way again.
                    let is_repeated = std::mem::replace(&mut self.has_asked_elsewhere, true);
                    if let Some(resume_after) = position.filter(|_| !is_repeated)
                        && self.context.may_go_on_elsewhere().await
                    {
                        self.add_source(resume_after, Some(RetryReason::Fault));
                        continue;
                    }
                    reason
                }
                Err(
                    failure @ (SourceFailure::Response(_)
                    | SourceFailure::Poison(_)
                    | SourceFailure::DeadlinePassed),
                ) => self.break_reason(&failure),
            };
            self.is_finished = true;
            let StreamContext { state, call, .. } = &*self.context;
            count_outcome(state, &call.service, "broken_off");
            log::warn!(
                event = "stream_broken", attempt = &*call.head.attempt, reason,
                fault = &*self.fault, sends = self.context.sends(),
                last_event = self.context.last_event_id.get().unwrap_or(0),
                age_ms = call.arrived.elapsed().as_millis() as u64;
                "stream interrupted and not resumed"
            );
            return Some(Err(AbortedResponse));
        }
    }
}
