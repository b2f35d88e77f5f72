//! A plain service that counts how often each request id was executed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::Request;
use serde_json::{json, Value};
use smol::Timer;
use tidepier_http::body;
use tidepier_http::http_types;
use tidepier_http::server::{Handler, Reply};

use crate::faults::{Counted, Switches};

/// A service; several servers may share one.
#[derive(Debug, Default)]
pub struct Service {
    runs: Mutex<BTreeMap<String, u64>>,
    work: Duration,
}

impl Service {
    /// A service whose calls take `work`.
    pub fn new(work: Duration) -> Arc<Self> {
        Arc::new(Self {
            runs: Mutex::default(),
            work,
        })
    }

    /// How often each request id was executed.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn run(&self, id: &str) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        let count = runs.entry(id.into()).or_default();
        *count += 1;
        *count
    }
}

/// HTTP handler of one server of a service.
pub struct Door {
    /// The service.
    pub service: Arc<Service>,
    /// Faults to inject in this server.
    pub switches: Arc<Switches>,
}

impl Handler for Door {
    async fn handle(&self, mut request: Request) -> Reply {
        let read = body::read(&mut request, 4 << 20, Duration::from_secs(10)).await;
        let body = match read {
            Ok(bytes) => serde_json::from_slice::<Value>(&bytes).unwrap_or(Value::Null),
            Err(fault) => return Reply::fault(&fault),
        };
        self.switches.pause().await;
        if self.switches.consume(Counted::Refuse) {
            return Reply::text(503, "refused by switch".into());
        }
        let id = body["id"].as_str().unwrap_or("").to_string();
        let count = self.service.run(&id);
        Timer::after(self.service.work).await;
        self.switches.wait_while_frozen().await;
        if self.switches.consume(Counted::DropReply) {
            return futures_lite::future::pending().await;
        }
        let path = request.url().path().to_string();
        Reply::json(200, &json!({ "id": id, "path": path, "run": count }))
    }
}
