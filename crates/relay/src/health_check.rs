//! Health checks of servers.
//!
//! Any answer in time shows that a server does not stand still, unless it rejects the check
//! as it would a request. Whether it reports itself healthy does not matter: it may do so
//! falsely.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_h1::{Conn, Malformed};
use tidepier_platform::{answer, monitoring};

use crate::dial::CONNECT_TIMEOUT;
use crate::fleet::Backend;
use crate::relay::Relay;

/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;

/// What a health check that was given some time shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The server has accepted it.
    Answered,
    /// It rejected it as it would a request.
    Rejected,
    /// The check could not be sent, or its connection failed.
    Failed,
    /// There was no answer in time.
    Unanswered,
}

impl Verdict {
    /// The verdict on what [`send`] returned in time, if it did.
    pub(crate) fn of(result: Option<io::Result<bool>>) -> Self {
        match result {
            Some(Ok(true)) => Self::Answered,
            Some(Ok(false)) => Self::Rejected,
            Some(Err(_)) => Self::Failed,
            None => Self::Unanswered,
        }
    }

    /// Its name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Round-trip time to a server's hall, if that is not this box's.
pub(crate) fn round_trip(relay: &Relay, backend: &Backend) -> Duration {
    match backend.server.hall == relay.hall {
        true => Duration::ZERO,
        false => backend.hall.round_trip().unwrap_or_default(),
    }
}

/// Sends a health check over a connection of its own and reads the head of its answer.
/// Returns whether the server has accepted it.
///
/// # Errors
///
/// The service is not known, the server gets nothing new, or the connection failed.
pub(crate) async fn send(relay: &Relay, backend: &Rc<Backend>) -> io::Result<bool> {
    let service = relay.view.catalog();
    let service = service.and_then(|it| it.services.get(&backend.server.service).cloned());
    let service = service.ok_or(io::ErrorKind::NotFound)?;
    if relay.fleet.permit(backend, Instant::now()).is_err() {
        return Err(io::ErrorKind::NotConnected.into());
    }
    let connect = relay.dialer.connect(backend, &|_| true, CONNECT_TIMEOUT);
    let mut conn: Conn = connect.await?;
    let mut bytes = Vec::new();
    let host = backend.server.address.to_string();
    monitoring::get(&service.health_path, &host, &mut bytes);
    conn.writer().write_all(&bytes).await?;
    let unreadable = |error: Malformed| io::Error::other(error.to_string());
    let head = conn.answer_head(HEAD_BYTES_MAX).await.map_err(unreadable)?;
    Ok(!answer::decode(&head).not_executed)
}
