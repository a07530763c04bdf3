//! Runs the stand-in for a model engine.

use jacinthrock_standins::engine::{EngineApi, EngineAssignment, EngineOptions};
use jacinthrock_standins::http;
use std::rc::Rc;
use std::time::Duration;

mod flags {
    xflags::xflags! {
        /// Stand-in for a model engine that holds a range of layers.
        cmd standin-engine {
            /// IP address and port to listen on.
            required --listen address: String
            /// Name of the endpoint.
            required --name name: String
            /// Name of the model that it holds.
            required --model model: String
            /// Version of the model.
            required --version version: String
            /// First layer that it holds.
            required --first-layer layer: u16
            /// Last layer that it holds.
            required --last-layer layer: u16
            /// Requests worked on at once without slowing down (default 8).
            optional --slots count: u32
            /// Time of one layer of one token, in microseconds (default 200).
            optional --layer-us microseconds: u64
            /// Time to prefill one token, in microseconds (default 50).
            optional --prefill-us-per-token microseconds: u64
            /// Time to import one token of KV cache, in microseconds (default 5).
            optional --kv-import-us-per-token microseconds: u64
            /// Refuses an order with an old fence.
            optional --checks-fence
            /// Obeys an order with an old fence (default).
            optional --order-ignores-fence
            /// Lag of the reported load, in milliseconds (default 500).
            optional --status-lag-ms milliseconds: u64
            /// Tokens that the prefix cache holds (default 65536).
            optional --cache-tokens count: usize
        }
    }
}

fn main() -> std::io::Result<()> {
    let flags = flags::StandinEngine::from_env_or_exit();
    let options = EngineOptions {
        name: flags.name.into(),
        assignment: EngineAssignment {
            model: flags.model.into(),
            version: flags.version.into(),
            first_layer: flags.first_layer,
            last_layer: flags.last_layer,
            fence: 0,
            leaving: false,
        },
        slots: flags.slots.unwrap_or(8),
        layer: Duration::from_micros(flags.layer_us.unwrap_or(200)),
        prefill: Duration::from_micros(flags.prefill_us_per_token.unwrap_or(50)),
        kv_import: Duration::from_micros(flags.kv_import_us_per_token.unwrap_or(5)),
        checks_fence: flags.checks_fence && !flags.order_ignores_fence,
        status_lag: Duration::from_millis(flags.status_lag_ms.unwrap_or(500)),
        cache_tokens: flags.cache_tokens.unwrap_or(65_536),
    };
    http::run(&flags.listen, || Rc::new(EngineApi::new(options)))
}
