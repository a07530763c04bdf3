//! Runs the stand-in for a plain service.

use jacinthrock_standins::http;
use jacinthrock_standins::service::{ServiceApi, ServiceOptions};
use std::rc::Rc;
use std::time::Duration;

mod flags {
    xflags::xflags! {
        /// Stand-in for a plain service.
        cmd standin-service {
            /// IP address and port to listen on.
            required --listen address: String
            /// Name of the endpoint.
            required --name name: String
            /// Kind of its records: booking or registry.
            required --kind kind: String
            /// Time of a call, in milliseconds (default 5).
            optional --work-ms milliseconds: u64
        }
    }
}

fn main() -> std::io::Result<()> {
    let flags = flags::StandinService::from_env_or_exit();
    let options = ServiceOptions {
        name: flags.name.into(),
        kind: flags.kind.into(),
        work_time: Duration::from_millis(flags.work_ms.unwrap_or(5)),
    };
    http::run(&flags.listen, || Rc::new(ServiceApi::new(options)))
}
