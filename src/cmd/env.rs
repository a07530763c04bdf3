//! Environment variables of the operators' command line; a flag takes precedence over its variable.

use std::env;

/// URL of the platform's object API.
pub(crate) fn platform() -> Option<Box<str>> {
    read_variable("JACINTHROCK_PLATFORM")
}

/// Output format: `human` or `json`.
pub(crate) fn output() -> Option<Box<str>> {
    read_variable("JACINTHROCK_OUTPUT")
}

/// Author of changes, for the history.
pub(crate) fn author() -> Option<Box<str>> {
    read_variable("JACINTHROCK_AUTHOR").or_else(|| read_variable("USER"))
}

/// Returns the value of a variable; `None` if it is unset, empty or not UTF-8.
fn read_variable(name: &str) -> Option<Box<str>> {
    env::var(name).ok().filter(|value| !value.is_empty()).map(Box::from)
}
