//! Versions of the registry's content.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of times that the registry was restored from a copy, as it reports it.
pub type RegistryEra = u64;

/// Number of a change of the registry, which increases within one era.
pub type RegistryRevision = u64;

/// Version of the registry, or of one of its entries.
///
/// A registry that is restored from a copy loses its latest changes and gives out their revisions a
/// second time. Versions are therefore compared by era first.
///
/// ```
/// use jacinthrock_entry::RegistryVersion;
///
/// let before = RegistryVersion { era: 1, revision: 90 };
/// let restored = RegistryVersion { era: 2, revision: 40 };
/// assert!(restored > before);
/// assert_eq!(restored.to_string(), "2.40");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RegistryVersion {
    /// Era of the registry.
    pub era: RegistryEra,
    /// Revision within the era.
    pub revision: RegistryRevision,
}

/// A revision of the first era.
impl From<RegistryRevision> for RegistryVersion {
    fn from(revision: RegistryRevision) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for RegistryVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}
