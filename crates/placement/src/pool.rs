//! The engines of one model in one hall, as their keeper sees them.

use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use rand::Rng;
use tidepier_clock::Instant;
use tidepier_config::document::Load;
use tidepier_errors::{Fault, Kind};
use tidepier_ids as ids;

use crate::ask::{Ask, Ended, Grant, Ticket, Verdict};
use crate::engine::Engine;
use crate::order::by_rendezvous;
use crate::queue::{Lane, Queue};

/// Weight of the newest request in the running mean of holding times.
const HOLD_WEIGHT: f64 = 0.05;
/// Holding time assumed before any request has ended, in seconds.
const HOLD_START: f64 = 1.0;
/// One place of so many is kept free for lanes below their share, while there
/// are any.
const KEPT_FREE: u32 = 8;
/// Longest wait while no engine of the pool answers.
const ALL_OUT: Duration = Duration::from_secs(2);
/// Time after which whoever waited looks for the new keeper.
const MOVED: Duration = Duration::from_millis(50);
/// Time after which nothing that an earlier keeper granted is likely to run.
const YOUNG: Duration = Duration::from_secs(10);
/// Displaced chats remembered by one pool, about 100 bytes each.
const DISPLACED: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();
/// Retry-After is spread over this many times its value, so that callers who
/// were refused together do not return together.
const SPREAD: f64 = 1.0;

#[derive(Debug)]
struct Held {
    engine: ids::Engine,
    ticket: Ticket,
    lane: Lane,
    since: Instant,
}

#[derive(Debug)]
struct Waiter {
    ask: Ask,
    lane: Lane,
    until: Instant,
}

/// A pool of engines.
#[derive(Debug)]
pub struct Pool {
    load: Load,
    engines: BTreeMap<ids::Engine, Engine>,
    held: HashMap<ids::Slot, Held>,
    queue: Queue<Waiter>,
    /// Chats that were placed elsewhere than on the first engine of their
    /// order, and where. All others need no memory: the order finds them.
    displaced: LruCache<ids::Chat, ids::Engine>,
    next: u32,
    hold: f64,
    /// Before this instant nothing is granted: boxes may still hold grants of
    /// an earlier keeper that this one has not heard of.
    ready: Instant,
}

impl Pool {
    /// A pool without engines that grants from `ready` on.
    pub fn new(load: Load, ready: Instant) -> Self {
        Self {
            load,
            engines: BTreeMap::new(),
            held: HashMap::new(),
            queue: Queue::new(),
            displaced: LruCache::new(DISPLACED),
            next: first_slot(),
            hold: HOLD_START,
            ready,
        }
    }

    /// Takes the configuration: limits, and the engines with whether each is
    /// active. Grants on engines that are gone stay until released.
    pub fn configure(&mut self, load: Load, engines: &[(ids::Engine, bool)]) {
        self.load = load;
        for engine in self.engines.values_mut() {
            engine.active = false;
        }
        for (name, active) in engines {
            let engine = self.engines.entry(name.clone());
            engine.or_insert_with(|| Engine::new(*active)).active = *active;
        }
        let listed = |name: &ids::Engine| engines.iter().any(|(other, _)| other == name);
        self.engines
            .retain(|name, engine| engine.open > 0 || listed(name));
    }

    /// Whether an earlier keeper's grants may still be open.
    pub fn is_young(&self, now: Instant) -> bool {
        now < self.ready + YOUNG
    }

    /// The engines by name.
    pub fn engines(&self) -> &BTreeMap<ids::Engine, Engine> {
        &self.engines
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Open grants.
    pub fn open(&self) -> usize {
        self.held.len()
    }

    /// Decides on a request.
    pub fn ask(&mut self, ask: Ask, now: Instant) -> Verdict {
        if !self.engines.values().any(|engine| engine.active) {
            let fault = Fault::new(Kind::NoEngine, "no active engine in this hall");
            return Verdict::Refused(fault.after(self.spread(1.0)));
        }
        let lane = lane_of(&ask);
        // A lane below its share need not wait behind those that are above.
        let first = self.queue.len() == 0
            || (self.queue.waiting(&lane) == 0 && self.below_share(&lane, ask.share));
        if now >= self.ready && first {
            if let Some(grant) = self.place(&ask, now) {
                return Verdict::Granted(grant);
            }
        }
        self.wait(ask, now)
    }

    /// Queues a request, or refuses it at once when it cannot be served in time.
    fn wait(&mut self, ask: Ask, now: Instant) -> Verdict {
        let lane = lane_of(&ask);
        let ahead = self.queue.waiting(&lane);
        let seconds = self.estimate(&lane, ask.share, ahead);
        if ahead >= self.load.queue as usize {
            let detail = format!("{ahead} requests of this account wait already");
            let fault = Fault::new(Kind::Quota, detail).after(self.spread(seconds));
            return Verdict::Refused(fault);
        }
        let usable = self.engines.values().any(Engine::usable);
        let most = if usable {
            self.load.wait_ms.duration()
        } else {
            ALL_OUT
        };
        let patience = ask.patience.min(most);
        if seconds > patience.as_secs_f64() {
            let detail = format!("about {seconds:.1} s of waiting, more than the request has");
            let fault = Fault::new(Kind::Busy, detail).after(self.spread(seconds));
            return Verdict::Refused(fault);
        }
        let share = ask.share;
        let until = now + patience;
        let waiter = Waiter {
            ask,
            lane: lane.clone(),
            until,
        };
        self.queue.push(&lane, share, now, waiter);
        Verdict::Waits
    }

    /// Seconds until a request of `lane` with `ahead` before it is served: by
    /// its share of the pool, or when all that waits now has been served,
    /// whichever is sooner, as lanes that have emptied leave their share.
    fn estimate(&self, lane: &Lane, share: u32, ahead: usize) -> f64 {
        let active = self.engines.values().filter(|engine| engine.active).count();
        let slots = (active as f64 * f64::from(self.load.slots)).max(1.0);
        let a_second = slots / self.hold;
        let by_share = (ahead + 1) as f64 / (a_second * self.queue.portion(lane, share));
        let by_all = (self.queue.len() + 1) as f64 / a_second;
        by_share.min(by_all)
    }

    /// A wait of `seconds` or more, spread at random.
    fn spread(&self, seconds: f64) -> Duration {
        let factor = 1.0 + rand::rng().random_range(0.0..SPREAD);
        Duration::from_secs_f64(seconds.clamp(0.5, 60.0) * factor)
    }

    /// Whether this pool has granted a slot that is not given back yet.
    pub fn holds(&self, slot: ids::Slot) -> bool {
        self.held.contains_key(&slot)
    }

    /// Gives a place back. Returns the verdicts on requests that waited.
    pub fn release(
        &mut self,
        slot: ids::Slot,
        ended: Ended,
        now: Instant,
    ) -> Vec<(Ticket, Verdict)> {
        let Some(held) = self.held.remove(&slot) else {
            return Vec::new();
        };
        self.queue.close(&held.lane);
        if let Some(engine) = self.engines.get_mut(&held.engine) {
            engine.open -= 1;
            if ended == Ended::Failed {
                engine.eject(now);
            }
        }
        if ended == Ended::Served {
            let seconds = now.saturating_duration_since(held.since).as_secs_f64();
            self.hold += HOLD_WEIGHT * (seconds - self.hold);
        }
        self.serve(now)
    }

    /// Serves waiting requests and gives up on those whose time has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<(Ticket, Verdict)> {
        self.queue.expire(now);
        let late = self.queue.remove(|waiter| waiter.until <= now);
        let mut out = self.serve(now);
        let usable = self.engines.values().any(Engine::usable);
        for waiter in late {
            let fault = match usable {
                true => Fault::new(Kind::Busy, "no engine became free in time"),
                false => Fault::new(Kind::NoEngine, "no engine of the pool answers"),
            };
            let fault = fault.after(self.spread(self.hold));
            out.push((waiter.ask.ticket, Verdict::Refused(fault)));
        }
        out
    }

    fn serve(&mut self, now: Instant) -> Vec<(Ticket, Verdict)> {
        let mut out = Vec::new();
        if now < self.ready {
            return out;
        }
        while self.queue.len() > 0 && self.has_room() {
            let Some(waiter) = self.queue.pop() else {
                break;
            };
            match self.place(&waiter.ask, now) {
                Some(grant) => out.push((waiter.ask.ticket, Verdict::Granted(grant))),
                None => {
                    // What is left is for others: lanes below their share, or
                    // requests that avoid other engines.
                    let (lane, share) = (waiter.lane.clone(), waiter.ask.share);
                    self.queue.push_front(&lane, share, now, waiter);
                    break;
                }
            }
        }
        out
    }

    fn has_room(&self) -> bool {
        let slots = self.load.slots;
        let mut engines = self.engines.values();
        engines.any(|engine| engine.usable() && engine.load() < slots)
    }

    /// Whether a lane holds less of the pool than its share of it.
    fn below_share(&self, lane: &Lane, share: u32) -> bool {
        let usable = self
            .engines
            .values()
            .filter(|engine| engine.usable())
            .count();
        let slots = usable as f64 * f64::from(self.load.slots);
        f64::from(self.queue.opened(lane)) < slots * self.queue.portion(lane, share)
    }

    /// Places of an engine that a lane may take: those kept free for lanes
    /// below their share are not for the others.
    fn slots_for(&self, ask: &Ask) -> u32 {
        let slots = self.load.slots;
        match self.below_share(&lane_of(ask), ask.share) {
            true => slots,
            false => slots - slots / KEPT_FREE,
        }
    }

    /// Withdraws a request that waits. A request granted meanwhile is released.
    pub fn withdraw(&mut self, ticket: &Ticket, now: Instant) -> Vec<(Ticket, Verdict)> {
        self.queue.remove(|waiter| waiter.ask.ticket == *ticket);
        let granted = self.held.iter().find(|(_, held)| held.ticket == *ticket);
        match granted.map(|(slot, _)| *slot) {
            Some(slot) => self.release(slot, Ended::Served, now),
            None => Vec::new(),
        }
    }

    /// Ends the pool: whoever waits is sent to look for its new keeper. Grants
    /// live on with those who hold them.
    pub fn dissolve(mut self) -> Vec<(Ticket, Verdict)> {
        self.dismiss(|_| true, "the pool has another keeper")
    }

    /// Drops the requests of a box that wait. Whoever still waits for one, as
    /// the box lives after all, is told to ask again.
    pub fn forsake(&mut self, from: &ids::Box) -> Vec<(Ticket, Verdict)> {
        let theirs = |waiter: &Waiter| waiter.ask.ticket.from == *from;
        self.dismiss(theirs, "the box was taken for gone")
    }

    fn dismiss(&mut self, leaves: impl Fn(&Waiter) -> bool, why: &str) -> Vec<(Ticket, Verdict)> {
        let waiting = self.queue.remove(leaves);
        let sent = waiting.into_iter().map(|waiter| {
            let fault = Fault::new(Kind::Peer, why);
            (waiter.ask.ticket, Verdict::Refused(fault.after(MOVED)))
        });
        sent.collect()
    }

    /// The slots that a box holds.
    pub fn slots(&self, from: &ids::Box) -> Vec<ids::Slot> {
        let held = self.held.iter();
        let theirs = held.filter(|(_, held)| held.ticket.from == *from);
        theirs.map(|(slot, _)| *slot).collect()
    }

    /// Drops everything that a box holds or waits for, but for the `kept`
    /// slots. Called when a box has reconnected and says what it still holds.
    /// Whoever waits is told to ask again.
    pub fn retain(
        &mut self,
        from: &ids::Box,
        kept: &[ids::Slot],
        now: Instant,
    ) -> Vec<(Ticket, Verdict)> {
        let mut out = self.forsake(from);
        let mut slots = self.slots(from);
        slots.retain(|slot| !kept.contains(slot));
        for slot in slots {
            out.extend(self.release(slot, Ended::Served, now));
        }
        out
    }

    /// Takes over a place that an earlier keeper granted.
    pub fn adopt(&mut self, ask: &Ask, engine: &ids::Engine, now: Instant) -> ids::Slot {
        let entry = self.engines.entry(engine.clone());
        entry.or_insert_with(|| Engine::new(false));
        self.hold_slot(ask, engine, now).slot
    }

    /// Takes an engine's own report: what it runs beyond this keeper's grants
    /// was granted by another keeper. Reports lag, so that fewer than granted
    /// means nothing.
    pub fn report(&mut self, engine: &ids::Engine, running: u32) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.report(running);
        }
    }

    /// Notes that an engine does not answer.
    pub fn fail(&mut self, engine: &ids::Engine, now: Instant) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.eject(now);
        }
    }

    /// Notes that an ejected engine answers again; it is tried from now on.
    pub fn recover(&mut self, engine: &ids::Engine, now: Instant) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.recover(now);
        }
    }

    fn place(&mut self, ask: &Ask, now: Instant) -> Option<Grant> {
        let known = ask
            .prefer
            .clone()
            .or_else(|| self.displaced.get(&ask.chat).cloned());
        let (engine, first) = self.choose(ask, known.as_ref())?;
        if first {
            self.displaced.pop(&ask.chat);
        } else {
            self.displaced.put(ask.chat, engine.clone());
        }
        Some(self.hold_slot(ask, &engine, now))
    }

    /// Requests that run or wait, for each active engine.
    pub fn pressure(&self) -> f64 {
        let active = self.engines.values().filter(|engine| engine.active);
        let (load, count) = active.fold((0, 0_u32), |(load, count), engine| {
            (load + engine.load(), count + 1)
        });
        (f64::from(load) + self.queue.len() as f64) / f64::from(count.max(1))
    }

    fn hold_slot(&mut self, ask: &Ask, engine: &ids::Engine, now: Instant) -> Grant {
        let slot = ids::Slot(self.next);
        self.next = self.next.wrapping_add(1);
        if let Some(entry) = self.engines.get_mut(engine) {
            entry.hold();
        }
        let lane = lane_of(ask);
        self.queue.open(&lane, ask.share, now);
        let held = Held {
            engine: engine.clone(),
            ticket: ask.ticket.clone(),
            lane,
            since: now,
        };
        self.held.insert(slot, held);
        Grant {
            engine: engine.clone(),
            slot,
        }
    }

    /// The engine for a request, and whether it is the first of its order:
    /// the one that is known to have served the chat, else the first in
    /// rendezvous order, that is under the bound.
    fn choose(&self, ask: &Ask, known: Option<&ids::Engine>) -> Option<(ids::Engine, bool)> {
        let usable: Vec<_> = self
            .engines
            .iter()
            .filter(|(name, engine)| engine.usable() && !ask.avoid.contains(name))
            .collect();
        let load = |name: &ids::Engine| self.engines.get(name).map_or(u32::MAX, Engine::load);
        let order = by_rendezvous(ask.prefix.0, usable.iter().map(|(name, _)| *name));
        let first = *order.first()?;
        let slots = self.slots_for(ask);
        let most = self.bound(self.load.multiple, &usable).min(slots);
        let known = known.filter(|known| order.contains(known) && load(known) < most);
        if let Some(known) = known {
            return Some((known.clone(), known == first));
        }
        if ask.returning && load(first) < most {
            return Some((first.clone(), true));
        }
        let aim = self.load.aim.min(self.load.multiple);
        let aim = self.bound(aim, &usable).min(slots);
        let chosen = order.into_iter().find(|name| load(name) < aim)?;
        Some((chosen.clone(), chosen == first))
    }

    /// Open grants that one engine may have once one more request is placed.
    fn bound(&self, multiple: f64, usable: &[(&ids::Engine, &Engine)]) -> u32 {
        let total: u32 = usable.iter().map(|(_, engine)| engine.load()).sum();
        let mean = f64::from(total + 1) / usable.len().max(1) as f64;
        let bound = (multiple * mean).ceil() as u32;
        bound.max(self.load.floor).min(self.load.slots)
    }
}

fn lane_of(ask: &Ask) -> Lane {
    Lane {
        priority: ask.priority,
        account: ask.account.clone(),
    }
}

/// Slots of different keepers must not be mistaken for each other.
fn first_slot() -> u32 {
    rand::rng().random()
}
