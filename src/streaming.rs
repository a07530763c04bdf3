//! Streams an answer as server-sent events, one for each token.

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

use crate::chat::{ChatMetadata, DONE_EVENT, sse_event};
use crate::driver::AnswerResult;
use crate::gateway::answer_checksum;
use crate::ids::ServiceName;
use crate::metrics::{MetricName, MetricRegistry};
use crate::outcome::CallOutcome;
use crate::refusal::ResponseBody;

/// Events of a stream that are buffered until the connection can send them.
const EVENT_CHANNEL_CAPACITY: usize = 16;

/// An answer whose first token has arrived.
pub(crate) struct AnswerStream {
    pub(crate) metadata: ChatMetadata,
    pub(crate) first: u64,
    pub(crate) tokens: mpsc::Receiver<u64>,
    pub(crate) result: oneshot::Receiver<AnswerResult>,
    pub(crate) service: ServiceName,
    pub(crate) metrics: Rc<MetricRegistry>,
}

/// Creates a body that streams an answer; dropping the body cancels the answer.
pub(crate) fn stream_body(answer: AnswerStream) -> ResponseBody {
    let (sender, receiver) = mpsc::channel::<Bytes>(EVENT_CHANNEL_CAPACITY);
    tokio::task::spawn_local(send_events(answer, sender));
    let frames = stream::unfold(receiver, |mut receiver| async {
        let bytes = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), receiver))
    });
    StreamBody::new(frames).boxed()
}

async fn send_events(mut answer: AnswerStream, sender: mpsc::Sender<Bytes>) {
    let mut next = Some(answer.first);
    let mut position = 0;
    while let Some(token) = next {
        if sender.send(answer.metadata.token_event(position, token).into()).await.is_err() {
            return;
        }
        position += 1;
        next = tokio::select! {
            token = answer.tokens.recv() => token,
            _ = sender.closed() => return,
        };
    }
    let last_events = final_events(&mut answer).await;
    let _ = sender.send(last_events.into()).await;
}

/// Last events: the checksum and `[DONE]` of a complete answer, otherwise only the refusal.
async fn final_events(answer: &mut AnswerStream) -> Vec<u8> {
    let result = (&mut answer.result).await.ok();
    match answer_checksum(result, &answer.service) {
        Ok(checksum) => {
            answer.count(CallOutcome::Done);
            [&answer.metadata.end_event(&checksum), DONE_EVENT].concat()
        }
        Err(refusal) => {
            answer.count(refusal.outcome);
            answer.metrics.count(MetricName::Refusals, &[refusal.code.name()]);
            sse_event(&refusal.body())
        }
    }
}

impl AnswerStream {
    fn count(&self, outcome: CallOutcome) {
        self.metrics.count(MetricName::Requests, &[&self.service, outcome.as_str()]);
    }
}
