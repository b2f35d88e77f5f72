//! Processes of a box: each is a thread with an executor of its own, which can
//! be killed, frozen and thawed as a process can.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;

use futures_lite::FutureExt;
use smol::channel;
use smol::Executor;
use tidepier_config::Settings;
use tidepier_router::{Node, Status};

use super::network::{From, Network};
use super::status;

/// The work of a process beside the tasks on its executor.
pub type Work = Pin<Box<dyn Future<Output = ()>>>;

#[derive(Default)]
struct Gate {
    frozen: Mutex<bool>,
    thawed: Condvar,
}

impl Gate {
    /// Blocks the thread, and with it every task of the process.
    fn pass(&self) {
        let mut frozen = self.frozen.lock().unwrap();
        while *frozen {
            frozen = self.thawed.wait(frozen).unwrap();
        }
    }
}

/// A process.
pub struct Worker {
    gate: Arc<Gate>,
    kill: Option<channel::Sender<()>>,
    freeze: channel::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts a process whose work `make` makes.
    pub fn start(make: impl FnOnce(&Arc<Executor<'static>>) -> Work + Send + 'static) -> Self {
        let (kill, killed) = channel::bounded(1);
        let (freeze, freezes) = channel::bounded::<()>(1);
        let gate: Arc<Gate> = Arc::default();
        let passed = gate.clone();
        let thread = std::thread::spawn(move || {
            let executor = Arc::new(Executor::new());
            let work = make(&executor);
            let freezer = async {
                while freezes.recv().await.is_ok() {
                    passed.pass();
                }
                futures_lite::future::pending::<()>().await;
            };
            let end = async {
                // Closed without a message, too, when the test ends.
                let _ = killed.recv().await;
            };
            smol::block_on(executor.run(end.or(freezer).or(work)));
        });
        Self {
            gate,
            kill: Some(kill),
            freeze,
            thread: Some(thread),
        }
    }

    /// Stops all of its tasks until thawed.
    pub fn freeze(&self) {
        *self.gate.frozen.lock().unwrap() = true;
        let _ = self.freeze.try_send(());
    }

    pub fn thaw(&self) {
        *self.gate.frozen.lock().unwrap() = false;
        self.gate.thawed.notify_all();
    }
}

impl Drop for Worker {
    /// Kills it: sockets close, nothing is said.
    fn drop(&mut self) {
        self.thaw();
        self.kill.take();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(
                ended.is_ok() || std::thread::panicking(),
                "the process panicked"
            );
        }
    }
}

struct Running {
    node: Arc<Node>,
    worker: Worker,
}

/// One router, up or down.
pub struct Router {
    pub settings: Settings,
    network: Arc<Network>,
    running: Option<Running>,
}

impl Router {
    pub fn start(settings: Settings, network: &Arc<Network>) -> Self {
        let mut router = Self {
            settings,
            network: network.clone(),
            running: None,
        };
        router.up();
        router
    }

    /// Starts it, as a new process would.
    pub fn up(&mut self) {
        if self.running.is_some() {
            return;
        }
        let (ready, node) = std::sync::mpsc::channel();
        let settings = self.settings.clone();
        let from = From {
            network: self.network.clone(),
            place: settings.hall.to_string(),
        };
        let worker = Worker::start(move |executor| {
            let started = Node::start_over(Arc::new(from), settings, executor);
            ready
                .send(started.expect("the router's ports are free"))
                .unwrap();
            Box::pin(futures_lite::future::pending())
        });
        self.running = Some(Running {
            node: node.recv().expect("the router starts"),
            worker,
        });
    }

    /// Kills it: sockets close, nothing is said.
    pub fn kill(&mut self) {
        if let Some(running) = self.running.take() {
            drop(running.node);
            drop(running.worker);
        }
    }

    /// Stops it as planned; returns requests that were still open.
    pub fn finish(&mut self) -> usize {
        let finishing = self.running.as_ref().map(|running| {
            let node = running.node.clone();
            smol::block_on(node.finish())
        });
        self.kill();
        finishing.unwrap_or(0)
    }

    pub fn freeze(&self) {
        if let Some(running) = &self.running {
            running.worker.freeze();
        }
    }

    pub fn thaw(&self) {
        if let Some(running) = &self.running {
            running.worker.thaw();
        }
    }

    pub fn is_up(&self) -> bool {
        self.running.is_some()
    }

    /// Its status, asked over its admin port; `None` when it does not answer.
    pub fn status(&self) -> Option<Status> {
        status(self.settings.admin.0)
    }
}
