//! What both ports of a box do alike: the one for callers and the one for
//! operators.

use tidepier_errors::{Fault, Kind};
use tidepier_http::server::{Limits, Reply};

use crate::node::Node;
use crate::phase::Phase;

/// The limits that a process's settings put on a connection.
pub(crate) fn limits(node: &Node) -> Limits {
    let tuning = &node.settings.tuning;
    Limits {
        header: tuning.header_ms.duration(),
        idle: tuning.idle_ms.duration(),
        stall: tuning.stall_ms.duration(),
        body: tuning.body_bytes,
    }
}

/// Whether the balancer should send requests here.
///
/// # Errors
///
/// [`Kind::NotReady`] without a configuration, [`Kind::Draining`] while
/// stopping.
pub(crate) fn ready(node: &Node) -> Result<Reply, Fault> {
    if node.phase() != Phase::Serving {
        return Err(Fault::new(Kind::Draining, "the box is stopping"));
    }
    node.document()?;
    Ok(Reply::text(200, "ready\n".into()))
}
