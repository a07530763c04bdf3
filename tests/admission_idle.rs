//! Guards against the admission service's timer task waking itself in an endless loop after a change
//! of capacity.

use futures::task::ArcWake;
use jacinthrock::{AdmissionService, GateOptions, MetricRegistry};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Context;
use tokio::task::LocalSet;

/// Polls within which a service without requests must stop waking itself.
const MAX_POLLS_UNTIL_IDLE: usize = 50;

#[derive(Default)]
struct WakeFlag(AtomicBool);

impl ArcWake for WakeFlag {
    fn wake_by_ref(flag: &Arc<Self>) {
        flag.0.store(true, Ordering::SeqCst);
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_of_capacity_does_not_keep_the_service_awake() {
    let tasks = LocalSet::new();
    let service = {
        let _context = tasks.enter();
        AdmissionService::start(GateOptions::default(), 1, Arc::new(MetricRegistry::new()))
    };
    service.set_capacity("guide", 8);
    let flag = Arc::new(WakeFlag::default());
    let waker = futures::task::waker(flag.clone());
    let mut context = Context::from_waker(&waker);
    let mut tasks = pin!(tasks);
    let is_idle = (0..MAX_POLLS_UNTIL_IDLE).any(|_| {
        flag.0.store(false, Ordering::SeqCst);
        let _ = tasks.as_mut().poll(&mut context);
        !flag.0.load(Ordering::SeqCst)
    });
    assert!(is_idle, "the service still wakes itself after {MAX_POLLS_UNTIL_IDLE} polls");
}
