//! A network with cuts: connections from one place to another can be closed
//! and kept from being opened again.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use smol::net::TcpStream;
use smol::Async;
use tidepier_http::dial::{Dial, Opening};
use tidepier_load::fleet::Fleet as Made;

/// A place: a hall, or the platform.
pub type Place = String;

/// The place of the platform's services.
pub const PLATFORM: &str = "platform";

#[derive(Default)]
struct State {
    cuts: BTreeSet<(Place, Place)>,
    /// Weak, so that a connection closes when its owner drops it.
    open: Vec<(Place, Place, Weak<Async<std::net::TcpStream>>)>,
}

/// The network of one test fleet.
pub struct Network {
    places: BTreeMap<SocketAddr, Place>,
    state: Mutex<State>,
}

impl Network {
    /// A whole network: boxes, engines and servers are in their halls.
    pub fn new(made: &Made) -> Arc<Self> {
        let mut places = BTreeMap::new();
        for settings in &made.boxes {
            for address in [settings.callers, settings.peers, settings.admin] {
                places.insert(address.0, settings.hall.to_string());
            }
        }
        for engine in &made.document.engines {
            places.insert(engine.address.0, engine.hall.to_string());
        }
        for server in made
            .document
            .services
            .iter()
            .flat_map(|service| &service.servers)
        {
            places.insert(server.address.0, server.hall.to_string());
        }
        for address in [made.outside.store, made.outside.boxes, made.outside.weights] {
            places.insert(address, PLATFORM.to_string());
        }
        Arc::new(Self {
            places,
            state: Mutex::default(),
        })
    }

    /// Cuts two places from each other; open connections between them close.
    pub fn cut(&self, one: &str, other: &str) {
        let mut state = self.lock();
        state.cuts.insert(pair(one, other));
        let cuts = state.cuts.clone();
        state.open.retain(|(from, to, socket)| {
            let Some(socket) = socket.upgrade() else {
                return false;
            };
            let cut = cuts.contains(&pair(from, to));
            if cut {
                let _ = socket.get_ref().shutdown(Shutdown::Both);
            }
            !cut
        });
    }

    /// Joins two places again.
    pub fn join(&self, one: &str, other: &str) {
        self.lock().cuts.remove(&pair(one, other));
    }

    fn is_cut(&self, one: &str, other: &str) -> bool {
        self.lock().cuts.contains(&pair(one, other))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn pair(one: &str, other: &str) -> (Place, Place) {
    let (low, high) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    (low.to_string(), high.to_string())
}

/// The network as seen from one place.
pub struct From {
    pub network: Arc<Network>,
    pub place: Place,
}

impl Dial for From {
    fn dial(&self, address: SocketAddr) -> Opening {
        let network = self.network.clone();
        let from = self.place.clone();
        let to = network.places.get(&address).cloned().unwrap_or_default();
        Box::pin(async move {
            if network.is_cut(&from, &to) {
                // Packets vanish: the dialler's own clock ends the attempt.
                return futures_lite::future::pending::<io::Result<TcpStream>>().await;
            }
            let stream = TcpStream::connect(address).await?;
            let socket: Arc<Async<std::net::TcpStream>> = stream.clone().into();
            network
                .lock()
                .open
                .push((from, to, Arc::downgrade(&socket)));
            Ok(stream)
        })
    }
}
