//! The servers: their entries in the store.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::store::{Event, Item, Read, Revision, Scope, Store};
use tidepier_ids as ids;
use tidepier_platform::{key, server};

use super::news::{self, News};
use super::pause::{Pause, PROBING_BOXES};
use super::{Follower, CALL_TIME};
use crate::message::follow::Row;
use crate::timeout;

/// Time in which further changes of servers are gathered before the watch goes
/// on: each return of a watch is a call that is paid for.
const GATHER_TIME: Duration = Duration::from_millis(400);
/// Changes in one return of a watch from which on more are likely to wait: the store
/// tells some hundred at once, and 10,000 servers that join together are twenty returns.
const MANY: usize = 100;
/// Longest wait for changes that a watch is asked for first where it goes on from what
/// other boxes told.
const RESUME_TIME: Duration = Duration::from_millis(20);
/// Time between two checks whether the store can be relied on again.
const LAPSE_LOOK: Duration = Duration::from_millis(100);

/// Whether a watch goes on from what other boxes told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resumes {
    Yes,
    No,
}

impl Follower {
    /// Follows the servers while this box reads the store; does not end.
    pub async fn servers(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            self.ready_to_read().await;
            let known = self.record.complete_revision();
            if !known.is_none() && self.watch_servers(known, Resumes::Yes).await {
                self.servers_known.set(false);
                pause.reset();
                pause.rest().await;
                continue;
            }
            self.ready_to_read().await;
            self.leave_to_readers().await;
            self.ready_to_read().await;
            let asked = Instant::now();
            match self.store.list(key::SERVERS, false, CALL_TIME).await {
                Ok(read) => {
                    pause.reset();
                    self.hear_state(read.revision);
                    self.answered();
                    self.take_servers(&read.value, read.revision);
                    self.servers_known.set(true);
                    self.watch_servers(read.revision, Resumes::No).await;
                }
                Err(failure) => self.read_failed("servers", &failure, asked),
            }
            self.servers_known.set(false);
            pause.rest().await;
        }
    }

    /// Waits for a box that comes before this one to tell the servers, as long as the store
    /// cannot be relied on in what it lacks. All boxes of a hall begin to read when they
    /// lose sight of the store, and after a return from an older copy no watch goes on.
    async fn leave_to_readers(&self) {
        if self.boxes_before.get() < PROBING_BOXES || self.record.complete_revision().is_none() {
            return;
        }
        while self.reads_store.get() && self.in_grace_period() {
            timeout::within(LAPSE_LOOK, self.role_changed.wait()).await;
        }
    }

    /// Follows changes after a revision up to which all servers are known. One that
    /// resumes has to be answered first, at once: until then nothing shows that the
    /// store still knows these changes. Returns whether the store answered at all.
    ///
    /// A box that takes over reading lists nothing so: a list of 10,000 servers is
    /// 4 MB of the store's link, and boxes that lose a reader may all begin to read.
    async fn watch_servers(&self, from: Revision, resumes: Resumes) -> bool {
        let scope = Scope::Prefix(key::SERVERS);
        let mut changes = self.changes(scope, from, "servers_watch");
        if resumes == Resumes::Yes {
            let Some(read) = changes.next_within(RESUME_TIME).await else {
                return false;
            };
            self.take_server_events(&read);
            self.servers_known.set(true);
            self.touch();
        }
        while let Some(read) = changes.next().await {
            self.take_server_events(&read);
            if (1..MANY).contains(&read.value.len()) {
                Timer::after(GATHER_TIME).await;
            }
        }
        true
    }

    fn take_server_events(&self, read: &Read<Vec<Event>>) {
        let mut news = News::new();
        for event in &read.value {
            self.take_server_event(event, &mut news);
        }
        news.tell();
        self.record.confirm(read.revision);
    }

    fn take_servers(&self, items: &[Item], revision: Revision) {
        let mut news = News::new();
        let taken = items.iter().map(|item| self.take_server(item, &mut news));
        let present: HashSet<ids::Server> = taken.flatten().collect();
        for id in self.relay.fleet.ids() {
            if !present.contains(&id) {
                self.entry_gone(&id, revision, &mut news);
            }
        }
        self.record.confirm(revision);
        news.tell();
    }

    fn take_server_event(&self, event: &Event, news: &mut News) {
        let (key, revision) = (event.key(), event.revision());
        let taken = match event {
            Event::Put(item) => self.take_server(item, news),
            Event::Delete { .. } => None,
        };
        if taken.is_some() {
            return;
        }
        // An entry that cannot be read names no server, as an absent one.
        if let Some(id) = key::server_id(key).and_then(|id| id.parse().ok()) {
            self.entry_gone(&id, revision, news);
        }
    }

    fn take_server(&self, item: &Item, news: &mut News) -> Option<ids::Server> {
        let id = key::server_id(&item.key)?;
        match server::decode(id, &item.value) {
            Ok(server) => {
                let id = server.id.clone();
                self.announced(Row::new(&server, item.revision), news);
                Some(id)
            }
            Err(error) => {
                log::error!(target: "belief", "event=server_invalid id={id} why=\"{error}\"");
                None
            }
        }
    }

    fn entry_gone(&self, id: &ids::Server, revision: Revision, news: &mut News) {
        self.withheld.borrow_mut().remove(id);
        if self.is_reliable() {
            self.drop_server(id, revision, news::Change::Gone, news);
        } else {
            self.relay.fleet.mark_missing(id);
            news.add_id(news::Change::Missing, id);
        }
    }

    /// Whether an entry that is absent is gone.
    fn is_reliable(&self) -> bool {
        self.doubt.is_over(Instant::now())
    }

    /// Drops servers whose entries stay missing after the store is back; does
    /// not end.
    pub async fn drop_lapsed_servers(self: Rc<Self>) {
        loop {
            self.store_returned.wait().await;
            // The store may go and come back again meanwhile.
            while !self.is_reliable() {
                Timer::after(LAPSE_LOOK).await;
            }
            let mut news = News::new();
            for id in self.relay.fleet.missing() {
                let seen = self.record.newest_revision();
                self.drop_server(&id, seen, news::Change::Lapsed, &mut news);
            }
            news.tell();
        }
    }
}
