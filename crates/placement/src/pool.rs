//! The engines of one model in one hall, with the grants and the queue that
//! their keeper keeps for them.

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

/// Weight of the newest request in the running mean of the times that grants
/// are held.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Seconds that a grant is assumed to be held before any request has ended.
const HOLD_SECONDS_INITIAL: f64 = 1.0;
/// One in this many of an engine's slots is reserved for lanes that are below
/// their share of the pool.
const RESERVE_DIVISOR: u32 = 8;
/// Longest time that a request waits while no engine of the pool is usable.
const NO_ENGINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a request that waited at a keeper which no longer decides on it
/// is sent to the pool's current keeper.
const KEEPER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after a change of keeper, beyond which requests that the earlier keeper
/// granted are unlikely to be running still.
const EARLIER_GRANTS_TIMEOUT: Duration = Duration::from_secs(10);
/// Displaced chats that one pool remembers, about 100 bytes each.
const DISPLACED_MAX: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();
/// Retry-After is lengthened at random by up to this many times its value, so
/// that clients that were refused together do not return together.
const RETRY_SPREAD_MAX: f64 = 1.0;

#[derive(Debug)]
struct Placement {
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

/// A pool of engines, its open grants and its waiting requests.
#[derive(Debug)]
pub struct Pool {
    load: Load,
    engines: BTreeMap<ids::Engine, Engine>,
    placements: HashMap<ids::Slot, Placement>,
    queue: Queue<Waiter>,
    /// Chats that were last placed on another engine than the first of their
    /// rendezvous order, with that engine. Other chats need no entry: the order
    /// leads to their engine.
    displaced: LruCache<ids::Chat, ids::Engine>,
    next_slot: u32,
    /// Running mean of the time between a grant and its end.
    mean_hold_seconds: f64,
    /// Before this instant nothing is granted: boxes may still hold grants of
    /// an earlier keeper that they have not yet reported to this one.
    ready: Instant,
}

impl Pool {
    /// A pool without engines that grants requests from `ready` on.
    pub fn new(load: Load, ready: Instant) -> Self {
        Self {
            load,
            engines: BTreeMap::new(),
            placements: HashMap::new(),
            queue: Queue::new(),
            displaced: LruCache::new(DISPLACED_MAX),
            next_slot: first_slot(),
            mean_hold_seconds: HOLD_SECONDS_INITIAL,
            ready,
        }
    }

    /// Applies a configuration: the limits, and the engines with whether each is
    /// active. An engine that is no longer listed stays, inactive, until its
    /// grants are released.
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

    /// Whether requests that an earlier keeper granted may still be running.
    pub fn is_young(&self, now: Instant) -> bool {
        now < self.ready + EARLIER_GRANTS_TIMEOUT
    }

    /// The engines by name.
    pub fn engines(&self) -> &BTreeMap<ids::Engine, Engine> {
        &self.engines
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of open grants.
    pub fn open(&self) -> usize {
        self.placements.len()
    }

    /// Decides on a request.
    pub fn ask(&mut self, ask: Ask, now: Instant) -> Verdict {
        if !self.engines.values().any(|engine| engine.active) {
            let fault = Fault::new(Kind::NoEngine, "no active engine in this hall");
            return Verdict::Refused(fault.after(self.spread_delay(1.0)));
        }
        let lane = lane_of(&ask);
        // A lane below its share does not wait behind lanes above theirs.
        let first = self.queue.len() == 0
            || (self.queue.waiting(&lane) == 0 && self.below_share(&lane, ask.share));
        if now >= self.ready && first {
            if let Some(grant) = self.place(&ask, now) {
                return Verdict::Granted(grant);
            }
        }
        self.enqueue(ask, now)
    }

    /// Queues a request, or refuses it at once if it cannot be served in time.
    fn enqueue(&mut self, ask: Ask, now: Instant) -> Verdict {
        let lane = lane_of(&ask);
        let ahead = self.queue.waiting(&lane);
        let seconds = self.estimate_wait(&lane, ask.share, ahead);
        if ahead >= self.load.queue as usize {
            let detail = format!("{ahead} requests of this account wait already");
            let fault = Fault::new(Kind::Quota, detail).after(self.spread_delay(seconds));
            return Verdict::Refused(fault);
        }
        let usable = self.engines.values().any(Engine::usable);
        let max_wait = if usable {
            self.load.wait_ms.duration()
        } else {
            NO_ENGINE_TIMEOUT
        };
        let patience = ask.patience.min(max_wait);
        if seconds > patience.as_secs_f64() {
            let detail = format!("about {seconds:.1} s of waiting, more than the request has");
            let fault = Fault::new(Kind::Busy, detail).after(self.spread_delay(seconds));
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

    /// Estimates the seconds until a request of `lane` with `ahead` requests
    /// before it is served. It is served when its lane's share of the pool has
    /// reached it, or when all requests that wait now have been served,
    /// whichever is sooner: lanes without waiting requests leave their share to
    /// the others.
    fn estimate_wait(&self, lane: &Lane, share: u32, ahead: usize) -> f64 {
        let active = self.engines.values().filter(|engine| engine.active).count();
        let slots = (active as f64 * f64::from(self.load.slots)).max(1.0);
        let per_second = slots / self.mean_hold_seconds;
        let by_share = (ahead + 1) as f64 / (per_second * self.queue.portion(lane, share));
        let by_all = (self.queue.len() + 1) as f64 / per_second;
        by_share.min(by_all)
    }

    /// A delay of at least `seconds`, clamped to 0.5 to 60 s, lengthened by a
    /// random part.
    fn spread_delay(&self, seconds: f64) -> Duration {
        let factor = 1.0 + rand::rng().random_range(0.0..RETRY_SPREAD_MAX);
        Duration::from_secs_f64(seconds.clamp(0.5, 60.0) * factor)
    }

    /// Whether this pool has granted `slot` and it has not been released yet.
    pub fn holds(&self, slot: ids::Slot) -> bool {
        self.placements.contains_key(&slot)
    }

    /// Releases a place. Returns the verdicts on waiting requests that are
    /// granted in turn.
    pub fn release(
        &mut self,
        slot: ids::Slot,
        ended: Ended,
        now: Instant,
    ) -> Vec<(Ticket, Verdict)> {
        let Some(placement) = self.placements.remove(&slot) else {
            return Vec::new();
        };
        self.queue.record_end(&placement.lane);
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            engine.open -= 1;
            if ended == Ended::Failed {
                engine.eject(now);
            }
        }
        if ended == Ended::Served {
            let seconds = now.saturating_duration_since(placement.since).as_secs_f64();
            self.mean_hold_seconds += HOLD_TIME_WEIGHT * (seconds - self.mean_hold_seconds);
        }
        self.grant_waiting(now)
    }

    /// Grants waiting requests where there is room, and refuses those whose time
    /// to wait has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<(Ticket, Verdict)> {
        self.queue.expire(now);
        let late = self.queue.remove(|waiter| waiter.until <= now);
        let mut out = self.grant_waiting(now);
        let usable = self.engines.values().any(Engine::usable);
        for waiter in late {
            let fault = match usable {
                true => Fault::new(Kind::Busy, "no engine became free in time"),
                false => Fault::new(Kind::NoEngine, "no engine of the pool answers"),
            };
            let fault = fault.after(self.spread_delay(self.mean_hold_seconds));
            out.push((waiter.ask.ticket, Verdict::Refused(fault)));
        }
        out
    }

    fn grant_waiting(&mut self, now: Instant) -> Vec<(Ticket, Verdict)> {
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
                    // The room that is left is for other requests: of lanes
                    // below their share, or that avoid other engines.
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

    /// Whether a lane has fewer open grants than its share of the pool.
    fn below_share(&self, lane: &Lane, share: u32) -> bool {
        let usable = self
            .engines
            .values()
            .filter(|engine| engine.usable())
            .count();
        let slots = usable as f64 * f64::from(self.load.slots);
        f64::from(self.queue.open_grants(lane)) < slots * self.queue.portion(lane, share)
    }

    /// The slots of an engine that a request may use. Those reserved for lanes
    /// below their share are excluded for other lanes.
    fn slots_for(&self, ask: &Ask) -> u32 {
        let slots = self.load.slots;
        match self.below_share(&lane_of(ask), ask.share) {
            true => slots,
            false => slots - slots / RESERVE_DIVISOR,
        }
    }

    /// Withdraws a waiting request. If it has been granted in the meantime, its
    /// place is released.
    pub fn withdraw(&mut self, ticket: &Ticket, now: Instant) -> Vec<(Ticket, Verdict)> {
        self.queue.remove(|waiter| waiter.ask.ticket == *ticket);
        let granted = self
            .placements
            .iter()
            .find(|(_, placement)| placement.ticket == *ticket);
        match granted.map(|(slot, _)| *slot) {
            Some(slot) => self.release(slot, Ended::Served, now),
            None => Vec::new(),
        }
    }

    /// Ends the pool when another box becomes its keeper. Waiting requests are
    /// refused with a delay after which they go to the new keeper. Open grants
    /// remain valid at the boxes that hold them.
    pub fn dissolve(mut self) -> Vec<(Ticket, Verdict)> {
        self.refuse_waiting(|_| true, "the pool has another keeper")
    }

    /// Removes the waiting requests of a box that is presumed dead. Returns a
    /// refusal for each: if the box is alive after all, these make it ask again.
    pub fn forsake(&mut self, from: &ids::Box) -> Vec<(Ticket, Verdict)> {
        let of_box = |waiter: &Waiter| waiter.ask.ticket.from == *from;
        self.refuse_waiting(of_box, "the box was taken for gone")
    }

    fn refuse_waiting(
        &mut self,
        is_removed: impl Fn(&Waiter) -> bool,
        why: &str,
    ) -> Vec<(Ticket, Verdict)> {
        let waiting = self.queue.remove(is_removed);
        let sent = waiting.into_iter().map(|waiter| {
            let fault = Fault::new(Kind::Peer, why);
            (
                waiter.ask.ticket,
                Verdict::Refused(fault.after(KEEPER_RETRY_DELAY)),
            )
        });
        sent.collect()
    }

    /// The slots granted to a box and not yet released.
    pub fn slots(&self, from: &ids::Box) -> Vec<ids::Slot> {
        let placements = self.placements.iter();
        let of_box = placements.filter(|(_, placement)| placement.ticket.from == *from);
        of_box.map(|(slot, _)| *slot).collect()
    }

    /// Releases all slots of a box but the `kept` ones and removes its waiting
    /// requests, which it is told to ask for again. Called when a box has
    /// reconnected and reports which slots it still holds.
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

    /// Records a place that an earlier keeper granted and that is still in use.
    pub fn adopt(&mut self, ask: &Ask, engine: &ids::Engine, now: Instant) -> ids::Slot {
        let entry = self.engines.entry(engine.clone());
        entry.or_insert_with(|| Engine::new(false));
        self.record_grant(ask, engine, now).slot
    }

    /// Records the number of requests that an engine reports as running. Those
    /// beyond this keeper's grants were granted by another keeper. Reports lag
    /// behind, so a number below the open grants is ignored.
    pub fn report(&mut self, engine: &ids::Engine, running: u32) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.report(running);
        }
    }

    /// Records that an engine does not answer, and ejects it.
    pub fn fail(&mut self, engine: &ids::Engine, now: Instant) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.eject(now);
        }
    }

    /// Records that an ejected engine answers again. It gets requests from now
    /// on if its ejection time has passed.
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
        Some(self.record_grant(ask, &engine, now))
    }

    /// The mean number of requests that run or wait, per active engine.
    pub fn pressure(&self) -> f64 {
        let active = self.engines.values().filter(|engine| engine.active);
        let (load, count) = active.fold((0, 0_u32), |(load, count), engine| {
            (load + engine.load(), count + 1)
        });
        (f64::from(load) + self.queue.len() as f64) / f64::from(count.max(1))
    }

    fn record_grant(&mut self, ask: &Ask, engine: &ids::Engine, now: Instant) -> Grant {
        let slot = ids::Slot(self.next_slot);
        self.next_slot = self.next_slot.wrapping_add(1);
        if let Some(entry) = self.engines.get_mut(engine) {
            entry.record_grant();
        }
        let lane = lane_of(ask);
        self.queue.record_grant(&lane, ask.share, now);
        let placement = Placement {
            engine: engine.clone(),
            ticket: ask.ticket.clone(),
            lane,
            since: now,
        };
        self.placements.insert(slot, placement);
        Grant {
            engine: engine.clone(),
            slot,
        }
    }

    /// Chooses the engine for a request, and returns whether it is the first of
    /// the rendezvous order. The engine known to have served the chat is chosen
    /// if it is under the bound, else the first in rendezvous order that is.
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

    /// The load that one engine may have once one more request is placed.
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

/// The number of the first slot. It is random so that slots of different keepers
/// are not mistaken for each other.
fn first_slot() -> u32 {
    rand::rng().random()
}
