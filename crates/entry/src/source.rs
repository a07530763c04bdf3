//! Sources of a stream's events. Each sends the request on a path and reads the events of the reply.
//!
//! A source that falls silent goes on waiting, as its endpoint may go on as well; the relay decides
//! whether another source is opened beside it.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, LocalBoxStream};
use http_body_util::BodyExt;
use hyper::{HeaderMap, StatusCode};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::context::{RetryReason, StageHold, StreamContext};
use crate::endpoints::EndpointEntry;
use crate::events::EventFramer;
use crate::failure::SourceFailure;
use crate::forward::{self, ForwardError, ForwardHost, ForwardOptions, ForwardRetry};
use crate::inflight::{StreamGuard, StreamRecord};
use crate::path::stage_at;
use crate::pool::{ConnectionLease, PooledReply, SendError};
use crate::reply::{ReplyBody, is_endless};
use crate::reroute::reroute;
use crate::response::{endpoint_response, full_body};
use crate::sending::{
    SendTarget, SentReply, check_refusal, exclude_endpoint, probe, read_answer, send,
};
use crate::stall::MIN_SILENCE;
use crate::state::RetryPermit;

/// Urgency of a resent stream, whose caller may be waiting in the middle of an answer.
const RESUMED_URGENCY: u8 = 0;
/// Urgency of a new stream of priority 0; each further priority level adds one.
const NEW_URGENCY: u8 = 3;
/// Lowest urgency that endpoints accept.
const LOWEST_URGENCY: u8 = 9;
/// Number of arrivals of events after which an endpoint has gone on past the beginning of an answer.
const ANSWERED_ARRIVALS: u32 = 2;
/// Time after the first failed search for a detour before the next, while a source stays silent; it
/// doubles with each further one, since each may try orders that endpoints refuse.
const REROUTE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Silence of a stream at another host after which it counts as silent. The other host looks for a
/// detour and a second path of its own within this time.
const FORWARDED_SILENCE: Duration = Duration::from_millis(600);

/// Why a source is not opened if the budget grants no retry.
const NO_RETRY: &str = "the retry budget is spent";

/// Head of the reply with which a source opened.
#[derive(Default)]
pub(crate) struct SourceHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// What a source has come to.
pub(crate) enum SourceStep {
    /// The first stage has sent the head of its reply.
    Opened(SourceHead),
    /// Complete events, with the last identifier among them.
    Events(Bytes, Option<u64>),
    /// The stream is complete.
    Ended,
    /// The source is silent, and no detour was found; it goes on waiting.
    Silent,
    /// The source has failed and ended.
    Failed(SourceFailure),
}

/// One source of a stream's events. Dropping it closes its connection.
pub(crate) struct StreamSource {
    /// Head of the reply, once the source has opened.
    pub(crate) head: Option<SourceHead>,
    /// Whether events of this source have become part of the stream.
    pub(crate) has_events: bool,
    steps: LocalBoxStream<'static, SourceStep>,
    is_silent: Rc<Cell<bool>>,
}

impl StreamSource {
    /// Creates a source that sends the request once it is polled. Sends after the first take a retry
    /// from the budget.
    pub(crate) fn new(
        context: &Rc<StreamContext>,
        resume_after: Option<u64>,
        retry: Option<RetryReason>,
    ) -> Self {
        let is_silent = Rc::new(Cell::new(false));
        let reader = SourceReader {
            context: context.clone(),
            is_silent: is_silent.clone(),
            resume_after,
            retry,
            framer: EventFramer::new(context.state.pool.budget()),
            open: None,
            forwarded: None,
        };
        let steps = stream::unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            let step = reader.next_step().await.unwrap_or_else(SourceStep::Failed);
            let is_last = matches!(step, SourceStep::Ended | SourceStep::Failed(_));
            Some((step, (!is_last).then_some(reader)))
        });
        Self { head: None, has_events: false, steps: steps.boxed_local(), is_silent }
    }

    /// Polls for the next step; there is none after `Ended` or `Failed`.
    pub(crate) fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<SourceStep> {
        if let Poll::Ready(Some(step)) = self.steps.poll_next_unpin(context) {
            self.is_silent.set(false);
            return Poll::Ready(step);
        }
        if self.is_silent.take() { Poll::Ready(SourceStep::Silent) } else { Poll::Pending }
    }
}

/// A stream whose first stage has sent the head of its reply.
struct OpenStream {
    guard: StreamGuard,
    first: EndpointEntry,
    body: ReplyBody,
    lease: ConnectionLease,
    silence: SilenceHandler,
    /// Number of times that complete events arrived.
    arrivals: u32,
    _hold: StageHold,
}

/// The state of a source between two steps.
struct SourceReader {
    context: Rc<StreamContext>,
    is_silent: Rc<Cell<bool>>,
    resume_after: Option<u64>,
    retry: Option<RetryReason>,
    framer: EventFramer,
    open: Option<OpenStream>,
    /// Set instead of `open` if another host serves the stream.
    forwarded: Option<ForwardedStream>,
}

/// A stream that another host serves, which has sent the head of its answer.
struct ForwardedStream {
    host: ForwardHost,
    body: ReplyBody,
    lease: ConnectionLease,
}

impl SourceReader {
    async fn next_step(&mut self) -> Result<SourceStep, SourceFailure> {
        if let Some(forwarded) = self.forwarded.take() {
            return self.read_forwarded(forwarded).await;
        }
        if self.open.is_none() { self.open().await } else { self.read().await }
    }

    /// Passes the stream on to another host and waits for the head of its answer.
    async fn open_at_host(&mut self, host: ForwardHost) -> Result<SourceStep, SourceFailure> {
        let context = self.context.clone();
        let (state, call) = (&context.state, &context.call);
        let is_hedge = self.retry == Some(RetryReason::Hedge);
        let is_retry = context.sends() > 0 || is_hedge;
        let retry = match self.retry.filter(|_| is_retry) {
            Some(reason) => {
                let retry = context.take_forward_retry(reason);
                Some(retry.ok_or_else(|| SourceFailure::NoPath(NO_RETRY.into()))?)
            }
            None => None,
        };
        if is_hedge {
            // The host that is silent may have counted the first attempt.
            call.is_counted.set(true);
        }
        context.record_host(&host);
        log::info!(
            event = "stream_forwarded", attempt = &*call.head.attempt, peer = &*host.name,
            sends = context.sends(), resume_after = self.resume_after.unwrap_or(0),
            is_retry_of_receiver = matches!(retry, Some(ForwardRetry::OfReceiver));
            "stream is passed on to another host"
        );
        let reply = match self.send_to_host(&host, retry.as_ref()).await {
            Ok(reply) => reply,
            Err(ForwardError::NotRun(fault)) => {
                if let Some(ForwardRetry::Own(permit)) = &retry {
                    state.give_back_retry(permit);
                }
                return Err(SourceFailure::NotRun(fault));
            }
            Err(ForwardError::Unknown(fault)) => {
                context.record_forwarded_send();
                return Err(SourceFailure::Unknown(fault));
            }
        };
        context.record_forwarded_send();
        let status = reply.parts.status;
        if status == StatusCode::OK {
            let (parts, lease) = (reply.parts, reply.lease);
            let body = lease.meter(reply.body);
            self.forwarded = Some(ForwardedStream { host, body, lease });
            return Ok(SourceStep::Opened(SourceHead { status, headers: parts.headers }));
        }
        let answer = timeout_at(call.deadline, read_answer(state, reply)).await;
        if let Ok(Ok((parts, body))) = answer
            && context.last_event_id.get().is_none()
        {
            forward::record_answer(state, call);
            let response = endpoint_response(status, &parts.headers, full_body(body));
            return Err(SourceFailure::Response(Box::new(response)));
        }
        let fault = format!("host answered {status}").into();
        let error = forward::record_error(state, call, &host, ForwardError::Unknown(fault));
        Err(SourceFailure::Unknown(error.into_fault()))
    }

    /// Passes the stream on; reports it as silent if the other host does not answer in time.
    async fn send_to_host(
        &self,
        host: &ForwardHost,
        retry: Option<&ForwardRetry>,
    ) -> Result<PooledReply, ForwardError> {
        let StreamContext { state, call, .. } = &*self.context;
        let options = ForwardOptions { resume_after: self.resume_after, max_runs: None, retry };
        let mut sending = pin!(forward::send_to(state, call, host, options));
        tokio::select! {
            biased;
            sent = &mut sending => sent,
            () = sleep(forward::answer_time(call)) => {
                self.is_silent.set(true);
                sending.await
            }
        }
    }

    /// Waits for the next complete events of another host, or the end of the stream.
    async fn read_forwarded(
        &mut self,
        mut forwarded: ForwardedStream,
    ) -> Result<SourceStep, SourceFailure> {
        let context = self.context.clone();
        let fault: Box<str> = loop {
            let frame = tokio::select! {
                biased;
                frame = forwarded.body.frame() => frame,
                () = sleep(FORWARDED_SILENCE) => {
                    self.is_silent.set(true);
                    forwarded.body.frame().await
                }
            };
            let bytes = match frame {
                None if self.framer.has_partial() => break "ended within an event".into(),
                None => {
                    forwarded.lease.return_to_pool();
                    forward::record_answer(&context.state, &context.call);
                    return Ok(SourceStep::Ended);
                }
                Some(Err(error)) => break format!("broke off: {error}").into(),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_trailers) => continue,
                },
            };
            if let Some(complete) = self.framer.push(bytes) {
                self.forwarded = Some(forwarded);
                return Ok(SourceStep::Events(complete, self.framer.last_event_id()));
            }
            if self.framer.is_over_limit() {
                break "an event is too large".into();
            }
        };
        let (state, call) = (&context.state, &context.call);
        let error = ForwardError::Unknown(fault);
        let error = forward::record_error(state, call, &forwarded.host, error);
        Err(SourceFailure::Unknown(error.into_fault()))
    }

    /// Waits for a path, sends the request on it and waits for the head of the reply.
    async fn open(&mut self) -> Result<SourceStep, SourceFailure> {
        let context = self.context.clone();
        let state = &context.state;
        if let Some(host) = context.next_host() {
            return self.open_at_host(host).await;
        }
        let is_trial = context.check_poison()?;
        let path = tokio::select! {
            biased;
            path = context.wait_for_path() => path?,
            host = context.host_due() => return self.open_at_host(host).await,
            () = context.return_due() => {
                return Err(SourceFailure::NoPath("this host cannot reach the service".into()));
            }
        };
        if !is_trial {
            context.check_poison()?;
        }
        // While the stream waited for its path, the end of a host that stops came closer.
        if context.last_event_id.get().is_none()
            && let Some(obstacle) = context.call.stop_obstacle(state)
        {
            return Err(SourceFailure::NoPath(obstacle.into()));
        }
        let Some(first) = state.endpoint(&path[0].name) else {
            return Err(SourceFailure::NotRun("first stage has left".into()));
        };
        let permit = match self.retry {
            Some(reason) => {
                let permit = context.take_retry(reason);
                Some(permit.ok_or_else(|| SourceFailure::NoPath(NO_RETRY.into()))?)
            }
            None => None,
        };
        let urgency = match context.sends() {
            0 => (NEW_URGENCY + context.call.priority).min(LOWEST_URGENCY),
            _ => RESUMED_URGENCY,
        };
        if context.sends() > 0 {
            context.log_resend(&first, self.resume_after);
        }
        context.call.count_first(state);
        context.is_forwarded.set(false);
        context.record_send(&first);
        let hold = StageHold::new(&context, &first.name);
        let inflight = state.inflight.clone();
        let guard = StreamGuard::new(inflight, path, context.expected_tokens(), Instant::now());
        let mut silence = SilenceHandler::new(&self.is_silent);
        let sent = self.send(&guard, &first, urgency, permit, &mut silence).await?;
        let parts = sent.reply.parts;
        let lease = sent.reply.lease;
        let body = lease.meter(sent.reply.body);
        let open = OpenStream { guard, first, body, lease, silence, arrivals: 0, _hold: hold };
        self.open = Some(open);
        Ok(SourceStep::Opened(SourceHead { status: parts.status, headers: parts.headers }))
    }

    /// Sends the request on the path of `guard` and waits for the head of a stream.
    async fn send(
        &self,
        guard: &StreamGuard,
        first: &EndpointEntry,
        urgency: u8,
        permit: Option<RetryPermit>,
        silence: &mut SilenceHandler,
    ) -> Result<SentReply, SourceFailure> {
        let context = &self.context;
        let path = guard.record().path();
        let target = SendTarget {
            endpoint: first,
            path: &path,
            resume_after: self.resume_after,
            urgency: Some(urgency),
        };
        let mut sending = pin!(send(&context.state, &context.call, target));
        loop {
            tokio::select! {
                sent = &mut sending => return match sent {
                    Ok(sent) => self.check_reply(guard, first, sent).await,
                    Err(error) => {
                        if let (Some(permit), SendError::NotSent { .. }) = (&permit, &error) {
                            context.state.give_back_retry(permit);
                        }
                        Err(self.send_failure(guard, first, &error))
                    }
                },
                () = silence.search_due(guard.record()) => {
                    if let Err(failure) = silence.handle(context, guard, first).await {
                        return Err(self.log_failure(guard, failure));
                    }
                }
            }
        }
    }

    /// Failure of a send that got no reply.
    fn send_failure(
        &self,
        guard: &StreamGuard,
        first: &EndpointEntry,
        error: &SendError,
    ) -> SourceFailure {
        let context = &self.context;
        context.avoid(&first.name);
        let reason: Box<str> = error.to_string().into();
        if matches!(error, SendError::NotSent { .. }) {
            context.record_unsent(first);
            tokio::task::spawn_local(probe(context.state.clone(), first.name.clone()));
            return self.log_failure(guard, SourceFailure::NotRun(reason));
        }
        if error.is_broken() {
            context.record_cut(first, &[]);
        }
        context.record_broken(first);
        self.log_failure(guard, SourceFailure::Unknown(reason))
    }

    /// Checks that a reply is a stream of the endpoint.
    async fn check_reply(
        &self,
        guard: &StreamGuard,
        first: &EndpointEntry,
        sent: SentReply,
    ) -> Result<SentReply, SourceFailure> {
        let context = &self.context;
        let state = &context.state;
        let status = sent.reply.parts.status;
        if sent.is_not_run() {
            let path = guard.record().path();
            let at = sent.head.fault_at.and_then(|address| stage_at(&path, address));
            let culprit = at.map_or(&first.name, |stage| &stage.name).clone();
            if status == StatusCode::MISDIRECTED_REQUEST {
                // Another endpoint may have taken over the address.
                context.record_broken(first);
                exclude_endpoint(state, &culprit, "does not hold its layers");
            } else if !state.mark_overloaded(&culprit) {
                tokio::task::spawn_local(check_refusal(state.clone(), culprit.clone()));
            }
            context.record_over(first);
            context.avoid(&culprit);
            sent.reply.lease.return_to_pool();
            let reason = format!("{culprit} refused with {status}");
            return Err(self.log_failure(guard, SourceFailure::NotRun(reason.into())));
        }
        if !sent.is_genuine() {
            let reason = "answer is not the endpoint's".into();
            return Err(self.log_failure(guard, SourceFailure::Unknown(reason)));
        }
        if status == StatusCode::OK {
            return Ok(sent);
        }
        let reason = format!("first stage answered {status}");
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            context.record_over(first);
            context.avoid(&first.name);
            return Err(self.log_failure(guard, SourceFailure::Unknown(reason.into())));
        }
        let answer = read_answer(state, sent.reply);
        let (parts, body) = match timeout_at(context.call.deadline, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                let reason = format!("{reason}, then: {error}").into();
                return Err(self.log_failure(guard, SourceFailure::Unknown(reason)));
            }
            Err(_) => return Err(self.log_failure(guard, SourceFailure::Unknown(reason.into()))),
        };
        let response = endpoint_response(status, &parts.headers, full_body(body));
        Err(SourceFailure::Response(Box::new(response)))
    }

    /// Logs the fault of a failure, if it has one, and passes the failure on.
    fn log_failure(&self, guard: &StreamGuard, failure: SourceFailure) -> SourceFailure {
        if let SourceFailure::NotRun(fault) | SourceFailure::Unknown(fault) = &failure {
            self.context.log_fault(&guard.record().path(), fault);
        }
        failure
    }

    /// Waits for the next complete events or the end of the stream.
    async fn read(&mut self) -> Result<SourceStep, SourceFailure> {
        let Some(mut open) = self.open.take() else {
            return Err(SourceFailure::Unknown("stream is not open".into()));
        };
        open.guard.record().set_waiting(true, Instant::now());
        let result = read_events(&self.context, &mut open, &mut self.framer).await;
        open.guard.record().set_waiting(false, Instant::now());
        match result {
            Ok(Some(events)) => {
                open.arrivals += 1;
                if open.arrivals == ANSWERED_ARRIVALS {
                    self.context.record_answer();
                }
                self.open = Some(open);
                Ok(SourceStep::Events(events, self.framer.last_event_id()))
            }
            Ok(None) => {
                let OpenStream { guard, lease, arrivals, .. } = open;
                if arrivals < ANSWERED_ARRIVALS {
                    self.context.record_answer();
                }
                lease.return_to_pool();
                drop(guard);
                self.context.state.wake_queue();
                Ok(SourceStep::Ended)
            }
            Err(failure) => Err(self.log_failure(&open.guard, failure)),
        }
    }
}

/// Reads the next complete events; `None` at the end of the stream.
async fn read_events(
    context: &Rc<StreamContext>,
    open: &mut OpenStream,
    framer: &mut EventFramer,
) -> Result<Option<Bytes>, SourceFailure> {
    let OpenStream { guard, first, body, silence, arrivals, .. } = open;
    let record_broken = || {
        if *arrivals < ANSWERED_ARRIVALS {
            context.record_cut(first, &context.call.head.shared_parts);
        }
        context.record_broken(first);
    };
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = silence.search_due(guard.record()) => {
                silence.handle(context, guard, first).await?;
                continue;
            }
        };
        let bytes = match frame {
            None if framer.has_partial() => {
                record_broken();
                return Err(SourceFailure::Unknown("ended within an event".into()));
            }
            None => return Ok(None),
            Some(Err(error)) => {
                if !is_endless(&error) {
                    forward::record_failure(&context.state, first);
                }
                record_broken();
                return Err(SourceFailure::Unknown(format!("broke off: {error}").into()));
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_trailers) => continue,
            },
        };
        let now = Instant::now();
        guard.record_event(now);
        context.state.down_table.borrow_mut().record_reply(first, now);
        if let Some(complete) = framer.push(bytes) {
            return Ok(Some(complete));
        }
        if framer.is_over_limit() {
            return Err(SourceFailure::Unknown("an event is too large".into()));
        }
    }
}

/// Looks for detours while a source is silent.
struct SilenceHandler {
    is_silent: Rc<Cell<bool>>,
    /// When to look again, after a search that found none.
    next_search: Option<Instant>,
    retry_delay: Duration,
}

impl SilenceHandler {
    fn new(is_silent: &Rc<Cell<bool>>) -> Self {
        let is_silent = is_silent.clone();
        Self { is_silent, next_search: None, retry_delay: REROUTE_RETRY_DELAY }
    }

    /// Waits until a detour is to be searched for.
    async fn search_due(&self, record: &StreamRecord) {
        match self.next_search {
            Some(at) => sleep_until(at).await,
            None => record.reroute_due().await,
        }
    }

    /// Moves the stream past lost stages. Fails only if a stage is known to have ended and nothing
    /// stands in for it: one that is silent may go on.
    async fn handle(
        &mut self,
        context: &Rc<StreamContext>,
        guard: &StreamGuard,
        first: &EndpointEntry,
    ) -> Result<(), SourceFailure> {
        let record = guard.record();
        let was_silent = self.next_search.take().is_some();
        if was_silent && record.silence(Instant::now()) < MIN_SILENCE {
            self.retry_delay = REROUTE_RETRY_DELAY;
            return Ok(());
        }
        if reroute(&context.state, &context.call, guard).await {
            return Ok(());
        }
        let silence = record.silence(Instant::now());
        if silence < MIN_SILENCE {
            self.next_search = Some(Instant::now() + (MIN_SILENCE - silence));
            return Ok(());
        }
        if context.state.is_replaced(first) {
            context.record_broken(first);
            return Err(SourceFailure::Unknown("first stage has started again".into()));
        }
        let path = record.path();
        if let Some(stage) = path[1..].iter().find(|stage| context.state.has_ended(stage)) {
            let reason = format!("{} has ended, and nothing stands in for it", stage.name);
            return Err(SourceFailure::Unknown(reason.into()));
        }
        self.next_search = Some(Instant::now() + self.retry_delay);
        self.retry_delay *= 2;
        self.is_silent.set(true);
        Ok(())
    }
}
