//! Reads the clients' headers and query parameters.

use std::time::Duration;

use tidepier_errors::{Fault, Kind};
use tidepier_http::http_types::Request;

use crate::at_most_once::Options;

/// The header that carries the request id of every answer.
pub(crate) const REQUEST: &str = "tidepier-request";
/// The header that carries the response id of an answer.
pub(crate) const RESPONSE: &str = "tidepier-response";
/// The header with which a client sets its time-out, in milliseconds.
const DEADLINE: &str = "tidepier-deadline-ms";
/// Longest idempotency key in bytes.
const KEY_BYTES_MAX: usize = 255;

/// The bearer key of a request.
pub(crate) fn bearer(request: &Request) -> Option<&str> {
    let header = request.header("authorization")?.last().as_str();
    header.strip_prefix("Bearer ").map(str::trim)
}

/// The time-out that a request names for its answer, or the default.
///
/// # Errors
///
/// [`Kind::BadRequest`] when the header is not a number in the allowed range.
pub(crate) fn client_timeout(request: &Request, default: Duration) -> Result<Duration, Fault> {
    let Some(values) = request.header(DEADLINE) else {
        return Ok(default);
    };
    let text = values.last().as_str();
    match text.parse::<u64>() {
        Ok(millis @ 1..=86_400_000) => Ok(Duration::from_millis(millis)),
        _ => {
            let detail = format!("{DEADLINE}: found {text:?}; allowed: 1 to 86400000");
            Err(Fault::new(Kind::BadRequest, detail))
        }
    }
}

/// The options of a request that may be executed at most once: one that its
/// headers mark as not repeatable, one with an idempotency key, or one whose
/// target is `declared` as not repeatable. `None` for any other.
///
/// # Errors
///
/// [`Kind::BadRequest`] for a header that cannot be read.
pub(crate) fn at_most_once(request: &Request, declared: bool) -> Result<Option<Options>, Fault> {
    let header = |name: &str| request.header(name).map(|values| values.last().as_str());
    let idempotency = header("idempotency-key").map(str::to_string);
    if idempotency
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES_MAX)
    {
        let detail = format!("idempotency-key: allowed are 1 to {KEY_BYTES_MAX} bytes");
        return Err(Fault::new(Kind::BadRequest, detail));
    }
    let not_repeatable = match header("tidepier-repeatable") {
        None | Some("yes") => false,
        Some("no") => true,
        Some(other) => {
            let detail = format!("tidepier-repeatable: found {other:?}; allowed: yes, no");
            return Err(Fault::new(Kind::BadRequest, detail));
        }
    };
    let wanted = not_repeatable || declared || idempotency.is_some();
    Ok(wanted.then_some(Options { idempotency }))
}

/// The offset after the last one that the client has received.
///
/// # Errors
///
/// [`Kind::BadRequest`] when it is no number.
pub(crate) fn next_offset(request: &Request) -> Result<u64, Fault> {
    let query = request
        .url()
        .query_pairs()
        .find(|(name, _)| name == "starting_after");
    let query = query.map(|(_, value)| value.into_owned());
    let header = request
        .header("last-event-id")
        .map(|values| values.last().as_str().to_string());
    let Some(text) = query.or(header) else {
        return Ok(0);
    };
    match text.parse::<u64>() {
        Ok(last) => Ok(last.saturating_add(1)),
        Err(_) => {
            let detail = format!("starting_after: found {text:?}; allowed: a number");
            Err(Fault::new(Kind::BadRequest, detail))
        }
    }
}
