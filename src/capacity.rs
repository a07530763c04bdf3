//! How many requests one host may have at a service's endpoints at once.

/// Load of a service's endpoints as one host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityView {
    /// Requests that the endpoints in use work on at once without slowing down.
    pub slots: u32,
    /// Requests of this host that are running.
    pub own: u32,
    /// Requests that the endpoints last reported, this host's among them.
    pub reported: u32,
    /// Hosts that share the endpoints, this one among them.
    pub hosts: u32,
}

impl CapacityView {
    /// Requests that this host may have running.
    ///
    /// Each host is sure of an even part. Beyond it, a host takes an even part of what is free, so
    /// that a host which the balancer favours grows into it, and all hosts together take no more
    /// than is free.
    ///
    /// ```
    /// use jacinthrock::CapacityView;
    ///
    /// let idle = CapacityView { slots: 120, own: 0, reported: 0, hosts: 3 };
    /// assert_eq!(idle.host_slots(), 40);
    /// let favoured = CapacityView { slots: 120, own: 60, reported: 60, hosts: 3 };
    /// assert_eq!(favoured.host_slots(), 80);
    /// ```
    pub fn host_slots(self) -> u32 {
        let hosts = self.hosts.max(1);
        let even_share = self.slots.div_ceil(hosts);
        let free = self.slots.saturating_sub(self.reported.max(self.own));
        even_share.max(self.own + free.div_ceil(hosts))
    }
}
