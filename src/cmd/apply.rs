//! `apply`: commits a directory of declarations and waits until it is in force on every host.

use serde_json::json;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

use super::error::CommandError;
use super::flags::Apply;
use super::hosts::{query_hosts, registered_hosts};
use super::plan::{describe_plan, plan_changes, plan_json};
use super::publisher::load_checked_tree;
use super::{CommandContext, Subcommand, env};
use crate::ids::ConfigRevision;
use crate::platform::PlatformStore;
use crate::publish::{AcceptedConfig, ConfigEdit, ConfigPublisher, PublishError};
use crate::revision::{ChangeRecord, RootDocument};
use crate::rollout::{RolloutCheck, RolloutVerdict};

/// Longest wait for the hosts when `--wait-ms` is not given.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Pause between two rounds of host queries.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Lagging hosts that a progress message lists by name.
const MAX_NAMED_HOSTS: usize = 8;

impl Subcommand for Apply {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let tree = load_checked_tree(&self.directory)?;
        let store = context.store()?;
        let publisher = context.publisher()?;
        let base = self.read_base(&publisher).await?;
        let plan = plan_changes(base.as_ref(), &tree);
        let base_revision = base.as_ref().map_or(0, |base| base.revision);
        context
            .printer
            .print_progress(&describe_plan(base_revision, &plan), &plan_json(base_revision, &plan));
        let is_unchanged = plan.is_empty() && base.as_ref().is_some_and(is_valid);
        let revision = if is_unchanged {
            base_revision
        } else {
            let change = self.change_record();
            publisher.commit(ConfigEdit { base: base.as_ref(), tree: &tree, change }).await?
        };
        let outcome = if is_unchanged { "already in force" } else { "accepted" };
        let progress = json!({ "accepted": revision, "changed": !is_unchanged });
        context.printer.print_progress(&format!("revision {revision} {outcome}"), &progress);
        let hosts = self.wait_for_hosts(context, &*store, revision).await?;
        let human = match hosts {
            Some(hosts) => format!("revision {revision} in force on {hosts} hosts"),
            None => format!("revision {revision} accepted; not waited for hosts"),
        };
        let json = json!({ "revision": revision, "changed": !is_unchanged, "hosts": hosts });
        context.printer.print_result(&human, &json)
    }
}

/// Whether the tree in force parses and resolves. An invalid one is replaced even if no field
/// differs.
fn is_valid(accepted: &AcceptedConfig) -> bool {
    accepted.document.declarations().is_ok_and(|tree| tree.resolve(accepted.revision).is_ok())
}

impl Apply {
    /// Reads the configuration that the edit is based on.
    async fn read_base(
        &self,
        publisher: &ConfigPublisher,
    ) -> Result<Option<AcceptedConfig>, CommandError> {
        let accepted = match publisher.read().await {
            Ok(accepted) => accepted,
            // With `--base` set to the corrupt revision, the operator agrees to replace it.
            Err(PublishError::Corrupt { revision, .. }) if self.base == Some(revision) => {
                Some(AcceptedConfig { revision, document: RootDocument::default() })
            }
            Err(error) => return Err(error.into()),
        };
        let revision = accepted.as_ref().map_or(0, |accepted| accepted.revision);
        match self.base.filter(|base| *base != revision) {
            None => Ok(accepted),
            Some(base) => Err(stale_base_error(base, accepted.as_ref()).into()),
        }
    }

    fn change_record(&self) -> ChangeRecord {
        let author = self.author.clone().map(Box::from).or_else(env::author);
        ChangeRecord {
            commit: uuid::Uuid::now_v7().to_string().into(),
            author: author.unwrap_or_else(|| "unknown".into()),
            time: format_utc(SystemTime::now()).into(),
            message: self.message.clone().unwrap_or_default().into(),
            ..ChangeRecord::default()
        }
    }

    /// Queries the hosts until the revision is in force on all of them, and returns their number;
    /// `None` if the operator asked not to wait.
    async fn wait_for_hosts(
        &self,
        context: &CommandContext,
        store: &dyn PlatformStore,
        revision: ConfigRevision,
    ) -> Result<Option<usize>, CommandError> {
        let wait = self.wait_ms.map_or(DEFAULT_WAIT, Duration::from_millis);
        if wait.is_zero() {
            return Ok(None);
        }
        let deadline = Instant::now() + wait;
        let mut check = RolloutCheck::new(revision);
        let mut last_lagging = None;
        loop {
            let entries = registered_hosts(store).await?;
            let answers = query_hosts(&entries).await;
            let lagging = match check.observe_round(&answers) {
                RolloutVerdict::InForce => return Ok(Some(entries.len())),
                RolloutVerdict::Lagging(lagging) => lagging,
            };
            if last_lagging.as_ref() != Some(&lagging) {
                let in_force = entries.len() - lagging.len();
                let named =
                    lagging.iter().take(MAX_NAMED_HOSTS).cloned().collect::<Vec<_>>().join(", ");
                let total = entries.len();
                let human = format!("in force on {in_force} of {total} hosts; waiting for {named}");
                context
                    .printer
                    .print_progress(&human, &json!({ "waiting": lagging, "hosts": total }));
                last_lagging = Some(lagging.clone());
            }
            if Instant::now() >= deadline {
                let hosts = lagging.into_iter().map(String::from).collect();
                return Err(CommandError::Lagging { revision, hosts });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }
}

/// Builds the conflict error for an edit whose base is no longer in force.
fn stale_base_error(base: ConfigRevision, accepted: Option<&AcceptedConfig>) -> PublishError {
    let changes = accepted.and_then(|accepted| {
        let changes = accepted.document.changes_since(accepted.revision, base)?;
        let conflict =
            |entry| crate::publish::ConflictingChange { entry, common_fields: Vec::new() };
        Some(changes.into_iter().map(conflict).collect())
    });
    PublishError::Conflict { base, changes: changes.unwrap_or_default() }
}

/// Formats a time as `2026-12-03T21:59:00Z`, for display.
fn format_utc(time: SystemTime) -> String {
    let seconds = time.duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs());
    let (year, month, day) = civil_date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day in the Gregorian calendar of a day counted from 1970-01-01.
///
/// Years are counted from March, so that the leap day is the last day of a year, in eras of 400
/// years that start at 0000-03-01, 719468 days before 1970-01-01.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    (year_of_era + era * 400 + u64::from(month <= 2), month, day)
}
