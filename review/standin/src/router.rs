//! The project's router as processes of its own, started as the deploy file says, with
//! settings as its template gives them for a small deployment.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Conn};

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
}

/// What all routers of a case share.
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    /// The first of the ports between routers.
    pub peer_port: u16,
    /// The addresses of all routers, with their zones.
    pub boxes: Vec<(IpAddr, String)>,
}

impl Deployment {
    pub fn new(store: SocketAddr, boxes: Vec<(IpAddr, String)>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let is_free = |port: &u16| {
            boxes
                .iter()
                .all(|(ip, _)| TcpListener::bind((*ip, *port)).is_ok())
        };
        let mut ports = (0..50).map(|_| crate::free(boxes[0].0).port());
        let peer_port = ports.find(is_free).expect("a free port");
        Self {
            folder,
            store,
            peer_port,
            boxes,
        }
    }

    /// Starts the routers of all addresses within 0.3 s of each other.
    pub fn start_all(&self) -> Vec<Router> {
        let routers = (0..self.boxes.len()).map(|index| self.start_once(index, true));
        let mut routers: Vec<Router> = routers.collect();
        std::thread::sleep(Duration::from_millis(150));
        for (index, router) in routers.iter_mut().enumerate() {
            if !router.runs() {
                *router = self.start(index, true);
            }
        }
        routers
    }

    /// Starts the router of one of the addresses. `is_first`: the system as a whole starts for
    /// the first time.
    pub fn start(&self, index: usize, is_first: bool) -> Router {
        let mut router = self.start_once(index, is_first);
        // Another process may have taken one of its ports.
        for _ in 0..5 {
            std::thread::sleep(Duration::from_millis(100));
            if router.runs() {
                break;
            }
            router = self.start_once(index, is_first);
        }
        router
    }

    fn start_once(&self, index: usize, is_first: bool) -> Router {
        let (ip, zone) = &self.boxes[index];
        let (callers, readiness, metrics) = (crate::free(*ip), crate::free(*ip), crate::free(*ip));
        let name = format!("edge-{zone}-{}", index + 1);
        let port = self.peer_port;
        let regions = self
            .boxes
            .iter()
            .map(|(_, zone)| format!("\"{zone}\": \"region-1\""));
        let mut regions: Vec<String> = regions.collect();
        regions.dedup();
        let seeds = self
            .boxes
            .iter()
            .take(3)
            .map(|(ip, _)| format!("\"{ip}:8229\""));
        let seeds: Vec<String> = seeds.collect();
        let settings = format!(
            r#"{{
  "name": "{name}", "hall": "{zone}", "regions": {{ {} }},
  "callers": "{callers}", "readiness": "{readiness}", "metrics": "{metrics}",
  "peer_ports": [{port}, {port}], "seeds": [{}], "first_start": {is_first},
  "limits": {{ "descriptors": 4100, "link_mbps": 1000.0, "from": "platform" }},
  "store": {{ "address": "{}" }},
  "bounds": {{
    "stop_within": "8s", "apply_within": "2000ms", "revoke_within": "5000ms",
    "contact": "3000ms", "heartbeat": "1200ms", "retry_share": 0.2, "retry_window": "10s",
    "crowd_factor": 2, "retry_extra": 58, "exposure_share": 0.1,
    "rollback_within": "5000ms", "revoke_when_blind": true
  }}
}}
"#,
            regions.join(", "),
            seeds.join(", "),
            self.store,
        );
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("the settings file");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("target/release/tidepier-relay")
            .env("TIDEPIER_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("the router does not start: {error}");
            std::process::exit(2);
        });
        Router {
            name,
            callers,
            readiness,
            child,
        }
    }

    /// Removes the temporary folder.
    pub fn clean_up(&self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Router {
    /// Whether it answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut conn = Conn::open(self.readiness).ok()?;
            let host = self.readiness.to_string();
            conn.write(&http::request("GET", "/-/readyz", &[("Host", &host)], b""))
                .ok()?;
            conn.head().ok()?
        };
        ask().is_some_and(|head| head.status() == 200)
    }

    /// Waits until it is ready; `false` after half a minute.
    pub fn wait_until_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process with SIGTERM, and kills it if it still runs after the grace period.
    pub fn stop(&mut self, grace_period: Duration) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let start = Instant::now();
        while self.runs() && start.elapsed() < grace_period {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
