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
/// Time since a host was last heard of within which it is asked first. A host exchanges loads every
/// 200 ms, and the placement holder passes that on within 200 ms.
const RECENT_TIME: Duration = Duration::from_millis(500);
/// Time since a host was last heard of after which it is asked last.
const SILENCE_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a host that has not answered a forwarded call is asked last.
const UNANSWERED_TIME: Duration = Duration::from_secs(1);
/// Most forwarded calls for each of its own that a host takes for being heard of recently. Right
/// after a loss, this host knows few such hosts, which must not take the calls of all that have lost
/// connectivity.
const MAX_RECENT_LOAD: f64 = 4.0;
/// Most hosts of which this host remembers when they were heard of.
const MAX_HEARD_HOSTS: usize = 1_024;
/// Most hosts in a report of when they were heard of; at about 20 bytes each, five reports a second
/// stay under the 4 KB a second that control may use.
const MAX_HEARD_REPORTED: usize = 32;
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

/// When hosts were last heard of, as hosts tell one another: the age in ms by host.
pub type HeardAges = BTreeMap<HostName, u64>;

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

/// When a host was last heard of.
#[derive(Clone, Copy, Debug)]
struct HeardHost {
    at: Instant,
    /// Whether this host has heard it itself.
    is_direct: bool,
}

/// Order in which hosts are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HostRank {
    /// Heard of within the last 500 ms.
    HeardRecently,
    /// Heard of within the last 1.5 s.
    HeardBefore,
    /// Has not answered a forwarded call, but was heard of since that was sent, within the last 500 ms:
    /// it is slow, while a host that was not heard of may be frozen.
    AnsweringLate,
    NotHeard,
    /// Has not answered a forwarded call and was not heard of since.
    NotAnswering,
}

/// A host that has not answered forwarded calls in time.
#[derive(Clone, Copy, Debug)]
struct UnansweredCall {
    /// When the first of these calls was sent.
    sent_at: Instant,
    /// End of the time for which they count.
    until: Instant,
}

/// Hosts of the same rank that may be asked.
#[derive(Debug, Default)]
struct RankedHosts<'a> {
    own_domain: Vec<(&'a HostName, f64)>,
    others: Vec<(&'a HostName, f64)>,
    /// Weight of all of them, with those that were asked before.
    weight: f64,
    /// Weight of those in the own failure domain.
    own_domain_weight: f64,
}

/// Services that this host and others cannot reach, when hosts were heard of, and hosts that take no
/// forwarded calls.
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
    unanswered: BTreeMap<HostName, UnansweredCall>,
    heard: BTreeMap<HostName, HeardHost>,
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
        self.unanswered.retain(|host, call| is_known(host) && now < call.until);
        self.heard.retain(|host, heard| is_known(host) && now < heard.at + SILENCE_TIME);
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

    /// Asks a host last for some time, since it has not answered a forwarded call of `sent_at`.
    pub fn record_unanswered(&mut self, host: &HostName, sent_at: Instant, now: Instant) {
        let known = self.unanswered.get(host).filter(|call| now < call.until);
        let sent_at = known.map_or(sent_at, |call| call.sent_at);
        let call = UnansweredCall { sent_at, until: now + UNANSWERED_TIME };
        self.unanswered.insert(host.clone(), call);
    }

    /// Records that this host has heard another one itself.
    pub fn record_heard(&mut self, host: &HostName, now: Instant) {
        self.insert_heard(host.clone(), HeardHost { at: now, is_direct: true });
    }

    /// When hosts were heard of, for another host: at most 32 of them, spread over all by `draw`,
    /// which is random in 0..1. None while all hosts are known to reach all services. With
    /// `is_direct_only`, only hosts that this one has heard itself.
    pub fn heard_ages(&self, is_direct_only: bool, draw: f64, now: Instant) -> HeardAges {
        let has_loss = self.reports.values().any(|reach| now < reach.at + REPORT_TIME)
            || self.failures.values().any(|failure| failure.is_lost(now));
        if !has_loss {
            return HeardAges::new();
        }
        let heard = self.heard.iter().filter(|(_, heard)| {
            now < heard.at + SILENCE_TIME && (heard.is_direct || !is_direct_only)
        });
        let heard: Vec<_> = heard.collect();
        let step = heard.len().div_ceil(MAX_HEARD_REPORTED).max(1);
        let offset = ((draw * step as f64) as usize).min(step - 1);
        let chosen = heard.into_iter().skip(offset).step_by(step);
        // Rounded up, so that hosts that pass an age back and forth do not make it younger.
        let age = |heard: &HeardHost| now.saturating_duration_since(heard.at).as_millis() + 1;
        chosen.map(|(host, heard)| (host.clone(), age(heard) as u64)).collect()
    }

    /// Takes when another host has last heard of hosts.
    pub fn apply_heard(&mut self, own: &HostName, ages: HeardAges, now: Instant) {
        for (host, age_ms) in ages.into_iter().take(MAX_REPORTED_HOSTS) {
            let at = now.checked_sub(Duration::from_millis(age_ms));
            let Some(at) = at.filter(|at| now < *at + SILENCE_TIME) else { continue };
            if host != *own {
                self.insert_heard(host, HeardHost { at, is_direct: false });
            }
        }
    }

    fn insert_heard(&mut self, host: HostName, heard: HeardHost) {
        if self.heard.len() >= MAX_HEARD_HOSTS {
            self.heard.retain(|_, known| heard.at < known.at + SILENCE_TIME);
        }
        let is_full = self.heard.len() >= MAX_HEARD_HOSTS;
        match self.heard.get_mut(&host) {
            Some(known) if known.at < heard.at => *known = heard,
            None if !is_full => drop(self.heard.insert(host, heard)),
            Some(_) | None => {}
        }
    }

    /// Chooses the host that a call is passed on to: among those that were heard of recently if there
    /// are any, in the own failure domain if its hosts can take one call for each of their own, at
    /// random by capacity. `draw` is random in 0..1.
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
        let mut ranks = BTreeMap::<HostRank, RankedHosts<'a>>::new();
        // Weight of the hosts that pass calls on, and of those in the own domain that take none.
        let (mut forwarding, mut lost) = (weight(query.capacity), weight(query.capacity));
        let mut tried_own = 0;
        for (name, host) in hosts {
            let is_own_domain = *host.domain == *query.domain;
            let is_tried = query.tried.contains(name);
            let weight = weight(host.capacity);
            tried_own += usize::from(is_own_domain && is_tried);
            let cannot_reach = self.cannot_reach(name, query.service, now);
            if cannot_reach {
                forwarding += weight;
            }
            if !cannot_reach && !self.is_avoided(name, now) {
                let ranked = ranks.entry(self.rank(name, now)).or_default();
                ranked.add((name, weight), is_own_domain, is_tried);
            } else if is_own_domain {
                lost += weight;
            }
        }
        if tried_own >= MAX_OWN_DOMAIN_HOSTS && ranks.values().any(|it| !it.others.is_empty()) {
            ranks.values_mut().for_each(|ranked| ranked.own_domain.clear());
        }
        ranks.retain(|_, ranked| !ranked.is_empty());
        let mut ranks = ranks.into_iter();
        let (rank, first) = ranks.next()?;
        let second = ranks.next().filter(|_| rank == HostRank::HeardRecently);
        let Some((_, second)) = second else { return first.choose(lost, draw) };
        let share = f64::min(MAX_RECENT_LOAD * first.weight / forwarding, 1.0);
        if draw < share {
            first.choose(lost, draw / share)
        } else {
            second.choose(lost, (draw - share) / (1.0 - share))
        }
    }

    fn rank(&self, host: &str, now: Instant) -> HostRank {
        let heard = self.heard.get(host);
        let age = heard.map(|heard| now.saturating_duration_since(heard.at));
        let is_recent = age.is_some_and(|age| age <= RECENT_TIME);
        if let Some(call) = self.unanswered.get(host).filter(|call| now < call.until) {
            let is_late = is_recent && heard.is_some_and(|heard| heard.at > call.sent_at);
            return if is_late { HostRank::AnsweringLate } else { HostRank::NotAnswering };
        }
        match age {
            Some(_) if is_recent => HostRank::HeardRecently,
            Some(age) if age < SILENCE_TIME => HostRank::HeardBefore,
            Some(_) | None => HostRank::NotHeard,
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

impl<'a> RankedHosts<'a> {
    fn add(&mut self, host: (&'a HostName, f64), is_own_domain: bool, is_tried: bool) {
        self.weight += host.1;
        if is_own_domain {
            self.own_domain_weight += host.1;
        }
        if !is_tried {
            let group = if is_own_domain { &mut self.own_domain } else { &mut self.others };
            group.push(host);
        }
    }

    fn is_empty(&self) -> bool {
        self.own_domain.is_empty() && self.others.is_empty()
    }

    /// Chooses a host of the own failure domain for the share of calls that is one for each of their
    /// own. `lost` is the weight of the hosts of that domain that take no calls.
    fn choose(&self, lost: f64, draw: f64) -> Option<&'a HostName> {
        let own_share = match (self.own_domain.is_empty(), self.others.is_empty()) {
            (true, _) => 0.0,
            (false, true) => 1.0,
            (false, false) => f64::min(self.own_domain_weight / lost, 1.0),
        };
        if draw < own_share {
            pick(&self.own_domain, draw / own_share)
        } else {
            pick(&self.others, (draw - own_share) / (1.0 - own_share))
        }
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
