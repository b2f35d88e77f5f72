//! Exit codes of failed commands.

use std::process::ExitCode;

use tidepier_config::Faults;
use tidepier_errors::{Fault, Kind};

/// The exit code of a command that failed: that of the fault which the error
/// holds.
pub fn code(error: &eyre::Report) -> ExitCode {
    if error.downcast_ref::<Faults>().is_some() {
        return ExitCode::from(Kind::Invalid.answer().exit);
    }
    match error.downcast_ref::<Fault>() {
        Some(fault) => ExitCode::from(fault.kind.answer().exit),
        None => ExitCode::FAILURE,
    }
}
