//! The stream of tokens that the first stage of a route answers with.

use bytes::Bytes;
use futures::StreamExt;
use hyper::body::Frame;
use jacinthrock::{GenerateCall, GenerateEvent, TokenPosition};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::chain::{ForwardCall, ReleaseCall, StageFailure};
use super::records::{AttemptEnd, EndRecord};
use super::stage::EngineStage;
use crate::http::FrameStream;
use crate::token::{answer_digest, seed};

/// Events that may wait for a slow reader.
const EVENT_BUFFER: usize = 16;

/// Why a call was refused before it started.
pub(super) struct CallRefusal {
    pub(super) reason: Box<str>,
    pub(super) leaving: bool,
}

impl EngineStage {
    /// Refuses a call that this engine can't start.
    pub(super) fn admit(&self, call: &GenerateCall) -> Result<(), CallRefusal> {
        let refuse = |reason: &str| Err(CallRefusal { reason: reason.into(), leaving: false });
        let Some(stage) = call.route.first() else {
            return refuse("route is empty");
        };
        let assignment = self.assignment.borrow();
        if assignment.leaving {
            return Err(CallRefusal { reason: "leaving".into(), leaving: true });
        }
        if stage.endpoint != self.options.name {
            return refuse("route starts at another endpoint");
        }
        if !assignment.holds(&call.model, &call.version, stage.first_layer, stage.last_layer) {
            return refuse("model, version or layers are not held");
        }
        let checked = self.requests.borrow_mut().check_attempt(&call.request, call.attempt);
        checked.or_else(|lower| refuse(&lower.to_string()))
    }

    /// Starts an admitted call; dropping the stream cancels it.
    pub(super) fn start(self: &Rc<Self>, call: GenerateCall) -> FrameStream {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        self.enter(&call.request, call.priority);
        let stage = self.clone();
        spawn_local(async move { stage.finish(call, sender).await });
        let next = |mut receiver: mpsc::Receiver<GenerateEvent>| async {
            let event = receiver.recv().await?;
            Some((Ok::<_, Infallible>(event_frame(&event)), receiver))
        };
        futures::stream::unfold(receiver, next).boxed_local()
    }

    async fn finish(self: Rc<Self>, call: GenerateCall, sender: mpsc::Sender<GenerateEvent>) {
        let end = tokio::select! {
            end = self.produce(&call, &sender) => end,
            () = sender.closed() => AttemptEnd::Cancelled,
        };
        let (request, attempt) = (call.request, call.attempt);
        let record = EndRecord { request: request.clone(), attempt, end };
        self.records.borrow_mut().add_end(record);
        let release = ReleaseCall { request, attempt };
        self.release(&release);
        for stage in &call.route[1..] {
            self.client.release(stage.address.clone(), release.clone()).await;
        }
    }

    async fn produce(
        &self,
        call: &GenerateCall,
        sender: &mpsc::Sender<GenerateEvent>,
    ) -> AttemptEnd {
        let mut tokens = call.accepted.clone();
        let first = tokens.len() as TokenPosition;
        for position in first..call.max_tokens {
            let previous = tokens.last().copied();
            let previous =
                previous.unwrap_or_else(|| seed(&call.model, &call.version, &call.prompt));
            let reply = match self.run(forward_call(call, position, first, previous)).await {
                Ok(reply) => reply,
                Err(failure) => return fail(call, failure, sender).await,
            };
            tokens.push(reply.token);
            let (attempt, token, stages) = (call.attempt, reply.token, reply.stages);
            let event = GenerateEvent::Token { attempt, position, token, stages };
            if sender.send(event).await.is_err() {
                return AttemptEnd::Cancelled;
            }
        }
        let length = tokens.len() as TokenPosition;
        let digest = answer_digest(&tokens);
        // A caller that has gone away by now misses nothing that it would read.
        let _ = sender.send(GenerateEvent::End { attempt: call.attempt, length, digest }).await;
        AttemptEnd::Whole
    }
}

fn forward_call(
    call: &GenerateCall,
    position: TokenPosition,
    first: TokenPosition,
    previous: u64,
) -> ForwardCall {
    let first = position == first;
    ForwardCall {
        request: call.request.clone(),
        attempt: call.attempt,
        model: call.model.clone(),
        version: call.version.clone(),
        route: call.route.clone(),
        index: 0,
        position,
        state: previous,
        priority: call.priority,
        first,
        prompt: if first { call.prompt.clone() } else { Box::default() },
        prompt_words: call.prompt.split_whitespace().count() as u32,
        kv_sources: if first { call.kv_sources.clone() } else { Vec::new() },
    }
}

async fn fail(
    call: &GenerateCall,
    failure: StageFailure,
    sender: &mpsc::Sender<GenerateEvent>,
) -> AttemptEnd {
    let StageFailure { endpoint, reason } = failure;
    // A caller that has gone away needs no reason.
    let _ = sender.send(GenerateEvent::Failed { attempt: call.attempt, endpoint, reason }).await;
    AttemptEnd::Failed
}

fn event_frame(event: &GenerateEvent) -> Frame<Bytes> {
    let mut line = serde_json::to_vec(event).expect("events serialize");
    line.push(b'\n');
    Frame::data(line.into())
}
