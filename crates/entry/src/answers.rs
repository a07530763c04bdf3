//! Answers that this process has not handed to the kernel yet, so that it does not exit before.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::connections::{RequestPhase, StalledSince};
use crate::observed::StreamObserver;
use crate::response::{AbortedResponse, ResponseBody};

/// Number of answers that are not written yet. Clones share the same count.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenAnswers {
    count: Rc<Cell<usize>>,
}

impl OpenAnswers {
    /// Number of answers that are not written yet.
    pub(crate) fn count(&self) -> usize {
        self.count.get()
    }
}

/// Counts an answer as open until it is dropped.
#[derive(Debug)]
struct AnswerGuard {
    answers: OpenAnswers,
    /// The request that is answered, if it is a caller's.
    _phase: Option<Rc<RequestPhase>>,
}

impl AnswerGuard {
    fn new(answers: &OpenAnswers, phase: Option<Rc<RequestPhase>>) -> Self {
        answers.count.set(answers.count.get() + 1);
        Self { answers: answers.clone(), _phase: phase }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.answers.count.set(self.answers.count.get() - 1);
    }
}

/// Answers on one connection. Clones are of the same connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionAnswers {
    answers: OpenAnswers,
    stalled: StalledSince,
    /// Answers whose bodies the HTTP library has taken as a whole.
    buffered: Rc<RefCell<Vec<AnswerGuard>>>,
}

impl ConnectionAnswers {
    pub(crate) fn new(answers: &OpenAnswers, stalled: StalledSince) -> Self {
        Self { answers: answers.clone(), stalled, buffered: Rc::default() }
    }

    /// Runs a request and counts its answer until the connection has written it.
    pub(crate) async fn track<E>(
        &self,
        phase: Option<Rc<RequestPhase>>,
        answer: impl Future<Output = Result<Response<ResponseBody>, E>>,
    ) -> Result<Response<ResponseBody>, E> {
        let guard = AnswerGuard::new(&self.answers, phase);
        let response = answer.await?;
        Ok(response.map(|body| -> ResponseBody {
            Box::pin(TrackedBody { body, guard: Some(guard), buffered: self.buffered.clone() })
        }))
    }
}

/// Body of an answer that is counted until its connection has written it.
struct TrackedBody {
    body: ResponseBody,
    guard: Option<AnswerGuard>,
    buffered: Rc<RefCell<Vec<AnswerGuard>>>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = AbortedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedResponse>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.buffered.borrow_mut().extend(self.guard.take());
    }
}

/// Counts answers as written once their connection has flushed them.
impl StreamObserver for ConnectionAnswers {
    fn on_write(&self, is_stalled: bool) {
        if !is_stalled {
            self.stalled.set(None);
        } else if self.stalled.get().is_none() {
            self.stalled.set(Some(Instant::now()));
        }
    }

    fn on_flush(&self) {
        self.buffered.borrow_mut().clear();
    }
}
