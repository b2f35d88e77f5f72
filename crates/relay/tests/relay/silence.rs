//! A hall that goes silent while it streams.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::ensure;
use futures_lite::FutureExt;
use smol::Timer;
use tidepier_core::server::State;
use tidepier_relay::fleet::{Backend, Running};
use tidepier_relay::hall;
use tidepier_relay::relay::Relay;

use crate::desk::server;
use crate::house::{ms, run, Result};
use crate::told::relay;

/// Time in which a silent hall is found.
const FOUND_TIME: Duration = Duration::from_millis(450);

/// Servers 1 and 3 in `hall-2`, 0 and 2 in `hall-1`, each with two streams.
struct Scene {
    relay: Rc<Relay>,
    servers: Vec<Rc<Backend>>,
    _streams: Vec<Running>,
}

impl Scene {
    fn new(numbers: &[u16]) -> Result<Self> {
        let relay = relay()?;
        let mut servers = Vec::new();
        for number in numbers {
            let server = server(*number, State::Ready)?;
            let id = server.id.clone();
            relay.fleet.announce(server);
            servers.extend(relay.fleet.get(&id));
        }
        let both = servers.iter().flat_map(|server| [server, server]);
        let streams: Vec<Running> = both.map(|server| server.run(0)).collect();
        streams.iter().for_each(Running::streams);
        Ok(Self {
            relay,
            servers,
            _streams: streams,
        })
    }

    /// Lets these servers be heard for a while, as streams of 5 ms are.
    async fn heard(&self, numbers: &[u16], time: Duration) -> Result {
        let start = Instant::now();
        while start.elapsed() < time {
            let id = |number: &u16| format!("i-{number}");
            let ids: Vec<String> = numbers.iter().map(id).collect();
            let heard = self.servers.iter();
            let heard = heard.filter(|it| ids.contains(&it.server.id.to_string()));
            heard.for_each(|server| server.hear());
            Timer::after(ms(5)).await;
        }
        Ok(())
    }

    /// Whether the hall of server `number` counts as silent.
    fn is_silent(&self, number: u16) -> bool {
        let id = format!("i-{number}");
        let mut servers = self.servers.iter();
        let found = servers.find(|it| it.server.id.as_str() == id);
        found.is_some_and(|it| it.hall.is_silent(Instant::now()))
    }

    /// Runs a part of a test beside the task that looks for silent halls.
    async fn beside_watch(&self, part: impl std::future::Future<Output = Result>) -> Result {
        let watch = async {
            hall::watch(self.relay.clone()).await;
            Ok(())
        };
        part.or(watch).await
    }
}

#[test]
fn a_hall_that_falls_silent_while_others_are_heard_is_found() -> Result {
    run(async |_| {
        let scene = Scene::new(&[0, 1, 2, 3])?;
        let part = async {
            scene.heard(&[0, 1, 2, 3], ms(500)).await?;
            ensure!(
                !scene.is_silent(1) && !scene.is_silent(0),
                "found too early"
            );
            scene.heard(&[0, 2], FOUND_TIME).await?;
            ensure!(scene.is_silent(1), "not found");
            ensure!(!scene.is_silent(0), "the wrong one found");
            // It is heard again.
            scene.heard(&[0, 1, 2], ms(200)).await?;
            ensure!(!scene.is_silent(1), "still avoided");
            Ok(())
        };
        scene.beside_watch(part).await
    })
}

#[test]
fn what_one_server_or_this_box_itself_does_is_no_silence_of_a_hall() -> Result {
    run(async |_| {
        // Only one server streams there.
        let scene = Scene::new(&[0, 1, 2])?;
        let part = async {
            scene.heard(&[0, 1, 2], ms(300)).await?;
            scene.heard(&[0, 2], FOUND_TIME).await?;
            ensure!(!scene.is_silent(1), "one server hung");
            Ok(())
        };
        scene.beside_watch(part).await?;
        // One of two is heard on.
        let scene = Scene::new(&[0, 1, 2, 3])?;
        let part = async {
            scene.heard(&[0, 1, 2, 3], ms(300)).await?;
            scene.heard(&[0, 1, 2], FOUND_TIME).await?;
            ensure!(!scene.is_silent(3), "the other one is heard");
            // Nothing comes from anywhere: this box is cut off.
            Timer::after(FOUND_TIME).await;
            ensure!(
                !scene.is_silent(1) && !scene.is_silent(0),
                "all found silent"
            );
            Ok(())
        };
        scene.beside_watch(part).await
    })
}
