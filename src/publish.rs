//! Acceptance of a configuration: one conditional update of the root object.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::codes::ResultCode;
use crate::ids::ConfigRevision;
use crate::plan::ConfigPlan;
use crate::platform::{MAX_VALUE_BYTES, PlatformStore, StoreError};
use crate::revision::{ChangeRecord, HistoryEntry, ROOT_KEY, RevisionError, RootDocument};
use crate::tree::{DeclarationError, DeclarationTree};

/// How a publisher deals with another change since the base revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConflictPolicy {
    /// The commit fails and names the other change.
    #[default]
    Refuse,
    /// The commit overwrites the other change; only for tests of the checks.
    Overwrite,
}

/// How a publisher makes its calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishOptions {
    /// Tries of each call before the publisher gives up.
    pub attempts: u32,
    /// Pause before another try.
    pub retry_pause: Duration,
    /// What to do about another change since the base revision.
    pub race: ConflictPolicy,
}

impl Default for PublishOptions {
    fn default() -> Self {
        Self { attempts: 10, retry_pause: Duration::from_millis(200), race: ConflictPolicy::Refuse }
    }
}

/// The configuration that the platform holds.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedConfig {
    /// Its revision.
    pub revision: ConfigRevision,
    /// Its document.
    pub document: RootDocument,
}

/// Another change since the base revision of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConflictingChange {
    /// The other change.
    pub entry: HistoryEntry,
    /// Fields that both changes set.
    pub common_fields: Vec<Box<str>>,
}

/// Why a configuration was not accepted, or is not known to be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The tree fails its checks; nothing was written.
    #[error("the tree has {} faults", .0.len())]
    Faulty(Vec<DeclarationError>),
    /// Another change was accepted since the base revision; nothing was written.
    #[error("revision {base} is no longer in force: {}", describe_races(.changes))]
    Conflict {
        /// Revision that the edit was based on.
        base: ConfigRevision,
        /// Changes accepted since, the latest first.
        changes: Vec<ConflictingChange>,
    },
    /// The platform did not answer; nothing was written.
    #[error("platform not available: {0}")]
    Unavailable(StoreError),
    /// The write may have taken effect.
    #[error("commit {commit} may have been accepted: {cause}")]
    Unsettled {
        /// Identifier of the commit, as history shows it.
        commit: Box<str>,
        /// Failure of the last call.
        cause: StoreError,
    },
    /// The root object can't be read.
    #[error("revision {revision}: {cause}")]
    Corrupt {
        /// Revision of the root object.
        revision: ConfigRevision,
        /// What is wrong with it.
        cause: RevisionError,
    },
}

impl PublishError {
    /// Result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Faulty(errors) => {
                errors.first().map_or(ResultCode::DeclarationSyntax, |error| error.code)
            }
            Self::Conflict { .. } => ResultCode::ConfigConflict,
            Self::Unavailable(_) => ResultCode::StoreUnavailable,
            Self::Unsettled { .. } => ResultCode::ConfigUnsettled,
            Self::Corrupt { cause, .. } => cause.code(),
        }
    }
}

fn describe_races(changes: &[ConflictingChange]) -> String {
    if changes.is_empty() {
        return "it was deleted or replaced, and history no longer says by whom".into();
    }
    let describe = |race: &ConflictingChange| {
        let change = &race.entry.change;
        let mut fields = change.fields.join(", ");
        if change.unlisted > 0 {
            fields.push_str(&format!(" and {} more", change.unlisted));
        }
        format!("{} changed {fields} in revision {}", change.author, race.entry.revision)
    };
    changes.iter().map(describe).collect::<Vec<_>>().join("; ")
}

/// Commits configurations to the platform.
pub struct ConfigPublisher {
    store: Rc<dyn PlatformStore>,
    options: PublishOptions,
}

/// What is to be committed, and on top of what.
#[derive(Clone, Debug)]
pub struct ConfigEdit<'a> {
    /// Configuration that the edit is based on; `None` for the first.
    pub base: Option<&'a AcceptedConfig>,
    /// The wanted tree.
    pub tree: &'a DeclarationTree,
    /// Commit identifier, author, time and message; the fields are filled in.
    pub change: ChangeRecord,
}

/// What is known of a commit from reading the root object back.
enum CommitFate {
    Accepted(ConfigRevision),
    Replaced(Vec<ConflictingChange>),
    Forgotten,
}

impl ConfigPublisher {
    /// A publisher that writes to `store`.
    pub fn new(store: Rc<dyn PlatformStore>, options: PublishOptions) -> Self {
        Self { store, options }
    }

    /// Reads the configuration that the platform holds.
    ///
    /// # Errors
    ///
    /// [`PublishError::Unavailable`] after the last try, [`PublishError::Corrupt`] where the root
    /// object is not a root document.
    pub async fn read(&self) -> Result<Option<AcceptedConfig>, PublishError> {
        let mut failure = None;
        for _ in 0..self.options.attempts {
            match self.store.get(ROOT_KEY).await {
                Ok(None) => return Ok(None),
                Ok(Some(object)) => {
                    let revision = object.version;
                    let document = RootDocument::decode(&object.value)
                        .map_err(|cause| PublishError::Corrupt { revision, cause })?;
                    return Ok(Some(AcceptedConfig { revision, document }));
                }
                Err(error) => failure = Some(error),
            }
            tokio::time::sleep(self.options.retry_pause).await;
        }
        let failure = failure.unwrap_or(StoreError::Unavailable("no call was made".into()));
        Err(PublishError::Unavailable(failure))
    }

    /// Commits an edit; returns the revision that the platform gave it.
    ///
    /// A write whose answer is lost is sent again with the same base version: it can take effect
    /// once at most, and the commit identifier in the root object tells whether it did.
    ///
    /// # Errors
    ///
    /// See [`PublishError`]; only [`PublishError::Unsettled`] leaves the outcome open.
    pub async fn commit(&self, edit: ConfigEdit<'_>) -> Result<ConfigRevision, PublishError> {
        let base = edit.base.map_or(0, |base| base.revision);
        edit.tree.resolve(base + 1).map_err(PublishError::Faulty)?;
        let document = next_document(&edit);
        let change = document.change.clone();
        let value = fit_value(document);
        let mut expected = base;
        let mut may_have_run = false;
        let mut failure = StoreError::Unavailable("no call was made".into());
        for _ in 0..self.options.attempts {
            match self.store.put(ROOT_KEY, expected, value.clone()).await {
                Ok(revision) => return Ok(revision),
                Err(StoreError::Conflict { current }) if self.overwrites(current) => {
                    expected = current;
                    continue;
                }
                Err(StoreError::Conflict { .. }) => {
                    return self.settle(base, &change, may_have_run).await;
                }
                Err(error @ StoreError::Rejected(_)) if !may_have_run => {
                    return Err(PublishError::Unavailable(error));
                }
                Err(error) => {
                    may_have_run |= matches!(error, StoreError::Ambiguous(_));
                    failure = error;
                }
            }
            tokio::time::sleep(self.options.retry_pause).await;
        }
        if may_have_run {
            return Err(PublishError::Unsettled { commit: change.commit, cause: failure });
        }
        Err(PublishError::Unavailable(failure))
    }

    fn overwrites(&self, current: ConfigRevision) -> bool {
        self.options.race == ConflictPolicy::Overwrite && current != 0
    }

    /// Tells from the root object whether the commit or another one replaced the base.
    async fn settle(
        &self,
        base: ConfigRevision,
        change: &ChangeRecord,
        may_have_run: bool,
    ) -> Result<ConfigRevision, PublishError> {
        let unsettled = |cause| PublishError::Unsettled { commit: change.commit.clone(), cause };
        let fate = match self.read().await {
            Ok(Some(accepted)) => commit_fate(&accepted, base, change),
            Ok(None) => CommitFate::Forgotten,
            Err(PublishError::Unavailable(cause)) if may_have_run => return Err(unsettled(cause)),
            // Without a lost reply the conflict proves that nothing was written.
            Err(_) => CommitFate::Forgotten,
        };
        match fate {
            CommitFate::Accepted(revision) => Ok(revision),
            CommitFate::Forgotten if may_have_run => {
                let reason = "history does not reach back to the base".into();
                Err(unsettled(StoreError::Ambiguous(reason)))
            }
            CommitFate::Forgotten => Err(PublishError::Conflict { base, changes: Vec::new() }),
            CommitFate::Replaced(changes) => Err(PublishError::Conflict { base, changes }),
        }
    }
}

fn commit_fate(
    accepted: &AcceptedConfig,
    base: ConfigRevision,
    change: &ChangeRecord,
) -> CommitFate {
    let document = &accepted.document;
    let mut changes = document.changes(accepted.revision);
    if let Some(own) = changes.find(|entry| entry.change.commit == change.commit) {
        return CommitFate::Accepted(own.revision);
    }
    let Some(later) = document.changes_since(accepted.revision, base) else {
        return CommitFate::Forgotten;
    };
    let own_fields: BTreeSet<&str> = change.fields.iter().map(|field| &**field).collect();
    let races = later.into_iter().map(|entry| {
        let fields = entry.change.fields.iter();
        let common_fields =
            fields.filter(|field| own_fields.contains(&***field)).cloned().collect();
        ConflictingChange { entry, common_fields }
    });
    CommitFate::Replaced(races.collect())
}

fn next_document(edit: &ConfigEdit<'_>) -> RootDocument {
    // A tree in force that no longer reads must be replaceable, so that it counts as empty.
    let in_force = edit.base.and_then(|base| base.document.declarations().ok()).unwrap_or_default();
    let plan = ConfigPlan::between(&in_force, edit.tree);
    let change =
        edit.change.clone().with_fields(plan.changes.iter().map(|change| change.location()));
    match edit.base {
        Some(base) => base.document.next(base.revision, edit.tree, change),
        None => RootDocument::first(edit.tree, change),
    }
}

/// Drops the oldest history until the value fits into an object.
fn fit_value(mut document: RootDocument) -> Box<[u8]> {
    loop {
        let value = document.encode();
        if value.len() <= MAX_VALUE_BYTES || document.history.pop().is_none() {
            return value;
        }
    }
}
