//! Settings of the uwsgi front end: routes from paths to classes, and pools of workers.

use pipitlever_load_balancing::pool::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The backend that runs the requests of a class, on whichever front end they arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Backend {
    /// The processor.
    Processor,
    /// The uwsgi workers.
    Workers,
}

/// A path prefix and the class of its requests.
#[derive(Clone, Debug, Serialize)]
pub struct Route {
    /// The prefix.
    pub path: String,
    /// Name of the class.
    pub class: String,
    /// The backend of the class.
    pub backend: Backend,
    /// Name of the pool of workers; the unnamed pool if none is given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Whether attempts with the same idempotency key go to the same worker while it is healthy.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub sticky: bool,
    /// Timeout of requests that carry none, in milliseconds, if it differs from that of
    /// [`UwsgiSettings`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// Name and zone of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLabel {
    /// Name of the worker; its address if none is configured.
    pub name: String,
    /// Zone of the worker; may be empty.
    pub zone: String,
}

/// Settings of subsetting: how the nodes of a fleet divide a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSettings {
    /// Number of workers that each node uses, approximately.
    pub subset_size: usize,
}

/// Settings of session affinity: how long sessions stay with their workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// Variable of the uwsgi packet that contains the session's id.
    pub variable: String,
    /// Time without a request after which a session is dropped, in seconds.
    pub idle_timeout_seconds: u32,
    /// Time for which a failing worker keeps its sessions, in microseconds.
    pub failure_grace: i64,
    /// Time for which a draining worker keeps its sessions, in microseconds.
    pub drain_grace: i64,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolSettings {
    /// Name of the pool; empty for the pool of `[uwsgi]`.
    pub name: String,
    /// Index of the fallback pool, which is used when no member of this pool is available.
    pub fallback: Option<usize>,
    /// Members of the pool.
    pub members: Vec<Member<SocketAddr>>,
    /// Labels of the members, in the same order; empty if the pool has no name.
    pub labels: Vec<WorkerLabel>,
    /// Subsetting, if the nodes of the fleet divide the pool.
    pub subsetting: Option<SubsetSettings>,
    /// Earlier names of the pool, the oldest first.
    pub previous_names: Vec<String>,
    /// Session affinity, if the pool has it.
    pub sessions: Option<SessionSettings>,
}

/// The uwsgi front end, the workers and the routes.
#[derive(Clone, Debug, Serialize)]
pub struct UwsgiSettings {
    /// Address of the front end; none if there is no uwsgi front end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Addresses of workers with default settings.
    pub workers: Vec<SocketAddr>,
    /// Workers with individual settings.
    #[serde(skip)]
    pub configured_workers: Vec<Member<SocketAddr>>,
    /// Named pools.
    #[serde(skip)]
    pub named_pools: Vec<PoolSettings>,
    /// Timeout of requests that carry none, in milliseconds.
    pub deadline_ms: u64,
    /// Longest body, in bytes.
    #[serde(rename = "most_body")]
    pub max_body_bytes: usize,
    /// Longest response of a worker, in bytes.
    #[serde(rename = "most_response")]
    pub max_response_bytes: usize,
    /// Memory that is reserved for a request, in KB.
    #[serde(rename = "room_kb")]
    pub reserved_memory_kb: f64,
    /// The routes; the longest matching prefix decides.
    #[serde(rename = "route", skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
}

impl Default for UwsgiSettings {
    fn default() -> Self {
        UwsgiSettings {
            listen: None,
            workers: Vec::new(),
            configured_workers: Vec::new(),
            named_pools: Vec::new(),
            deadline_ms: 2200,
            max_body_bytes: 16 << 10,
            max_response_bytes: 16 << 10,
            reserved_memory_kb: 24.0,
            routes: Vec::new(),
        }
    }
}

impl UwsgiSettings {
    /// The members of the unnamed pool.
    pub fn members(&self) -> Vec<Member<SocketAddr>> {
        self.workers
            .iter()
            .copied()
            .map(Member::new)
            .chain(self.configured_workers.iter().cloned())
            .collect()
    }

    /// All pools: the unnamed one, then the named ones.
    pub fn pools(&self) -> Vec<PoolSettings> {
        let members = self.members();
        let first = PoolSettings {
            members,
            ..PoolSettings::default()
        };
        std::iter::once(first)
            .chain(self.named_pools.iter().cloned())
            .collect()
    }

    /// The index of a route's pool.
    pub fn pool_index(&self, route: &Route) -> usize {
        let name = route.pool.as_deref().unwrap_or_default();
        self.pools()
            .iter()
            .position(|p| p.name == name)
            .unwrap_or_default()
    }

    /// The route of a path. The prefix `/a` matches `/a` and `/a/b`, but not `/ab`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matches = |route: &&Route| {
            let rest = path.strip_prefix(route.path.trim_end_matches('/'));
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.routes
            .iter()
            .filter(matches)
            .max_by_key(|route| route.path.trim_end_matches('/').len())
    }
}
