//! Starts a router: creates the state that its tasks share, then starts the
//! tasks.
//!
//! Only this module depends on all tasks; no task depends on it.

use std::io;
use std::sync::Arc;

use smol::Executor;
use tidepier_config::Settings;
use tidepier_http::dial::{self, Dial};

use crate::dialect::clients;
use crate::node::Node;
use crate::{admin, follow, heartbeat, keeper, peers, place, probe};

impl Node {
    /// Binds the addresses of `settings` and starts all tasks on `executor`.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn start(settings: Settings, executor: &Arc<Executor<'static>>) -> io::Result<Arc<Self>> {
        Self::start_over(dial::direct(), settings, executor)
    }

    /// Like [`Node::start`], but dials over the given network.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn start_over(
        network: Arc<dyn Dial>,
        settings: Settings,
        executor: &Arc<Executor<'static>>,
    ) -> io::Result<Arc<Self>> {
        let node = Arc::new(Self::new(network, settings, executor, peers::handle_frame));
        clients::start(&node)?;
        peers::start(&node)?;
        admin::start(&node)?;
        heartbeat::start(&node);
        follow::start(&node);
        keeper::start(&node);
        place::start(&node);
        probe::start(&node);
        Ok(node)
    }
}
