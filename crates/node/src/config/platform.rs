//! The node's configuration, read at the start, and for its parties' addresses on SIGHUP.

use crate::config::operator::{Capture, Operator, Store};
use crate::config::versions::Content;
use crate::net::event_loop::{RequestSettings, Upstreams};
use crate::net::membership;
use crate::net::worker_pools::routes::{Backend, UwsgiSettings};
use pipitlever_settings::PlatformSettings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The longest time to leave in, in milliseconds: a day.
const MOST_STOP_MS: u64 = 86_400_000;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<SocketAddr>,
    #[serde(default)]
    processor: Option<SocketAddr>,
    #[serde(default)]
    members: Option<SocketAddr>,
    #[serde(default)]
    ledger: Option<SocketAddr>,
    #[serde(default)]
    control: Option<SocketAddr>,
    #[serde(default)]
    seed: Option<String>,
    stop_ms: u64,
    #[serde(default)]
    limits: Limits,
    settings: PlatformSettings,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "memory_mb")]
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: sockets(),
            memory_mb: memory_mb(),
        }
    }
}

fn sockets() -> usize {
    1024
}

fn memory_mb() -> usize {
    192
}

/// All that a node is told.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where gateways connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub control: Option<SocketAddr>,
    /// Where the other parties are.
    pub parties: Upstreams,
    /// For random numbers.
    pub seed: u64,
    /// From the notice to leave to the end of the process.
    pub stop_ms: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Megabytes that the process may take.
    pub memory_mb: usize,
    /// What decides about requests.
    pub tuning: RequestSettings,
    /// The keys that the file has, for the next one to be held against.
    pub shape: Value,
    /// The capture, if there is to be one.
    pub capture: Option<Capture>,
    /// The store of keyed requests, if there is to be one.
    pub store: Option<Store>,
    /// The node's part in a fleet, if it is in one.
    pub fleet: Option<membership::Settings>,
}

/// The first key that a file has and another lacks, with its path. A file that was cut and mended,
/// or written by half, still reads; with what it leaves out taken for its default it would change
/// what nobody meant to change.
fn lacks(new: &Value, old: &Value) -> Option<String> {
    match (new, old) {
        (Value::Object(new), Value::Object(old)) => {
            old.iter().find_map(|(key, old)| match new.get(key) {
                None | Some(Value::Null) if !old.is_null() => Some(key.clone()),
                new => lacks(new?, old).map(|below| format!("{key}.{below}")),
            })
        }
        // Classes come and go; each has what all of them had.
        (Value::Array(new), Value::Array(old)) => {
            let had = |key: &&String| old.iter().all(|o| o.get(key.as_str()).is_some());
            let mut keys = old.first()?.as_object()?.keys().filter(had);
            keys.find_map(|key| {
                let at = new
                    .iter()
                    .position(|v| v.get(key).is_none_or(Value::is_null))?;
                Some(format!("{at}.{key}"))
            })
        }
        (Value::Object(_) | Value::Array(_), _) | (_, Value::Object(_) | Value::Array(_)) => {
            Some("...".into())
        }
        _ => None,
    }
}

impl Config {
    /// Whether this configuration may take the place of one that is in force.
    pub fn follows(&self, before: &Value) -> Result<(), String> {
        match lacks(&self.shape, before) {
            Some(key) => Err(format!(
                "configuration: no key {key}, which the one in force has"
            )),
            None => Ok(()),
        }
    }

    /// Whether somebody does the work of every class: without a processor only workers can.
    pub fn complete(&self) -> Result<(), String> {
        let worked = |class: &&String| {
            self.tuning
                .uwsgi
                .routes
                .iter()
                .any(|r| r.class == **class && r.backend == Backend::Workers)
        };
        match self
            .tuning
            .classes
            .iter()
            .find(|c| self.parties.processor.is_none() && !worked(c))
        {
            Some(class) => Err(format!(
                "no processor, and no route of class {class} to workers"
            )),
            None => Ok(()),
        }
    }

    /// Reads both files, as they are named on the command line.
    pub fn load(
        path: Option<&str>,
        operator: Option<&str>,
        version: Option<&[u8]>,
    ) -> Result<Config, String> {
        let version = version.map(Content::read).transpose()?.unwrap_or_default();
        let path = path.ok_or("no configuration: give --config FILE or set EDGE_CONFIG")?;
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let mut config = Config::read(&version.over_configuration(&text)?, |name| {
            std::env::var(name).ok()
        })?;
        if let Some(path) = operator {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
            let file = Operator::read(&version.over_operator(&text)?, &config.tuning.classes)
                .map_err(|e| format!("{path}: {e}"))?;
            config.parties.pools = file.uwsgi.pools();
            (config.tuning.uwsgi, config.capture, config.store) =
                (file.uwsgi, file.capture, file.store);
            config.fleet = file.fleet;
        }
        config.complete()?;
        Ok(config)
    }

    /// Reads the configuration's text. The name and the address may come from the environment
    /// instead.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let shape: Value = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        let file: File = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        file.settings
            .validate()
            .map_err(|e| format!("settings: {e}"))?;
        if file.stop_ms == 0 || file.stop_ms > MOST_STOP_MS {
            return Err(format!(
                "stop_ms: {} is not from 1 to {MOST_STOP_MS}",
                file.stop_ms
            ));
        }
        let address = |given: Option<SocketAddr>, name: &str| match (given, env(name)) {
            (Some(address), _) => Ok(Some(address)),
            (None, Some(text)) => text
                .parse()
                .map(Some)
                .map_err(|_| format!("{name}: no address: {text}")),
            (None, None) => Ok(None),
        };
        let listen = address(file.listen, "EDGE_LISTEN")?;
        let listen = listen.ok_or("no 'listen' in the configuration and no EDGE_LISTEN")?;
        let control = address(file.control, "EDGE_CONTROL")?;
        let seed = match &file.seed {
            Some(hex) => {
                u64::from_str_radix(hex, 16).map_err(|_| format!("seed: not hex: {hex}"))?
            }
            None => u64::from(std::process::id()),
        };
        Ok(Config {
            name: file
                .name
                .or_else(|| env("EDGE_NAME"))
                .unwrap_or_else(|| "node".into()),
            listen,
            control,
            parties: Upstreams {
                processor: file.processor,
                ledger: file.ledger,
                registry: file.members,
                pools: UwsgiSettings::default().pools(),
            },
            seed,
            stop_ms: file.stop_ms,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            tuning: RequestSettings {
                classes: file.settings.class_names(),
                tenants: file.settings.tenant_names(),
                gauges: file.settings.gauge_names().to_vec(),
                min_round_interval: file.settings.decision_interval(),
                retries_are_marked: file.settings.marks_retries(),
                uwsgi: UwsgiSettings::default(),
                admission: file
                    .settings
                    .controller_settings()
                    .map_err(|e| format!("settings: {e}"))?,
            },
            shape,
            capture: None,
            store: None,
            fleet: None,
        })
    }
}
