//! Settings of the daemons from flags and environment variables. Flags take precedence.
//!
//! `docs/SETTINGS.md` contains the same table; a test compares the two.

use std::net::SocketAddr;
use std::time::Duration;

use crate::codes::ResultCode;
use crate::flags::JacinthrockRouter;
use crate::flags::controller::JacinthrockController;

/// One row of the settings table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingRow {
    /// Flag without the leading dashes.
    pub flag: &'static str,
    /// Environment variable for the same setting.
    pub variable: &'static str,
    /// Value if neither is set; empty if the setting is required.
    pub default: &'static str,
}

macro_rules! settings {
    ($($function:ident = $flag:literal, $variable:literal, $default:literal;)*) => {
        /// Every setting of the daemons.
        pub const SETTINGS: &[SettingRow] =
            &[$(SettingRow { flag: $flag, variable: $variable, default: $default },)*];

        $(fn $function(flag: Option<String>) -> RawSetting {
            let row = SettingRow { flag: $flag, variable: $variable, default: $default };
            RawSetting { row, value: flag.or_else(|| std::env::var($variable).ok()) }
        })*
    };
}

settings! {
    name = "name", "JACINTHROCK_NAME", "";
    domain = "domain", "JACINTHROCK_DOMAIN", "default";
    platform = "platform", "JACINTHROCK_PLATFORM", "";
    listen = "listen", "JACINTHROCK_LISTEN", "127.0.0.1:8080";
    operator_listen = "operator-listen", "JACINTHROCK_OPERATOR_LISTEN", "127.0.0.1:8081";
    peer_listen = "peer-listen", "JACINTHROCK_PEER_LISTEN", "127.0.0.1:8082";
    peer_advertise = "peer-advertise", "JACINTHROCK_PEER_ADVERTISE", "";
    operator_advertise = "operator-advertise", "JACINTHROCK_OPERATOR_ADVERTISE", "";
    max_body_bytes = "max-body-bytes", "JACINTHROCK_MAX_BODY_BYTES", "262144";
    max_head_bytes = "max-head-bytes", "JACINTHROCK_MAX_HEAD_BYTES", "16384";
    max_connections = "max-connections", "JACINTHROCK_MAX_CONNECTIONS", "4096";
    max_streams = "max-streams", "JACINTHROCK_MAX_STREAMS", "1024";
    request_timeout_ms = "request-timeout-ms", "JACINTHROCK_REQUEST_TIMEOUT_MS", "10000";
    drain_delay_ms = "drain-delay-ms", "JACINTHROCK_DRAIN_DELAY_MS", "1000";
    drain_timeout_ms = "drain-timeout-ms", "JACINTHROCK_DRAIN_TIMEOUT_MS", "120000";
    lease_ttl_ms = "lease-ttl-ms", "JACINTHROCK_LEASE_TTL_MS", "5000";
    log_level = "log", "JACINTHROCK_LOG", "info";
}

struct RawSetting {
    row: SettingRow,
    value: Option<String>,
}

/// Error in a setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// A required setting is missing.
    #[error("[7002] setting --{flag} (or {variable}) is not set")]
    Missing {
        /// Flag without the leading dashes.
        flag: &'static str,
        /// Environment variable for the same setting.
        variable: &'static str,
    },
    /// The value of a setting is invalid.
    #[error("[7001] setting --{flag} (or {variable}) has value {value:?}, expected {expected}")]
    Invalid {
        /// Flag without the leading dashes.
        flag: &'static str,
        /// Environment variable for the same setting.
        variable: &'static str,
        /// The invalid value.
        value: Box<str>,
        /// Description of valid values.
        expected: &'static str,
    },
}

impl SettingError {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Missing { .. } => ResultCode::SettingMissing,
            Self::Invalid { .. } => ResultCode::SettingInvalid,
        }
    }
}

impl RawSetting {
    fn text(self) -> Result<Box<str>, SettingError> {
        let SettingRow { flag, variable, default } = self.row;
        match self.value {
            Some(value) if value.is_empty() => {
                Err(SettingError::Invalid { flag, variable, value: "".into(), expected: "text" })
            }
            Some(value) => Ok(value.into()),
            None if default.is_empty() => Err(SettingError::Missing { flag, variable }),
            None => Ok(default.into()),
        }
    }

    fn parse<T>(
        self,
        expected: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingError> {
        let SettingRow { flag, variable, .. } = self.row;
        let value = self.text()?;
        parse(&value).ok_or(SettingError::Invalid { flag, variable, value, expected })
    }

    fn address(self) -> Result<SocketAddr, SettingError> {
        self.parse("an IP address and port", |value| value.parse().ok())
    }

    fn address_or_default(mut self, fallback: SocketAddr) -> Result<SocketAddr, SettingError> {
        self.value.get_or_insert_with(|| fallback.to_string());
        self.address()
    }

    fn count(self) -> Result<usize, SettingError> {
        self.parse("a whole number above 0", |value| value.parse().ok().filter(|&count| count > 0))
    }

    fn millis(self) -> Result<Duration, SettingError> {
        self.parse("a whole number of milliseconds up to an hour", |value| {
            value.parse().ok().filter(|&ms| ms <= MAX_DURATION_MS).map(Duration::from_millis)
        })
    }

    fn url(self) -> Result<Box<str>, SettingError> {
        self.parse("an http:// URL without a path", |value| {
            let host = value.strip_prefix("http://")?.trim_end_matches('/');
            let is_valid = !host.is_empty() && !host.contains('/');
            is_valid.then(|| format!("http://{host}").into())
        })
    }

    fn level(self) -> Result<log::LevelFilter, SettingError> {
        self.parse("one of error, warn, info, debug", |value| value.parse().ok())
    }
}

/// Largest value of a setting in milliseconds: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Limits on the requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    /// Maximum size of a request body in bytes.
    pub(crate) body_bytes: usize,
    /// Maximum size of a request head in bytes.
    pub(crate) head_bytes: usize,
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    /// Maximum number of requests that are answered concurrently.
    pub(crate) streams: usize,
    /// Timeout for receiving a complete request.
    pub(crate) request_timeout: Duration,
}

/// Settings of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouterSettings {
    pub(crate) name: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) platform: Box<str>,
    pub(crate) listen: SocketAddr,
    pub(crate) operator_listen: SocketAddr,
    pub(crate) peer_listen: SocketAddr,
    pub(crate) peer_advertise: SocketAddr,
    pub(crate) operator_advertise: SocketAddr,
    pub(crate) limits: CallerLimits,
    pub(crate) drain_delay: Duration,
    pub(crate) drain_timeout: Duration,
    pub(crate) log_level: log::LevelFilter,
}

impl RouterSettings {
    /// Reads and validates the settings.
    pub(crate) fn load(flags: JacinthrockRouter) -> Result<Self, SettingError> {
        let operator_address = operator_listen(flags.operator_listen).address()?;
        let peer_address = peer_listen(flags.peer_listen).address()?;
        Ok(Self {
            name: name(flags.name).text()?,
            domain: domain(flags.domain).text()?,
            platform: platform(flags.platform).url()?,
            listen: listen(flags.listen).address()?,
            operator_listen: operator_address,
            peer_listen: peer_address,
            peer_advertise: peer_advertise(flags.peer_advertise)
                .address_or_default(peer_address)?,
            operator_advertise: operator_advertise(flags.operator_advertise)
                .address_or_default(operator_address)?,
            limits: CallerLimits {
                body_bytes: max_body_bytes(flags.max_body_bytes).count()?,
                head_bytes: max_head_bytes(flags.max_head_bytes).head_bytes()?,
                connections: max_connections(flags.max_connections).count()?,
                streams: max_streams(flags.max_streams).count()?,
                request_timeout: request_timeout_ms(flags.request_timeout_ms).millis()?,
            },
            drain_delay: drain_delay_ms(flags.drain_delay_ms).millis()?,
            drain_timeout: drain_timeout_ms(flags.drain_timeout_ms).millis()?,
            log_level: log_level(flags.log).level()?,
        })
    }
}

impl RawSetting {
    fn head_bytes(self) -> Result<usize, SettingError> {
        self.parse("a whole number of bytes from 8192", |value| {
            value.parse().ok().filter(|&bytes| bytes >= MIN_HEAD_BYTES)
        })
    }
}

/// Smallest buffer for a request head that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8192;

/// Settings of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ControllerSettings {
    pub(crate) name: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) platform: Box<str>,
    pub(crate) operator_listen: SocketAddr,
    pub(crate) lease_ttl: Duration,
    pub(crate) log_level: log::LevelFilter,
}

impl ControllerSettings {
    /// Reads and validates the settings.
    pub(crate) fn load(flags: JacinthrockController) -> Result<Self, SettingError> {
        Ok(Self {
            name: name(flags.name).text()?,
            domain: domain(flags.domain).text()?,
            platform: platform(flags.platform).url()?,
            operator_listen: operator_listen(flags.operator_listen).address()?,
            lease_ttl: lease_ttl_ms(flags.lease_ttl_ms).millis()?,
            log_level: log_level(flags.log).level()?,
        })
    }
}
