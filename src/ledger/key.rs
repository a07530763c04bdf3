//! Idempotency keys and the names of their pages.

use sha2::{Digest, Sha256};
use std::time::Duration;
use uuid::{Uuid, Version};

use crate::codes::ResultCode;
use crate::ledger::options::LedgerOptions;

/// Name prefix of all pages on the platform.
pub(crate) const PAGE_PREFIX: &str = "ledger/";

/// Number of consecutive buckets whose pages share a name prefix and are listed together.
const BUCKETS_PER_GROUP: u64 = 10;

/// Idempotency key: a version 7 UUID, whose first 48 bits are its timestamp in milliseconds.
///
/// ```
/// use jacinthrock::{IdempotencyKey, LedgerOptions};
///
/// let key = IdempotencyKey::parse("01890a5d-ac96-774b-bcce-b302099a8057").expect("version 7");
/// assert!(key.page_name(&LedgerOptions::default()).starts_with("ledger/"));
/// assert!(IdempotencyKey::parse("f47ac10b-58cc-4372-a567-0e02b2c3d479").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Parses a key; anything but a version 7 UUID is [`ResultCode::IdempotencyKeyInvalid`].
    pub fn parse(text: &str) -> Result<Self, ResultCode> {
        let uuid = Uuid::try_parse(text).map_err(|_| ResultCode::IdempotencyKeyInvalid)?;
        if uuid.get_version() != Some(Version::SortRand) {
            return Err(ResultCode::IdempotencyKeyInvalid);
        }
        Ok(Self(uuid))
    }

    /// Timestamp of the key, since the Unix epoch.
    pub fn time(&self) -> Duration {
        Duration::from_millis((self.0.as_u128() >> 80) as u64)
    }

    /// The key as a hyphenated UUID.
    pub fn to_text(&self) -> Box<str> {
        self.0.hyphenated().to_string().into()
    }

    /// Refuses a key whose timestamp is older than the window or too far in the future.
    pub fn check_age(&self, unix_now: Duration, options: &LedgerOptions) -> Result<(), ResultCode> {
        if self.time() + options.window < unix_now {
            return Err(ResultCode::IdempotencyKeyExpired);
        }
        if self.time() > unix_now + options.clock_margin {
            return Err(ResultCode::IdempotencyKeyInvalid);
        }
        Ok(())
    }

    /// Time bucket of the key: the number of its [`LedgerOptions::page_span`] since the Unix epoch.
    pub fn bucket(&self, options: &LedgerOptions) -> u64 {
        bucket_at(self.time(), options)
    }

    /// Name of the key's page on the platform.
    pub fn page_name(&self, options: &LedgerOptions) -> Box<str> {
        let digest = Sha256::digest(self.0.as_bytes());
        let hash =
            u32::from_le_bytes(digest[..4].try_into().expect("a SHA-256 digest has 32 bytes"));
        let shard = hash % options.shards.max(1);
        format!("{}{shard:03}", bucket_prefix(self.bucket(options))).into()
    }
}

pub(crate) fn bucket_at(time: Duration, options: &LedgerOptions) -> u64 {
    (time.as_millis() / options.page_span.as_millis().max(1)) as u64
}

/// Start of a bucket, since the Unix epoch.
pub(crate) fn bucket_start(bucket: u64, options: &LedgerOptions) -> Duration {
    Duration::from_millis(bucket.saturating_mul(options.page_span.as_millis() as u64))
}

/// Name prefix of the pages in the bucket's group: the buckets that differ in the last digit only.
pub(crate) fn group_prefix(bucket: u64) -> Box<str> {
    format!("{PAGE_PREFIX}{:011}", bucket / BUCKETS_PER_GROUP).into()
}

/// First bucket of the next group.
pub(crate) fn next_group(bucket: u64) -> u64 {
    (bucket / BUCKETS_PER_GROUP + 1) * BUCKETS_PER_GROUP
}

fn bucket_prefix(bucket: u64) -> Box<str> {
    format!("{PAGE_PREFIX}{bucket:012}/").into()
}

/// Parses the bucket from a page name.
pub(crate) fn bucket_of_page(name: &str) -> Option<u64> {
    name.strip_prefix(PAGE_PREFIX)?.split('/').next()?.parse().ok()
}
