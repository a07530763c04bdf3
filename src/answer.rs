//! Assembles one answer from the tokens of its attempts.

use sha2::{Digest, Sha256};

use crate::attempt::AttemptFault;
use crate::endpoint::{GenerateEvent, RouteStage, StageReport};
use crate::hex::encode_hex;
use crate::ids::{AttemptNumber, EndpointName, LayerIndex, TokenPosition};

/// Safety rules of an assembler; tests disable one to prove that their checker detects a violation.
#[derive(Clone, Debug)]
pub struct AnswerChecks {
    /// Accept events only from the current attempt.
    pub attempt: bool,
    /// Accept tokens only at the next position.
    pub position: bool,
    /// Require that the stages that ran are the route's.
    pub stages: bool,
    /// Require that the end event has the length and digest of the accepted tokens.
    pub end: bool,
}

impl Default for AnswerChecks {
    fn default() -> Self {
        Self { attempt: true, position: true, stages: true, end: true }
    }
}

/// Properties that an answer must have.
#[derive(Clone, Debug)]
pub struct ExpectedAnswer {
    /// Version of the model.
    pub version: Box<str>,
    /// Number of layers of the model.
    pub layers: LayerIndex,
    /// Length of the whole answer, in tokens.
    pub length: TokenPosition,
}

/// Effect of an attempt's event on the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerStep {
    /// The token is the next one of the answer.
    Accepted(u64),
    /// The position already has a token; the event was dropped.
    Duplicate,
    /// The event belongs to another attempt or to a later position; it was dropped.
    Stray,
    /// The answer is complete; holds the SHA-256 of its tokens, in hexadecimal.
    Complete(Box<str>),
    /// The attempt failed; the accepted tokens are kept.
    Failed(AttemptFault),
}

/// Assembles one answer; accepts one token for each position, from the current attempt.
///
/// ```
/// use jacinthrock::{AnswerAssembler, AnswerChecks, ExpectedAnswer};
///
/// let expected = ExpectedAnswer { version: "3".into(), layers: 24, length: 128 };
/// let assembler = AnswerAssembler::new(expected, AnswerChecks::default());
/// assert!(assembler.tokens().is_empty());
/// ```
pub struct AnswerAssembler {
    expected: ExpectedAnswer,
    checks: AnswerChecks,
    attempt: AttemptNumber,
    route: Vec<RouteStage>,
    tokens: Vec<u64>,
    hasher: Sha256,
}

impl AnswerAssembler {
    /// Creates an assembler without tokens, before its first attempt.
    pub fn new(expected: ExpectedAnswer, checks: AnswerChecks) -> Self {
        let hasher = Sha256::new();
        Self { expected, checks, attempt: 0, route: Vec::new(), tokens: Vec::new(), hasher }
    }

    /// Begins the next attempt and returns its number; events of earlier attempts become stray.
    pub fn begin_attempt(&mut self, route: Vec<RouteStage>) -> AttemptNumber {
        self.attempt += 1;
        self.route = route;
        self.attempt
    }

    /// Tokens accepted so far.
    pub fn tokens(&self) -> &[u64] {
        &self.tokens
    }

    /// Applies an event to the answer.
    pub fn apply(&mut self, event: &GenerateEvent) -> AnswerStep {
        if self.checks.attempt && event_attempt(event) != self.attempt {
            return AnswerStep::Stray;
        }
        match event {
            GenerateEvent::Token { position, token, stages, .. } => {
                self.apply_token(*position, *token, stages)
            }
            GenerateEvent::End { length, digest, .. } => self.apply_end(*length, digest),
            GenerateEvent::Failed { endpoint, .. } => {
                AnswerStep::Failed(AttemptFault::StageFailed(endpoint.clone()))
            }
        }
    }

    fn apply_token(
        &mut self,
        position: TokenPosition,
        token: u64,
        stages: &[StageReport],
    ) -> AnswerStep {
        let next = self.tokens.len() as TokenPosition;
        if self.checks.position && position < next {
            return AnswerStep::Duplicate;
        }
        if self.checks.position && (position > next || position >= self.expected.length) {
            return AnswerStep::Stray;
        }
        if let Some(endpoint) = self.find_wrong_stage(stages).filter(|_| self.checks.stages) {
            return AnswerStep::Failed(AttemptFault::WrongStage(endpoint));
        }
        self.tokens.push(token);
        self.hasher.update(token.to_le_bytes());
        AnswerStep::Accepted(token)
    }

    /// Finds the first stage whose report differs from the route.
    fn find_wrong_stage(&self, reports: &[StageReport]) -> Option<EndpointName> {
        let mut next_layer = 0;
        for (index, stage) in self.route.iter().enumerate() {
            let is_match = reports.get(index).is_some_and(|report| {
                report.endpoint == stage.endpoint
                    && report.version == self.expected.version
                    && report.first_layer == stage.first_layer
                    && report.last_layer == stage.last_layer
                    && report.first_layer == next_layer
            });
            if !is_match {
                return Some(stage.endpoint.clone());
            }
            next_layer = stage.last_layer + 1;
        }
        let is_complete_route =
            next_layer == self.expected.layers && reports.len() == self.route.len();
        let last = self.route.last().map(|stage| stage.endpoint.clone()).unwrap_or_default();
        (!is_complete_route).then_some(last)
    }

    fn apply_end(&self, length: TokenPosition, digest: &str) -> AnswerStep {
        let accepted_digest = encode_hex(&self.hasher.clone().finalize());
        let accepted = self.tokens.len() as TokenPosition;
        let is_complete = length == self.expected.length
            && accepted == self.expected.length
            && *digest == *accepted_digest;
        if self.checks.end && !is_complete {
            return AnswerStep::Failed(AttemptFault::Truncated);
        }
        AnswerStep::Complete(accepted_digest)
    }
}

fn event_attempt(event: &GenerateEvent) -> AttemptNumber {
    match event {
        GenerateEvent::Token { attempt, .. }
        | GenerateEvent::End { attempt, .. }
        | GenerateEvent::Failed { attempt, .. } => *attempt,
    }
}
