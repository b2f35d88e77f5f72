//! Carries out the steps of a schedule. Each is noted before it begins and
//! after it has ended.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use smol::Timer;
use tidepier_core::server::State;
use tidepier_relay_standin::server;

use super::servers::Backend;
use super::Fleet;
use crate::fault::{self, Config, Fault, Link, Server, Store};
use crate::ledger::{Fact, Place};
use crate::schedule::Step;
use crate::sync::lock;
use crate::way::{Harm, Way};
use crate::{bound, plan};

/// Time between two checks whether a process has ended.
const LOOK: Duration = Duration::from_millis(10);
/// Time that a process needs to stop: it takes connections for 2.9 s of it, and has
/// half a second for what is open.
const STOPS_IN: Duration = Duration::from_millis(3_400);
/// Time from the announcement that a server leaves to its entry's removal.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);
/// Configurations of a storm, and the time between two.
const STORM: usize = 4;
const STORM_PAUSE: Duration = Duration::from_millis(120);
/// Writing calls whose answers are lost.
const LOST_CALLS: u32 = 3;
/// How many times its usual time a slow server works.
const SLOWNESS: f64 = 5.0;
/// Size of the longest hold-up of work that a reload may bring, for the record
/// of the disturbance: the bound on changed settings.
const RELOAD_TIME: Duration = Duration::from_secs(2);

impl Fleet {
    /// Carries out one step; returns when its fault has ended.
    ///
    /// # Errors
    ///
    /// A process could not be signalled or started, or a port not be opened.
    pub async fn carry_out(self: Arc<Self>, step: Step) -> eyre::Result<()> {
        let name = step.fault.name();
        let (places, planned) = self.touched(&step.fault);
        self.ledger.count_fault(&name);
        let begin = |place: &Place| self.ledger.begin(*place, &name, planned);
        let notes: Vec<usize> = places.iter().map(begin).collect();
        match step.fault {
            Fault::Link(link, harm) => self.harm_way(link, harm, step.lasts).await,
            Fault::Process(place, signal) => self.signal(place, signal, step.lasts).await?,
            Fault::Store(Store::Return(how)) => self.go_back(how, step.lasts).await,
            Fault::Store(store) => self.fault_store(store, step.lasts).await,
            Fault::Server(at, fault) => self.fault_server(at, fault, step.lasts).await?,
            Fault::Servers(fault) => self.fault_servers(fault, step.lasts).await,
            Fault::Crashing(number) => self.insist(number, step.lasts).await?,
            Fault::Config(Config::EmptyHall(hall)) => self.empty_hall(hall, step.lasts).await,
            Fault::Config(config) => self.configure(config).await?,
        }
        notes.into_iter().for_each(|note| self.ledger.end(note));
        Ok(())
    }

    /// Whom a fault touches, and whether it is planned work.
    fn touched(&self, fault: &Fault) -> (Vec<Place>, bool) {
        match *fault {
            Fault::Link(Link::Client(place) | Link::Store(place), _) => {
                (vec![Place::Box(place)], false)
            }
            Fault::Link(Link::Peer(from, to), _) => (vec![Place::Box(from), Place::Box(to)], false),
            Fault::Link(Link::Server(_), _) => (vec![Place::Server], false),
            Fault::Process(place, signal) => {
                let planned = matches!(signal, fault::Signal::Terminate | fault::Signal::Reload);
                (vec![Place::Box(place)], planned)
            }
            Fault::Store(_) => (vec![Place::Store], false),
            Fault::Server(_, Server::Join | Server::Leave | Server::Say) | Fault::Config(_) => {
                (vec![Place::Fleet], true)
            }
            Fault::Server(..) | Fault::Servers(_) | Fault::Crashing(_) => {
                (vec![Place::Server], false)
            }
        }
    }

    async fn harm_way(&self, link: Link, harm: Harm, lasts: Duration) {
        let server: Arc<Backend>;
        let way: &Way = match link {
            Link::Client(place) => &self.machines[place].front,
            Link::Store(place) => &self.machines[place].store,
            Link::Peer(from, to) => &self.peers[from][to],
            Link::Server(at) => {
                server = self.serving(at);
                &server.way
            }
        };
        way.harm(harm);
        Timer::after(lasts).await;
        way.mend(harm);
    }

    async fn signal(
        &self,
        place: usize,
        signal: fault::Signal,
        lasts: Duration,
    ) -> eyre::Result<()> {
        let machine = &self.machines[place];
        match signal {
            fault::Signal::Freeze => {
                machine.signal(Signal::STOP)?;
                Timer::after(lasts).await;
                if !machine.is_suspended() {
                    machine.signal(Signal::CONT)?;
                }
            }
            fault::Signal::Suspend => {
                machine.suspend()?;
                Timer::after(lasts).await;
                machine.resume()?;
            }
            fault::Signal::Reload => {
                let extra = 20 + lasts.as_millis() as u64 % 5;
                machine.change(|settings| settings["bounds"]["retry_extra"] = extra.into())?;
                machine.signal(Signal::HUP)?;
                Timer::after(RELOAD_TIME).await;
            }
            fault::Signal::Terminate | fault::Signal::Kill => {
                let ending = match signal {
                    fault::Signal::Terminate => Signal::TERM,
                    _ => Signal::KILL,
                };
                self.restart(place, ending, lasts).await?;
            }
        }
        Ok(())
    }

    /// Ends a process by a signal, and starts it again after a pause.
    async fn restart(&self, place: usize, ending: Signal, pause: Duration) -> eyre::Result<()> {
        let machine = &self.machines[place];
        // A process that ended by itself just before counts as a death, not as
        // an effect of this signal.
        self.restart_ended()?;
        // A second signal while the process ends is sent as well; the first
        // one's task starts the process again.
        if !machine.claim() {
            return machine.signal_again(ending).map_err(Into::into);
        }
        machine.signal(ending)?;
        self.ended(place).await?;
        Timer::after(pause).await;
        self.start_box(place)
    }

    /// Waits until a process has ended; kills it once its time is over.
    async fn ended(&self, place: usize) -> eyre::Result<()> {
        let machine = &self.machines[place];
        let until = std::time::Instant::now() + bound::STOP;
        let mut killed = false;
        let mut ran = Duration::ZERO;
        while !machine.is_gone()? {
            if !killed && std::time::Instant::now() > until {
                killed = true;
                // One that stood still for most of the time had none to stop in.
                if ran > STOPS_IN {
                    self.ledger
                        .fact(Fact::Died(place, "only by SIGKILL".into()));
                }
                machine.signal(Signal::KILL)?;
            }
            let look = std::time::Instant::now();
            Timer::after(LOOK).await;
            if !machine.is_suspended() {
                ran += look.elapsed();
            }
        }
        Ok(())
    }

    async fn fault_store(&self, store: Store, lasts: Duration) {
        let faulty = &self.site.store;
        match store {
            Store::Slow(slow) => faulty.faults(|faults| faults.slow = slow),
            Store::Down(down) => faulty.faults(|faults| faults.down = Some(down)),
            Store::Refusing => faulty.faults(|faults| faults.refuse = true),
            Store::Losing => faulty.faults(|faults| faults.lost = LOST_CALLS),
            Store::Forgetful => faulty.compact(),
            Store::Deaf => faulty.deaf(lasts),
            // It has a time of its own: see `go_back`.
            Store::Return(_) => {}
        }
        Timer::after(lasts).await;
        // Of two faults of one kind that overlap, the first to end ends both;
        // the ledger has the longer one.
        faulty.faults(|faults| match store {
            Store::Slow(_) => faults.slow = Duration::ZERO,
            Store::Down(_) => faults.down = None,
            Store::Refusing => faults.refuse = false,
            Store::Losing => faults.lost = 0,
            Store::Forgetful | Store::Deaf | Store::Return(_) => {}
        });
    }

    async fn fault_server(&self, at: usize, fault: Server, lasts: Duration) -> io::Result<()> {
        let backend = self.serving(at);
        let server = &backend.server;
        let service = server.settings().service.clone();
        match fault {
            Server::Join => return self.add_server(&service),
            Server::Leave => {
                self.add_server(&service)?;
                self.announce(&backend, State::Draining);
                let id = server.settings().id.clone();
                self.ledger.fact(Fact::Leaving(id));
                Timer::after(LEAVE_TIME).await;
                self.withdraw(server);
                return Ok(());
            }
            Server::Say => {
                self.add_server(&service)?;
                server.leave(true);
                let id = server.settings().id.clone();
                self.ledger.fact(Fact::Saying(id));
                Timer::after(LEAVE_TIME + lasts).await;
                self.withdraw(server);
                return Ok(());
            }
            Server::Rest(rest) => {
                server.ask_rest(Some(&format!("{:.3}", rest.as_secs_f64())));
                server.fault(server::Fault::Shed, u32::MAX);
            }
            Server::Crash => {
                server.crash();
                Timer::after(lasts).await;
                self.withdraw(server);
                return self.add_server(&service);
            }
            Server::Dark => server.dark(true),
            Server::Slow => server.slow(SLOWNESS),
            Server::Faulty(fault) => server.fault(fault, u32::MAX),
        }
        Timer::after(lasts).await;
        server.heal();
        Ok(())
    }

    /// Makes all requests go wrong at all servers that there are now.
    async fn fault_servers(&self, fault: server::Fault, lasts: Duration) {
        let all = self.backends();
        for backend in &all {
            backend.server.fault(fault, u32::MAX);
        }
        Timer::after(lasts).await;
        for backend in &all {
            backend.server.heal();
        }
    }

    /// Has a hall of servers emptied for longer than that may take, and takes it
    /// back.
    async fn empty_hall(&self, hall: usize, lasts: Duration) {
        let hall = plan::hall(hall, plan::SERVER_HALLS);
        self.writable().await;
        lock(&self.emptied).insert(hall.clone());
        self.site.empty_hall(&hall);
        self.ledger.fact(Fact::Emptied(hall.clone()));
        Timer::after(bound::EMPTY + lasts).await;
        self.writable().await;
        self.ledger.fact(Fact::TakenBack(hall.clone()));
        lock(&self.emptied).remove(&hall);
        self.site.take_back(&hall);
    }

    async fn configure(&self, config: Config) -> eyre::Result<()> {
        self.writable().await;
        match config {
            Config::Revoke => self.change_keys(1),
            // It has a time of its own: see `empty_hall`.
            Config::EmptyHall(_) => {}
            Config::Mark => self.mark()?,
            Config::Storm => {
                for _ in 0..STORM {
                    self.writable().await;
                    self.mark()?;
                    Timer::after(STORM_PAUSE).await;
                }
            }
        }
        Ok(())
    }

    /// A server that neither leaves nor is gone, by its number.
    fn serving(&self, at: usize) -> Arc<Backend> {
        let backends = self.backends();
        let serving = backends.iter().filter(|backend| {
            let id = &backend.server.settings().id;
            !backend.server.is_crashed() && !self.ledger.is_leaving(id)
        });
        let serving: Vec<_> = serving.cloned().collect();
        serving[at % serving.len()].clone()
    }
}
