//! Assembly of one answer from the tokens of its attempts.

use sha2::{Digest, Sha256};

use crate::attempt::AttemptFault;
use crate::endpoint::{GenerateEvent, RouteStage, StageReport};
use crate::hex::encode_hex;
use crate::ids::{AttemptNumber, EndpointName, LayerIndex, TokenPosition};

/// Checks of an assembler; only tests turn one off, to see the others' checks catch it.
#[derive(Clone, Debug)]
pub struct AnswerChecks {
    /// Tokens count only from the current attempt.
    pub attempt: bool,
    /// Tokens count only at the next position.
    pub position: bool,
    /// The stages that ran must be those of the route.
    pub stages: bool,
    /// The end must have the length and digest of the accepted tokens.
    pub end: bool,
}

impl Default for AnswerChecks {
    fn default() -> Self {
        Self { attempt: true, position: true, stages: true, end: true }
    }
}

/// What an answer must be.
#[derive(Clone, Debug)]
pub struct ExpectedAnswer {
    /// Version of the model.
    pub version: Box<str>,
    /// Number of layers of the model.
    pub layers: LayerIndex,
    /// Length of the whole answer, in tokens.
    pub length: TokenPosition,
}

/// What an event of an attempt did to the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerStep {
    /// The token is the next one of the answer.
    Accepted(u64),
    /// The token's position was accepted before; it was dropped.
    Duplicate,
    /// The event is of another attempt or of a later position; it was dropped.
    Stray,
    /// The answer is whole; the SHA-256 over its tokens, in hexadecimal.
    Whole(Box<str>),
    /// The attempt failed; the accepted tokens stay.
    Failed(AttemptFault),
}

/// Assembles one answer; accepts each position once, from the current attempt.
///
/// ```
/// use jacinthrock::{AnswerAssembler, AnswerChecks, AnswerShape};
///
/// let shape = AnswerShape { version: "3".into(), layers: 24, length: 128 };
/// let assembler = AnswerAssembler::new(shape, AnswerChecks::default());
/// assert!(assembler.tokens().is_empty());
/// ```
pub struct AnswerAssembler {
    shape: ExpectedAnswer,
    checks: AnswerChecks,
    attempt: AttemptNumber,
    route: Vec<RouteStage>,
    tokens: Vec<u64>,
    hasher: Sha256,
}

impl AnswerAssembler {
    /// An assembler without tokens, before its first attempt.
    pub fn new(shape: ExpectedAnswer, checks: AnswerChecks) -> Self {
        let hasher = Sha256::new();
        Self { shape, checks, attempt: 0, route: Vec::new(), tokens: Vec::new(), hasher }
    }

    /// Begins the next attempt and returns its number; earlier attempts no longer count.
    pub fn begin_attempt(&mut self, route: Vec<RouteStage>) -> AttemptNumber {
        self.attempt += 1;
        self.route = route;
        self.attempt
    }

    /// Tokens accepted so far.
    pub fn tokens(&self) -> &[u64] {
        &self.tokens
    }

    /// Takes an event.
    pub fn take(&mut self, event: &GenerateEvent) -> AnswerStep {
        if self.checks.attempt && attempt_of(event) != self.attempt {
            return AnswerStep::Stray;
        }
        match event {
            GenerateEvent::Token { position, token, stages, .. } => {
                self.take_token(*position, *token, stages)
            }
            GenerateEvent::End { length, digest, .. } => self.take_end(*length, digest),
            GenerateEvent::Failed { endpoint, .. } => {
                AnswerStep::Failed(AttemptFault::StageFailed(endpoint.clone()))
            }
        }
    }

    fn take_token(
        &mut self,
        position: TokenPosition,
        token: u64,
        stages: &[StageReport],
    ) -> AnswerStep {
        let next = self.tokens.len() as TokenPosition;
        if self.checks.position && position < next {
            return AnswerStep::Duplicate;
        }
        if self.checks.position && (position > next || position >= self.shape.length) {
            return AnswerStep::Stray;
        }
        if let Some(endpoint) = self.wrong_stage(stages).filter(|_| self.checks.stages) {
            return AnswerStep::Failed(AttemptFault::WrongStage(endpoint));
        }
        self.tokens.push(token);
        self.hasher.update(token.to_le_bytes());
        AnswerStep::Accepted(token)
    }

    /// The first stage that did not run as the route says.
    fn wrong_stage(&self, reports: &[StageReport]) -> Option<EndpointName> {
        let mut boundary = 0;
        for (index, stage) in self.route.iter().enumerate() {
            let fits = reports.get(index).is_some_and(|report| {
                report.endpoint == stage.endpoint
                    && report.version == self.shape.version
                    && report.first_layer == stage.first_layer
                    && report.last_layer == stage.last_layer
                    && report.first_layer == boundary
            });
            if !fits {
                return Some(stage.endpoint.clone());
            }
            boundary = stage.last_layer + 1;
        }
        let is_covered = boundary == self.shape.layers && reports.len() == self.route.len();
        let last = self.route.last().map(|stage| stage.endpoint.clone()).unwrap_or_default();
        (!is_covered).then_some(last)
    }

    fn take_end(&self, length: TokenPosition, digest: &str) -> AnswerStep {
        let own = encode_hex(&self.hasher.clone().finalize());
        let accepted = self.tokens.len() as TokenPosition;
        let is_whole =
            length == self.shape.length && accepted == self.shape.length && *digest == *own;
        if self.checks.end && !is_whole {
            return AnswerStep::Failed(AttemptFault::Truncated);
        }
        AnswerStep::Whole(own)
    }
}

fn attempt_of(event: &GenerateEvent) -> AttemptNumber {
    match event {
        GenerateEvent::Token { attempt, .. }
        | GenerateEvent::End { attempt, .. }
        | GenerateEvent::Failed { attempt, .. } => *attempt,
    }
}
