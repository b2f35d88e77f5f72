//! Carries out the steps of a schedule. The ledger records each one before it begins and
//! after it has ended.

use std::io;
use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use smol::Timer;
use tidepier_core::server::State;
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server;

use super::servers::Backend;
use super::Fleet;
use crate::fault::{self, Config, Fault, Link, Rollout, Server, Store};
use crate::ledger::{Fact, Scope};
use crate::proxy::{Impairment, Proxy};
use crate::schedule::Step;
use crate::sync::lock;
use crate::{bound, odd, plan};

/// Interval between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a process needs for a graceful shutdown: it accepts connections for 2.9 s of
/// it, and has half a second for what is open.
const STOP_TIME_MIN: Duration = Duration::from_millis(3_400);
/// Time from the announcement that a server leaves until its entry is removed.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);
/// Number of configurations of [`Config::Storm`], and the time between two.
const STORM_CHANGES: usize = 4;
const STORM_INTERVAL: Duration = Duration::from_millis(120);
/// Number of write calls of [`Store::Losing`], which are executed but not answered.
const LOST_CALLS: u32 = 3;
/// Number of requests that each server rejects in each interval while all servers send second
/// copies of their answers.
const COPIED_REJECTIONS: u32 = 3;
const COPIED_INTERVAL: Duration = Duration::from_millis(40);
/// Duration that the ledger records for a reload: the bound on the time in which it may
/// delay requests.
const RELOAD_TIME: Duration = Duration::from_secs(2);

/// How the time after a signal is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopClock {
    /// All of it.
    Real,
    /// While the process is neither stopped by SIGSTOP nor waits for a processor. For processes
    /// that use nearly all of their time.
    Running,
}

impl Fleet {
    /// Carries out one step; returns when its fault has ended.
    ///
    /// # Errors
    ///
    /// A process cannot be signalled or started, or a port cannot be opened.
    pub async fn carry_out(self: Arc<Self>, step: Step) -> eyre::Result<()> {
        let name = step.fault.name();
        let (scopes, planned) = self.scopes_of(&step.fault);
        self.ledger.count_fault(&name);
        let begin = |scope: &Scope| self.ledger.begin_disturbance(*scope, &name, planned);
        let disturbances: Vec<usize> = scopes.iter().map(begin).collect();
        match step.fault {
            Fault::Link(link, impairment) => self.impair_link(link, impairment, step.lasts).await,
            Fault::Partition(first, count, cut) => {
                let boxes = self.partitioned(first, count);
                self.partition(&boxes, cut, step.lasts).await?;
            }
            Fault::Process(box_index, signal) => self.signal(box_index, signal, step.lasts).await?,
            Fault::Store(Store::Return(how)) => self.restore_store(how, step.lasts).await,
            Fault::Store(store) => self.fault_store(store, step.lasts).await,
            Fault::Server(at, fault) => self.fault_server(at, fault, step.lasts).await?,
            Fault::Servers(fault) => self.fault_servers(fault, step.lasts).await,
            Fault::Copies(repeat) => self.copy_answers(repeat, step.lasts).await,
            Fault::Crashing(number) => self.send_crashing_request(number, step.lasts).await?,
            Fault::CrashingPart(part) => self.send_crashing_part(part, step.lasts).await?,
            Fault::Config(Config::EmptyHall(hall)) => self.empty_hall(hall, step.lasts).await,
            Fault::Config(config) => self.configure(config).await?,
            Fault::Silence(silence) => self.silence_servers(silence, step.lasts).await?,
            Fault::Harm(harm) => self.harm_servers(harm, step.lasts).await?,
            Fault::Rollout(rollout) => self.roll_out(rollout, step.lasts).await?,
            Fault::KillAll(spread) => self.kill_all(step.lasts, spread).await?,
            Fault::CutOff(box_index) => self.cut_off(box_index, step.lasts).await,
            Fault::Misuse(box_index, port, misuse) => {
                self.misuse(box_index, port, misuse, step.lasts).await;
            }
            Fault::LateStop(box_index, seed) => {
                self.stop_late(box_index, seed, step.lasts).await?;
            }
            Fault::OddEntry(entry) => self.write_odd_entry(entry).await,
            Fault::BreakClients(box_index) => self.break_clients(box_index, step.lasts).await,
        }
        disturbances
            .into_iter()
            .for_each(|disturbance| self.ledger.end_disturbance(disturbance));
        Ok(())
    }

    /// What a fault affects, and whether it is planned work.
    fn scopes_of(&self, fault: &Fault) -> (Vec<Scope>, bool) {
        match *fault {
            Fault::Link(Link::Client(box_index) | Link::Store(box_index), _) => {
                (vec![Scope::Box(box_index)], false)
            }
            Fault::Link(Link::Peer(from, to), _) => (vec![Scope::Box(from), Scope::Box(to)], false),
            Fault::Link(Link::Server(_), _) => (vec![Scope::Server], false),
            Fault::Partition(first, count, _) => {
                let boxes = self.partitioned(first, count);
                (boxes.into_iter().map(Scope::Servers).collect(), false)
            }
            Fault::Process(box_index, signal) => {
                let planned = matches!(signal, fault::Signal::Terminate | fault::Signal::Reload);
                (vec![Scope::Box(box_index)], planned)
            }
            Fault::Misuse(box_index, ..) => (vec![Scope::Box(box_index)], false),
            Fault::LateStop(box_index, _) => (vec![Scope::Box(box_index)], true),
            Fault::Store(_) => (vec![Scope::Store], false),
            Fault::Server(_, Server::Join | Server::Leave | Server::Say) | Fault::Config(_) => {
                (vec![Scope::Fleet], true)
            }
            Fault::Server(..)
            | Fault::Servers(_)
            | Fault::Harm(_)
            | Fault::Copies(_)
            | Fault::Crashing(_)
            | Fault::CrashingPart(_) => (vec![Scope::Server], false),
            Fault::Silence(_) => (vec![Scope::Silence], false),
            Fault::Rollout(Rollout::Join(_)) | Fault::OddEntry(_) => (vec![Scope::Fleet], true),
            // Servers that are replaced end with what they serve.
            Fault::Rollout(Rollout::Rest) => (vec![Scope::Server], false),
            Fault::KillAll(_) | Fault::CutOff(_) => {
                ((0..self.box_count()).map(Scope::Box).collect(), false)
            }
            Fault::BreakClients(kept) => {
                let others = (0..self.box_count()).filter(|it| *it != kept);
                (others.map(Scope::Box).collect(), false)
            }
        }
    }

    /// The boxes of a partition.
    fn partitioned(&self, first: usize, count: usize) -> Vec<usize> {
        let boxes = (first..first + count).map(|number| number % self.box_count());
        boxes.collect()
    }

    /// Partitions boxes from all servers, also from those that are added meanwhile.
    async fn partition(&self, boxes: &[usize], cut: Cut, lasts: Duration) -> io::Result<()> {
        let senders: Vec<IpAddr> = boxes.iter().map(|it| self.boxes[*it].source).collect();
        self.change_cuts(|cuts| cuts.extend(senders.iter().map(|sender| (*sender, cut))))?;
        if cut == Cut::Reset {
            let backends = self.backends();
            backends.iter().for_each(|it| it.proxy.reset_from(&senders));
        }
        Timer::after(lasts).await;
        self.change_cuts(|cuts| {
            for sender in &senders {
                // Another partition of the box may go on.
                if let Some(at) = cuts.iter().position(|cut_off| *cut_off == (*sender, cut)) {
                    cuts.swap_remove(at);
                }
            }
        })
    }

    fn change_cuts(&self, change: impl FnOnce(&mut Vec<(IpAddr, Cut)>)) -> io::Result<()> {
        let mut cuts = lock(&self.cuts);
        change(&mut cuts);
        let mut backends = self.backends().into_iter();
        backends.try_for_each(|it| it.proxy.set_cuts(&cuts))
    }

    async fn impair_link(&self, link: Link, impairment: Impairment, lasts: Duration) {
        let server: Arc<Backend>;
        let proxy: &Proxy = match link {
            Link::Client(box_index) => &self.boxes[box_index].client_proxy,
            Link::Store(box_index) => &self.boxes[box_index].store_proxy,
            Link::Peer(from, to) => &self.peer_proxies[from][to],
            Link::Server(at) => {
                server = self.pick_server(at);
                &server.proxy
            }
        };
        proxy.impair(impairment);
        Timer::after(lasts).await;
        proxy.clear(impairment);
    }

    async fn signal(
        &self,
        box_index: usize,
        signal: fault::Signal,
        lasts: Duration,
    ) -> eyre::Result<()> {
        let relay_box = &self.boxes[box_index];
        match signal {
            fault::Signal::Freeze => {
                relay_box.freeze()?;
                Timer::after(lasts).await;
                relay_box.thaw()?;
            }
            fault::Signal::Suspend => {
                relay_box.suspend()?;
                Timer::after(lasts).await;
                relay_box.resume()?;
            }
            fault::Signal::Reload => {
                let extra = 20 + lasts.as_millis() as u64 % 5;
                relay_box
                    .change_settings(|settings| settings["bounds"]["retry_extra"] = extra.into())?;
                relay_box.signal(Signal::HUP)?;
                Timer::after(RELOAD_TIME).await;
            }
            fault::Signal::Terminate | fault::Signal::Kill => {
                let ending = match signal {
                    fault::Signal::Terminate => Signal::TERM,
                    _ => Signal::KILL,
                };
                self.restart(box_index, ending, lasts, StopClock::Real)
                    .await?;
            }
        }
        Ok(())
    }

    /// Ends the process of a box by a signal, and starts it again after a pause. `clock`: how
    /// the time is counted after which it is killed.
    pub(super) async fn restart(
        &self,
        box_index: usize,
        ending: Signal,
        pause: Duration,
        clock: StopClock,
    ) -> eyre::Result<()> {
        let relay_box = &self.boxes[box_index];
        // A process that ended by itself just before is recorded as such, not as an effect
        // of this signal.
        self.restart_ended()?;
        // A second signal is sent too while the process is ending; the task of the first
        // one starts the process again.
        if !relay_box.claim_restart() {
            return relay_box.signal_again(ending).map_err(Into::into);
        }
        if ending == Signal::TERM {
            self.ledger.record_fact(Fact::Stopping(box_index));
        }
        relay_box.signal(ending)?;
        match clock {
            StopClock::Real => self.wait_for_exit(box_index).await?,
            StopClock::Running => self.wait_for_late_exit(box_index).await?,
        }
        Timer::after(pause).await;
        self.start_box(box_index)
    }

    /// Waits until the process of a box has exited; kills it after the time-out.
    async fn wait_for_exit(&self, box_index: usize) -> eyre::Result<()> {
        let relay_box = &self.boxes[box_index];
        let until = Instant::now() + bound::STOP_TIMEOUT;
        let mut killed = false;
        let mut ran = Duration::ZERO;
        while !relay_box.has_exited()? {
            if !killed && Instant::now() > until {
                killed = true;
                // A process that was suspended for most of that time had no time to stop,
                // so it is not held responsible.
                if ran > STOP_TIME_MIN {
                    self.ledger
                        .record_fact(Fact::Died(box_index, "only by SIGKILL".into()));
                }
                relay_box.signal(Signal::KILL)?;
            }
            let poll = Instant::now();
            Timer::after(POLL_INTERVAL).await;
            if !relay_box.is_suspended() {
                ran += poll.elapsed();
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
            // Handled by `restore_store`, which has timing of its own.
            Store::Return(_) => {}
        }
        Timer::after(lasts).await;
        // If two faults of one kind overlap, the end of the first one ends both, while the
        // ledger records both to their full length. Rules then excuse more than was
        // disturbed, never less.
        faulty.faults(|faults| match store {
            Store::Slow(_) => faults.slow = Duration::ZERO,
            Store::Down(_) => faults.down = None,
            Store::Refusing => faults.refuse = false,
            Store::Losing => faults.lost = 0,
            Store::Forgetful | Store::Deaf | Store::Return(_) => {}
        });
    }

    async fn fault_server(&self, at: usize, fault: Server, lasts: Duration) -> io::Result<()> {
        let backend = match fault {
            Server::Standstill => self.pick_server_of(at, |it| it.gate.is_some()),
            _ => self.pick_server(at),
        };
        self.fault_backend(&backend, fault, lasts).await
    }

    pub(super) async fn fault_backend(
        &self,
        backend: &Backend,
        fault: Server,
        lasts: Duration,
    ) -> io::Result<()> {
        let server = &backend.server;
        let service = server.settings().service.clone();
        match fault {
            Server::Join => return self.add_server(&service),
            Server::Leave => {
                self.add_server(&service)?;
                self.announce(backend, State::Draining);
                let id = server.settings().id.clone();
                self.ledger.record_fact(Fact::Leaving(id));
                Timer::after(LEAVING_TIME).await;
                self.withdraw(server);
                return Ok(());
            }
            Server::Say => {
                self.add_server(&service)?;
                server.leave(true);
                let id = server.settings().id.clone();
                self.ledger.record_fact(Fact::Saying(id));
                Timer::after(LEAVING_TIME + lasts).await;
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
            Server::Standstill => {
                backend.stop()?;
                Timer::after(lasts).await;
                return backend.resume();
            }
            Server::Slow(factor) => server.slow(factor.into()),
            Server::Faulty(fault) => server.fault(fault, u32::MAX),
        }
        Timer::after(lasts).await;
        server.heal();
        Ok(())
    }

    /// Makes all requests fail at all servers that exist now.
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

    /// Makes all servers reject some requests again and again, and send second copies of all
    /// their answers.
    async fn copy_answers(&self, repeat: server::Repeat, lasts: Duration) {
        let end = Instant::now() + lasts;
        while Instant::now() < end {
            for backend in self.backends() {
                backend.server.fault(server::Fault::Shed, COPIED_REJECTIONS);
                backend.server.repeat_answers(repeat, u32::MAX);
            }
            Timer::after(COPIED_INTERVAL).await;
        }
        for backend in self.backends() {
            backend.server.heal();
        }
    }

    /// Empties a hall of servers for longer than the bound on emptying, then cancels it.
    async fn empty_hall(&self, hall: usize, lasts: Duration) {
        let hall = plan::hall_name(hall, plan::SERVER_HALLS);
        self.wait_until_writable().await;
        lock(&self.emptied).insert(hall.clone());
        self.site.empty_hall(&hall);
        self.ledger.record_fact(Fact::Emptied(hall.clone()));
        Timer::after(bound::EMPTYING_TIMEOUT + lasts).await;
        self.wait_until_writable().await;
        self.ledger.record_fact(Fact::TakenBack(hall.clone()));
        lock(&self.emptied).remove(&hall);
        self.site.take_back(&hall);
    }

    async fn configure(&self, config: Config) -> eyre::Result<()> {
        self.wait_until_writable().await;
        match config {
            Config::Revoke => self.change_keys(1),
            // Handled by `empty_hall`, which has timing of its own.
            Config::EmptyHall(_) => {}
            Config::Mark => self.add_mark()?,
            Config::Idle(time) => self.change_config(|config| {
                config["limits"]["idle_timeout_ms"] = (time.as_millis() as u64).into();
            }),
            Config::Timeout(time) => self.change_config(|config| {
                for route in config["routes"].as_array_mut().into_iter().flatten() {
                    route["timeout_ms"] = (time.as_millis() as u64).into();
                }
            }),
            Config::Storm => {
                for _ in 0..STORM_CHANGES {
                    self.wait_until_writable().await;
                    self.add_mark()?;
                    Timer::after(STORM_INTERVAL).await;
                }
            }
        }
        Ok(())
    }

    /// Writes an odd entry under a name of its own, which stays.
    async fn write_odd_entry(&self, entry: odd::Entry) {
        self.wait_until_writable().await;
        let number = self.next_odd_entry.fetch_add(1, Ordering::Relaxed);
        let key = format!("{}odd-{number}", entry.prefix());
        let contents = entry.contents().into_bytes();
        self.site.store.put_bytes(&key, contents);
    }

    fn change_config(&self, change: impl FnOnce(&mut serde_json::Value)) {
        self.ledger.record_fact(Fact::Configuring);
        self.site.configure(change);
    }

    /// Picks a server by its number among those that are neither leaving nor crashed.
    fn pick_server(&self, at: usize) -> Arc<Backend> {
        self.pick_server_of(at, |_| true)
    }

    /// The same among those for which `is_candidate` holds, of which there has to be one.
    fn pick_server_of(&self, at: usize, is_candidate: impl Fn(&Backend) -> bool) -> Arc<Backend> {
        let mut backends = self.backends();
        backends.retain(|backend| is_candidate(backend));
        let running = backends.iter().filter(|backend| {
            let id = &backend.server.settings().id;
            !backend.server.is_crashed() && !self.ledger.is_leaving(id)
        });
        let running: Vec<_> = running.cloned().collect();
        running[at % running.len()].clone()
    }
}
