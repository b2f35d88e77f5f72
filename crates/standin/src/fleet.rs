//! All stand-ins of a fleet, started from one settings file.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::Task;
use tidepier_ids as ids;
use tidepier_store::boxes::List;

use crate::boxes::{self, Boxes};
use crate::engine::{self, Caches, Engine};
use crate::faults::Switches;
use crate::group::Group;
use crate::part::Part;
use crate::service::{self, Service};
use crate::settings::Settings;
use crate::store::{self, Store};
use crate::weights::{self, Weights};

/// A model engine with its listener and its batch loop.
pub struct EnginePart {
    /// The listener.
    pub part: Part<engine::Door>,
    loop_task: Mutex<Option<Task<()>>>,
}

impl EnginePart {
    /// The engine that the listener serves.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.part.handler().0
    }

    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(&self) -> io::Result<()> {
        self.part.start()?;
        let mut task = self.loop_task.lock().unwrap_or_else(|e| e.into_inner());
        if task.is_none() {
            *task = Some(smol::spawn(self.engine().clone().run()));
        }
        Ok(())
    }

    /// Kills the engine, which loses its requests and its cache.
    pub fn kill(&self) {
        self.part.kill();
        self.loop_task
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .take();
        self.engine().reset();
    }
}

/// A server of a service.
pub struct ServicePart {
    /// The listener.
    pub part: Part<service::Door>,
    /// Faults to inject.
    pub switches: Arc<Switches>,
}

/// The stand-ins for everything outside tidepier.
pub struct Fleet {
    /// The store.
    pub store: Part<store::Door>,
    /// The box list.
    pub boxes: Part<boxes::Door>,
    /// The weight store.
    pub weights: Part<weights::Door>,
    /// The engines.
    pub engines: BTreeMap<ids::Engine, EnginePart>,
    /// Servers by service.
    pub servers: BTreeMap<ids::Service, Vec<ServicePart>>,
    /// Services by name.
    pub services: BTreeMap<ids::Service, Arc<Service>>,
    /// Groups by model and hall.
    pub groups: BTreeMap<(ids::Model, ids::Hall), Arc<Group>>,
    /// All engines of a model.
    pub models: BTreeMap<ids::Model, Arc<Group>>,
    _sampling: Vec<Task<()>>,
}

impl Fleet {
    /// Starts every part.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn start(settings: &Settings) -> io::Result<Self> {
        let document = &settings.document;
        let list = List {
            boxes: settings.list.clone(),
        };
        let permit = Duration::from_millis(settings.permit_ms);
        let mut fleet = Self {
            store: Part::new(settings.store, Arc::new(store::Door(Store::new()))),
            boxes: Part::new(settings.boxes, Arc::new(boxes::Door(Boxes::new(list)))),
            weights: Part::new(
                settings.weights,
                Arc::new(weights::Door(Weights::new(permit))),
            ),
            engines: BTreeMap::new(),
            servers: BTreeMap::new(),
            services: BTreeMap::new(),
            groups: BTreeMap::new(),
            models: BTreeMap::new(),
            _sampling: Vec::new(),
        };
        fleet.store.start()?;
        fleet.boxes.start()?;
        fleet.weights.start()?;
        let mut caches: BTreeMap<ids::Model, Arc<Caches>> = BTreeMap::new();
        for engine in &document.engines {
            let caches = caches.entry(engine.model.clone()).or_default().clone();
            let whole = fleet.models.entry(engine.model.clone());
            let whole = whole
                .or_insert_with(|| Group::new(document.load.clone()))
                .clone();
            let key = (engine.model.clone(), engine.hall.clone());
            let group = fleet.groups.entry(key);
            let group = group
                .or_insert_with(|| Group::new(document.load.clone()))
                .clone();
            let name = engine.name.clone();
            let spec = settings.engine.clone();
            let made = Engine::new(name.clone(), spec, engine.checks_fencing, group, caches);
            whole.join(made.gauge());
            let part = EnginePart {
                part: Part::new(engine.address.0, Arc::new(engine::Door(made))),
                loop_task: Mutex::new(None),
            };
            part.start()?;
            fleet.engines.insert(name, part);
        }
        fleet.start_services(settings)?;
        let sampling = fleet
            .groups
            .values()
            .chain(fleet.models.values())
            .map(|group| smol::spawn(group.clone().sample()));
        fleet._sampling = sampling.collect();
        Ok(fleet)
    }

    fn start_services(&mut self, settings: &Settings) -> io::Result<()> {
        for declared in &settings.document.services {
            let service = Service::new(Duration::from_millis(settings.service_ms));
            let mut servers = Vec::new();
            for server in &declared.servers {
                let switches = Arc::new(Switches::default());
                let door = service::Door {
                    service: service.clone(),
                    switches: switches.clone(),
                };
                let part = Part::new(server.address.0, Arc::new(door));
                part.start()?;
                servers.push(ServicePart { part, switches });
            }
            self.services.insert(declared.name.clone(), service);
            self.servers.insert(declared.name.clone(), servers);
        }
        Ok(())
    }

    /// The store's data and faults.
    pub fn store(&self) -> &Arc<Store> {
        &self.store.handler().0
    }

    /// The box list's data and faults.
    pub fn boxes(&self) -> &Arc<Boxes> {
        &self.boxes.handler().0
    }

    /// The weight store's data and faults.
    pub fn weights(&self) -> &Arc<Weights> {
        &self.weights.handler().0
    }
}
