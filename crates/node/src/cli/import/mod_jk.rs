//! The file `workers.properties` of mod_jk.

use super::worker::WorkerParameters;
use super::{Import, Location};
use std::collections::BTreeMap;

/// A property's value, and the number of its line.
#[derive(Clone, Copy)]
struct Property<'a> {
    line: usize,
    value: &'a str,
}

/// The properties of each worker, by name.
type Workers<'a> = BTreeMap<&'a str, BTreeMap<&'a str, Property<'a>>>;

/// Properties that are converted to parameters of the worker.
const WORKER_PARAMETERS: [&str; 3] = ["lbfactor", "activation", "distance"];
/// Properties that list a balancer's workers.
const MEMBER_LISTS: [&str; 2] = ["balance_workers", "balanced_workers"];

impl Import {
    /// Reads a `workers.properties` file.
    pub(super) fn read_mod_jk(&mut self, file: &str, text: &str) {
        // A worker's type may follow its address, so all properties are collected first.
        let workers = self.collect_properties(file, text);
        let balancers = self.balancers_of_workers(file, &workers);
        for (name, properties) in &workers {
            let balancers_of_worker = balancers.get(name).map(Vec::as_slice);
            self.read_worker(file, name, properties, balancers_of_worker);
        }
    }

    fn collect_properties<'a>(&mut self, file: &str, text: &'a str) -> Workers<'a> {
        let mut workers = Workers::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let number = index + 1;
            let pair = line.split_once('=');
            let pair = pair.map(|(key, value)| (key.trim(), value.trim()));
            let parts = pair.map(|(key, value)| (key.splitn(3, '.').collect::<Vec<_>>(), value));
            match parts {
                // Ignored: the workers are those that have properties.
                Some((parts, _)) if parts == ["worker", "list"] => {}
                Some((parts, value)) if parts.len() == 3 && parts[0] == "worker" => {
                    let property = Property {
                        line: number,
                        value,
                    };
                    let properties = workers.entry(parts[1]).or_default();
                    properties.insert(parts[2], property);
                }
                _ => self.note(
                    Location::new(file, number),
                    &format!("unknown directive: {line}"),
                ),
            }
        }
        workers
    }

    /// The balancers that each worker is a member of.
    fn balancers_of_workers<'a>(
        &mut self,
        file: &str,
        workers: &Workers<'a>,
    ) -> BTreeMap<&'a str, Vec<&'a str>> {
        let mut balancers: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (balancer, properties) in workers {
            let lists = MEMBER_LISTS.iter().filter_map(|key| properties.get(key));
            for list in lists {
                let location = Location::new(file, list.line);
                let names = list.value.split([',', ' ', '\t']);
                for member in names.filter(|name| !name.is_empty()) {
                    balancers.entry(member).or_default().push(balancer);
                    let kind = workers.get(member).and_then(|m| m.get("type"));
                    if kind.is_some_and(|kind| kind.value == "lb") {
                        // A pool of the operator file cannot contain other pools.
                        let message = format!(
                            "worker {balancer}: {member} is a balancer itself: not converted"
                        );
                        self.note(location, &message);
                    }
                    if !workers.contains_key(member) {
                        let message = format!("worker {balancer}: {member} is not defined");
                        self.note(location, &message);
                    }
                }
            }
        }
        balancers
    }

    fn read_worker(
        &mut self,
        file: &str,
        worker: &str,
        properties: &BTreeMap<&str, Property>,
        balancers: Option<&[&str]>,
    ) {
        let first_line = properties.values().map(|p| p.line).min().unwrap_or(0);
        // mod_jk's default.
        let default_kind = Property {
            line: first_line,
            value: "ajp13",
        };
        let kind = properties.get("type").copied().unwrap_or(default_kind);
        let host = properties.get("host").map_or("localhost", |p| p.value);
        match (kind.value, properties.get("port")) {
            ("lb", _) => {}
            ("uwsgi", Some(port)) => {
                let parameters = self.worker_parameters(file, worker, properties);
                let location = Location::new(file, port.line);
                // A worker without a balancer is its own balancer in mod_jk; here it joins the
                // unnamed pool.
                for balancer in balancers.unwrap_or(&[""]) {
                    self.add_worker(balancer, location, host, port.value, parameters);
                }
            }
            ("uwsgi", None) => {
                let message = format!("worker {worker}: no port");
                self.note(Location::new(file, kind.line), &message);
            }
            (other, port) => {
                let port = port.map_or("?", |p| p.value);
                let message =
                    format!("worker {worker} at {host}:{port}: unsupported protocol {other}");
                self.note(Location::new(file, kind.line), &message);
            }
        }
        self.note_unused_properties(file, worker, kind.value, properties);
    }

    fn worker_parameters(
        &mut self,
        file: &str,
        worker: &str,
        properties: &BTreeMap<&str, Property>,
    ) -> WorkerParameters {
        let mut parameters = WorkerParameters::default();
        for key in WORKER_PARAMETERS {
            let Some(property) = properties.get(key) else {
                continue;
            };
            if let Err(message) = parameters.set(key, property.value) {
                let location = Location::new(file, property.line);
                self.note(location, &format!("worker {worker}: {message}"));
            }
        }
        parameters
    }

    fn note_unused_properties(
        &mut self,
        file: &str,
        worker: &str,
        kind: &str,
        properties: &BTreeMap<&str, Property>,
    ) {
        for (&key, property) in properties {
            let location = Location::new(file, property.line);
            let value = property.value;
            match key {
                "type" | "host" | "port" => {}
                _ if MEMBER_LISTS.contains(&key) => {}
                _ if kind == "uwsgi" && WORKER_PARAMETERS.contains(&key) => {}
                "reply_timeout" => self.add_deadline(location, value, 1),
                _ => {
                    let message = format!("worker {worker}: unknown directive: {key}={value}");
                    self.note(location, &message);
                }
            }
        }
    }
}
