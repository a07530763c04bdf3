//! Structured logging: one JSON object per line on standard error.

use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Starts logging at the given level; has no effect if logging is already started in this process.
pub(crate) fn start(level: log::LevelFilter) {
    let filter = match level {
        log::LevelFilter::Off => LevelFilter::Off,
        log::LevelFilter::Error => LevelFilter::MoreSevereEqual(Level::Error),
        log::LevelFilter::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        log::LevelFilter::Info => LevelFilter::MoreSevereEqual(Level::Info),
        log::LevelFilter::Debug | log::LevelFilter::Trace => {
            LevelFilter::MoreSevereEqual(Level::Debug)
        }
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let stderr = Stderr::default().with_layout(JsonLayout::default());
            dispatch.filter(filter).append(stderr)
        })
        .apply();
}
