//! The admin port: injects faults, kills and starts parts, and shows what was
//! measured.
//!
//! * `PUT /faults/PART` with a JSON [`Faults`]; `PART` is `store`, `boxes`,
//!   `engine/NAME` or `service/NAME/INDEX`.
//! * `POST /kill/PART`, `POST /start/PART`.
//! * `PUT /boxes?lag_ms=N` with a list; `PUT /boxes/READER` for one reader.
//! * `GET /measured`: groups, store calls and service runs since the last call.

use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Request};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use tidepier_errors::{Fault, Kind};
use tidepier_http::body;
use tidepier_http::http_types;
use tidepier_http::server::{Handler, Reply};

use crate::faults::Faults;
use crate::fleet::Fleet;

/// HTTP handler of the admin port of a [`Fleet`].
pub struct Door(pub Arc<Fleet>);

impl Handler for Door {
    async fn handle(&self, mut request: Request) -> Reply {
        let read = body::read(&mut request, 1 << 20, Duration::from_secs(5)).await;
        let path = request.url().path().to_string();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let lag = request
            .url()
            .query_pairs()
            .find(|(name, _)| name == "lag_ms");
        let lag = lag.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        let done = read.and_then(|bytes| match (request.method(), parts.as_slice()) {
            (Method::Put, ["faults", part @ ..]) => self.fault(part, parse(&bytes)?),
            (Method::Post, ["kill", part @ ..]) => self.kill(part, true),
            (Method::Post, ["start", part @ ..]) => self.kill(part, false),
            (Method::Put, ["boxes"]) => {
                self.0
                    .boxes()
                    .set(parse(&bytes)?, Duration::from_millis(lag));
                Ok(json!({}))
            }
            (Method::Put, ["boxes", reader]) => {
                self.0.boxes().set_for(reader, parse(&bytes)?);
                Ok(json!({}))
            }
            (Method::Get, ["measured"]) => Ok(self.measured()),
            _ => Err(unknown(&path)),
        });
        match done {
            Ok(value) => Reply::json(200, &value),
            Err(fault) => Reply::fault(&fault),
        }
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(bytes).map_err(|error| Fault::new(Kind::BadRequest, error.to_string()))
}

fn unknown(what: &str) -> Fault {
    Fault::new(Kind::NotFound, format!("no part {what}"))
}

impl Door {
    fn fault(&self, part: &[&str], faults: Faults) -> Result<Value, Fault> {
        let fleet = &self.0;
        match part {
            ["store"] => fleet.store().switches.set(faults),
            ["boxes"] => fleet.boxes().switches.set(faults),
            ["weights"] => fleet.weights().switches.set(faults),
            ["engine", name] => {
                let name = name.parse().map_err(|_| unknown(name))?;
                let engine = fleet
                    .engines
                    .get(&name)
                    .ok_or_else(|| unknown(name.as_str()))?;
                engine.engine().switches.set(faults);
            }
            ["service", name, index] => {
                let name = name.parse().map_err(|_| unknown(name))?;
                let index: usize = index.parse().map_err(|_| unknown(index))?;
                let servers = fleet
                    .servers
                    .get(&name)
                    .ok_or_else(|| unknown(name.as_str()))?;
                let server = servers.get(index).ok_or_else(|| unknown("server"))?;
                server.switches.set(faults);
            }
            other => return Err(unknown(&other.join("/"))),
        }
        Ok(json!({}))
    }

    fn kill(&self, part: &[&str], kill: bool) -> Result<Value, Fault> {
        let fleet = &self.0;
        let failed = |error: std::io::Error| Fault::new(Kind::Internal, error.to_string());
        match part {
            ["store"] if kill => fleet.store.kill(),
            ["store"] => fleet.store.start().map_err(failed)?,
            ["boxes"] if kill => fleet.boxes.kill(),
            ["boxes"] => fleet.boxes.start().map_err(failed)?,
            ["engine", name] => {
                let name = name.parse().map_err(|_| unknown(name))?;
                let engine = fleet
                    .engines
                    .get(&name)
                    .ok_or_else(|| unknown(name.as_str()))?;
                match kill {
                    true => engine.kill(),
                    false => engine.start().map_err(failed)?,
                }
            }
            other => return Err(unknown(&other.join("/"))),
        }
        Ok(json!({}))
    }

    fn measured(&self) -> Value {
        let fleet = &self.0;
        let groups: Vec<Value> = fleet
            .groups
            .iter()
            .map(|((model, hall), group)| json!({ "model": model, "hall": hall, "seen": group.take() }))
            .collect();
        let services: Vec<Value> = fleet
            .services
            .iter()
            .map(|(name, service)| json!({ "service": name, "runs": service.runs() }))
            .collect();
        let started: u64 = fleet
            .engines
            .values()
            .map(|part| {
                part.engine()
                    .started
                    .load(std::sync::atomic::Ordering::SeqCst)
            })
            .sum();
        let models: Vec<Value> = fleet
            .models
            .iter()
            .map(|(model, group)| json!({ "model": model, "seen": group.take() }))
            .collect();
        json!({
            "models": models,
            "groups": groups,
            "services": services,
            "store": fleet.store().counts(),
            "started": started,
        })
    }
}
