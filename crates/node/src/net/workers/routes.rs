//! Which path is which class, who does its work, and the limits of the uwsgi front.

use pipitlever_load_balancing::pool::Member;
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
#[derive(Clone, Debug, Serialize)]
pub struct Route {
    /// The beginning of the path.
    pub path: String,
    /// The class, by its name in the settings.
    pub class: String,
    /// Who does its work.
    pub backend: Backend,
    /// The pool of workers; the one of `workers` where none is named.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Tries with one key go to the same worker while it is well.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub sticky: bool,
    /// How long a client waits that doesn't say, in milliseconds, where it differs from the file's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// What a worker is called, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLabel {
    /// Its name; its address, where the file gives none.
    pub name: String,
    /// Its zone; may be empty.
    pub zone: String,
}

/// How the nodes of a fleet divide a pool among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSettings {
    /// About so many of its workers each node uses.
    pub subset: usize,
}

/// How long-lived sessions stay with their workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// The variable of a request's packet that names its session.
    pub variable: String,
    /// A session that nobody wanted for so many seconds is forgotten.
    pub idle_s: u32,
    /// A worker that fails keeps its sessions for so long, in microseconds.
    pub patience: i64,
    /// One that drains does for so long, in microseconds.
    pub linger: i64,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolSettings {
    /// Its name; none for the one of `workers`.
    pub name: String,
    /// The pool whose turn it is when nobody of this one can take a run, by position.
    pub fallback: Option<usize>,
    /// Its members.
    pub members: Vec<Member<SocketAddr>>,
    /// What each of them is called; none where the pool has no name.
    pub labels: Vec<WorkerLabel>,
    /// Whether the nodes of the fleet divide it among themselves.
    pub shared: Option<SubsetSettings>,
    /// What it was called before, the oldest first.
    pub was: Vec<String>,
    /// Whether sessions stay with its workers.
    pub sessions: Option<SessionSettings>,
}

/// The front, the workers, the routes.
#[derive(Clone, Debug, Serialize)]
pub struct Uwsgi {
    /// Where uwsgi clients connect; without it there is no such front.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Where the workers accept that are all alike.
    pub workers: Vec<SocketAddr>,
    /// Those of which more is said.
    #[serde(skip)]
    pub special: Vec<Member<SocketAddr>>,
    /// Pools with a name.
    #[serde(skip)]
    pub named: Vec<PoolSettings>,
    /// How long a client waits that doesn't say, in milliseconds.
    pub deadline_ms: u64,
    /// The longest body.
    pub most_body: usize,
    /// The longest response of a worker.
    pub most_response: usize,
    /// The memory booked for a request while it is held, in KB.
    pub room_kb: f64,
    /// The routes; the longest path that fits decides.
    #[serde(rename = "route", skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
}

impl Default for Uwsgi {
    fn default() -> Self {
        Uwsgi {
            listen: None,
            workers: Vec::new(),
            special: Vec::new(),
            named: Vec::new(),
            deadline_ms: 2200,
            most_body: 16 << 10,
            most_response: 16 << 10,
            room_kb: 24.0,
            routes: Vec::new(),
        }
    }
}

impl Uwsgi {
    /// All workers, as members of a pool.
    pub fn members(&self) -> Vec<Member<SocketAddr>> {
        self.workers
            .iter()
            .copied()
            .map(Member::new)
            .chain(self.special.iter().cloned())
            .collect()
    }

    /// All pools: first that of `workers`, then those with a name.
    pub fn pools(&self) -> Vec<PoolSettings> {
        let members = self.members();
        let first = PoolSettings {
            members,
            ..PoolSettings::default()
        };
        std::iter::once(first)
            .chain(self.named.iter().cloned())
            .collect()
    }

    /// The pool of a route, by position among all pools.
    pub fn pool(&self, route: &Route) -> usize {
        let name = route.pool.as_deref().unwrap_or_default();
        self.pools()
            .iter()
            .position(|p| p.name == name)
            .unwrap_or_default()
    }

    /// The route of a path. `/a` takes `/a` and `/a/b`, not `/ab`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let fits = |r: &&Route| {
            let rest = path.strip_prefix(r.path.trim_end_matches('/'));
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.routes
            .iter()
            .filter(fits)
            .max_by_key(|r| r.path.trim_end_matches('/').len())
    }
}
