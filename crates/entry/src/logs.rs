//! Structured logs of an entry process: one JSON object per line on standard output.

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Maximum buffered log lines; further lines are dropped while the reader of the output stalls.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging. A separate thread writes the lines, so that logging never blocks a request.
pub fn start_logs() {
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let queue = AsyncBuilder::new("journal")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(queue)
        })
        .apply();
}
