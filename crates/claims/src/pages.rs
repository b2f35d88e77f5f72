//! All pages, each with a task that records whatever claims wait for it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use smol::channel::{self, Receiver, Sender};
use smol::Executor;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_store::etcd::Client;

use crate::entry::{Claimant, Entry, Key};
use crate::page::{now_seconds, Page, Verdict, Wish};

/// Pages of a fleet. Each is written once for all claims that come in during
/// the pause after the write before, so that the writes a second are at most
/// the pages over the pause.
pub const PAGES: u32 = 16;
/// Claims that may wait for one page.
const WAITING: usize = 1024;
/// Claims that one write records.
const BATCH: usize = 256;

struct Waiting {
    wish: Wish,
    reply: Sender<Verdict>,
}

/// The pages of a fleet.
#[derive(Clone)]
pub struct Pages {
    store: Client,
    limit: Duration,
    fleet: ids::Account,
    kept: Duration,
    pause: Duration,
    executor: Weak<Executor<'static>>,
    open: Arc<Mutex<HashMap<u32, Sender<Waiting>>>>,
}

impl Pages {
    /// The pages of `fleet` in `store`, a call to which takes at most `limit`.
    /// Claims are kept for `kept`; two writes of a page are `pause` apart. Page tasks run on `executor`.
    pub fn new(
        store: Client,
        limit: Duration,
        fleet: ids::Account,
        kept: Duration,
        pause: Duration,
        executor: &Arc<Executor<'static>>,
    ) -> Self {
        Self {
            store,
            limit,
            fleet,
            kept,
            pause,
            executor: Arc::downgrade(executor),
            open: Arc::default(),
        }
    }

    /// Claims `key` for `claimant`. `over` names a claim that its holder has
    /// given up without sending.
    pub async fn claim(
        &self,
        key: &Key,
        claimant: Claimant,
        body: ids::Digest,
        over: Option<ids::Request>,
    ) -> Verdict {
        let entry = Entry {
            key: key.clone(),
            claimant,
            body,
            at: now_seconds(),
        };
        let (reply, verdict) = channel::bounded(1);
        let wish = Wish { entry, over };
        let page = self.page(key.page(PAGES));
        if page.try_send(Waiting { wish, reply }).is_err() {
            return Verdict::Failed("too many claims wait for this page".into());
        }
        let verdict = verdict.recv().await;
        verdict.unwrap_or_else(|_| Verdict::Failed("the page's task ended".into()))
    }

    fn page(&self, number: u32) -> Sender<Waiting> {
        let mut open = self.open.lock().unwrap_or_else(|e| e.into_inner());
        let opened = open.entry(number).or_insert_with(|| {
            let key = format!("tidepier/{}/claims/{number}", self.fleet);
            let page = Page::new(self.store.clone(), self.limit, key, self.kept);
            let (sender, receiver) = channel::bounded(WAITING);
            if let Some(executor) = self.executor.upgrade() {
                executor.spawn(record(page, receiver, self.pause)).detach();
            }
            sender
        });
        opened.clone()
    }
}

async fn record(mut page: Page<Client>, inbox: Receiver<Waiting>, pause: Duration) {
    let mut next = Instant::now();
    while let Ok(first) = inbox.recv().await {
        // A page that was quiet is written at once.
        tidepier_clock::sleep_until(next).await;
        next = Instant::now() + pause;
        let mut batch = vec![first];
        while batch.len() < BATCH {
            match inbox.try_recv() {
                Ok(next) => batch.push(next),
                Err(_) => break,
            }
        }
        let wishes: Vec<_> = batch.iter().map(|waiting| waiting.wish.clone()).collect();
        let verdicts = page.claim(&wishes).await;
        metrics::counter!("tidepier_claims_total").increment(batch.len() as u64);
        metrics::counter!("tidepier_claim_batches_total").increment(1);
        for (waiting, verdict) in batch.into_iter().zip(verdicts) {
            // Whoever asked may have given up.
            let _ = waiting.reply.try_send(verdict);
        }
    }
}
