//! Exhaustive search over the orderings of events on two hosts that claim the same key.
//!
//! `JACINTHROCK_DEPTH=9 cargo test --release --test ledger_exhaustive` searches deeper than CI.

use jacinthrock::{
    ClaimHolder, ClaimSettlement, IntentResult, LedgerOptions, LedgerRule, PageAction,
    PageCommitter, PageEvent, PageIntent, PlainReply, StoreError, StoredObject,
};
use std::time::Duration;
use tokio::time::Instant;

const CI_DEPTH: usize = 7;
const BUCKET: u64 = 10;
const DEADLINE: Duration = Duration::from_secs(1);
/// Simulated time of one wait: longer than any delay of the ledger, shorter than a claim's timeout.
const WAIT_TIME: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A caller claims the key at a host.
    Claim(usize),
    /// A host advances until it has written or is idle.
    Advance(usize),
    /// Like `Advance`, but the reply to the write is lost.
    LoseReply(usize),
    /// Like `Advance`, but the write is delayed in transit.
    DelayWrite(usize),
    /// The delayed write reaches the store; its reply arrives if the host still waits for it.
    DeliverWrite(usize),
    /// The host's wait for the delayed write times out.
    TimeOutWrite(usize),
    /// A granted call is sent and runs; its response is recorded.
    SendDone(usize),
    /// A granted call is sent and runs; its response is lost.
    SendBroken(usize),
    /// A granted call is refused before it starts.
    SendRefused(usize),
    /// The deadline of every claim passes.
    PassDeadline,
}

#[derive(Clone)]
struct DelayedWrite {
    expected: u64,
    value: Box<[u8]>,
    is_awaited: bool,
}

#[derive(Clone)]
struct SimulatedHost {
    committer: PageCommitter,
    delayed_write: Option<DelayedWrite>,
    claims: u64,
    /// Intent ID and sequence number of each claim.
    submitted: Vec<(u64, u64)>,
    /// Sequence numbers of granted claims whose calls have not been sent.
    granted: Vec<u64>,
}

#[derive(Clone)]
struct LedgerModel {
    now: Instant,
    version: u64,
    value: Option<Box<[u8]>>,
    hosts: [SimulatedHost; 2],
    runs: u32,
}

#[derive(Clone, Copy, PartialEq)]
enum WriteFate {
    Answered,
    ReplyLost,
    Delayed,
}

impl LedgerModel {
    fn new(now: Instant, disabled: Option<LedgerRule>) -> Self {
        let options = LedgerOptions {
            disabled,
            settle_linger: Duration::ZERO,
            initial_backoff: Duration::ZERO,
            initial_write_interval: Duration::ZERO,
            claim_timeout: Duration::from_secs(100),
            ..LedgerOptions::default()
        };
        let host = |name: &str| {
            let holder = ClaimHolder { host: name.into(), incarnation: 1 };
            let committer = PageCommitter::new(holder, BUCKET, 1, options.clone());
            SimulatedHost {
                committer,
                delayed_write: None,
                claims: 0,
                submitted: Vec::new(),
                granted: Vec::new(),
            }
        };
        Self { now, version: 0, value: None, hosts: [host("a"), host("b")], runs: 0 }
    }

    fn write(&mut self, expected: u64, value: Box<[u8]>) -> Result<u64, StoreError> {
        if expected != self.version {
            return Err(StoreError::Conflict { current: self.version });
        }
        self.version += 1;
        self.value = Some(value);
        Ok(self.version)
    }

    fn apply(&self, event: Event) -> Option<Self> {
        let mut next = self.clone();
        let is_possible = match event {
            Event::Claim(host) => next.claim(host),
            Event::Advance(host) => next.advance(host, WriteFate::Answered),
            Event::LoseReply(host) => next.advance(host, WriteFate::ReplyLost),
            Event::DelayWrite(host) => next.advance(host, WriteFate::Delayed),
            Event::DeliverWrite(host) => next.deliver_write(host),
            Event::TimeOutWrite(host) => next.time_out_write(host),
            Event::SendDone(host) => next.send(host, 1, &done()),
            Event::SendBroken(host) => next.send(host, 1, &ClaimSettlement::Unknown),
            Event::SendRefused(host) => next.send(host, 0, &ClaimSettlement::NotRun),
            Event::PassDeadline => {
                next.now += DEADLINE;
                true
            }
        };
        is_possible.then_some(next)
    }

    fn claim(&mut self, host: usize) -> bool {
        let now = self.now;
        let host = &mut self.hosts[host];
        if host.claims == 2 {
            return false;
        }
        host.claims += 1;
        let intent = PageIntent::Claim {
            name: "studio/key".into(),
            sequence: host.claims,
            fingerprint: "same".into(),
            deadline: DEADLINE,
        };
        let id = host.committer.submit(now, intent);
        host.submitted.push((id, host.claims));
        true
    }

    fn send(&mut self, host: usize, runs: u32, settlement: &ClaimSettlement) -> bool {
        let now = self.now;
        let host = &mut self.hosts[host];
        let Some(sequence) = host.granted.pop() else {
            return false;
        };
        self.runs += runs;
        let (name, settlement) = ("studio/key".into(), settlement.clone());
        host.committer.submit(now, PageIntent::Settle { name, sequence, settlement });
        true
    }

    fn advance(&mut self, index: usize, fate: WriteFate) -> bool {
        if self.hosts[index].delayed_write.as_ref().is_some_and(|delayed| delayed.is_awaited) {
            return false;
        }
        loop {
            let now = self.now;
            let step = self.hosts[index].committer.advance(now, &|_, _| false);
            let answered = !step.results.is_empty();
            for (id, result) in step.results {
                self.record_result(index, id, &result);
            }
            match step.action {
                PageAction::Idle => return answered && fate == WriteFate::Answered,
                PageAction::Wait(_) => {
                    self.now += WAIT_TIME;
                }
                PageAction::Read => {
                    let version = self.version;
                    let object = self.value.clone().map(|value| StoredObject {
                        key: "page".into(),
                        version,
                        value,
                    });
                    self.hosts[index].committer.observe(now, PageEvent::Read(Ok(object)));
                }
                PageAction::ReadFloor => {
                    self.hosts[index].committer.observe(now, PageEvent::Floor(Ok(0)));
                }
                PageAction::Write { expected, value } => {
                    return self.start_write(index, fate, expected, value);
                }
            }
        }
    }

    fn record_result(&mut self, index: usize, id: u64, result: &IntentResult) {
        if *result == IntentResult::Granted {
            let host = &mut self.hosts[index];
            let claim = host.submitted.iter().find(|(intent, _)| *intent == id);
            host.granted.extend(claim.map(|(_, sequence)| *sequence));
        }
    }

    fn start_write(
        &mut self,
        index: usize,
        fate: WriteFate,
        expected: u64,
        value: Box<[u8]>,
    ) -> bool {
        let now = self.now;
        if fate == WriteFate::Delayed {
            if self.hosts[index].delayed_write.is_some() {
                return false;
            }
            self.hosts[index].delayed_write =
                Some(DelayedWrite { expected, value, is_awaited: true });
            return true;
        }
        let result = self.write(expected, value);
        let lost_reply = Err(StoreError::Ambiguous("reply lost".into()));
        let seen = if fate == WriteFate::ReplyLost { lost_reply } else { result };
        self.hosts[index].committer.observe(now, PageEvent::Write(seen));
        if fate == WriteFate::Answered {
            // The host decides on the confirmed write before any other event.
            self.advance_after_write(index);
        }
        true
    }

    fn advance_after_write(&mut self, index: usize) {
        let snapshot = self.clone();
        if !self.advance_without_write(index) {
            *self = snapshot;
        }
    }

    /// Collects the results that need no further write; false if the host needs one.
    fn advance_without_write(&mut self, index: usize) -> bool {
        loop {
            let now = self.now;
            let step = self.hosts[index].committer.advance(now, &|_, _| false);
            for (id, result) in step.results {
                self.record_result(index, id, &result);
            }
            match step.action {
                PageAction::ReadFloor => {
                    self.hosts[index].committer.observe(now, PageEvent::Floor(Ok(0)));
                }
                PageAction::Idle => return true,
                _ => return false,
            }
        }
    }

    fn deliver_write(&mut self, index: usize) -> bool {
        let Some(delayed) = self.hosts[index].delayed_write.take() else {
            return false;
        };
        let now = self.now;
        let result = self.write(delayed.expected, delayed.value);
        if delayed.is_awaited {
            self.hosts[index].committer.observe(now, PageEvent::Write(result));
            self.advance_after_write(index);
        }
        true
    }

    fn time_out_write(&mut self, index: usize) -> bool {
        let now = self.now;
        let host = &mut self.hosts[index];
        let Some(delayed) = host.delayed_write.as_mut().filter(|delayed| delayed.is_awaited) else {
            return false;
        };
        delayed.is_awaited = false;
        let lost_reply = PageEvent::Write(Err(StoreError::Ambiguous("timed out".into())));
        host.committer.observe(now, lost_reply);
        true
    }
}

fn done() -> ClaimSettlement {
    let body = b"booked".as_slice().into();
    ClaimSettlement::Done(PlainReply { status: 201, content_type: "text/plain".into(), body })
}

fn events() -> impl Iterator<Item = Event> {
    let host_events = |host| {
        [
            Event::Claim(host),
            Event::Advance(host),
            Event::LoseReply(host),
            Event::DelayWrite(host),
            Event::DeliverWrite(host),
            Event::TimeOutWrite(host),
            Event::SendDone(host),
            Event::SendBroken(host),
            Event::SendRefused(host),
        ]
    };
    (0..2).flat_map(host_events).chain([Event::PassDeadline])
}

fn explore(
    model: &LedgerModel,
    depth: usize,
    path: &mut Vec<Event>,
    states: &mut u64,
) -> Option<Vec<Event>> {
    *states += 1;
    if model.runs > 1 {
        return Some(path.clone());
    }
    if depth == 0 {
        return None;
    }
    for event in events() {
        let Some(next) = model.apply(event) else {
            continue;
        };
        path.push(event);
        if let Some(violation) = explore(&next, depth - 1, path, states) {
            return Some(violation);
        }
        path.pop();
    }
    None
}

#[tokio::test(start_paused = true)]
async fn no_ordering_runs_a_key_twice() {
    let depth = std::env::var("JACINTHROCK_DEPTH").ok().and_then(|text| text.parse().ok());
    let mut states = 0;
    let model = LedgerModel::new(Instant::now(), None);
    let violation = explore(&model, depth.unwrap_or(CI_DEPTH), &mut Vec::new(), &mut states);
    println!("states: {states}");
    assert_eq!(violation, None);
}

#[tokio::test(start_paused = true)]
async fn every_disabled_ledger_rule_is_detected() {
    // Events before each search, so that the fault is within its depth.
    let two_claims = [Event::Claim(0), Event::Advance(0), Event::Claim(1), Event::Advance(1)];
    let cases: [(LedgerRule, &[Event]); 5] = [
        (LedgerRule::WriteBeforeGrant, &two_claims[..1]),
        (LedgerRule::ReadBack, &[Event::Claim(0), Event::DelayWrite(0), Event::TimeOutWrite(0)]),
        (LedgerRule::DecideAgain, &[Event::Claim(0), Event::DelayWrite(0), Event::Claim(1)]),
        (LedgerRule::UnknownIsFinal, &two_claims[..2]),
        (LedgerRule::DeadHolderKeepsClaim, &two_claims),
    ];
    for (rule, event_prefix) in cases {
        let mut model = LedgerModel::new(Instant::now(), Some(rule));
        for event in event_prefix {
            model = model.apply(*event).expect("the events before the search are possible");
        }
        let search = |depth| explore(&model, depth, &mut Vec::new(), &mut 0);
        let violation = (3..=6).find_map(search);
        println!("{rule:?}: {violation:?}");
        assert!(violation.is_some(), "disabling {rule:?} is not detected");
    }
}
