//! Starting a router: what its tasks share, then the tasks.
//!
//! This is the one place that knows all tasks; no task knows this module.

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

    /// Like [`Node::start`], over a network of the caller's.
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
