//! `[uwsgi]`: the uwsgi front end, the workers without a pool, and the routes.

use super::error::{within, FileError};
use super::pools::{find_label_offset, read_members, WorkerEntry};
use crate::net::worker_pools::routes::{Backend, PoolSettings, Route, UwsgiSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Range of a deadline, in milliseconds: up to an hour.
const DEADLINE_RANGE_MS: [u64; 2] = [1, 3_600_000];
/// Range of the longest body, in bytes.
const BODY_RANGE: [usize; 2] = [0, 32 << 10];
/// Range of the longest response, in bytes.
const RESPONSE_RANGE: [usize; 2] = [0, 256 << 10];
/// Range of the memory reserved for a request, in KB.
const MEMORY_RANGE_KB: [f64; 2] = [0.0, 2000.0];

/// The section `[uwsgi]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UwsgiSection {
    listen: Option<SocketAddr>,
    #[serde(default)]
    workers: Vec<SocketAddr>,
    #[serde(default)]
    worker: Vec<WorkerEntry>,
    deadline_ms: Option<Spanned<u64>>,
    most_body: Option<Spanned<usize>>,
    most_response: Option<Spanned<usize>>,
    room_kb: Option<Spanned<f64>>,
    #[serde(default)]
    route: Vec<RouteEntry>,
}

/// One `[[uwsgi.route]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteEntry {
    path: Spanned<String>,
    class: Spanned<String>,
    backend: Spanned<Backend>,
    pool: Option<Spanned<String>>,
    #[serde(default)]
    sticky: bool,
    deadline_ms: Option<Spanned<u64>>,
}

/// The parts of the file that routes refer to.
struct RouteContext<'a> {
    text: &'a str,
    classes: &'a [String],
    pools: &'a [PoolSettings],
    has_unnamed_workers: bool,
}

impl UwsgiSection {
    /// Checks the values. Routes name existing classes and pools.
    pub fn read(
        self,
        text: &str,
        classes: &[String],
        pools: Vec<PoolSettings>,
    ) -> Result<UwsgiSettings, FileError> {
        if let Some(offset) = find_label_offset(&self.worker) {
            let message = "name and zone are for members of a [[pool]]";
            return Err(FileError::at(text, offset, message));
        }
        let workers_with_settings = read_members(text, &self.workers, self.worker)?;
        let context = RouteContext {
            text,
            classes,
            pools: &pools,
            has_unnamed_workers: !self.workers.is_empty() || !workers_with_settings.is_empty(),
        };
        let mut routes = Vec::new();
        for entry in self.route {
            let route = context.read(entry, &routes)?;
            routes.push(route);
        }
        let default = UwsgiSettings::default();
        let deadline = default.deadline_ms;
        let body = default.max_body_bytes;
        let response = default.max_response_bytes;
        let memory = default.reserved_memory_kb;
        Ok(UwsgiSettings {
            listen: self.listen,
            workers: self.workers,
            configured_workers: workers_with_settings,
            deadline_ms: within(
                text,
                "deadline_ms",
                self.deadline_ms,
                deadline,
                DEADLINE_RANGE_MS,
            )?,
            max_body_bytes: within(text, "most_body", self.most_body, body, BODY_RANGE)?,
            max_response_bytes: within(
                text,
                "most_response",
                self.most_response,
                response,
                RESPONSE_RANGE,
            )?,
            reserved_memory_kb: within(text, "room_kb", self.room_kb, memory, MEMORY_RANGE_KB)?,
            routes,
            named_pools: pools,
        })
    }
}

impl RouteContext<'_> {
    /// Checks one route against those before it.
    fn read(&self, entry: RouteEntry, earlier: &[Route]) -> Result<Route, FileError> {
        let text = self.text;
        let class_offset = entry.class.span().start;
        let backend_offset = entry.backend.span().start;
        let class = entry.class.get_ref();
        if !self.classes.contains(class) {
            return Err(FileError::at(
                text,
                class_offset,
                format!("no class {class}"),
            ));
        }
        if entry.path.get_ref().is_empty() {
            let offset = entry.path.span().start;
            return Err(FileError::at(text, offset, "the path is empty"));
        }
        // An idempotency key runs once across both front ends, so a class has one backend.
        let mut same_class = earlier.iter().filter(|route| route.class == *class);
        if same_class
            .clone()
            .any(|route| route.backend != *entry.backend.get_ref())
        {
            let message = format!("class {class}: its routes name two backends");
            return Err(FileError::at(text, backend_offset, message));
        }
        self.check_pool(&entry)?;
        let pool = entry.pool.map(Spanned::into_inner);
        if same_class.any(|route| (&route.pool, route.sticky) != (&pool, entry.sticky)) {
            let message = format!("class {class}: its routes differ in pool or sticky");
            return Err(FileError::at(text, class_offset, message));
        }
        let deadline_ms = entry
            .deadline_ms
            .map(|value| within(text, "deadline_ms", Some(value), 0, DEADLINE_RANGE_MS))
            .transpose()?;
        Ok(Route {
            path: entry.path.into_inner(),
            class: entry.class.into_inner(),
            backend: entry.backend.into_inner(),
            pool,
            sticky: entry.sticky,
            deadline_ms,
        })
    }

    /// A route to workers needs a pool that exists, or workers without a pool.
    fn check_pool(&self, entry: &RouteEntry) -> Result<(), FileError> {
        let uses_workers = *entry.backend.get_ref() == Backend::Workers;
        match &entry.pool {
            Some(pool) => {
                let exists = self.pools.iter().any(|p| p.name == *pool.get_ref());
                if uses_workers && exists {
                    return Ok(());
                }
                let message = format!(
                    "pool {}: there is no such pool, or the backend is not \"workers\"",
                    pool.get_ref()
                );
                Err(FileError::at(self.text, pool.span().start, message))
            }
            None if uses_workers && !self.has_unnamed_workers => {
                let offset = entry.backend.span().start;
                Err(FileError::at(self.text, offset, "there are no workers"))
            }
            None => Ok(()),
        }
    }
}
