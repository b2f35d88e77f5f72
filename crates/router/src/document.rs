//! The fleet document in force at this box, and the differences by which
//! other boxes catch up.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use event_listener::{Event, EventListener};
use serde_json::Value;
use tidepier_clock::Instant;
use tidepier_config::document::{Document, Record};
use tidepier_ids as ids;

/// Earlier records kept to make differences from.
const HISTORY: usize = 8;

struct InForce {
    document: Arc<Document>,
    json: Value,
    author: String,
    at_ms: u64,
    generation: ids::Generation,
    since: Instant,
}

#[derive(Default)]
struct State {
    now: Option<InForce>,
    earlier: VecDeque<(ids::Generation, Value)>,
}

/// The document in force. Its generation only grows.
#[derive(Default)]
pub(crate) struct Current {
    state: Mutex<State>,
    changed: Event,
}

/// What is known of the document in force without its body.
#[derive(Debug, Clone)]
pub(crate) struct About {
    pub(crate) author: String,
    pub(crate) at_ms: u64,
    pub(crate) since: Instant,
}

/// How another box catches up.
pub(crate) enum Update {
    /// Nothing newer here.
    Nothing,
    /// The whole record as JSON.
    Whole(Vec<u8>),
    /// A JSON Patch from the generation that it holds.
    Patch(Vec<u8>),
}

impl Current {
    pub(crate) fn generation(&self) -> ids::Generation {
        let state = self.lock();
        state
            .now
            .as_ref()
            .map_or(ids::Generation(0), |now| now.generation)
    }

    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.lock().now.as_ref().map(|now| now.document.clone())
    }

    pub(crate) fn about(&self) -> Option<About> {
        self.lock().now.as_ref().map(|now| About {
            author: now.author.clone(),
            at_ms: now.at_ms,
            since: now.since,
        })
    }

    /// The whole record as JSON.
    pub(crate) fn json(&self) -> Option<Value> {
        self.lock().now.as_ref().map(|now| now.json.clone())
    }

    /// Resolves at the next change.
    pub(crate) fn changes(&self) -> EventListener {
        self.changed.listen()
    }

    /// Puts a record in force if its generation is higher.
    ///
    /// # Errors
    ///
    /// The bytes are not a record; what is in force stays.
    pub(crate) fn adopt(&self, bytes: &[u8]) -> Result<bool, String> {
        let json: Value = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        self.adopt_json(json)
    }

    fn adopt_json(&self, json: Value) -> Result<bool, String> {
        let record: Record =
            serde_json::from_value(json.clone()).map_err(|error| error.to_string())?;
        let mut state = self.lock();
        let held = state.now.as_ref().map(|now| now.generation);
        if held.is_some_and(|held| record.generation <= held) {
            return Ok(false);
        }
        let fresh = InForce {
            document: Arc::new(record.document),
            json,
            author: record.author,
            at_ms: record.at_ms,
            generation: record.generation,
            since: Instant::now(),
        };
        if let Some(old) = state.now.replace(fresh) {
            state.earlier.push_back((old.generation, old.json));
            if state.earlier.len() > HISTORY {
                state.earlier.pop_front();
            }
        }
        drop(state);
        self.changed.notify(usize::MAX);
        log::info!("configuration in force generation={}", record.generation);
        metrics::gauge!("tidepier_configuration_generation").set(record.generation.0 as f64);
        Ok(true)
    }

    /// Applies a difference to the record in force.
    ///
    /// # Errors
    ///
    /// Another generation is in force here, or the difference does not apply:
    /// the whole record has to be fetched.
    pub(crate) fn patch(&self, base: ids::Generation, bytes: &[u8]) -> Result<bool, String> {
        let patch: json_patch::Patch =
            serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let held = {
            let state = self.lock();
            let now = state.now.as_ref().filter(|now| now.generation == base);
            now.map(|now| now.json.clone())
        };
        let mut json = held.ok_or("another generation is in force")?;
        json_patch::patch(&mut json, &patch).map_err(|error| error.to_string())?;
        self.adopt_json(json)
    }

    /// What a box that holds `held` needs.
    pub(crate) fn update(&self, held: ids::Generation) -> Update {
        let state = self.lock();
        let Some(now) = state.now.as_ref().filter(|now| now.generation > held) else {
            return Update::Nothing;
        };
        let base = state
            .earlier
            .iter()
            .find(|(generation, _)| *generation == held);
        if let Some((_, json)) = base {
            let patch = json_patch::diff(json, &now.json);
            if let Ok(bytes) = serde_json::to_vec(&patch) {
                return Update::Patch(bytes);
            }
        }
        Update::Whole(now.json.to_string().into_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
