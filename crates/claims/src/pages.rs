//! All pages of a fleet, each with a task that records the claims that wait for
//! it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use smol::channel::{self, Receiver, Sender};
use smol::Executor;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_store::etcd::Client;

use crate::entry::{Claimant, Entry, Key};
use crate::page::{now_seconds, Page, Request, Verdict};

/// The number of pages of a fleet. Each page is written once for all claims that
/// arrive within an interval after the previous write began, so that there are at
/// most `PAGES` writes per interval.
pub const PAGES: u32 = 16;
/// Most claims that may wait for one page.
const WAITING_MAX: usize = 1024;
/// Most claims that one write records.
const BATCH_MAX: usize = 256;

struct Pending {
    request: Request,
    reply: Sender<Verdict>,
}

/// The pages of a fleet.
#[derive(Clone)]
pub struct Pages {
    store: Client,
    timeout: Duration,
    fleet: ids::Account,
    retention: Duration,
    interval: Duration,
    executor: Weak<Executor<'static>>,
    open: Arc<Mutex<HashMap<u32, Sender<Pending>>>>,
}

impl Pages {
    /// The pages of `fleet` in `store`, a call to which takes at most `limit`.
    /// Claims are kept for `retention`, and writes of one page begin at least
    /// `interval` apart. The tasks that write pages run on `executor`.
    pub fn new(
        store: Client,
        timeout: Duration,
        fleet: ids::Account,
        retention: Duration,
        interval: Duration,
        executor: &Arc<Executor<'static>>,
    ) -> Self {
        Self {
            store,
            timeout,
            fleet,
            retention,
            interval,
            executor: Arc::downgrade(executor),
            open: Arc::default(),
        }
    }

    /// Claims `key` for `claimant`. `supersedes` names the request of an earlier
    /// claim that its holder has given up without sending the request.
    pub async fn claim(
        &self,
        key: &Key,
        claimant: Claimant,
        body: ids::Digest,
        supersedes: Option<ids::Request>,
    ) -> Verdict {
        let entry = Entry {
            key: key.clone(),
            claimant,
            body,
            at: now_seconds(),
        };
        let (reply, verdict) = channel::bounded(1);
        let request = Request { entry, supersedes };
        let page = self.page(key.page(PAGES));
        if page.try_send(Pending { request, reply }).is_err() {
            return Verdict::Failed("too many claims wait for this page".into());
        }
        let verdict = verdict.recv().await;
        verdict.unwrap_or_else(|_| Verdict::Failed("the page's task ended".into()))
    }

    /// The inbox of a page's task, which is started at the first use.
    fn page(&self, number: u32) -> Sender<Pending> {
        let mut open = self.open.lock().unwrap_or_else(|e| e.into_inner());
        let opened = open.entry(number).or_insert_with(|| {
            let key = format!("tidepier/{}/claims/{number}", self.fleet);
            let page = Page::new(self.store.clone(), self.timeout, key, self.retention);
            let (sender, receiver) = channel::bounded(WAITING_MAX);
            if let Some(executor) = self.executor.upgrade() {
                executor
                    .spawn(record(page, receiver, self.interval))
                    .detach();
            }
            sender
        });
        opened.clone()
    }
}

/// Records the claims from `inbox` on `page`, in batches.
async fn record(mut page: Page<Client>, inbox: Receiver<Pending>, interval: Duration) {
    let mut next = Instant::now();
    while let Ok(first) = inbox.recv().await {
        // A page that was not written within the last interval is written at once.
        tidepier_clock::sleep_until(next).await;
        next = Instant::now() + interval;
        let mut batch = vec![first];
        while batch.len() < BATCH_MAX {
            match inbox.try_recv() {
                Ok(next) => batch.push(next),
                Err(_) => break,
            }
        }
        let requests: Vec<_> = batch
            .iter()
            .map(|pending| pending.request.clone())
            .collect();
        let verdicts = page.claim(&requests).await;
        metrics::counter!("tidepier_claims_total").increment(batch.len() as u64);
        metrics::counter!("tidepier_claim_batches_total").increment(1);
        for (pending, verdict) in batch.into_iter().zip(verdicts) {
            // The caller may have given up.
            let _ = pending.reply.try_send(verdict);
        }
    }
}
