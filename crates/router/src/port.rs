//! What a box's two HTTP ports have in common: the port for clients and the port
//! for operators.

use tidepier_errors::{Fault, Kind};
use tidepier_http::server::{Limits, Reply};

use crate::node::Node;
use crate::phase::Phase;

/// The limits of one connection, from the settings of the process.
pub(crate) fn limits(node: &Node) -> Limits {
    let tuning = &node.settings.tuning;
    Limits {
        header: tuning.header_ms.duration(),
        idle: tuning.idle_ms.duration(),
        stall: tuning.stall_ms.duration(),
        body: tuning.body_bytes,
    }
}

/// Answers whether the balancer should send requests to this box.
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
