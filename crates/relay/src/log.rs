//! Structured log lines that never hold the process up.
//!
//! A line is `TIME [LEVEL] TARGET: event=NAME key=value ...`. Whoever logs
//! only copies the line into a bounded queue; a thread writes the queue out.
//! A reader of the log that stalls therefore costs lines and never time.
//!
//! Invariants:
//!
//! * Logging waits for no reader. The lock of the queue is held for the
//!   copying of a line and the swap of two buffers, never while writing.
//! * Every line that is not written is counted, and the count is logged once
//!   there is room.
//! * What waits is bounded in lines and bytes, and so is the length of a line.
//! * Lines are written whole, so that a reader of several processes gets none
//!   that ends within another's.

mod limit;
mod line;
mod queue;

use std::io;
use std::sync::Mutex;

pub use ::log::{debug, error, info, trace, warn};
use ::log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use simplelog::{Config, ConfigBuilder, LevelPadding, WriteLogger};
use tidepier_clock::Instant;

pub use self::limit::Limit;
pub use self::line::Lines;
pub use self::queue::Queue;

/// Target of the lines on what became of one request.
const REQUEST_TARGET: &str = "request";
/// Request lines per second and event. A box at its usual share of a core
/// decides on fewer requests per second when it is not pressed.
pub const LINES_PER_SECOND: u32 = 200;

/// A logger into `queue`.
pub fn logger(level: LevelFilter, queue: &Queue) -> Box<WriteLogger<Lines>> {
    WriteLogger::new(level, format(), Lines::new(queue.clone()))
}

/// Why logging could not be set up.
#[derive(Debug)]
pub enum Error {
    /// The writing thread cannot be started.
    Thread(io::Error),
    /// The process has a logger already.
    Twice(SetLoggerError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Thread(error) => write!(f, "the log's thread cannot be started: {error}"),
            Error::Twice(error) => write!(f, "the log cannot be set up: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Makes standard output the log of the process. The queue that is returned
/// wants a [`Queue::flush`] at the end.
///
/// # Errors
///
/// The writing thread cannot be started, or there is a logger already.
pub fn init(level: LevelFilter) -> Result<Queue, Error> {
    let queue = Queue::start(io::stdout()).map_err(Error::Thread)?;
    let limited = Limited {
        logger: logger(level, &queue),
        limit: Mutex::new(Limit::new("request", LINES_PER_SECOND)),
    };
    ::log::set_boxed_logger(Box::new(limited)).map_err(Error::Twice)?;
    ::log::set_max_level(level);
    Ok(queue)
}

/// Holds lines about requests back past a rate; all others go through.
struct Limited {
    logger: Box<WriteLogger<Lines>>,
    limit: Mutex<Limit>,
}

impl Limited {
    fn passes(&self, record: &Record<'_>) -> bool {
        if record.target() != REQUEST_TARGET {
            return true;
        }
        // A limit is whole between any two of its statements.
        let limit = self.limit.lock();
        let limit = limit.unwrap_or_else(|poison| poison.into_inner());
        limit.passes(Instant::now())
    }
}

impl Log for Limited {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) && self.passes(record) {
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

fn format() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_level_padding(LevelPadding::Off)
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}
