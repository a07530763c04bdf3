//! Errors of the operators' command line and their exit codes.

use serde_json::{Value, json};

use crate::codes::ResultCode;
use crate::findings::ConfigFinding;
use crate::ids::ConfigRevision;
use crate::platform::StoreError;
use crate::publish::{ConflictingChange, PublishError};
use crate::tree::DeclarationError;

/// Row of the table of exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExitRow {
    /// Exit code of the process.
    pub code: u8,
    /// Meaning of the exit code.
    pub meaning: &'static str,
}

/// Every exit code. `docs/operating/settings.md` holds the same table; a test compares the two.
pub(crate) const EXIT_ROWS: &[ExitRow] = &[
    ExitRow { code: 0, meaning: "Done." },
    ExitRow { code: 1, meaning: "The command line is wrong, or `check --strict` has findings." },
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

/// Error of a subcommand.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("{0}")]
    Usage(Box<str>),
    #[error("{}", describe_faults(.0))]
    InvalidDeclarations(Vec<DeclarationError>),
    #[error("{} findings in strict mode", .0.len())]
    Findings(Vec<ConfigFinding>),
    #[error(transparent)]
    Publish(#[from] PublishError),
    #[error("platform not available: {0}")]
    Store(#[from] StoreError),
    #[error("revision {revision} is accepted but not in force on: {}", .hosts.join(", "))]
    Lagging { revision: ConfigRevision, hosts: Vec<String> },
    #[error("no configuration has been accepted yet")]
    NoAcceptedConfig,
    #[error("{0}")]
    NameUnknown(Box<str>),
    #[error("host {host}: {reason}")]
    HostUnreachable { host: Box<str>, reason: Box<str> },
    /// The reader of standard output has closed it; not reported, and the exit code is 0.
    #[error("output closed")]
    OutputClosed,
}

impl CommandError {
    /// Result code of the error.
    pub(crate) fn code(&self) -> ResultCode {
        match self {
            Self::Usage(_) => ResultCode::SettingInvalid,
            Self::InvalidDeclarations(errors) => {
                errors.first().map_or(ResultCode::DeclarationSyntax, |error| error.code)
            }
            Self::Findings(findings) => {
                findings.first().map_or(ResultCode::DeclarationRange, |finding| finding.code)
            }
            Self::Publish(error) => error.code(),
            Self::Store(StoreError::Conflict { .. }) => ResultCode::StoreConflict,
            Self::Store(StoreError::Ambiguous(_)) => ResultCode::StoreAmbiguous,
            Self::Store(StoreError::Throttled { .. }) => ResultCode::StoreThrottled,
            Self::Store(StoreError::Rejected(_)) => ResultCode::StoreRejected,
            Self::Store(_) => ResultCode::StoreUnavailable,
            Self::Lagging { .. } => ResultCode::ConfigLagging,
            Self::NoAcceptedConfig => ResultCode::ConfigMissing,
            Self::NameUnknown(_) => ResultCode::NameUnknown,
            Self::HostUnreachable { .. } => ResultCode::HostUnreachable,
            Self::OutputClosed => ResultCode::SettingInvalid,
        }
    }

    /// Exit code of the process, as in [`EXIT_ROWS`].
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::OutputClosed => 0,
            Self::Usage(_) | Self::Findings(_) => 1,
            Self::InvalidDeclarations(_) | Self::Publish(PublishError::Faulty(_)) => 2,
            Self::Publish(PublishError::Corrupt { .. }) => 2,
            Self::Publish(PublishError::Conflict { .. })
            | Self::Store(StoreError::Conflict { .. }) => 3,
            Self::Publish(PublishError::Unavailable(_)) => 4,
            Self::Lagging { .. } => 5,
            Self::Publish(PublishError::Unsettled { .. })
            | Self::Store(StoreError::Ambiguous(_)) => 6,
            Self::Store(_) => 4,
            Self::NoAcceptedConfig | Self::NameUnknown(_) => 7,
            Self::HostUnreachable { .. } => 8,
        }
    }

    /// JSON form of the error, with the details that scripts need.
    pub(crate) fn to_json(&self) -> Value {
        let mut error = json!({
            "code": self.code().number(),
            "name": self.code().name(),
            "exit": self.exit_code(),
            "message": self.to_string(),
        });
        match self {
            Self::InvalidDeclarations(faults) | Self::Publish(PublishError::Faulty(faults)) => {
                error["faults"] = json!(faults);
            }
            Self::Publish(PublishError::Conflict { base, changes }) => {
                error["base"] = json!(base);
                error["changes"] = changes.iter().map(conflicting_change_json).collect();
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

fn conflicting_change_json(conflict: &ConflictingChange) -> Value {
    json!({ "revision": conflict.entry.revision, "change": conflict.entry.change, "common": conflict.common_fields })
}

fn describe_faults(faults: &[DeclarationError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    format!("{} faults\n{}", faults.len(), lines.join("\n"))
}
