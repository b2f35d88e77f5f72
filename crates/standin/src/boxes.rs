//! The platform's list of boxes. Changes show after a delay, and a reader can
//! be given a list of its own.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_types::Request;
use tidepier_http::http_types;
use tidepier_http::server::{Handler, Reply};
use tidepier_store::boxes::List;

use crate::faults::{Counted, Switches};

#[derive(Debug, Default)]
struct Data {
    shown: List,
    next: Option<(Instant, List)>,
    by_reader: BTreeMap<String, List>,
}

/// The list of boxes.
#[derive(Debug, Default)]
pub struct Boxes {
    data: Mutex<Data>,
    /// Faults to inject.
    pub switches: Switches,
}

impl Boxes {
    /// A list that shows `list` at once.
    pub fn new(list: List) -> Arc<Self> {
        let boxes = Self::default();
        boxes.lock().shown = list;
        Arc::new(boxes)
    }

    /// Shows `list` to everyone after `lag`.
    pub fn set(&self, list: List, lag: Duration) {
        self.lock().next = Some((Instant::now() + lag, list));
    }

    /// Shows `list` to one reader only; with `None` the reader sees the common
    /// list again.
    pub fn set_for(&self, reader: &str, list: Option<List>) {
        let mut data = self.lock();
        match list {
            Some(list) => data.by_reader.insert(reader.into(), list),
            None => data.by_reader.remove(reader),
        };
    }

    /// The list as `reader` sees it.
    pub fn get(&self, reader: &str) -> List {
        let mut data = self.lock();
        if let Some((at, list)) = data.next.take() {
            if at <= Instant::now() {
                data.shown = list;
            } else {
                data.next = Some((at, list));
            }
        }
        let own = data.by_reader.get(reader);
        own.unwrap_or(&data.shown).clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// HTTP handler of a [`Boxes`].
pub struct Door(pub Arc<Boxes>);

impl Handler for Door {
    async fn handle(&self, request: Request) -> Reply {
        self.0.switches.pause().await;
        if self.0.switches.consume(Counted::Refuse) {
            return Reply::text(503, "refused by switch".into());
        }
        let query = request.url().query_pairs();
        let reader = query.into_iter().find(|(name, _)| name == "reader");
        let reader = reader
            .map(|(_, value)| value.into_owned())
            .unwrap_or_default();
        Reply::json(200, &self.0.get(&reader))
    }
}
