//! Which path is which class, who does its work, and the limits of the uwsgi front.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who does the work of a class, whichever front its requests come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Backend {
    /// The processor.
    Processor,
    /// The uwsgi workers.
    Workers,
}

/// Paths that begin so are requests of this class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The beginning of the path.
    pub path: String,
    /// The class, by its name in the settings.
    pub class: String,
    /// Who does its work.
    pub backend: Backend,
    /// How long a client waits that doesn't say, in milliseconds, where it differs from the file's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// The uwsgi file: the front, the workers, the routes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Uwsgi {
    /// Where uwsgi clients connect; without it there is no such front.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Where the workers accept.
    #[serde(default)]
    pub workers: Vec<SocketAddr>,
    /// How long a client waits that doesn't say, in milliseconds.
    #[serde(default = "deadline_ms")]
    pub deadline_ms: u64,
    /// The longest body.
    #[serde(default = "most_body")]
    pub most_body: usize,
    /// The longest response of a worker.
    #[serde(default = "most_response")]
    pub most_response: usize,
    /// The memory booked for a request while it is held, in KB.
    #[serde(default = "room_kb")]
    pub room_kb: f64,
    /// The routes; the longest path that fits decides.
    #[serde(default, rename = "route", skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
}

fn deadline_ms() -> u64 {
    2200
}

fn most_body() -> usize {
    16 << 10
}

fn most_response() -> usize {
    16 << 10
}

fn room_kb() -> f64 {
    24.0
}

impl Default for Uwsgi {
    fn default() -> Self {
        Uwsgi {
            listen: None,
            workers: Vec::new(),
            deadline_ms: deadline_ms(),
            most_body: most_body(),
            most_response: most_response(),
            room_kb: room_kb(),
            routes: Vec::new(),
        }
    }
}

impl Uwsgi {
    /// Reads the file's text, and holds it to what the node's memory can bear.
    pub fn read(text: &str, classes: &[String]) -> Result<Uwsgi, String> {
        let file: Uwsgi = toml::from_str(text).map_err(|e| e.to_string())?;
        if file.most_body > 32 << 10 || file.most_response > 256 << 10 {
            return Err("most_body is 32768 and most_response 262144 at most".into());
        }
        if file.deadline_ms > 3_600_000 || !(0.0..2000.0).contains(&file.room_kb) {
            return Err("deadline_ms is 3600000 at most, and room_kb under 2000".into());
        }
        for route in &file.routes {
            let others = file.routes.iter().filter(|r| r.class == route.class);
            if !classes.contains(&route.class) {
                return Err(format!("route {}: no class {}", route.path, route.class));
            }
            // A key counts once on both fronts, so all requests of a class go one way.
            if others.into_iter().any(|r| r.backend != route.backend) {
                return Err(format!("class {}: its routes name two backends", route.class));
            }
            if route.backend == Backend::Workers && file.workers.is_empty() {
                return Err(format!("route {}: no workers", route.path));
            }
        }
        Ok(file)
    }

    /// The route of a path. `/a` takes `/a` and `/a/b`, not `/ab`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let fits = |r: &&Route| {
            let rest = path.strip_prefix(r.path.trim_end_matches('/'));
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.routes.iter().filter(fits).max_by_key(|r| r.path.trim_end_matches('/').len())
    }
}
