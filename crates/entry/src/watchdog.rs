//! Looks after streams in flight: moves those that lost a stage, probes doubted endpoints.

use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::{Instant, sleep};

use crate::sending::{probe, suspect};
use crate::stall::detect_stalls;
use crate::state::EntryState;

/// Time between two looks: a fraction of the shortest silence that is doubtful.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a look that shows that this host stood still or was starved, so that the silence of
/// its streams says nothing.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(80);
/// Time between two probes of endpoints that do not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Runs until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    let mut last_check = Instant::now();
    let mut last_probe = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        if now - last_check > CHECK_INTERVAL + MAX_CHECK_DELAY {
            state.inflight.borrow().reset_silence(now);
        }
        last_check = now;
        check_streams(&state, now);
        if now - last_probe >= PROBE_INTERVAL {
            last_probe = now;
            probe_down_endpoints(&state);
        }
    }
}

fn check_streams(state: &Rc<EntryState>, now: Instant) {
    if state.inflight.borrow().count() == 0 {
        return;
    }
    let views = state.inflight.borrow().views();
    let first_event_delay = state.inflight.borrow().first_event_delay();
    let findings = detect_stalls(now, first_event_delay, &views);
    for name in &findings.suspects {
        suspect(state, name, "silent streams");
    }
    for number in findings.overdue {
        state.inflight.borrow().request_reroute(number);
    }
}

fn probe_down_endpoints(state: &Rc<EntryState>) {
    let down: Vec<EndpointName> = state.beliefs.borrow().down().cloned().collect();
    for name in down {
        tokio::task::spawn_local(probe(state.clone(), name));
    }
}
