//! Converts mod_jk's `workers.properties` and Apache's balancer sections to the operator file's
//! sections, and notes with file and line what cannot be converted.

mod apache;
mod mod_jk;
mod worker;

#[cfg(test)]
mod tests;

use crate::net::worker_pools::routes::UwsgiSettings;
use pipitlever_load_balancing::pool::Member;
use serde::Serialize;
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use worker::{worker_table, WorkerParameters};

/// Longest deadline, in milliseconds: an hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

#[derive(Serialize)]
struct Section {
    uwsgi: UwsgiSettings,
}

/// A line of an imported file.
#[derive(Clone, Copy, Debug)]
struct Location<'a> {
    file: &'a str,
    line: usize,
}

impl<'a> Location<'a> {
    fn new(file: &'a str, line: usize) -> Location<'a> {
        Location { file, line }
    }
}

impl std::fmt::Display for Location<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// A worker of a balancer.
#[derive(Debug, PartialEq)]
struct ImportedWorker {
    /// The balancer; empty if the worker is in none.
    balancer: String,
    member: Member<SocketAddr>,
}

/// Where a worker was defined first.
#[derive(Debug)]
struct Definition {
    /// Its position in the list of workers.
    position: usize,
    /// File and line.
    location: String,
}

/// A path whose requests are sent to a balancer.
#[derive(Debug)]
struct ProxiedPath {
    path: String,
    balancer: String,
}

/// The result of importing files.
#[derive(Debug, Default)]
pub struct Import {
    workers: Vec<ImportedWorker>,
    /// The first definition of each worker, by balancer and address.
    definitions: HashMap<(String, SocketAddr), Definition>,
    /// The shortest timeout in the files.
    deadline_ms: Option<u64>,
    /// The paths. Their classes are not in the imported files.
    paths: Vec<ProxiedPath>,
    /// Lines that could not be converted, each with file and line number.
    pub notes: Vec<String>,
}

impl Import {
    /// Reads a file: one of mod_jk if the name ends in `.properties`, otherwise one of Apache.
    pub fn read(&mut self, name: &str, text: &str) {
        if name.ends_with(".properties") {
            self.read_mod_jk(name, text);
        } else {
            self.read_apache(name, text);
        }
    }

    /// Renders the sections of the operator file. Routes are comments, as their classes are
    /// unknown.
    pub fn render(&self) -> Result<String, String> {
        let balancers: BTreeSet<&str> = self.workers.iter().map(|w| w.balancer.as_str()).collect();
        // A single balancer becomes the unnamed pool.
        let unnamed = match balancers.len() {
            1 => balancers.first().copied().unwrap_or_default(),
            _ => "",
        };
        let mut text = self.uwsgi_section(unnamed)?;
        for balancer in balancers.into_iter().filter(|b| *b != unnamed) {
            text += &format!("\n[[pool]]\nname = {}\n", quoted(balancer));
            for member in self.members_of(balancer) {
                text += &worker_table("pool.member", member);
            }
        }
        for ProxiedPath { path, balancer } in &self.paths {
            text += &format!("\n# [[uwsgi.route]]\n# path = {}\n", quoted(path));
            text += "# class = \"\"\n# backend = \"workers\"\n";
            if balancer != unnamed {
                text += &format!("# pool = {}\n", quoted(balancer));
            }
        }
        Ok(text)
    }

    /// `[uwsgi]` with the workers of one balancer.
    fn uwsgi_section(&self, balancer: &str) -> Result<String, String> {
        let is_plain = |member: &Member<SocketAddr>| *member == Member::new(member.address);
        let plain = self.members_of(balancer).filter(|member| is_plain(member));
        let mut uwsgi = UwsgiSettings {
            workers: plain.map(|member| member.address).collect(),
            ..UwsgiSettings::default()
        };
        uwsgi.deadline_ms = self.deadline_ms.unwrap_or(uwsgi.deadline_ms);
        let mut text = String::from(
            "# Add 'listen', where uwsgi clients connect, and a route for each class.\n",
        );
        text += &toml::to_string(&Section { uwsgi }).map_err(|e| e.to_string())?;
        for member in self.members_of(balancer).filter(|member| !is_plain(member)) {
            text += &worker_table("uwsgi.worker", member);
        }
        Ok(text)
    }

    fn members_of<'a>(&'a self, balancer: &'a str) -> impl Iterator<Item = &'a Member<SocketAddr>> {
        let workers = self.workers.iter();
        let of_balancer = workers.filter(move |worker| worker.balancer == balancer);
        of_balancer.map(|worker| &worker.member)
    }

    fn note(&mut self, location: Location, message: &str) {
        self.notes.push(format!("{location}: {message}"));
    }

    /// Adds a worker. If there are several definitions of it, the first one is used.
    fn add_worker(
        &mut self,
        balancer: &str,
        location: Location,
        host: &str,
        port: &str,
        parameters: WorkerParameters,
    ) {
        let host = match host {
            "localhost" => "127.0.0.1",
            host => host,
        };
        let ip = host.trim_matches(['[', ']']).parse::<IpAddr>();
        let (Ok(ip), Ok(port @ 1..)) = (ip, port.parse::<u16>()) else {
            return self.note(
                location,
                &format!("not an IP address and port: {host}:{port}"),
            );
        };
        let member = parameters.member(SocketAddr::new(ip, port));
        let key = (balancer.to_owned(), member.address);
        let Some(definition) = self.definitions.get(&key) else {
            let definition = Definition {
                position: self.workers.len(),
                location: location.to_string(),
            };
            self.definitions.insert(key, definition);
            self.workers.push(ImportedWorker {
                balancer: balancer.to_owned(),
                member,
            });
            return;
        };
        if self.workers[definition.position].member != member {
            let message = format!(
                "{} has other parameters at {}, which take precedence",
                member.address, definition.location
            );
            self.note(location, &message);
        }
    }

    /// Adds a timeout; the shortest one becomes the deadline.
    fn add_deadline(&mut self, location: Location, text: &str, unit_ms: u64) {
        let number = text.parse::<u64>().ok();
        match number.and_then(|n| n.checked_mul(unit_ms)) {
            Some(ms @ 1..=MAX_DEADLINE_MS) => {
                self.deadline_ms = Some(self.deadline_ms.map_or(ms, |d| d.min(ms)));
            }
            _ => self.note(location, &format!("not a time from 1 ms to 1 h: {text}")),
        }
    }
}

/// Converts text to a TOML string.
fn quoted(text: &str) -> toml::Value {
    toml::Value::String(text.to_owned())
}
