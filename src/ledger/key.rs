//! Idempotency keys and the pages that they belong to.

use sha2::{Digest, Sha256};
use std::time::Duration;
use uuid::{Uuid, Version};

use crate::codes::ResultCode;
use crate::ledger::options::LedgerOptions;

/// Prefix of every page on the platform.
pub(crate) const PAGE_PREFIX: &str = "ledger/";

/// Buckets that share a prefix of their names, and one listing.
const GROUP_BUCKETS: u64 = 10;

/// An idempotency key: a version 7 UUID, whose first 48 bits are its time.
///
/// ```
/// use jacinthrock::{ClaimKey, LedgerOptions};
///
/// let key = ClaimKey::parse("01890a5d-ac96-774b-bcce-b302099a8057").expect("version 7");
/// assert!(key.page_name(&LedgerOptions::default()).starts_with("ledger/"));
/// assert!(ClaimKey::parse("f47ac10b-58cc-4372-a567-0e02b2c3d479").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Reads a key; anything but a version 7 UUID is [`ResultCode::IdempotencyKeyInvalid`].
    pub fn parse(text: &str) -> Result<Self, ResultCode> {
        let uuid = Uuid::try_parse(text).map_err(|_| ResultCode::IdempotencyKeyInvalid)?;
        if uuid.get_version() != Some(Version::SortRand) {
            return Err(ResultCode::IdempotencyKeyInvalid);
        }
        Ok(Self(uuid))
    }

    /// Time in the key, since the Unix epoch.
    pub fn time(&self) -> Duration {
        Duration::from_millis((self.0.as_u128() >> 80) as u64)
    }

    /// The key in its usual form.
    pub fn as_text(&self) -> Box<str> {
        self.0.hyphenated().to_string().into()
    }

    /// Refuses a key that is older than the window or too far ahead.
    pub fn check_age(&self, unix_now: Duration, options: &LedgerOptions) -> Result<(), ResultCode> {
        if self.time() + options.window < unix_now {
            return Err(ResultCode::IdempotencyKeyExpired);
        }
        if self.time() > unix_now + options.clock_margin {
            return Err(ResultCode::IdempotencyKeyInvalid);
        }
        Ok(())
    }

    /// Number of the span that the key's time lies in.
    pub fn bucket(&self, options: &LedgerOptions) -> u64 {
        bucket_at(self.time(), options)
    }

    /// Name of the page on the platform.
    pub fn page_name(&self, options: &LedgerOptions) -> Box<str> {
        let digest = Sha256::digest(self.0.as_bytes());
        let word = u32::from_le_bytes(digest[..4].try_into().expect("a digest has 32 bytes"));
        let shard = word % options.shards.max(1);
        format!("{}{shard:03}", bucket_prefix(self.bucket(options))).into()
    }
}

pub(crate) fn bucket_at(time: Duration, options: &LedgerOptions) -> u64 {
    (time.as_millis() / options.page_span.as_millis().max(1)) as u64
}

/// First time of a bucket, since the Unix epoch.
pub(crate) fn bucket_start(bucket: u64, options: &LedgerOptions) -> Duration {
    Duration::from_millis(bucket.saturating_mul(options.page_span.as_millis() as u64))
}

/// Prefix of the pages of the bucket's group: the buckets that differ in the last digit only.
pub(crate) fn group_prefix(bucket: u64) -> Box<str> {
    format!("{PAGE_PREFIX}{:011}", bucket / GROUP_BUCKETS).into()
}

/// First bucket of the next group.
pub(crate) fn next_group(bucket: u64) -> u64 {
    (bucket / GROUP_BUCKETS + 1) * GROUP_BUCKETS
}

fn bucket_prefix(bucket: u64) -> Box<str> {
    format!("{PAGE_PREFIX}{bucket:012}/").into()
}

/// Reads the bucket back from a page's name.
pub(crate) fn bucket_of_page(name: &str) -> Option<u64> {
    name.strip_prefix(PAGE_PREFIX)?.split('/').next()?.parse().ok()
}
