//! Addresses of servers in tests.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};

/// A loopback address that no other test of any process on this machine uses.
pub(crate) fn own_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let block = (process % 16_000) as u16 * 4 + (number / 250) as u16;
    let [high, low] = block.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, (number % 250 + 2) as u8))
}
