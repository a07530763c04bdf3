//! Number of requests that one host may have in flight at the endpoints of a service.

/// Load of a service's endpoints, as known to one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityView {
    /// Requests that the endpoints in use can process at once without slowing down.
    pub slots: u32,
    /// Running requests that this host sent.
    pub own: u32,
    /// Running requests that the endpoints last reported, including those of this host.
    pub reported: u32,
    /// Number of hosts that share the endpoints, including this one.
    pub hosts: u32,
}

impl CapacityView {
    /// Maximum number of running requests of this host.
    ///
    /// Each host is guaranteed an even share of the slots. Beyond that, it may use an even share of
    /// the free slots, so that a host which the load balancer favours can grow, while all hosts
    /// together use no more than the free slots.
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
