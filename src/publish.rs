//! Publishing of a configuration by a conditional update of the root object.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::codes::ResultCode;
use crate::ids::ConfigRevision;
use crate::plan::ConfigPlan;
use crate::platform::{MAX_VALUE_BYTES, PlatformStore, StoreError};
use crate::revision::{ChangeRecord, HistoryEntry, ROOT_KEY, RevisionError, RootDocument};
use crate::tree::{DeclarationError, DeclarationTree};

/// Behaviour of a publisher if another change was accepted since the base revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConflictPolicy {
    /// The commit fails and reports the other change.
    #[default]
    Refuse,
    /// The commit overwrites the other change; only for tests, which prove that their checker
    /// detects the lost change.
    Overwrite,
}

/// Options of a [`ConfigPublisher`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishOptions {
    /// Maximum number of attempts of each call.
    pub attempts: u32,
    /// Pause after a failed attempt.
    pub retry_pause: Duration,
    /// Behaviour if another change was accepted since the base revision.
    pub conflict_policy: ConflictPolicy,
}

impl Default for PublishOptions {
    fn default() -> Self {
        Self {
            attempts: 10,
            retry_pause: Duration::from_millis(200),
            conflict_policy: ConflictPolicy::Refuse,
        }
    }
}

/// Configuration stored on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedConfig {
    /// Revision of the configuration.
    pub revision: ConfigRevision,
    /// Root document of the configuration.
    pub document: RootDocument,
}

/// Another change accepted since the base revision of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConflictingChange {
    /// The other change.
    pub entry: HistoryEntry,
    /// Fields that both changes set.
    pub common_fields: Vec<Box<str>>,
}

/// Error of reading or committing a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The tree is invalid; nothing was written.
    #[error("the tree has {} faults", .0.len())]
    Faulty(Vec<DeclarationError>),
    /// Another change was accepted since the base revision; nothing was written.
    #[error("revision {base} is no longer in force: {}", describe_conflicts(.changes))]
    Conflict {
        /// Revision that the edit was based on.
        base: ConfigRevision,
        /// Changes accepted since, latest first.
        changes: Vec<ConflictingChange>,
    },
    /// The platform is unavailable or rejected the call; nothing was written.
    #[error("platform not available: {0}")]
    Unavailable(StoreError),
    /// The outcome of the write is unknown: it may have taken effect.
    #[error("commit {commit} may have been accepted: {cause}")]
    Unsettled {
        /// Identifier of the commit, as listed in the history.
        commit: Box<str>,
        /// Error of the last call.
        cause: StoreError,
    },
    /// The root object is not a valid root document.
    #[error("revision {revision}: {cause}")]
    Corrupt {
        /// Revision of the root object.
        revision: ConfigRevision,
        /// Reason why it is invalid.
        cause: RevisionError,
    },
}

impl PublishError {
    /// Returns the result code of the error.
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

fn describe_conflicts(changes: &[ConflictingChange]) -> String {
    if changes.is_empty() {
        return "it was deleted or replaced, and history no longer says by whom".into();
    }
    let describe = |conflict: &ConflictingChange| {
        let change = &conflict.entry.change;
        let mut fields = change.fields.join(", ");
        if change.unlisted > 0 {
            fields.push_str(&format!(" and {} more", change.unlisted));
        }
        format!("{} changed {fields} in revision {}", change.author, conflict.entry.revision)
    };
    changes.iter().map(describe).collect::<Vec<_>>().join("; ")
}

/// Commits configurations to the platform.
pub struct ConfigPublisher {
    store: Rc<dyn PlatformStore>,
    options: PublishOptions,
}

/// A change to commit and the configuration that it is based on.
#[derive(Clone, Debug)]
pub struct ConfigEdit<'a> {
    /// Configuration that the edit is based on; `None` for the first.
    pub base: Option<&'a AcceptedConfig>,
    /// Declaration tree to commit.
    pub tree: &'a DeclarationTree,
    /// Commit identifier, author, time and message. The publisher fills in the changed fields.
    pub change: ChangeRecord,
}

/// Outcome of a commit as far as the root object shows it.
enum CommitOutcome {
    /// The commit was accepted as this revision.
    Accepted(ConfigRevision),
    /// The commit was not accepted, but these other changes were.
    Conflicting(Vec<ConflictingChange>),
    /// The root object is missing or unreadable, or its history does not reach back to the base.
    Unknown,
}

impl ConfigPublisher {
    /// Creates a publisher that writes to `store`.
    pub fn new(store: Rc<dyn PlatformStore>, options: PublishOptions) -> Self {
        Self { store, options }
    }

    /// Reads the configuration stored on the platform.
    ///
    /// # Errors
    ///
    /// [`PublishError::Unavailable`] if every attempt failed, [`PublishError::Corrupt`] if the root
    /// object is not a valid root document.
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

    /// Commits an edit and returns the revision assigned by the platform.
    ///
    /// A write whose reply was lost is retried with the same base version, so it takes effect at
    /// most once. The commit identifier in the root object shows whether it did.
    ///
    /// # Errors
    ///
    /// See [`PublishError`]. The outcome is unknown only for [`PublishError::Unsettled`].
    pub async fn commit(&self, edit: ConfigEdit<'_>) -> Result<ConfigRevision, PublishError> {
        let base = edit.base.map_or(0, |base| base.revision);
        edit.tree.resolve(base + 1).map_err(PublishError::Faulty)?;
        let document = build_document(&edit);
        let change = document.change.clone();
        let value = encode_within_limit(document);
        let mut expected = base;
        let mut may_have_run = false;
        let mut failure = StoreError::Unavailable("no call was made".into());
        for _ in 0..self.options.attempts {
            match self.store.put(ROOT_KEY, expected, value.clone()).await {
                Ok(revision) => return Ok(revision),
                Err(StoreError::Conflict { current }) if self.may_overwrite(current) => {
                    expected = current;
                    continue;
                }
                Err(StoreError::Conflict { .. }) => {
                    return self.resolve_conflict(base, &change, may_have_run).await;
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

    fn may_overwrite(&self, current: ConfigRevision) -> bool {
        self.options.conflict_policy == ConflictPolicy::Overwrite && current != 0
    }

    /// Reads the root object to determine whether this commit or another one replaced the base.
    async fn resolve_conflict(
        &self,
        base: ConfigRevision,
        change: &ChangeRecord,
        may_have_run: bool,
    ) -> Result<ConfigRevision, PublishError> {
        let unsettled = |cause| PublishError::Unsettled { commit: change.commit.clone(), cause };
        let outcome = match self.read().await {
            Ok(Some(accepted)) => commit_outcome(&accepted, base, change),
            Ok(None) => CommitOutcome::Unknown,
            Err(PublishError::Unavailable(cause)) if may_have_run => return Err(unsettled(cause)),
            // If no reply was lost, the conflict proves that nothing was written.
            Err(_) => CommitOutcome::Unknown,
        };
        match outcome {
            CommitOutcome::Accepted(revision) => Ok(revision),
            CommitOutcome::Unknown if may_have_run => {
                let reason = "history does not reach back to the base".into();
                Err(unsettled(StoreError::Ambiguous(reason)))
            }
            CommitOutcome::Unknown => Err(PublishError::Conflict { base, changes: Vec::new() }),
            CommitOutcome::Conflicting(changes) => Err(PublishError::Conflict { base, changes }),
        }
    }
}

fn commit_outcome(
    accepted: &AcceptedConfig,
    base: ConfigRevision,
    change: &ChangeRecord,
) -> CommitOutcome {
    let document = &accepted.document;
    let mut changes = document.changes(accepted.revision);
    if let Some(own_entry) = changes.find(|entry| entry.change.commit == change.commit) {
        return CommitOutcome::Accepted(own_entry.revision);
    }
    let Some(later) = document.changes_since(accepted.revision, base) else {
        return CommitOutcome::Unknown;
    };
    let own_fields: BTreeSet<&str> = change.fields.iter().map(|field| &**field).collect();
    let conflicts = later.into_iter().map(|entry| {
        let fields = entry.change.fields.iter();
        let common_fields =
            fields.filter(|field| own_fields.contains(&***field)).cloned().collect();
        ConflictingChange { entry, common_fields }
    });
    CommitOutcome::Conflicting(conflicts.collect())
}

fn build_document(edit: &ConfigEdit<'_>) -> RootDocument {
    // A stored tree that can't be decoded counts as empty, so that it can be replaced.
    let current_tree =
        edit.base.and_then(|base| base.document.declarations().ok()).unwrap_or_default();
    let plan = ConfigPlan::between(&current_tree, edit.tree);
    let change =
        edit.change.clone().with_fields(plan.changes.iter().map(|change| change.location()));
    match edit.base {
        Some(base) => base.document.next(base.revision, edit.tree, change),
        None => RootDocument::first(edit.tree, change),
    }
}

/// Encodes the document and drops its oldest history entries until the value fits the size limit.
fn encode_within_limit(mut document: RootDocument) -> Box<[u8]> {
    loop {
        let value = document.encode();
        if value.len() <= MAX_VALUE_BYTES || document.history.pop().is_none() {
            return value;
        }
    }
}
