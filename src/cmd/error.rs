//! Failures of the operators' program and their exit codes.

use serde_json::{Value, json};

use crate::codes::ResultCode;
use crate::ids::ConfigRevision;
use crate::platform::StoreError;
use crate::publish::{ConflictingChange, PublishError};
use crate::tree::DeclarationError;

/// One row of the table of exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExitRow {
    /// Exit code of the process.
    pub code: u8,
    /// What it says.
    pub meaning: &'static str,
}

/// Every exit code; `docs/operating/settings.md` holds the same table.
pub(crate) const EXIT_ROWS: &[ExitRow] = &[
    ExitRow { code: 0, meaning: "Done." },
    ExitRow { code: 1, meaning: "The command line is wrong." },
    ExitRow { code: 2, meaning: "The declarations fail their checks; nothing was changed." },
    ExitRow { code: 3, meaning: "Another change came first; nothing was changed." },
    ExitRow { code: 4, meaning: "The platform is unavailable; nothing was changed." },
    ExitRow { code: 5, meaning: "Accepted, but not yet in force on every host." },
    ExitRow {
        code: 6,
        meaning: "The outcome is unknown; `history` shows whether it was accepted.",
    },
    ExitRow { code: 7, meaning: "No node, endpoint, host or configuration of that name." },
    ExitRow { code: 8, meaning: "The host's operator port did not answer." },
];

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("{0}")]
    Usage(Box<str>),
    #[error("{}", list_faults(.0))]
    Faulty(Vec<DeclarationError>),
    #[error(transparent)]
    Publish(#[from] PublishError),
    #[error("platform not available: {0}")]
    Store(#[from] StoreError),
    #[error("revision {revision} is accepted but not in force on: {}", .hosts.join(", "))]
    Lagging { revision: ConfigRevision, hosts: Vec<String> },
    #[error("no configuration has been accepted yet")]
    NothingAccepted,
    #[error("{0}")]
    NameUnknown(Box<str>),
    #[error("host {host}: {reason}")]
    HostUnreachable { host: Box<str>, reason: Box<str> },
    /// The reader of the output is gone.
    #[error("output closed")]
    OutputClosed,
}

impl CommandError {
    pub(crate) fn code(&self) -> ResultCode {
        match self {
            Self::Usage(_) => ResultCode::SettingInvalid,
            Self::Faulty(errors) => {
                errors.first().map_or(ResultCode::DeclarationSyntax, |error| error.code)
            }
            Self::Publish(error) => error.code(),
            Self::Store(StoreError::Conflict { .. }) => ResultCode::StoreConflict,
            Self::Store(StoreError::Ambiguous(_)) => ResultCode::StoreAmbiguous,
            Self::Store(StoreError::Throttled { .. }) => ResultCode::StoreThrottled,
            Self::Store(StoreError::Rejected(_)) => ResultCode::StoreRejected,
            Self::Store(_) => ResultCode::StoreUnavailable,
            Self::Lagging { .. } => ResultCode::ConfigLagging,
            Self::NothingAccepted => ResultCode::ConfigMissing,
            Self::NameUnknown(_) => ResultCode::NameUnknown,
            Self::HostUnreachable { .. } => ResultCode::HostUnreachable,
            Self::OutputClosed => ResultCode::SettingInvalid,
        }
    }

    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::OutputClosed => 0,
            Self::Usage(_) => 1,
            Self::Faulty(_) | Self::Publish(PublishError::Faulty(_)) => 2,
            Self::Publish(PublishError::Corrupt { .. }) => 2,
            Self::Publish(PublishError::Conflict { .. })
            | Self::Store(StoreError::Conflict { .. }) => 3,
            Self::Publish(PublishError::Unavailable(_)) => 4,
            Self::Lagging { .. } => 5,
            Self::Publish(PublishError::Unsettled { .. })
            | Self::Store(StoreError::Ambiguous(_)) => 6,
            Self::Store(_) => 4,
            Self::NothingAccepted | Self::NameUnknown(_) => 7,
            Self::HostUnreachable { .. } => 8,
        }
    }

    /// The error as JSON.
    pub(crate) fn to_json(&self) -> Value {
        let mut error = json!({
            "code": self.code().number(),
            "name": self.code().name(),
            "exit": self.exit_code(),
            "message": self.to_string(),
        });
        match self {
            Self::Faulty(faults) | Self::Publish(PublishError::Faulty(faults)) => {
                error["faults"] = json!(faults);
            }
            Self::Publish(PublishError::Conflict { base, changes }) => {
                error["base"] = json!(base);
                error["changes"] = changes.iter().map(race_json).collect();
            }
            Self::Publish(PublishError::Unsettled { commit, .. }) => {
                error["commit"] = json!(commit);
            }
            Self::Lagging { revision, hosts } => {
                error["revision"] = json!(revision);
                error["lagging"] = json!(hosts);
            }
            _ => {}
        }
        json!({ "error": error })
    }
}

fn race_json(race: &ConflictingChange) -> Value {
    json!({ "revision": race.entry.revision, "change": race.entry.change, "common": race.common_fields })
}

fn list_faults(faults: &[DeclarationError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    format!("{} faults\n{}", faults.len(), lines.join("\n"))
}
