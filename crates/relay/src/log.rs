//! Structured log lines that never block the process.
//!
//! A line is `TIME [LEVEL] TARGET: event=NAME key=value ...`. A logging call only
//! copies the line into a bounded queue; a thread writes the queue to the output.
//! If the reader of the output stalls, lines are dropped, but no caller waits.
//!
//! Invariants:
//!
//! * Logging never waits for the reader. The lock of the queue is held only to copy a
//!   line or to swap two buffers, never while writing.
//! * Every line that is not written is counted, and the count is logged once there
//!   is room.
//! * The queue is bounded in lines and bytes, and so is the length of a line.
//! * Each write contains only complete lines, so that the lines of several processes
//!   that share an output do not interleave.

mod limit;
mod line;
mod queue;

use std::io;
use std::sync::Mutex;

pub use ::log::{debug, error, info, trace, warn};
use ::log::{Level, LevelFilter, Log, Metadata, Record, SetLoggerError};
use simplelog::{Config, ConfigBuilder, LevelPadding, WriteLogger};
use tidepier_clock::Instant;

pub use self::limit::Limit;
pub use self::line::Writer;
pub use self::queue::Queue;

/// Target of the lines about single requests.
const REQUEST_TARGET: &str = "request";
/// Most lines per second with the target `request` that are no warnings. A box at its usual share of a core
/// handles fewer requests per second unless it is overloaded.
pub const LINES_PER_SECOND: u32 = 200;

/// A logger that writes into `queue`.
pub fn logger(level: LevelFilter, queue: &Queue) -> Box<WriteLogger<Writer>> {
    WriteLogger::new(level, format(), Writer::new(queue.clone()))
}

/// Why logging could not be initialized.
#[derive(Debug)]
pub enum Error {
    /// The writer thread cannot be started.
    Thread(io::Error),
    /// The process already has a logger.
    AlreadySet(SetLoggerError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Thread(error) => write!(f, "cannot start the writer thread of the log: {error}"),
            Error::AlreadySet(error) => write!(f, "cannot initialize the log: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Makes standard output the log of the process. Call [`Queue::flush`] on the returned
/// queue before the process exits.
///
/// # Errors
///
/// The writer thread cannot be started, or the process already has a logger.
pub fn init(level: LevelFilter) -> Result<Queue, Error> {
    let queue = Queue::start(io::stdout()).map_err(Error::Thread)?;
    let limited = RateLimited {
        logger: logger(level, &queue),
        limit: Mutex::new(Limit::new("request", LINES_PER_SECOND)),
    };
    ::log::set_boxed_logger(Box::new(limited)).map_err(Error::AlreadySet)?;
    ::log::set_max_level(level);
    Ok(queue)
}

/// Applies a rate limit to lines about requests; warnings, of which there is at most one
/// for a lost answer, and all other lines pass.
struct RateLimited {
    logger: Box<WriteLogger<Writer>>,
    limit: Mutex<Limit>,
}

impl RateLimited {
    fn allows(&self, record: &Record<'_>) -> bool {
        if record.target() != REQUEST_TARGET || record.level() <= Level::Warn {
            return true;
        }
        // A panic while the lock was held leaves the limit consistent.
        let limit = self.limit.lock();
        let limit = limit.unwrap_or_else(|poison| poison.into_inner());
        limit.allows(Instant::now())
    }
}

impl Log for RateLimited {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) && self.allows(record) {
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
