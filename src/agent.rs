//! HTTP agents for URLs whose host is an IP address. They start no resolver thread for a call.

use std::net::SocketAddr;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Port of a URL without a port.
const DEFAULT_HTTP_PORT: u16 = 80;

/// Parses the IP address and port of a URL, without a name lookup.
///
/// The default resolver of `ureq` starts a thread for each call with a timeout, even if there is no
/// name to resolve.
#[derive(Debug)]
struct IpAddressResolver;

impl Resolver for IpAddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let host = uri.host().ok_or(Error::HostNotFound)?;
        let ip = host.trim_start_matches('[').trim_end_matches(']');
        let address = ip.parse().map_err(|_| Error::HostNotFound)?;
        let mut resolved = self.empty();
        resolved.push(SocketAddr::new(address, uri.port_u16().unwrap_or(DEFAULT_HTTP_PORT)));
        Ok(resolved)
    }
}

/// Creates an agent that accepts only URLs whose host is an IP address.
pub(crate) fn ip_address_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpAddressResolver)
}
