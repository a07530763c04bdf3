//! Runs the stand-in for the platform's object API.

use jacinthrock_standins::http;
use jacinthrock_standins::platform::{PlatformApi, PlatformOptions};
use std::rc::Rc;

mod flags {
    xflags::xflags! {
        /// Stand-in for the platform's object API.
        cmd standin-platform {
            /// IP address and port to listen on.
            required --listen address: String
            /// Writes taken in a second (default 500).
            optional --writes-per-second count: u32
            /// Reads taken in a second, a watch counting as one (default 2000).
            optional --reads-per-second count: u32
            /// Changes kept for watches (default 10000).
            optional --history count: usize
        }
    }
}

fn main() -> std::io::Result<()> {
    let flags = flags::StandinPlatform::from_env_or_exit();
    let options = PlatformOptions {
        writes_per_second: flags.writes_per_second.unwrap_or(500),
        reads_per_second: flags.reads_per_second.unwrap_or(2000),
        history: flags.history.unwrap_or(10_000),
    };
    http::run(&flags.listen, || Rc::new(PlatformApi::new(options)))
}
