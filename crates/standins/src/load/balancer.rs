//! Load balancer in front of the routers: sends calls only to routers that report ready.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval between two readiness checks of a router.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Timeout of one readiness check.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Tracks which routers are ready; the polling threads stop when it is dropped.
pub(super) struct LoadBalancer {
    ready: Arc<[AtomicBool]>,
    stopped: Arc<AtomicBool>,
}

impl LoadBalancer {
    /// Starts polling each router's `/readyz`; a router counts as ready until its first check.
    pub(super) fn new(operator_addresses: Vec<Box<str>>) -> Self {
        let ready: Arc<[AtomicBool]> =
            operator_addresses.iter().map(|_| AtomicBool::new(true)).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        for (index, address) in operator_addresses.into_iter().enumerate() {
            let (ready, stopped) = (ready.clone(), stopped.clone());
            thread::spawn(move || poll_router(&address, &ready[index], &stopped));
        }
        Self { ready, stopped }
    }

    /// Picks a router by a random number: the next ready one, or the next one if none is ready.
    pub(super) fn choose(&self, draw: usize, routers: usize) -> usize {
        let candidates = (0..routers).map(|step| (draw + step) % routers);
        let is_ready = |index: &usize| {
            self.ready.get(*index).is_none_or(|ready| ready.load(Ordering::Relaxed))
        };
        candidates.clone().find(is_ready).unwrap_or(draw % routers)
    }
}

impl Drop for LoadBalancer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn poll_router(address: &str, ready: &AtomicBool, stopped: &AtomicBool) {
    let config = ureq::Agent::config_builder().timeout_global(Some(POLL_TIMEOUT)).build();
    let agent = ureq::Agent::from(config);
    let url = format!("http://{address}/readyz");
    while !stopped.load(Ordering::Relaxed) {
        ready.store(agent.get(&url).call().is_ok(), Ordering::Relaxed);
        thread::sleep(POLL_PERIOD);
    }
}
