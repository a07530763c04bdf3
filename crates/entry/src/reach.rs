//! Services whose endpoints this host or another one cannot connect to, and the host that serves
//! calls of such a service meanwhile.
//!
//! Answers to a load pattern: one host, half of all hosts or all hosts of a failure domain lose
//! connectivity to all endpoints of a service for some seconds, while callers, the registry and the
//! other hosts still reach them. Connections to endpoints hang, are refused, or are reset. Such a
//! host cannot serve any call of the service, and the other hosts have free capacity.
//!
//! If all endpoints of a service are down, each host observes the same. Hosts therefore tell one
//! another which services they cannot reach.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthrock::{HostName, ServiceName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::PeerHost;

/// Time from a failed connection after which a service without any reply counts as lost. Hosts with
/// a few streams a second have replies of other endpoints within this time if there are any.
const LOSS_TIME: Duration = Duration::from_millis(150);
/// Time from a failed connection after which endpoints are probed, so that a host with little
/// traffic has their replies before it takes the service for lost.
const DOUBT_TIME: Duration = Duration::from_millis(75);
/// Time from the first probe after which a service may count as lost; probes take up to 70 ms. A
/// host that was stalled probes late, and the failure may be due to the stall.
const REPLY_TIME: Duration = Duration::from_millis(75);
/// Interval between probes of a service's endpoints from then on.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a report of another host counts, from the time at which it was true. Reports pass
/// through up to four exchanges of 200 ms.
const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Most hosts in a report.
const MAX_REPORTED_HOSTS: usize = 512;
/// Most services of one host in a report.
const MAX_REPORTED_SERVICES: usize = 64;
/// Most hosts that a call is passed on to, one after another.
pub(crate) const MAX_HOSTS: usize = 4;
/// Most of these in the own failure domain, if there are others: all hosts of a domain can lose
/// connectivity before they have told one another.
const MAX_OWN_DOMAIN_HOSTS: usize = 2;

/// Services that a host cannot reach, as hosts tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReport {
    /// Host.
    pub host: HostName,
    /// Services none of whose endpoints it reaches.
    pub services: BTreeSet<ServiceName>,
    /// Time since the host has said so, in ms.
    pub age_ms: u64,
}

/// What a call requires of the host that it is passed on to.
#[derive(Clone, Copy, Debug)]
pub struct HostQuery<'a> {
    /// Service of the call.
    pub service: &'a str,
    /// Failure domain of the host that passes the call on.
    pub domain: &'a str,
    /// Capacity of this host.
    pub capacity: u32,
    /// Hosts that the call was passed on to before.
    pub tried: &'a BTreeSet<HostName>,
}

/// Failed connections to a service since its last reply.
#[derive(Clone, Copy, Debug)]
struct LinkFailure {
    /// When the first connection failed.
    since: Instant,
    /// When endpoints were first probed since.
    probed_at: Option<Instant>,
    next_probe: Instant,
    is_announced: bool,
}

#[derive(Clone, Debug)]
struct HostReach {
    services: BTreeSet<ServiceName>,
    at: Instant,
}

/// Services that this host and others cannot reach, and hosts that take no forwarded calls.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::ReachTable;
/// use tokio::time::Instant;
///
/// let (mut table, now) = (ReachTable::default(), Instant::now());
/// let ms = Duration::from_millis;
/// table.record_failure("chat", now);
/// assert_eq!(table.take_probes(now + ms(75)), ["chat".into()]);
/// assert!(!table.is_lost("chat", now + ms(149)));
/// assert!(table.is_lost("chat", now + ms(150)));
/// table.record_reply("chat", now + ms(200));
/// assert!(!table.is_lost("chat", now + ms(400)));
/// ```
#[derive(Debug, Default)]
pub struct ReachTable {
    failures: BTreeMap<ServiceName, LinkFailure>,
    reports: BTreeMap<HostName, HostReach>,
    /// Hosts that take no forwarded calls, with the end of that time.
    avoided: BTreeMap<HostName, Instant>,
}

impl ReachTable {
    /// Records that a connection to an endpoint of a service was refused, reset or not established
    /// in time. Returns whether it is the first since the service's last reply.
    pub fn record_failure(&mut self, service: &str, now: Instant) -> bool {
        if self.failures.contains_key(service) {
            return false;
        }
        let failure = LinkFailure {
            since: now,
            probed_at: None,
            next_probe: now + DOUBT_TIME,
            is_announced: false,
        };
        self.failures.insert(service.into(), failure);
        true
    }

    /// Records that an endpoint of a service has replied to a send or a probe. Returns the time since
    /// the first failure if the loss of the service was announced.
    pub fn record_reply(&mut self, service: &str, now: Instant) -> Option<Duration> {
        let failure = self.failures.remove(service)?;
        failure.is_announced.then(|| now.saturating_duration_since(failure.since))
    }

    /// Whether a connection to the service has failed and none of its endpoints has replied since.
    pub fn is_doubtful(&self, service: &str) -> bool {
        self.failures.contains_key(service)
    }

    /// Whether this host has lost connectivity to all endpoints of a service.
    pub fn is_lost(&self, service: &str, now: Instant) -> bool {
        self.failures.get(service).is_some_and(|failure| failure.is_lost(now))
    }

    /// Services to which connectivity was lost since the last call.
    pub fn take_lost(&mut self, now: Instant) -> Vec<ServiceName> {
        let lost = self.failures.iter_mut().filter_map(|(service, failure)| {
            let is_new = failure.is_lost(now) && !failure.is_announced;
            failure.is_announced |= is_new;
            is_new.then(|| service.clone())
        });
        lost.collect()
    }

    /// Services of which some endpoints are to be probed now.
    pub fn take_probes(&mut self, now: Instant) -> Vec<ServiceName> {
        let due = self.failures.iter_mut().filter_map(|(service, failure)| {
            if now < failure.next_probe {
                return None;
            }
            failure.probed_at.get_or_insert(now);
            failure.next_probe = now + PROBE_INTERVAL;
            Some(service.clone())
        });
        due.collect()
    }

    /// When [`take_lost`](Self::take_lost) or [`take_probes`](Self::take_probes) next has a result;
    /// none while no connection fails.
    pub fn next_check(&self) -> Option<Instant> {
        let checks = self.failures.values().map(|failure| {
            let lost_at = failure.lost_at().filter(|_| !failure.is_announced);
            lost_at.map_or(failure.next_probe, |at| at.min(failure.next_probe))
        });
        checks.min()
    }

    /// Forgets failures of services that have no endpoints, and hosts that are no longer known.
    pub fn retain(
        &mut self,
        is_served: impl Fn(&str) -> bool,
        is_known: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        self.failures.retain(|service, _| is_served(service));
        self.reports.retain(|host, reach| is_known(host) && now < reach.at + REPORT_TIME);
        self.avoided.retain(|host, until| is_known(host) && now < *until);
    }

    /// Reports for other hosts: of `own`, this host, and with what it has heard if that is to be
    /// passed on.
    pub fn reports(&self, own: &HostName, passes_on: bool, now: Instant) -> Vec<ReachReport> {
        let lost = self.failures.iter().filter(|(_, failure)| failure.is_lost(now));
        let services: BTreeSet<_> = lost.map(|(service, _)| service.clone()).collect();
        let own_report = ReachReport { host: own.clone(), services, age_ms: 0 };
        let heard = self.reports.iter().filter(|(_, reach)| now < reach.at + REPORT_TIME);
        let heard = heard.filter(|_| passes_on).map(|(host, reach)| ReachReport {
            host: host.clone(),
            services: reach.services.clone(),
            age_ms: now.saturating_duration_since(reach.at).as_millis() as u64,
        });
        let reports = [own_report].into_iter().chain(heard);
        reports.filter(|it| !it.services.is_empty()).take(MAX_REPORTED_HOSTS).collect()
    }

    /// Takes reports on other hosts, as the host `from` sends them; what it says of itself replaces
    /// what it said before. `own` is this host, of which others know nothing better.
    pub fn apply(
        &mut self,
        own: &HostName,
        from: &HostName,
        reports: Vec<ReachReport>,
        now: Instant,
    ) {
        self.reports.remove(from);
        self.reports.retain(|_, reach| now < reach.at + REPORT_TIME);
        for report in reports.into_iter().take(MAX_REPORTED_HOSTS) {
            let at = now.checked_sub(Duration::from_millis(report.age_ms));
            let Some(at) = at.filter(|at| now < *at + REPORT_TIME) else { continue };
            let is_known = self.reports.get(&report.host).is_some_and(|known| known.at >= at);
            let is_full = self.reports.len() >= MAX_REPORTED_HOSTS;
            if report.host == *own || is_known || is_full {
                continue;
            }
            let services = report.services.into_iter().take(MAX_REPORTED_SERVICES).collect();
            self.reports.insert(report.host, HostReach { services, at });
        }
    }

    /// Records that a host has refused a forwarded call since it cannot reach the service itself.
    pub fn record_unreachable(&mut self, host: &HostName, service: &str, now: Instant) {
        let reach = self.reports.entry(host.clone());
        let reach = reach.or_insert_with(|| HostReach { services: BTreeSet::new(), at: now });
        reach.services.insert(service.into());
        reach.at = now;
    }

    /// Sends no forwarded calls to a host for some time.
    pub fn avoid_host(&mut self, host: &HostName, until: Instant) {
        self.avoided.insert(host.clone(), until);
    }

    /// Chooses the host that a call is passed on to: in the own failure domain if its hosts can take
    /// one call for each of their own, at random by capacity. `draw` is random in 0..1.
    pub fn choose_host<'a>(
        &self,
        query: HostQuery<'_>,
        hosts: impl IntoIterator<Item = (&'a HostName, &'a PeerHost)>,
        draw: f64,
        now: Instant,
    ) -> Option<&'a HostName> {
        if query.tried.len() >= MAX_HOSTS {
            return None;
        }
        let (mut own_domain, mut others) = (Vec::new(), Vec::new());
        let (mut serving, mut lost) = (0.0, weight(query.capacity));
        let mut tried_own = 0;
        for (name, host) in hosts {
            let is_own_domain = *host.domain == *query.domain;
            let is_tried = query.tried.contains(name);
            tried_own += usize::from(is_own_domain && is_tried);
            let is_open =
                !self.is_avoided(name, now) && !self.cannot_reach(name, query.service, now);
            if is_own_domain {
                let sum = if is_open { &mut serving } else { &mut lost };
                *sum += weight(host.capacity);
            }
            if is_open && !is_tried {
                let group = if is_own_domain { &mut own_domain } else { &mut others };
                group.push((name, weight(host.capacity)));
            }
        }
        if tried_own >= MAX_OWN_DOMAIN_HOSTS && !others.is_empty() {
            own_domain.clear();
        }
        let own_share = match (own_domain.is_empty(), others.is_empty()) {
            (true, _) => 0.0,
            (false, true) => 1.0,
            (false, false) => f64::min(serving / lost, 1.0),
        };
        if draw < own_share {
            pick(&own_domain, draw / own_share)
        } else {
            pick(&others, (draw - own_share) / (1.0 - own_share))
        }
    }

    fn is_avoided(&self, host: &str, now: Instant) -> bool {
        self.avoided.get(host).is_some_and(|until| now < *until)
    }

    /// Whether a host has said that it cannot reach a service.
    fn cannot_reach(&self, host: &str, service: &str, now: Instant) -> bool {
        self.reports
            .get(host)
            .is_some_and(|reach| reach.services.contains(service) && now < reach.at + REPORT_TIME)
    }
}

impl LinkFailure {
    /// When the service counts as lost; none before its endpoints were probed.
    fn lost_at(&self) -> Option<Instant> {
        self.probed_at.map(|at| (self.since + LOSS_TIME).max(at + REPLY_TIME))
    }

    fn is_lost(&self, now: Instant) -> bool {
        self.lost_at().is_some_and(|at| now >= at)
    }
}

/// Weight of a host in the choice; records of earlier releases have no capacity.
fn weight(capacity: u32) -> f64 {
    f64::from(capacity.max(1))
}

fn pick<'a>(hosts: &[(&'a HostName, f64)], draw: f64) -> Option<&'a HostName> {
    let mut remaining = draw * hosts.iter().map(|(_, weight)| weight).sum::<f64>();
    for (name, weight) in hosts {
        remaining -= weight;
        if remaining < 0.0 {
            return Some(name);
        }
    }
    hosts.last().map(|(name, _)| *name)
}
