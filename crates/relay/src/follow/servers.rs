//! The entries of servers in the store.

use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::store::{Event, Item, Read, Revision, Scope, Store};
use tidepier_ids as ids;
use tidepier_platform::{key, server};

use super::change_log::{self, Batch};
use super::changes::Changes;
use super::freshness::Call;
use super::retry::{Delay, PROBING_BOXES};
use super::{Follower, CALL_TIMEOUT};
use crate::message::follow::Row;
use crate::timeout;

/// Time for which further changes of servers are gathered before the watch is called
/// again: each answer of a watch takes a call, and calls to the store have a price.
const GATHER_INTERVAL: Duration = Duration::from_millis(400);
/// Number of changes in one answer of a watch from which more are likely to be pending,
/// so that nothing is gathered: the store returns a few hundred at once, and 10,000
/// servers that join together take twenty answers.
const PENDING_CHANGES_MIN: usize = 100;
/// Time limit of a call without a wait: a slow store answers within a quarter of a second,
/// and the servers may have to be listed within the time in which they leave.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between two checks whether the grace period is over.
const GRACE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The entries of servers.
const SCOPE: Scope<'_> = Scope::Prefix(key::SERVERS);

/// How the servers are read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// A watch continues from what is known.
    Watch,
    /// All servers are listed: a watch does not return what the store has.
    List,
}

/// What a watch returned.
enum Answer {
    Changes(Read<Vec<Event>>),
    /// The watch ended.
    End(Next),
}

/// Whether a watch continues from what other boxes sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resumes {
    Yes,
    No,
}

impl Follower {
    /// Follows the servers while this box reads the store; does not end.
    pub async fn follow_servers(self: Rc<Self>) {
        let mut delay = Delay::default();
        let mut next = Next::Watch;
        loop {
            self.wait_until_readable().await;
            let known = self.history.complete_revision();
            if next == Next::Watch && !known.is_none() {
                next = self.watch_servers(known, Resumes::Yes).await;
                if next == Next::Watch {
                    self.servers_known.set(false);
                    delay.reset();
                    delay.wait().await;
                    continue;
                }
            }
            self.wait_until_readable().await;
            self.wait_for_reader().await;
            self.wait_until_readable().await;
            next = Next::Watch;
            let (asked, call) = (Instant::now(), self.freshness.call());
            match self.store.list(key::SERVERS, false, CALL_TIMEOUT).await {
                Ok(read) => {
                    delay.reset();
                    self.observe_state(read.revision);
                    self.record_store_answer();
                    self.apply_server_list(&read.value, read.revision);
                    self.freshness.record_all(call, read.revision);
                    self.update_synced();
                    self.servers_known.set(true);
                    next = self.watch_servers(read.revision, Resumes::No).await;
                }
                Err(failure) => self.record_read_failure("servers", &failure, asked),
            }
            self.servers_known.set(false);
            delay.wait().await;
        }
    }

    /// Waits, during the grace period of the store, for boxes that rank before this one
    /// to send the servers. All boxes of a hall begin to read the store when they lose
    /// contact with it, and after a restore from an older backup no watch can continue,
    /// so that each of them would list all servers.
    async fn wait_for_reader(&self) {
        if self.boxes_before.get() < PROBING_BOXES || self.history.complete_revision().is_none() {
            return;
        }
        while self.reads_store.get() && self.in_grace_period() {
            timeout::within(GRACE_CHECK_INTERVAL, self.role_changed.wait()).await;
        }
    }

    /// Watches for changes after a revision up to which all servers are known. A watch
    /// that resumes makes a first call that returns at once: only its answer shows that
    /// the store still has these changes. Returns how the servers are read next.
    ///
    /// A box that takes over reading this way lists no servers: a list of 10,000
    /// servers takes 4 MB on the store's link, and all boxes that lose their reader may
    /// begin to read.
    async fn watch_servers(&self, from: Revision, resumes: Resumes) -> Next {
        let mut changes = self.changes(SCOPE, from, "servers_watch");
        if resumes == Resumes::Yes {
            let Some(read) = changes.poll(CALL_TIMEOUT).await else {
                return Next::List;
            };
            if !self.apply_server_events(&read, changes.call()) {
                return Next::List;
            }
            self.servers_known.set(true);
            self.record_change();
        }
        loop {
            let read = match self.next_server_events(&mut changes).await {
                Answer::Changes(read) => read,
                Answer::End(next) => return next,
            };
            self.apply_server_events(&read, changes.call());
            if (1..PENDING_CHANGES_MIN).contains(&read.value.len()) {
                Timer::after(GATHER_INTERVAL).await;
            }
        }
    }

    /// The next answer of the watch. If that is overdue, asks the store on another
    /// connection, and goes on with the call if that shows no change: the state of the
    /// store also advances by entries of other kinds.
    async fn next_server_events<'a>(&'a self, changes: &mut Changes<'a>) -> Answer {
        let called = Instant::now();
        let (replacement, read) = {
            let mut next = pin!(changes.next());
            loop {
                let answered = async { Some(next.as_mut().await) };
                let overdue = async {
                    self.freshness.overdue(called).await;
                    None
                };
                match answered.or(overdue).await {
                    Some(Some(read)) => return Answer::Changes(read),
                    Some(None) => return Answer::End(Next::Watch),
                    None => {}
                }
                let complete = self.history.complete_revision();
                let mut poll = self.changes(SCOPE, complete, "servers_poll");
                let Some(read) = poll.poll(POLL_TIMEOUT).await else {
                    // A box that no longer reads the store gives up its calls.
                    return Answer::End(match self.reads_store.get() {
                        true => Next::List,
                        false => Next::Watch,
                    });
                };
                if !read.value.is_empty() {
                    break (poll, read);
                }
                if !self.apply_server_events(&read, poll.call()) {
                    log::warn!(
                        target: "belief",
                        "event=servers_watch_stale revision={}",
                        read.revision
                    );
                    return Answer::End(Next::List);
                }
            }
        };
        log::warn!(
            target: "belief",
            "event=servers_watch_replaced events={} complete={}",
            read.value.len(),
            self.history.complete_revision()
        );
        metrics::counter!("tidepier_watches_replaced_total").increment(1);
        *changes = replacement;
        Answer::Changes(read)
    }

    /// Applies the answer to a call of the watch. Returns whether the store answered from
    /// its newest state, as far as is known.
    fn apply_server_events(&self, read: &Read<Vec<Event>>, call: Call) -> bool {
        let mut batch = Batch::new();
        for event in &read.value {
            self.apply_server_event(event, &mut batch);
            self.record_read_change(event.revision());
        }
        batch.write();
        self.history.confirm(read.revision);
        let is_newest = if read.value.len() < PENDING_CHANGES_MIN {
            self.freshness.record_all(call, read.revision)
        } else {
            self.freshness.record_changes(read.revision);
            true
        };
        self.update_synced();
        is_newest
    }

    fn apply_server_list(&self, items: &[Item], revision: Revision) {
        let mut batch = Batch::new();
        let applied = items
            .iter()
            .map(|item| self.apply_server_entry(item, &mut batch));
        let present: HashSet<ids::Server> = applied.flatten().collect();
        for id in self.relay.fleet.ids() {
            if !present.contains(&id) {
                self.entry_removed(&id, revision, &mut batch);
            }
        }
        items
            .iter()
            .for_each(|item| self.record_read_change(item.revision));
        self.history.confirm(revision);
        batch.write();
    }

    fn record_read_change(&self, revision: Revision) {
        let newest = self.last_read_change.get().max(revision);
        self.last_read_change.set(newest);
    }

    fn apply_server_event(&self, event: &Event, batch: &mut Batch) {
        let (key, revision) = (event.key(), event.revision());
        let applied = match event {
            Event::Put(item) => self.apply_server_entry(item, batch),
            Event::Delete { .. } => None,
        };
        if applied.is_some() {
            return;
        }
        // An unreadable entry counts as absent.
        if let Some(id) = key::server_id(key).and_then(|id| id.parse().ok()) {
            self.entry_removed(&id, revision, batch);
        }
    }

    fn apply_server_entry(&self, item: &Item, batch: &mut Batch) -> Option<ids::Server> {
        let id = key::server_id(&item.key)?;
        match server::decode(id, &item.value) {
            Ok(server) => {
                let id = server.id.clone();
                self.apply_row(Row::new(&server, item.revision), batch);
                Some(id)
            }
            Err(error) => {
                self.log_invalid("server", id, &error);
                None
            }
        }
    }

    fn entry_removed(&self, id: &ids::Server, revision: Revision, batch: &mut Batch) {
        self.withheld.borrow_mut().remove(id);
        if self.is_reliable() {
            self.drop_server(id, revision, change_log::Change::Gone, batch);
        } else {
            self.relay.fleet.mark_missing(id);
            batch.add_id(change_log::Change::Missing, id);
        }
    }

    /// Whether a missing entry counts as deleted.
    fn is_reliable(&self) -> bool {
        self.availability.is_authoritative(Instant::now())
    }

    /// Drops servers whose entries are still missing at the end of the grace period;
    /// does not end.
    pub async fn drop_lapsed_servers(self: Rc<Self>) {
        loop {
            self.store_returned.wait().await;
            // The store may become unreachable and come back again meanwhile.
            while !self.is_reliable() {
                Timer::after(GRACE_CHECK_INTERVAL).await;
            }
            let mut batch = Batch::new();
            for id in self.relay.fleet.missing() {
                let seen = self.history.newest_revision();
                self.drop_server(&id, seen, change_log::Change::Lapsed, &mut batch);
            }
            batch.write();
        }
    }
}
