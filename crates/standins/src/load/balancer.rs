//! The balancer in front of the routers: sends calls only to those that say they are ready.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Time between two looks at a router.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for a router to say whether it is ready.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Knows which routers are ready; stops looking when it is dropped.
pub(super) struct LoadBalancer {
    ready: Arc<[AtomicBool]>,
    stopped: Arc<AtomicBool>,
}

impl LoadBalancer {
    /// Looks at each router's `/readyz` from now on; every router is taken for ready at first.
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

    /// The router for a draw: a ready one if there is one.
    pub(super) fn choose(&self, draw: usize, routers: usize) -> usize {
        let order = (0..routers).map(|step| (draw + step) % routers);
        let is_ready = |index: &usize| {
            self.ready.get(*index).is_none_or(|ready| ready.load(Ordering::Relaxed))
        };
        order.clone().find(is_ready).unwrap_or(draw % routers)
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
