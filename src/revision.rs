//! The root object: one accepted configuration with the record of its changes.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::codes::ResultCode;
use crate::effective::EffectiveConfig;
use crate::hex::encode_hex;
use crate::ids::ConfigRevision;
use crate::tree::{DeclarationError, DeclarationTree};

/// Key of the root object; its version is the configuration's revision.
pub const ROOT_KEY: &str = "config/root";

/// Earlier changes that a root object keeps.
pub const MAX_HISTORY_ENTRIES: usize = 64;

/// Changed fields that a record of a change names.
const MAX_RECORDED_FIELDS: usize = 32;

/// Layout of the root object's value.
const DOCUMENT_FORMAT: u32 = 1;

/// What an accepted change did, and who made it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Identifier made by the operator's program, to settle a commit whose reply was lost.
    pub commit: Box<str>,
    /// Operator.
    pub author: Box<str>,
    /// Time on the operator's clock, for people only.
    pub time: Box<str>,
    /// Revision that the change replaced, 0 for the first.
    #[serde(default)]
    pub parent_revision: ConfigRevision,
    /// Operator's message.
    pub message: Box<str>,
    /// Changed fields as `node: field`; the rest is only counted.
    pub fields: Vec<Box<str>>,
    /// Changed fields that are not listed.
    #[serde(default)]
    pub unlisted: usize,
}

impl ChangeRecord {
    /// Lists the changed fields, as many as a record may hold.
    pub(crate) fn with_fields(mut self, fields: impl IntoIterator<Item = Box<str>>) -> Self {
        let mut fields: Vec<Box<str>> = fields.into_iter().collect();
        self.unlisted = fields.len().saturating_sub(MAX_RECORDED_FIELDS);
        fields.truncate(MAX_RECORDED_FIELDS);
        self.fields = fields;
        self
    }
}

/// An earlier change with the revision that the platform gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// Revision of the change.
    pub revision: ConfigRevision,
    /// The change.
    pub change: ChangeRecord,
}

/// The root object's value.
///
/// Its history stands in the same object, so that the record of a change is written by the
/// conditional update that makes the change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RootDocument {
    /// Layout of this document.
    pub format: u32,
    /// The change that made this revision.
    pub change: ChangeRecord,
    /// SHA-256 of the tree that this one replaced, in hexadecimal; empty for the first.
    pub parent_digest: Box<str>,
    /// SHA-256 of the tree, in hexadecimal.
    pub digest: Box<str>,
    /// Earlier changes, the latest first.
    pub history: Vec<HistoryEntry>,
    /// The declaration tree.
    pub tree: Value,
}

/// Why a root object's value can't be put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RevisionError {
    /// The value is not a root document.
    #[error("root object: {0}")]
    Corrupt(Box<str>),
    /// The tree fails its checks.
    #[error("{count} faults in the tree, first: {first}", count = .0.len(), first = first_fault(.0))]
    Faulty(Vec<DeclarationError>),
}

impl RevisionError {
    /// Result code of the error, or of its first fault.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Corrupt(_) => ResultCode::ConfigCorrupt,
            Self::Faulty(errors) => {
                errors.first().map_or(ResultCode::ConfigCorrupt, |error| error.code)
            }
        }
    }
}

impl RootDocument {
    /// The document of a first revision.
    pub fn first(tree: &DeclarationTree, change: ChangeRecord) -> Self {
        let tree = tree.to_document();
        Self {
            format: DOCUMENT_FORMAT,
            change,
            digest: tree_digest(&tree),
            tree,
            ..Self::default()
        }
    }

    /// The document that replaces this one, which has `revision`.
    pub fn next(
        &self,
        revision: ConfigRevision,
        tree: &DeclarationTree,
        change: ChangeRecord,
    ) -> Self {
        let entry = HistoryEntry { revision, change: self.change.clone() };
        let history = std::iter::once(entry).chain(self.history.iter().cloned());
        Self {
            parent_digest: self.digest.clone(),
            history: history.take(MAX_HISTORY_ENTRIES).collect(),
            ..Self::first(tree, ChangeRecord { parent_revision: revision, ..change })
        }
    }

    /// Reads the root object's value.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Corrupt`] where the value has another layout or a wrong digest.
    pub fn decode(value: &[u8]) -> Result<Self, RevisionError> {
        let corrupt = |problem: String| RevisionError::Corrupt(problem.into());
        let document: Self =
            serde_json::from_slice(value).map_err(|error| corrupt(error.to_string()))?;
        if document.format != DOCUMENT_FORMAT {
            let problem = format!("format {}, expected {DOCUMENT_FORMAT}", document.format);
            return Err(corrupt(problem));
        }
        if document.digest != tree_digest(&document.tree) {
            return Err(corrupt("the tree does not match its digest".into()));
        }
        Ok(document)
    }

    /// The value to store.
    pub fn encode(&self) -> Box<[u8]> {
        serde_json::to_vec(self).expect("documents hold only JSON types").into()
    }

    /// The declaration tree.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Faulty`] where a declaration breaks the table of fields.
    pub fn declarations(&self) -> Result<DeclarationTree, RevisionError> {
        DeclarationTree::from_document(&self.tree).map_err(RevisionError::Faulty)
    }

    /// Every change up to this one, the latest first, where this one has `revision`.
    pub fn changes(&self, revision: ConfigRevision) -> impl Iterator<Item = HistoryEntry> {
        let own = HistoryEntry { revision, change: self.change.clone() };
        std::iter::once(own).chain(self.history.iter().cloned())
    }

    /// Every change after `base`, the latest first, where this one has `revision`.
    ///
    /// Returns `None` where the history does not reach back to `base` without a break.
    pub fn changes_since(
        &self,
        revision: ConfigRevision,
        base: ConfigRevision,
    ) -> Option<Vec<HistoryEntry>> {
        let mut found = Vec::new();
        let mut wanted = revision;
        for entry in self.changes(revision) {
            if wanted <= base || entry.revision != wanted {
                break;
            }
            wanted = entry.change.parent_revision;
            found.push(entry);
        }
        (wanted == base).then_some(found)
    }
}

/// Reads a root object's value, checks its tree and resolves it.
///
/// # Errors
///
/// [`RevisionError`] where the value is not a root document or its tree fails the checks.
pub fn resolve_value(
    revision: ConfigRevision,
    value: &[u8],
) -> Result<EffectiveConfig, RevisionError> {
    let tree = RootDocument::decode(value)?.declarations()?;
    tree.resolve(revision).map_err(RevisionError::Faulty)
}

fn tree_digest(tree: &Value) -> Box<str> {
    encode_hex(&Sha256::digest(tree.to_string().as_bytes()))
}

fn first_fault(errors: &[DeclarationError]) -> String {
    errors.first().map_or_else(String::new, ToString::to_string)
}
