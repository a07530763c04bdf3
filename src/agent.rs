//! HTTP agents that reach addresses by IP number, without a resolver's thread for each call.

use std::net::SocketAddr;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Port of a URL that names none.
const HTTP_PORT: u16 = 80;

/// Takes the IP number and port of a URL as they are.
///
/// The library's own resolver starts a thread for each call that has a timeout, even where there
/// is no name to resolve.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let host = uri.host().ok_or(Error::HostNotFound)?;
        let number = host.trim_start_matches('[').trim_end_matches(']');
        let address = number.parse().map_err(|_| Error::HostNotFound)?;
        let mut resolved = self.empty();
        resolved.push(SocketAddr::new(address, uri.port_u16().unwrap_or(HTTP_PORT)));
        Ok(resolved)
    }
}

/// An agent that takes only URLs with IP numbers.
pub(crate) fn ip_address_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), AddressResolver)
}
