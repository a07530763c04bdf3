//! Environment variables of the operators' program; a flag wins over its variable.

use std::env;

/// URL of the platform's object API.
pub(crate) fn platform() -> Option<Box<str>> {
    read_variable("JACINTHROCK_PLATFORM")
}

/// Form of the output.
pub(crate) fn output() -> Option<Box<str>> {
    read_variable("JACINTHROCK_OUTPUT")
}

/// Author of changes.
pub(crate) fn author() -> Option<Box<str>> {
    read_variable("JACINTHROCK_AUTHOR").or_else(|| read_variable("USER"))
}

fn read_variable(name: &str) -> Option<Box<str>> {
    env::var(name).ok().filter(|value| !value.is_empty()).map(Box::from)
}
