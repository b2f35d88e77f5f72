//! The weight store: hands out permits to load weights, at a limited rate.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_types::Request;
use serde_json::json;
use tidepier_http::http_types;
use tidepier_http::server::{Handler, Reply};

use crate::faults::Switches;

/// The weight store.
#[derive(Debug)]
pub struct Weights {
    interval: Duration,
    state: Mutex<State>,
    /// Faults to inject.
    pub switches: Switches,
}

#[derive(Debug, Default)]
struct State {
    last: Option<Instant>,
    given: u64,
    refused: u64,
}

impl Weights {
    /// A store that grants at most one permit per `interval`.
    pub fn new(interval: Duration) -> Arc<Self> {
        Arc::new(Self {
            interval,
            state: Mutex::default(),
            switches: Switches::default(),
        })
    }

    /// Numbers of permits granted and refused.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.given, state.refused)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn take(&self) -> Result<u64, Duration> {
        let mut state = self.lock();
        let now = Instant::now();
        let since = state.last.map(|last| now.saturating_duration_since(last));
        match since {
            Some(since) if since < self.interval => {
                state.refused += 1;
                Err(self.interval - since)
            }
            _ => {
                state.last = Some(now);
                state.given += 1;
                Ok(state.given)
            }
        }
    }
}

/// HTTP handler of a [`Weights`].
pub struct Door(pub Arc<Weights>);

impl Handler for Door {
    async fn handle(&self, _: Request) -> Reply {
        self.0.switches.pause().await;
        match self.0.take() {
            Ok(number) => Reply::json(200, &json!({ "permit": format!("permit-{number}") })),
            Err(wait) => {
                let mut reply = Reply::json(429, &json!({ "error": "rate" }));
                let seconds = wait.as_secs() + 1;
                reply
                    .response
                    .insert_header("retry-after", seconds.to_string());
                reply
            }
        }
    }
}
