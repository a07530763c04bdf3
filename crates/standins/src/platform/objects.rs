//! In-memory objects, with one version counter for all of them and a bounded history of changes.

use jacinthrock::{MAX_VALUE_BYTES, ObjectVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

/// Object as returned by the API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// Key of the object.
    pub key: Box<str>,
    /// Version of this value.
    pub version: ObjectVersion,
    /// Value, as text.
    pub value: Box<str>,
}

/// Change as returned by the API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectChange {
    /// The object was written.
    Put(ObjectEntry),
    /// The object was deleted.
    Delete {
        /// Key of the deleted object.
        key: Box<str>,
        /// Version of the deletion.
        version: ObjectVersion,
    },
}

/// Reason why a call had no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// The expected version is not the current one.
    #[error("object has version {0}, not the expected one")]
    Conflict(ObjectVersion),
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[error("value is too large")]
    TooLarge,
    /// The requested version is newer than the last change, or the changes after it are no longer
    /// kept.
    #[error("version is older than the history")]
    Gone,
}

/// All objects of the stand-in, with the recent changes.
pub struct ObjectTable {
    version: ObjectVersion,
    compacted_version: ObjectVersion,
    history_length: usize,
    entries: BTreeMap<Box<str>, ObjectEntry>,
    history: VecDeque<ObjectChange>,
}

impl ObjectChange {
    /// Key of the changed object.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Version of the change.
    pub fn version(&self) -> ObjectVersion {
        match self {
            Self::Put(entry) => entry.version,
            Self::Delete { version, .. } => *version,
        }
    }
}

impl ObjectTable {
    /// Creates an empty table that keeps `history_length` changes.
    pub fn new(history_length: usize) -> Self {
        Self {
            version: 0,
            compacted_version: 0,
            history_length,
            entries: BTreeMap::new(),
            history: VecDeque::new(),
        }
    }

    /// Version of the last change.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Reads one object.
    pub fn get(&self, key: &str) -> Option<&ObjectEntry> {
        self.entries.get(key)
    }

    /// Objects whose keys start with `prefix`, sorted by key.
    pub fn list(&self, prefix: &str) -> Vec<ObjectEntry> {
        self.entries
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Writes an object if its version is `expected`, where 0 means that it does not exist.
    pub fn put(
        &mut self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> Result<ObjectVersion, ObjectError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(ObjectError::TooLarge);
        }
        self.check_version(key, expected)?;
        self.version += 1;
        let entry = ObjectEntry { key: key.into(), version: self.version, value: value.into() };
        self.entries.insert(key.into(), entry.clone());
        self.push_change(ObjectChange::Put(entry));
        Ok(self.version)
    }

    /// Deletes an object if its version is `expected`; a missing object has version 0, and deleting
    /// it has no effect.
    pub fn delete(&mut self, key: &str, expected: ObjectVersion) -> Result<(), ObjectError> {
        self.check_version(key, expected)?;
        if self.entries.remove(key).is_none() {
            return Ok(());
        }
        self.version += 1;
        self.push_change(ObjectChange::Delete { key: key.into(), version: self.version });
        Ok(())
    }

    /// Changes of keys under `prefix` after the version `after`, in order.
    pub fn changes(
        &self,
        prefix: &str,
        after: ObjectVersion,
    ) -> Result<Vec<ObjectChange>, ObjectError> {
        if after < self.compacted_version || after > self.version {
            return Err(ObjectError::Gone);
        }
        let first = self.history.partition_point(|change| change.version() <= after);
        let later = self.history.range(first..);
        Ok(later.filter(|change| change.key().starts_with(prefix)).cloned().collect())
    }

    fn check_version(&self, key: &str, expected: ObjectVersion) -> Result<(), ObjectError> {
        let current = self.entries.get(key).map_or(0, |entry| entry.version);
        if current == expected { Ok(()) } else { Err(ObjectError::Conflict(current)) }
    }

    fn push_change(&mut self, change: ObjectChange) {
        self.history.push_back(change);
        if self.history.len() <= self.history_length {
            return;
        }
        if let Some(change) = self.history.pop_front() {
            self.compacted_version = change.version();
        }
    }
}
