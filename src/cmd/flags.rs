//! Command line of the operators' program `jacinthrock`. The doc comments below are its help text.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks, applies and inspects the configuration of a jacinthrock deployment.
    ///
    /// Exit codes: 0 done, 1 wrong usage or findings, 2 checks failed, 3 another change came first,
    /// 4 platform unavailable, 5 not yet in force everywhere, 6 outcome unknown,
    /// 7 nothing of that name, 8 host unreachable.
    cmd jacinthrock {
        /// URL of the platform's object API (JACINTHROCK_PLATFORM).
        optional --platform url: String
        /// Form of the output: human or json (JACINTHROCK_OUTPUT).
        optional --output format: String

        /// Checks a directory of declarations and reports entries without effect and limits that
        /// contradict each other; needs no platform.
        cmd check {
            /// Directory of the declaration tree.
            required directory: PathBuf
            /// Ends with exit code 1 if there are findings.
            optional --strict
            /// Also shows the differences from the configuration in force, read from the platform.
            optional --in-force
        }

        /// Shows what an apply would change, and what its deletions would strand.
        cmd plan {
            /// Directory of the declaration tree.
            required directory: PathBuf
        }

        /// Commits a directory of declarations and waits until it is in force on every host.
        cmd apply {
            /// Directory of the declaration tree.
            required directory: PathBuf
            /// Revision that the edit is based on, as plan shows it; a later one is a conflict.
            optional --base revision: u64
            /// Message for the history.
            optional --message text: String
            /// Author for the history (JACINTHROCK_AUTHOR, else USER).
            optional --author name: String
            /// Longest wait for the hosts in milliseconds, 10000 unless set; 0 does not wait.
            optional --wait-ms ms: u64
        }

        /// Shows a node of the configuration in force.
        cmd get {
            /// Name of the node.
            required node: String
            /// Also shows inherited settings, each with the node that it comes from.
            optional --effective
        }

        /// Shows the configuration in force and each host's state.
        cmd status {}

        /// Shows the latest changes.
        cmd history {
            /// Most changes to show, 20 unless set.
            optional --limit count: usize
        }

        /// Takes an endpoint out of service, or shuts a host down gracefully.
        cmd drain {
            /// Name of an endpoint or a host.
            required target: String
            /// Brings a drained endpoint back.
            optional --undo
        }

        /// Removes a host that is gone for good from the list of hosts.
        cmd forget {
            /// Name of the host.
            required host: String
        }

        /// Shows what the logs of the hosts tell about one request, in the order of time.
        cmd explain {
            /// Identifier of the request's attempt, as its caller sent it.
            required attempt: String
            /// Logs of all hosts; standard input unless given. What stands before a line's object
            /// ends with the name of its host.
            repeated logs: PathBuf
        }
    }
}
