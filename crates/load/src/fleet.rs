//! Generates the files of a fleet for examples, tests and measurement: the
//! document, the settings of each box, and those of the stand-ins.

use std::net::{Ipv4Addr, SocketAddr};

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidepier_config::document::{
    Account, Document, Engine, Load, Model, Policy, Priority, Returning, Server, Service, State,
};
use tidepier_config::key::{Hash, Secret};
use tidepier_config::settings::{Address, Platform, Settings, Tuning};
use tidepier_ids as ids;
use tidepier_standin::engine::Spec;
use tidepier_standin::Settings as Outside;
use tidepier_store::boxes::{Entry, State as BoxState};

/// The operator key of generated fleets.
pub const OPERATOR_KEY: &str = "operator-example-key";

/// Which user a made fleet is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum User {
    /// Safi Linen Trust.
    Safi,
    /// The Cámara.
    Camara,
}

/// The size of a fleet.
#[derive(Debug, Clone, clap::Args)]
pub struct Size {
    /// The user whose names are used.
    #[arg(long, value_enum, default_value = "safi")]
    pub user: User,
    /// Entry boxes, spread over the halls.
    #[arg(long, default_value_t = 6)]
    pub boxes: u16,
    /// Engines, spread over the halls.
    #[arg(long, default_value_t = 40)]
    pub engines: u16,
    /// Data halls.
    #[arg(long, default_value_t = 3)]
    pub halls: u16,
    /// Client accounts.
    #[arg(long, default_value_t = 10)]
    pub accounts: u16,
    /// First of the ports used.
    #[arg(long, default_value_t = 20_000)]
    pub port: u16,
    /// How engines are chosen.
    #[arg(long, value_parser = policy, default_value = "tidepier")]
    pub policy: Policy,
    /// Tokens of each engine's prefix cache.
    #[arg(long, default_value_t = 200_000)]
    pub cache_tokens: u64,
}

fn policy(text: &str) -> Result<Policy, String> {
    serde_json::from_value(serde_json::Value::String(text.into())).map_err(|e| e.to_string())
}

/// A generated fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The fleet document.
    pub document: Document,
    /// The settings of each box.
    pub boxes: Vec<Settings>,
    /// The settings of the stand-ins.
    pub outside: Outside,
}

struct Names {
    fleet: &'static str,
    halls: [&'static str; 3],
    model: &'static str,
    service: &'static str,
    call: &'static str,
    accounts: [&'static str; 10],
}

const SAFI: Names = Names {
    fleet: "safi",
    halls: ["industrial-area", "embakasi", "westlands"],
    model: "linen",
    service: "billing",
    call: "drafts",
    accounts: [
        "pwani-hotels",
        "nairobi-stays",
        "diani-rooms",
        "malindi-inn",
        "kilimani-suites",
        "housekeeping",
        "drivers",
        "damage-desk",
        "washers",
        "back-office",
    ],
};

const CAMARA: Names = Names {
    fleet: "camara",
    halls: ["nave-cordon", "nave-pocitos", "nave-aguada"],
    model: "assistant",
    service: "metadata",
    call: "publish-checks",
    accounts: [
        "maintainers",
        "search",
        "schools",
        "ministry",
        "newcomers",
        "mirror-sync",
        "security-review",
        "registry-web",
        "ci-users",
        "statistics",
    ],
};

/// The bearer key of an account of a generated fleet.
pub fn key_of(account: &str) -> String {
    format!("{account}-example-key")
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("made names are valid")
}

fn secret(seed: u64) -> Secret {
    // From a fixed seed, so that examples are the same each time; real keys come
    // from `tidepier keys`.
    let mut bytes = [0; 32];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    Secret::new(bytes)
}

fn local(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

impl Fleet {
    /// Generates a fleet of the given size.
    pub fn new(size: &Size) -> Self {
        let names = match size.user {
            User::Safi => &SAFI,
            User::Camara => &CAMARA,
        };
        let halls = halls(names, size.halls);
        let document = document(names, size, &halls);
        let boxes = boxes(names, size, &halls);
        let outside = outside(size, &boxes, &document);
        Self {
            document,
            boxes,
            outside,
        }
    }

    /// Addresses to which callers connect.
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.boxes
            .iter()
            .map(|settings| settings.callers.0)
            .collect()
    }
}

fn halls(names: &Names, count: u16) -> Vec<ids::Hall> {
    let named = names.halls.iter().map(|hall| name(hall));
    let more = (3..count).map(|index| name(&format!("hall-{index}")));
    named.chain(more).take(usize::from(count)).collect()
}

fn document(names: &Names, size: &Size, halls: &[ids::Hall]) -> Document {
    let model: ids::Model = name(names.model);
    let service: ids::Service = name(names.service);
    let engine = |index: u16| Engine {
        name: name(&format!("{}-{index:02}", names.model)),
        hall: halls[usize::from(index) % halls.len()].clone(),
        address: Address(local(size.port + 500 + index)),
        model: model.clone(),
        state: State::Active,
        // One server in four ignores fencing numbers.
        checks_fencing: index % 4 != 3,
    };
    let server = |index: u16| Server {
        hall: halls[usize::from(index) % halls.len()].clone(),
        address: Address(local(size.port + 400 + index)),
    };
    Document {
        fleet: name(names.fleet),
        halls: halls.to_vec(),
        models: vec![Model {
            name: model.clone(),
            version: "2026-11".into(),
            adapters: vec!["notes".into()],
        }],
        engines: (0..size.engines).map(engine).collect(),
        services: vec![Service {
            name: service.clone(),
            servers: (0..3).map(server).collect(),
            not_repeatable: vec![names.call.into()],
        }],
        accounts: accounts(names, size, &model, &service),
        load: Load::default(),
        returning: Returning {
            policy: size.policy,
            ..Returning::default()
        },
        old: Vec::new(),
    }
}

fn accounts(
    names: &Names,
    size: &Size,
    model: &ids::Model,
    service: &ids::Service,
) -> Vec<Account> {
    let account = |index: u16| {
        let text = match names.accounts.get(usize::from(index)) {
            Some(named) => (*named).to_string(),
            None => format!("account-{index}"),
        };
        let priority = match index % 5 {
            0 => Priority::Interactive,
            4 => Priority::Batch,
            _ => Priority::Normal,
        };
        Account {
            key_sha256: vec![Hash::of(&key_of(&text))],
            name: name(&text),
            models: vec![model.clone()],
            services: vec![service.clone()],
            priority,
            share: if index < 3 { 4 } else { 1 },
        }
    };
    (0..size.accounts).map(account).collect()
}

fn boxes(names: &Names, size: &Size, halls: &[ids::Hall]) -> Vec<Settings> {
    let made = |index: u16| {
        let hall = halls[usize::from(index) % halls.len()].clone();
        Settings {
            fleet: name(names.fleet),
            name: name(&format!("{hall}-{}", index / halls.len() as u16 + 1)),
            hall,
            callers: Address(local(size.port + 10 + index)),
            peers: Address(local(size.port + 110 + index)),
            admin: Address(local(size.port + 210 + index)),
            platform: Platform {
                store: Address(local(size.port + 1)),
                boxes: Address(local(size.port + 2)),
                weights: Address(local(size.port + 3)),
            },
            link_keys: vec![secret(1)],
            seal_keys: vec![secret(2)],
            operator_keys: vec![Hash::of(OPERATOR_KEY)],
            tuning: Tuning::default(),
        }
    };
    (0..size.boxes).map(made).collect()
}

fn outside(size: &Size, boxes: &[Settings], document: &Document) -> Outside {
    let entry = |settings: &Settings| Entry {
        name: settings.name.clone(),
        hall: settings.hall.clone(),
        peers: settings.peers.0,
        admin: settings.admin.0,
        state: BoxState::Live,
    };
    Outside {
        store: local(size.port + 1),
        boxes: local(size.port + 2),
        weights: local(size.port + 3),
        admin: local(size.port + 4),
        list: boxes.iter().map(entry).collect(),
        document: document.clone(),
        engine: Spec {
            cache_tokens: size.cache_tokens,
            ..Spec::default()
        },
        service_ms: 5,
        permit_ms: 200,
    }
}
