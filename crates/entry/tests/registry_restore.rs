//! A registry that comes back from a copy of an earlier time, under hosts that run on it.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cluster::{Cluster, RunningHost, rules};
use jacinthrock_entry::RecordGroup;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use registry::RegistryCopy;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const DOMAINS: [&str; 2] = ["north", "south"];
/// Time within which all hosts must have caught up with the registry.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time after which the registry removes an entry that is not written again.
const ENTRY_LIFETIME: Duration = Duration::from_secs(3);
/// Seeds of the schedules that CI runs.
const CI_SCHEDULES: &str = "0..12";
/// Environment variable with the seeds to run instead.
const SCHEDULES_VARIABLE: &str = "JACINTHROCK_RESTORE_SCHEDULES";

async fn start_hosts(count: usize) -> Cluster {
    Cluster::start_hosts(&DOMAINS, count).await
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

fn holders(cluster: &Cluster) -> Vec<&RunningHost> {
    cluster.running().filter(|host| host.state.is_holder()).collect()
}

fn rules_in_force(host: &RunningHost) -> u64 {
    host.state.rules().map_or(0, |rules| rules.rules().version)
}

/// What a host believes of the placement holder, for failure messages.
fn describe(host: &RunningHost) -> String {
    let state = &host.state;
    let holder = state.placement_holder.borrow().as_ref().map(|holder| holder.host.clone());
    format!(
        "{}: holder {holder:?}, is it {}, follows {}, heard it {}, era {}, confirmed {:?}",
        host.name,
        state.is_holder(),
        state.is_following_holder(),
        state.has_heard_holder(),
        state.registry_era(),
        state.table_confirmed().map(|at| at.elapsed())
    )
}

/// Revisions are given out again after a restore, so that new rules can have a lower revision than
/// the rules in force.
#[tokio::test(start_paused = true)]
async fn rules_written_after_a_restore_are_in_force_in_time() {
    run(async {
        let cluster = start_hosts(3).await;
        let copy = cluster.registry.copy();
        for version in 2..9 {
            cluster.registry.write_rules(rules(version));
            sleep(Duration::from_millis(450)).await;
        }
        cluster.registry.restore(copy);
        sleep(Duration::from_millis(100)).await;
        cluster.registry.write_rules(rules(9));
        sleep(CATCH_UP).await;
        let versions: Vec<_> = cluster.running().map(rules_in_force).collect();
        assert_eq!(versions, [9, 9, 9]);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn accepted_rules_stay_in_force_while_the_copy_lacks_them() {
    run(async {
        let cluster = start_hosts(3).await;
        let copy = cluster.registry.copy();
        cluster.registry.write_rules(rules(2));
        sleep(Duration::from_secs(2)).await;
        cluster.registry.restore(copy);
        for _ in 0..20 {
            sleep(Duration::from_millis(200)).await;
            let versions: Vec<_> = cluster.running().map(rules_in_force).collect();
            assert_eq!(versions, [2, 2, 2]);
        }
        cluster.registry.write_rules(rules(2));
        cluster.registry.write_rules(rules(3));
        sleep(CATCH_UP).await;
        let versions: Vec<_> = cluster.running().map(rules_in_force).collect();
        assert_eq!(versions, [3, 3, 3]);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn lease_of_the_former_era_is_void_and_taken_again() {
    run(async {
        let cluster = start_hosts(3).await;
        let copy = cluster.registry.copy();
        sleep(Duration::from_secs(3)).await;
        assert_eq!(holders(&cluster).len(), 1);
        cluster.registry.restore(copy);
        sleep(Duration::from_millis(1_200)).await;
        assert_eq!(holders(&cluster).len(), 0, "the registry has named no holder since");
        sleep(CATCH_UP).await;
        assert_eq!(holders(&cluster).len(), 1);
        let holder = holders(&cluster)[0];
        let text = cluster.registry.record(RecordGroup::Leases, "placement").expect("a lease");
        assert!(text.starts_with(&*holder.name), "{text} names {}", holder.name);
    })
    .await;
}

/// A renewal whose reply is lost must not cost the lease: the next tries are in time.
#[tokio::test(start_paused = true)]
async fn lost_reply_to_a_renewal_does_not_end_the_lease() {
    run(async {
        let cluster = start_hosts(3).await;
        let holder = holders(&cluster)[0].name.clone();
        for _ in 0..10 {
            cluster.registry.lose_reply(&holder);
            for _ in 0..30 {
                sleep(Duration::from_millis(50)).await;
                let names: Vec<_> =
                    holders(&cluster).iter().map(|host| host.name.clone()).collect();
                assert_eq!(names, std::slice::from_ref(&holder));
            }
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn hosts_register_again_when_the_copy_lacks_them() {
    run(async {
        let mut cluster = start_hosts(2).await;
        let copy = cluster.registry.copy();
        cluster.add_host("late", "north", 250);
        sleep(Duration::from_secs(4)).await;
        assert!(cluster.registry.record(RecordGroup::Hosts, "late").is_some());
        cluster.registry.restore(copy);
        sleep(CATCH_UP).await;
        assert!(cluster.registry.record(RecordGroup::Hosts, "late").is_some());
    })
    .await;
}

/// An endpoint that has announced its leave, or is gone, is listed as ready by a copy from before.
#[tokio::test(start_paused = true)]
async fn endpoint_that_left_gets_no_work_after_a_restore() {
    run(async {
        let cluster = start_hosts(3).await;
        let copy = cluster.registry.copy();
        let (drained, gone) = (cluster.endpoints[0].clone(), cluster.endpoints[1].clone());
        gone.leave(&cluster.registry);
        drained.drain(&cluster.registry);
        sleep(Duration::from_secs(1)).await;
        drained.leave(&cluster.registry);
        sleep(Duration::from_millis(300)).await;
        cluster.registry.restore(copy);
        for _ in 0..30 {
            sleep(Duration::from_millis(100)).await;
            for host in cluster.running() {
                for name in [&drained.name, &gone.name] {
                    let entry = host.state.endpoint(name);
                    let is_used = entry.is_some_and(|entry| !entry.is_draining);
                    assert!(!is_used, "{} may send to {name}", host.name);
                }
            }
        }
    })
    .await;
}

/// Random schedules of restores among changes, kills, cuts and lost replies.
#[tokio::test(start_paused = true)]
async fn hosts_agree_after_any_schedule_of_restores() {
    let seeds = std::env::var(SCHEDULES_VARIABLE).unwrap_or_else(|_| CI_SCHEDULES.into());
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    for seed in number(first)..number(end) {
        run(run_schedule(seed)).await;
    }
}

/// State of a random schedule.
struct ScheduleRun {
    seed: u64,
    draw: StdRng,
    cluster: Cluster,
    rules_version: u64,
    endpoint_count: usize,
    copy: Option<(Instant, RegistryCopy)>,
    cut: BTreeSet<Box<str>>,
    /// Highest rules version seen in force, by host and incarnation.
    seen_rules: BTreeMap<(Box<str>, u64), u64>,
    /// Endpoints that have left and that a host had listed, by host and incarnation.
    listed_leavers: BTreeSet<(Box<str>, u64, Box<str>)>,
    /// Those of which the host knows that they have left.
    known_leavers: BTreeSet<(Box<str>, u64, Box<str>)>,
    leavers: BTreeSet<Box<str>>,
}

async fn run_schedule(seed: u64) {
    let mut schedule = ScheduleRun {
        seed,
        draw: StdRng::seed_from_u64(seed),
        cluster: start_hosts(5).await,
        rules_version: 1,
        endpoint_count: 0,
        copy: None,
        cut: BTreeSet::new(),
        seen_rules: BTreeMap::new(),
        listed_leavers: BTreeSet::new(),
        known_leavers: BTreeSet::new(),
        leavers: BTreeSet::new(),
    };
    for _ in 0..16 {
        schedule.step().await;
        let pause = Duration::from_millis(schedule.draw.random_range(100..1_500));
        schedule.observe_for(pause).await;
    }
    schedule.restore().await;
    schedule.settle().await;
}

impl ScheduleRun {
    async fn step(&mut self) {
        match self.draw.random_range(0..9) {
            0 => {
                self.rules_version += self.draw.random_range(1..4);
                self.cluster.registry.write_rules(rules(self.rules_version));
            }
            1 => self.replace_endpoint().await,
            2 => self.kill_or_restart(),
            3 => self.cut_or_heal(),
            4 => {
                if let Some(holder) = holders(&self.cluster).first() {
                    self.cluster.registry.lose_reply(&holder.name);
                }
            }
            5 | 6 => self.copy = Some((Instant::now(), self.cluster.registry.copy())),
            _ => self.restore().await,
        }
    }

    async fn replace_endpoint(&mut self) {
        self.endpoint_count += 1;
        let domain = DOMAINS[self.draw.random_range(0..2)];
        let name = format!("new-{}", self.endpoint_count);
        self.cluster.add_endpoint(&name, domain).await;
        let old = self.cluster.endpoints.iter().filter(|old| !self.leavers.contains(&old.name));
        let Some(old) = old.choose(&mut self.draw).cloned() else { return };
        self.leavers.insert(old.name.clone());
        if self.draw.random() {
            old.drain(&self.cluster.registry);
            self.observe_for(Duration::from_millis(800)).await;
        }
        old.leave(&self.cluster.registry);
    }

    fn kill_or_restart(&mut self) {
        let dead = (0..self.cluster.hosts.len())
            .find(|index| !self.cluster.running().any(|host| host.name == self.name(*index)));
        match dead {
            Some(index) => self.cluster.restart_host(index),
            None => {
                let holder = holders(&self.cluster).first().map(|host| host.name.clone());
                let index = (0..self.cluster.hosts.len())
                    .find(|index| Some(self.name(*index)) == holder)
                    .unwrap_or_else(|| self.draw.random_range(0..self.cluster.hosts.len()));
                self.cluster.kill_host(index);
            }
        }
    }

    fn name(&self, index: usize) -> Box<str> {
        self.cluster.hosts[index].name.clone()
    }

    fn cut_or_heal(&mut self) {
        match self.cut.pop_first() {
            Some(host) => self.cluster.registry.set_cut(&host, false),
            None => {
                let index = self.draw.random_range(0..self.cluster.hosts.len());
                let host = self.name(index);
                self.cluster.registry.set_cut(&host, true);
                self.cut.insert(host);
            }
        }
    }

    /// Takes the registry away for a moment and brings it back from the last copy, if that is a few
    /// seconds old at most; then the operator writes the latest rules again.
    async fn restore(&mut self) {
        let taken = self.copy.take().filter(|(at, _)| at.elapsed() < Duration::from_secs(6));
        let Some((_, copy)) = taken else { return };
        self.cluster.registry.set_down(true);
        let away = Duration::from_millis(self.draw.random_range(0..1_500));
        self.observe_for(away).await;
        self.cluster.registry.restore(copy);
        self.cluster.registry.set_down(false);
        // The registry removes entries that nobody writes any more.
        let (registry, leavers) = (self.cluster.registry.clone(), self.leavers.clone());
        tokio::task::spawn_local(async move {
            sleep(ENTRY_LIFETIME).await;
            leavers.iter().for_each(|name| registry.remove_endpoint(name));
        });
        let delay = Duration::from_millis(self.draw.random_range(0..2_000));
        self.observe_for(delay).await;
        if self.cluster.registry.rules_version() != Some(self.rules_version) {
            self.cluster.registry.write_rules(rules(self.rules_version));
        }
    }

    /// Lets time pass and checks what must hold at all times.
    async fn observe_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
            for host in self.cluster.running() {
                let boot = host.state.boot_id;
                let version = rules_in_force(host);
                let seen = self.seen_rules.entry((host.name.clone(), boot)).or_default();
                assert!(version >= *seen, "seed {}: {} goes back", self.seed, host.name);
                *seen = version;
                for leaver in &self.leavers {
                    let entry = host.state.endpoint(leaver);
                    let is_used = entry.as_ref().is_some_and(|entry| !entry.is_draining);
                    let known = (host.name.clone(), boot, leaver.clone());
                    assert!(
                        !is_used || !self.known_leavers.contains(&known),
                        "seed {}: {} uses {leaver} again: {entry:?} at {}\n{}",
                        self.seed,
                        host.name,
                        host.state.endpoints.borrow().version(),
                        describe(host)
                    );
                    // A host that never had the entry cannot know that the endpoint has left.
                    if !is_used && (entry.is_some() || self.listed_leavers.contains(&known)) {
                        self.known_leavers.insert(known.clone());
                    }
                    if entry.is_some() {
                        self.listed_leavers.insert(known);
                    }
                }
            }
        }
    }

    /// Ends all faults and checks that the hosts agree.
    async fn settle(&mut self) {
        for host in std::mem::take(&mut self.cut) {
            self.cluster.registry.set_cut(&host, false);
        }
        for index in 0..self.cluster.hosts.len() {
            let name = self.name(index);
            if !self.cluster.running().any(|host| host.name == name) {
                self.cluster.restart_host(index);
            }
        }
        self.observe_for(CATCH_UP * 2).await;
        let seed = self.seed;
        let beliefs: Vec<_> = self.cluster.running().map(describe).collect();
        assert_eq!(holders(&self.cluster).len(), 1, "seed {seed}: holders of {beliefs:#?}");
        for host in self.cluster.running() {
            assert_eq!(rules_in_force(host), self.rules_version, "seed {seed}: {}", host.name);
            let record = self.cluster.registry.record(RecordGroup::Hosts, &host.name);
            assert!(record.is_some(), "seed {seed}: {} is not registered", host.name);
            for endpoint in &self.cluster.endpoints {
                let entry = host.state.endpoint(&endpoint.name);
                let is_used = entry.is_some_and(|entry| !entry.is_draining);
                let is_live = !self.leavers.contains(&endpoint.name);
                assert_eq!(is_used, is_live, "seed {seed}: {} of {}", endpoint.name, host.name);
            }
        }
        self.check_orders();
    }

    /// No host gives an order once the holder after it has given one.
    fn check_orders(&self) {
        let orders = self.cluster.orders.borrow();
        for (index, order) in orders.iter().enumerate() {
            let Some((written, text)) = self.cluster.registry.lease_at(order.at) else { continue };
            let holder = text.split(' ').next().unwrap_or_default();
            let has_acted = orders[..index]
                .iter()
                .any(|earlier| *earlier.host == *holder && earlier.at >= written);
            assert!(
                *order.host == *holder || !has_acted,
                "seed {}: {order:?} although {holder} has acted\norders: {orders:#?}\nleases: {:#?}",
                self.seed,
                self.cluster.registry.lease_writes()
            );
        }
    }
}
