//! The fleet document in force at this box, and the patches with which other
//! boxes update theirs.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use event_listener::{Event, EventListener};
use serde_json::Value;
use tidepier_clock::Instant;
use tidepier_config::document::{Document, Record};
use tidepier_ids as ids;

/// Most earlier records that are kept to compute patches from.
const HISTORY_MAX: usize = 8;

struct Version {
    document: Arc<Document>,
    json: Value,
    author: String,
    at_ms: u64,
    generation: ids::Generation,
    since: Instant,
}

#[derive(Default)]
struct State {
    current: Option<Version>,
    earlier: VecDeque<(ids::Generation, Value)>,
}

/// The document in force. Its generation never decreases.
#[derive(Default)]
pub(crate) struct Current {
    state: Mutex<State>,
    changed: Event,
}

/// The metadata of the document in force.
#[derive(Debug, Clone)]
pub(crate) struct Metadata {
    pub(crate) author: String,
    pub(crate) at_ms: u64,
    pub(crate) since: Instant,
}

/// What another box needs to update its record.
pub(crate) enum Update {
    /// Nothing: this box has no higher generation.
    Nothing,
    /// The complete record as JSON.
    Complete(Vec<u8>),
    /// A JSON Patch from the generation that the other box holds.
    Patch(Vec<u8>),
}

impl Current {
    pub(crate) fn generation(&self) -> ids::Generation {
        let state = self.lock();
        state
            .current
            .as_ref()
            .map_or(ids::Generation(0), |current| current.generation)
    }

    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.lock()
            .current
            .as_ref()
            .map(|current| current.document.clone())
    }

    pub(crate) fn metadata(&self) -> Option<Metadata> {
        self.lock().current.as_ref().map(|current| Metadata {
            author: current.author.clone(),
            at_ms: current.at_ms,
            since: current.since,
        })
    }

    /// The complete record as JSON.
    pub(crate) fn json(&self) -> Option<Value> {
        self.lock()
            .current
            .as_ref()
            .map(|current| current.json.clone())
    }

    /// Resolves at the next change.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Puts a record in force if its generation is higher.
    ///
    /// # Errors
    ///
    /// The bytes are not a record; the record in force stays.
    pub(crate) fn adopt(&self, bytes: &[u8]) -> Result<bool, String> {
        let json: Value = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        self.adopt_json(json)
    }

    fn adopt_json(&self, json: Value) -> Result<bool, String> {
        let record: Record =
            serde_json::from_value(json.clone()).map_err(|error| error.to_string())?;
        let mut state = self.lock();
        let held = state.current.as_ref().map(|current| current.generation);
        if held.is_some_and(|held| record.generation <= held) {
            return Ok(false);
        }
        let new = Version {
            document: Arc::new(record.document),
            json,
            author: record.author,
            at_ms: record.at_ms,
            generation: record.generation,
            since: Instant::now(),
        };
        if let Some(old) = state.current.replace(new) {
            state.earlier.push_back((old.generation, old.json));
            if state.earlier.len() > HISTORY_MAX {
                state.earlier.pop_front();
            }
        }
        drop(state);
        self.changed.notify(usize::MAX);
        log::info!("configuration in force generation={}", record.generation);
        metrics::gauge!("tidepier_configuration_generation").set(record.generation.0 as f64);
        Ok(true)
    }

    /// Applies a patch to the record in force.
    ///
    /// # Errors
    ///
    /// Another generation than `base` is in force here, or the patch does not
    /// apply. The complete record has to be fetched then.
    pub(crate) fn patch(&self, base: ids::Generation, bytes: &[u8]) -> Result<bool, String> {
        let patch: json_patch::Patch =
            serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let held = {
            let state = self.lock();
            let current = state
                .current
                .as_ref()
                .filter(|current| current.generation == base);
            current.map(|current| current.json.clone())
        };
        let mut json = held.ok_or("another generation is in force")?;
        json_patch::patch(&mut json, &patch).map_err(|error| error.to_string())?;
        self.adopt_json(json)
    }

    /// The update for a box that holds generation `held`.
    pub(crate) fn update(&self, held: ids::Generation) -> Update {
        let state = self.lock();
        let Some(current) = state
            .current
            .as_ref()
            .filter(|current| current.generation > held)
        else {
            return Update::Nothing;
        };
        let base = state
            .earlier
            .iter()
            .find(|(generation, _)| *generation == held);
        if let Some((_, json)) = base {
            let patch = json_patch::diff(json, &current.json);
            if let Ok(bytes) = serde_json::to_vec(&patch) {
                return Update::Patch(bytes);
            }
        }
        Update::Complete(current.json.to_string().into_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
