//! Dissemination of revisions, drain marks, endpoint loads and demand in fleets of several sizes.

use jacinthrock::{GossipOptions, QuotaLimits};
use jacinthrock_standins::peer_simulation::{PeerSimulation, SimulationOptions};
use std::time::Duration;

const LONGEST_DELAY: Duration = Duration::from_millis(5);

/// Time within which every host must know a new revision.
const SPREAD_BOUND: Duration = Duration::from_secs(1);

fn simulation(hosts: usize, seed: u64) -> PeerSimulation {
    let options = SimulationOptions {
        hosts,
        longest_delay: LONGEST_DELAY,
        gossip: GossipOptions::default(),
        count_bytes: false,
    };
    let mut simulation = PeerSimulation::new(options, seed);
    simulation.run_until(simulation.now + Duration::from_secs(3 + hosts as u64 / 2));
    simulation
}

/// Number of hosts that do not know the revision.
fn hosts_without_revision(simulation: &PeerSimulation, revision: u64) -> usize {
    let others = simulation.hosts.iter().skip(1);
    let knows = others.filter(|host| {
        let table = host.core.as_ref().expect("host is running").table();
        table.newest_revision(simulation.now).is_some_and(|(_, newest)| newest == revision)
    });
    simulation.hosts.len() - 1 - knows.count()
}

#[test]
fn new_revision_reaches_every_host_within_the_bound() {
    let mut late = Vec::new();
    for (hosts, seeds) in [(2, 5), (7, 10), (12, 20), (24, 20)] {
        for seed in 0..seeds {
            let mut simulation = simulation(hosts, seed);
            let now = simulation.now;
            simulation.hosts[0].core.as_mut().expect("host is running").announce_revision(now, 9);
            simulation.schedule_tick(0);
            simulation.run_until(now + SPREAD_BOUND);
            if hosts_without_revision(&simulation, 9) > 0 {
                late.push((hosts, seed));
            }
        }
    }
    assert_eq!(late, []);
}

#[test]
fn drain_mark_reaches_every_host_and_those_that_start_later() {
    let mut simulation = simulation(7, 1);
    simulation.hosts[0].core.as_mut().expect("host is running").set_drain_mark("engine-1", 5, true);
    simulation.run_until(simulation.now + Duration::from_secs(5));
    simulation.kill(3);
    simulation.start(3);
    simulation.run_until(simulation.now + Duration::from_secs(5));
    for host in &simulation.hosts {
        assert!(host.core.as_ref().expect("host is running").is_draining("engine-1"));
    }
    let core = simulation.hosts[2].core.as_mut().expect("host is running");
    core.set_drain_mark("engine-1", 4, false);
    assert!(core.is_draining("engine-1"));
    core.set_drain_mark("engine-1", 6, false);
    simulation.run_until(simulation.now + Duration::from_secs(5));
    assert!(!simulation.hosts[5].core.as_ref().expect("host is running").is_draining("engine-1"));
}

#[test]
fn two_hosts_poll_each_endpoint_and_the_others_receive_its_load() {
    let mut simulation = simulation(7, 1);
    for endpoint in 0..43 {
        let name = format!("engine-{endpoint}");
        let now = simulation.now;
        let cores = simulation.hosts.iter_mut().filter_map(|host| host.core.as_mut());
        let pollers: Vec<_> = cores.filter(|core| core.is_poller_of(now, &name)).collect();
        assert_eq!(pollers.len(), 2, "{name}");
        for core in pollers {
            core.record_load(now, &name, endpoint, 1, false);
        }
    }
    simulation.run_until(simulation.now + Duration::from_secs(8));
    for host in &simulation.hosts {
        let core = host.core.as_ref().expect("host is running");
        for endpoint in 0..43 {
            let load = core
                .load_of(simulation.now, &format!("engine-{endpoint}"))
                .expect("the load is known");
            assert_eq!(u32::from(load.running), endpoint);
            // The age excludes the network delay, which hosts cannot measure without a shared clock.
            assert!(load.age + LONGEST_DELAY >= Duration::from_secs(8));
        }
    }
}

#[test]
fn limits_are_divided_in_fleets_too_large_for_a_full_mesh() {
    const LIMIT: u32 = 40;
    for hosts in [12] {
        let mut simulation = simulation(hosts, 1);
        let limits = QuotaLimits { requests_per_second: LIMIT, concurrent_requests: 100 };
        for host in &mut simulation.hosts {
            let core = host.core.as_mut().expect("host is running");
            core.allocator_mut().set_limits(simulation.now, "parish", limits);
        }
        for second in 0..240 {
            simulation.run_until(simulation.now + Duration::from_secs(1));
            let now = simulation.now;
            let busy = if second < 120 { 0 } else { 1 };
            let core = simulation.hosts[busy].core.as_mut().expect("host is running");
            for _ in 0..100 {
                if core.allocator_mut().try_take(now, "parish").is_ok() {
                    core.allocator_mut().release("parish");
                }
            }
            let cores = simulation.hosts.iter().filter_map(|host| host.core.as_ref());
            let shares = cores.filter_map(|core| core.allocator().rate_allocation(now, "parish"));
            let sum: f64 = shares.sum();
            assert!(second < 60 || sum <= f64::from(LIMIT) + 1e-6, "{hosts} {second} {sum}");
        }
        let core = simulation.hosts[1].core.as_ref().expect("host is running");
        let share =
            core.allocator().rate_allocation(simulation.now, "parish").expect("limits are set");
        println!("share of the host with all the demand among {hosts}: {share:.1} of {LIMIT}");
        assert!(share > 0.8 * f64::from(LIMIT), "{hosts} {share}");
    }
}

#[test]
fn one_way_link_is_detected() {
    let mut simulation = simulation(3, 1);
    simulation.set_partitioned(1, 0, true);
    simulation.run_until(simulation.now + Duration::from_secs(10));
    let core = |host: usize| simulation.hosts[host].core.as_ref().expect("host is running").table();
    assert_eq!(core(1).one_way(simulation.now), [PeerSimulation::name(0)]);
    assert!(core(1).fleet(simulation.now).silent.contains(&PeerSimulation::name(0)));
    assert!(core(2).one_way(simulation.now).is_empty());
    assert_eq!(core(0).live(simulation.now).count(), 2);
}
