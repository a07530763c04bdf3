//! Command lines of the daemons. The doc comments below are their help texts; `docs/SETTINGS.md`
//! lists the same flags.

xflags::xflags! {
    /// Routes callers' requests to endpoints.
    cmd jacinthrock-router {
        /// Name of this host (JACINTHROCK_NAME).
        optional --name name: String
        /// Failure domain of this host (JACINTHROCK_DOMAIN).
        optional --domain domain: String
        /// URL of the platform's object API (JACINTHROCK_PLATFORM).
        optional --platform url: String
        /// Address for callers (JACINTHROCK_LISTEN).
        optional --listen address: String
        /// Address for operators and scrapers (JACINTHROCK_OPERATOR_LISTEN).
        optional --operator-listen address: String
        /// Address for the other hosts (JACINTHROCK_PEER_LISTEN).
        optional --peer-listen address: String
        /// Address under which the other hosts reach this one (JACINTHROCK_PEER_ADVERTISE).
        optional --peer-advertise address: String
        /// Address under which operators reach this host (JACINTHROCK_OPERATOR_ADVERTISE).
        optional --operator-advertise address: String
        /// Largest request body in bytes (JACINTHROCK_MAX_BODY_BYTES).
        optional --max-body-bytes bytes: String
        /// Largest request head in bytes (JACINTHROCK_MAX_HEAD_BYTES).
        optional --max-head-bytes bytes: String
        /// Caller connections open at once (JACINTHROCK_MAX_CONNECTIONS).
        optional --max-connections count: String
        /// Answers being made at once (JACINTHROCK_MAX_STREAMS).
        optional --max-streams count: String
        /// Time for a caller to send its request, in milliseconds (JACINTHROCK_REQUEST_TIMEOUT_MS).
        optional --request-timeout-ms ms: String
        /// Time from not ready to not accepting, in milliseconds (JACINTHROCK_DRAIN_DELAY_MS).
        optional --drain-delay-ms ms: String
        /// Longest time for open requests to end in a shutdown, in milliseconds (JACINTHROCK_DRAIN_TIMEOUT_MS).
        optional --drain-timeout-ms ms: String
        /// Least severe level that is logged: error, warn, info, debug (JACINTHROCK_LOG).
        optional --log level: String
        /// Checks the settings and leaves.
        optional --check
    }
}

pub(crate) mod controller {
    //! Command line of the controller.

    xflags::xflags! {
        /// Places models on endpoints while it holds the lease.
        cmd jacinthrock-controller {
            /// Name of this host (JACINTHROCK_NAME).
            optional --name name: String
            /// Failure domain of this host (JACINTHROCK_DOMAIN).
            optional --domain domain: String
            /// URL of the platform's object API (JACINTHROCK_PLATFORM).
            optional --platform url: String
            /// Address for operators and scrapers (JACINTHROCK_OPERATOR_LISTEN).
            optional --operator-listen address: String
            /// Time that a lease lasts, in milliseconds (JACINTHROCK_LEASE_TTL_MS).
            optional --lease-ttl-ms ms: String
            /// Least severe level that is logged: error, warn, info, debug (JACINTHROCK_LOG).
            optional --log level: String
            /// Checks the settings and leaves.
            optional --check
        }
    }
}
