//! Takeover of the placement lease by hosts that run on a registry in memory, on the paused clock.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use cluster::{Cluster, RunningHost};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const DOMAINS: [&str; 3] = ["north", "middle", "south"];
/// Time from the end of the holder's process within which a host holds the lease and may send
/// orders (A3).
const TAKEOVER_BOUND: Duration = Duration::from_millis(1_000);
/// Time after the last change of the record after which the lease of a host that does not answer is
/// taken.
const LAPSE_TIME: Duration = Duration::from_millis(2_500);
/// Interval between two looks at the hosts.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Starts hosts, a tenth of them strong ones, and waits until they have settled.
async fn start_hosts(count: usize) -> Cluster {
    let mut cluster = Cluster::start(&DOMAINS).await;
    for number in 0..count {
        let capacity = if number % 10 == 0 { 500 } else { 100 };
        cluster.add_host(&format!("h{number:03}"), DOMAINS[number % 3], capacity);
    }
    sleep(Duration::from_secs(12)).await;
    cluster
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

fn holders(cluster: &Cluster) -> Vec<&RunningHost> {
    cluster.running().filter(|host| host.state.is_holder()).collect()
}

/// What a host believes of the placement holder, for failure messages.
fn describe(host: &RunningHost) -> String {
    let (state, takeover) = (&host.state, host.state.takeover.borrow());
    format!(
        "{}: holder {:?}, is it {}, follows {}, {takeover:?}",
        host.name,
        state.placement_holder.borrow().as_ref().map(|holder| holder.host.clone()),
        state.is_holder(),
        state.is_following_holder(),
    )
}

/// Index of the only holder.
fn holder_index(cluster: &Cluster) -> usize {
    assert_eq!(holders(cluster).len(), 1);
    let name = holders(cluster)[0].name.clone();
    cluster.hosts.iter().position(|host| host.name == name).expect("the holder is a host")
}

/// Waits until a host is the holder; returns the time from `since`.
async fn wait_for_holder(cluster: &Cluster, since: Instant) -> Duration {
    while holders(cluster).is_empty() {
        assert!(since.elapsed() < Duration::from_secs(10), "no host takes the lease");
        sleep(LOOK_INTERVAL).await;
    }
    since.elapsed()
}

/// Ends the holder's process; returns its index and when it ended.
async fn kill_holder(cluster: &mut Cluster) -> (usize, Instant) {
    let index = holder_index(cluster);
    cluster.kill_host(index);
    // The process ends when its task is next polled.
    tokio::task::yield_now().await;
    (index, Instant::now())
}

/// Names of the hosts that wrote the lease after a time, with the times.
fn lease_writers(cluster: &Cluster, after: Instant) -> Vec<(Instant, Box<str>)> {
    let writes = cluster.registry.lease_writes().into_iter().filter(|(at, _)| *at > after);
    writes.map(|(at, text)| (at, text.split(' ').next().unwrap_or_default().into())).collect()
}

/// Kills the holder at different times between its exchanges, and starts it again later.
async fn check_takeovers(host_count: usize, kills: u64) {
    let mut cluster = start_hosts(host_count).await;
    for number in 0..kills {
        sleep(Duration::from_millis(6_000 + number * 67)).await;
        let (index, killed) = kill_holder(&mut cluster).await;
        let taken = wait_for_holder(&cluster, killed).await;
        assert!(taken <= TAKEOVER_BOUND, "{host_count} hosts, kill {number}: {taken:?}");
        sleep(Duration::from_millis(3_000)).await;
        assert_eq!(holders(&cluster).len(), 1);
        cluster.restart_host(index);
    }
}

/// Nothing was placed for 3 s after the end of the holder's process.
#[tokio::test(start_paused = true)]
async fn ended_holder_is_replaced_in_time_at_6_hosts() {
    run(check_takeovers(6, 12)).await;
}

#[tokio::test(start_paused = true)]
async fn ended_holder_is_replaced_in_time_at_63_hosts() {
    run(check_takeovers(63, 4)).await;
}

#[tokio::test(start_paused = true)]
async fn ended_holder_is_replaced_in_time_at_300_hosts() {
    run(check_takeovers(300, 2)).await;
}

/// The only other host of a small deployment is also a weak one, which waits before it takes a lease.
#[tokio::test(start_paused = true)]
async fn ended_holder_of_two_hosts_is_replaced_in_time() {
    run(check_takeovers(2, 12)).await;
}

/// A holder whose process starts again took its own lease 3 s later.
#[tokio::test(start_paused = true)]
async fn restarted_holder_goes_on_in_time() {
    run(async {
        for (host_count, away_ms) in [(1, 500), (1, 100), (6, 100), (6, 300), (6, 500)] {
            let mut cluster = start_hosts(host_count).await;
            let (index, killed) = kill_holder(&mut cluster).await;
            sleep(Duration::from_millis(away_ms)).await;
            cluster.restart_host(index);
            let taken = wait_for_holder(&cluster, killed).await;
            assert!(taken <= TAKEOVER_BOUND, "{host_count} hosts, {away_ms} ms: {taken:?}");
            sleep(Duration::from_secs(3)).await;
            assert_eq!(holders(&cluster).len(), 1, "{host_count} hosts, {away_ms} ms");
        }
    })
    .await;
}

/// Several hosts find the end of the holder at the same time; only one may become the holder.
#[tokio::test(start_paused = true)]
async fn one_of_several_hosts_takes_the_lease() {
    run(async {
        let mut cluster = Cluster::start(&DOMAINS).await;
        for number in 0..8 {
            // Strong hosts wait the least before they take a lease.
            cluster.add_host(&format!("h{number}"), DOMAINS[number % 3], 100_000);
        }
        sleep(Duration::from_secs(12)).await;
        for _ in 0..6 {
            sleep(Duration::from_secs(6)).await;
            let (index, killed) = kill_holder(&mut cluster).await;
            wait_for_holder(&cluster, killed).await;
            sleep(Duration::from_secs(3)).await;
            let mut writers: Vec<_> =
                lease_writers(&cluster, killed).into_iter().map(|(_, name)| name).collect();
            writers.dedup();
            assert_eq!(writers.len(), 1, "the lease went from host to host: {writers:?}");
            assert_eq!(holders(&cluster).len(), 1);
            cluster.restart_host(index);
        }
    })
    .await;
}

/// The process of a frozen holder has not ended; its connections are accepted and time out.
#[tokio::test(start_paused = true)]
async fn lease_of_a_frozen_holder_is_not_taken_before_it_lapses() {
    run(async {
        for host_count in [3, 40] {
            let cluster = start_hosts(host_count).await;
            let index = holder_index(&cluster);
            let name = cluster.hosts[index].name.clone();
            let frozen = Instant::now();
            cluster.set_frozen(index, true);
            let (last, _) = cluster.registry.lease_at(frozen).expect("a lease");
            while lease_writers(&cluster, frozen).is_empty() {
                assert!(frozen.elapsed() < Duration::from_secs(8), "the lease is never taken");
                sleep(LOOK_INTERVAL).await;
            }
            let (taken, writer) = lease_writers(&cluster, frozen)[0].clone();
            assert_ne!(writer, name);
            assert!(taken - last >= LAPSE_TIME, "taken {:?} after the last write", taken - last);
            cluster.set_frozen(index, false);
            sleep(Duration::from_secs(4)).await;
            assert_eq!(holders(&cluster).len(), 1);
        }
    })
    .await;
}

/// A wrong finding must cost no more than a conflict: there is a holder at each moment, and one in
/// the end.
#[tokio::test(start_paused = true)]
async fn takeover_from_a_holder_that_runs_does_not_stop_placement() {
    run(async {
        let cluster = start_hosts(6).await;
        let index = holder_index(&cluster);
        let taker = cluster.hosts[(index + 1) % 6].state.clone();
        let holder = taker.placement_holder.borrow().clone().expect("a holder");
        assert_eq!(holder.host, cluster.hosts[index].name);
        let wrong = Instant::now();
        while !taker.is_holder() {
            assert!(wrong.elapsed() < Duration::from_secs(3), "the finding has no effect");
            // The next exchange with the holder resets the finding.
            let now = Instant::now();
            taker.takeover.borrow_mut().record_refused(&holder, now);
            taker.takeover.borrow_mut().record_refused(&holder, now + Duration::from_millis(200));
            taker.holder_ended.notify_one();
            sleep(LOOK_INTERVAL).await;
            assert!(!holders(&cluster).is_empty());
        }
        while wrong.elapsed() < Duration::from_secs(8) {
            sleep(LOOK_INTERVAL).await;
            assert!(!holders(&cluster).is_empty(), "after {:?}", wrong.elapsed());
        }
        assert_eq!(holders(&cluster).len(), 1);
        assert!(taker.is_holder());
    })
    .await;
}

/// A restore brings back a lease of a process that ended before; its host must not take it while the
/// last holder may still act.
#[tokio::test(start_paused = true)]
async fn restored_lease_of_an_ended_process_is_not_taken_before_it_lapses() {
    run(async {
        for is_restarted_after in [false, true] {
            let mut cluster = start_hosts(3).await;
            let copy = cluster.registry.copy();
            let (index, killed) = kill_holder(&mut cluster).await;
            wait_for_holder(&cluster, killed).await;
            sleep(Duration::from_secs(3)).await;
            if !is_restarted_after {
                cluster.restart_host(index);
                sleep(Duration::from_secs(3)).await;
            }
            let restored = Instant::now();
            cluster.registry.restore(copy);
            if is_restarted_after {
                cluster.restart_host(index);
            }
            while lease_writers(&cluster, restored).is_empty() {
                assert!(restored.elapsed() < Duration::from_secs(8), "the lease is never taken");
                sleep(LOOK_INTERVAL).await;
            }
            let taken = lease_writers(&cluster, restored)[0].0 - restored;
            assert!(taken >= LAPSE_TIME, "taken {taken:?} after the restore");
            sleep(Duration::from_secs(4)).await;
            assert_eq!(holders(&cluster).len(), 1);
        }
    })
    .await;
}

/// While the registry is away, no lease is taken and the holder goes on.
#[tokio::test(start_paused = true)]
async fn holder_acts_on_while_the_registry_is_away() {
    run(async {
        let cluster = start_hosts(6).await;
        let name = holders(&cluster)[0].name.clone();
        let away = Instant::now();
        cluster.registry.set_down(true);
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            let names: Vec<_> = holders(&cluster).iter().map(|host| host.name.clone()).collect();
            assert_eq!(names, std::slice::from_ref(&name));
        }
        assert!(lease_writers(&cluster, away).is_empty());
    })
    .await;
}

/// A host that takes over while a layer is missing must send orders at once.
#[tokio::test(start_paused = true)]
async fn missing_layers_are_ordered_again_in_time_after_the_end_of_the_holder() {
    run(async {
        for host_count in [6, 40] {
            let mut cluster = start_hosts(host_count).await;
            let holder = holders(&cluster)[0].name.clone();
            cluster.endpoints[0].clone().leave(&cluster.registry);
            cluster.add_endpoint("north-new", "north").await;
            let (_, killed) = kill_holder(&mut cluster).await;
            let first = || {
                let orders = cluster.orders.borrow();
                let after = orders.iter().find(|order| order.at > killed && order.host != holder);
                after.cloned()
            };
            while first().is_none() {
                assert!(killed.elapsed() < Duration::from_secs(10), "no orders");
                sleep(LOOK_INTERVAL).await;
            }
            let ordered = first().expect("an order");
            assert!(ordered.endpoint.starts_with("north"), "{ordered:?} closes no gap");
            let after = ordered.at - killed;
            assert!(after <= TAKEOVER_BOUND, "{host_count} hosts: ordered after {after:?}");
        }
    })
    .await;
}

/// A holder that reaches no endpoint kept the lease, and nothing was placed.
#[tokio::test(start_paused = true)]
async fn holder_without_links_leaves_the_lease_to_another_host() {
    run(async {
        for host_count in [6, 40] {
            check_release(host_count).await;
        }
    })
    .await;
}

async fn check_release(host_count: usize) {
    let cluster = start_hosts(host_count).await;
    let index = holder_index(&cluster);
    let state = cluster.hosts[index].state.clone();
    let other = cluster.hosts[(index + 1) % host_count].state.clone();
    // The other host has had replies until the loss, too.
    for _ in 0..40 {
        other.takeover.borrow_mut().record_endpoint_reply(Instant::now());
        sleep(Duration::from_millis(50)).await;
    }
    cluster.endpoints.iter().for_each(|endpoint| endpoint.stop_server());
    let lost = Instant::now();
    state.reach.borrow_mut().record_failure("guide", lost);
    state.reach_changed.notify_waiters();
    while lost.elapsed() < Duration::from_millis(3_000) {
        sleep(LOOK_INTERVAL).await;
        assert!(state.is_holder(), "no other host reaches endpoints either");
    }
    let reported = Instant::now();
    while holders(&cluster).iter().all(|host| host.name == cluster.hosts[index].name) {
        let beliefs: Vec<_> = cluster.running().map(describe).collect();
        assert!(reported.elapsed() < Duration::from_secs(3), "no other holder: {beliefs:#?}");
        other.takeover.borrow_mut().record_endpoint_reply(Instant::now());
        sleep(LOOK_INTERVAL).await;
    }
    while reported.elapsed() < Duration::from_secs(12) {
        assert!(!state.is_holder(), "it has taken the lease without links");
        sleep(LOOK_INTERVAL).await;
    }
    assert_eq!(holders(&cluster).len(), 1);
}
