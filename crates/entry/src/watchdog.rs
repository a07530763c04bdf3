//! Looks after streams in flight: moves those that lost a stage, probes doubted endpoints.

use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::{Instant, sleep};

use crate::sending::{probe, suspect};
use crate::silence::silence_findings;
use crate::state::EntryState;

/// Time between two looks: a fraction of the shortest silence that is doubtful.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a look that shows that this host stood still or was starved, so that the silence of
/// its streams says nothing.
const STILL_AFTER: Duration = Duration::from_millis(80);
/// Time between two probes of endpoints that do not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Runs until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    let mut last_look = Instant::now();
    let mut last_probe = Instant::now();
    loop {
        sleep(LOOK_INTERVAL).await;
        let now = Instant::now();
        if now - last_look > LOOK_INTERVAL + STILL_AFTER {
            state.inflight.borrow().forgive_silence(now);
        }
        last_look = now;
        look(&state, now);
        if now - last_probe >= PROBE_INTERVAL {
            last_probe = now;
            probe_down(&state);
        }
    }
}

fn look(state: &Rc<EntryState>, now: Instant) {
    if state.inflight.borrow().count() == 0 {
        return;
    }
    let views = state.inflight.borrow().views();
    let usual_first = state.inflight.borrow().usual_first();
    let findings = silence_findings(now, usual_first, &views);
    for name in &findings.suspects {
        suspect(state, name, "silent streams");
    }
    for number in findings.overdue {
        state.inflight.borrow().abandon(number);
    }
}

fn probe_down(state: &Rc<EntryState>) {
    let down: Vec<EndpointName> = state.beliefs.borrow().down().cloned().collect();
    for name in down {
        tokio::task::spawn_local(probe(state.clone(), name));
    }
}
