//! Structured logs of an entry process: one JSON object a line on standard output.

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Lines that wait to be written; further lines are dropped while a reader of the output stalls.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging; lines are written by a thread of their own and never hold up a request.
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
