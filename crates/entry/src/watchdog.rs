//! Watchdog of streams in flight: probes suspect endpoints, and has overdue streams rerouted.

use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::{Instant, sleep};

use crate::sending::{probe, probe_entry, suspect};
use crate::stall::detect_stalls;
use crate::state::EntryState;

/// Interval between checks, a fraction of the shortest suspect silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a check beyond which this host itself was stalled or starved, so that the silence of
/// its streams says nothing about the endpoints.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(80);
/// Interval between probes of endpoints that are down.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Runs the watchdog until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    let mut last_check = Instant::now();
    let mut last_probe = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        state.heartbeat.beat();
        let now = Instant::now();
        if now - last_check > CHECK_INTERVAL + MAX_CHECK_DELAY {
            state.inflight.borrow().reset_silence(now);
        }
        last_check = now;
        check_streams(&state, now);
        let mut due = state.end_claims.borrow_mut().take_due();
        due.extend(state.endpoints.borrow_mut().take_due_claims(now));
        for entry in due {
            tokio::task::spawn_local(probe_entry(state.clone(), entry));
        }
        if now - last_probe >= PROBE_INTERVAL {
            last_probe = now;
            probe_down_endpoints(&state);
        }
    }
}

/// Probes suspect endpoints and requests new paths for overdue streams.
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
    let down: Vec<EndpointName> = state.health.borrow().down().cloned().collect();
    for name in down {
        tokio::task::spawn_local(probe(state.clone(), name));
    }
}
