//! The platform's configuration file, which is read at startup and on SIGHUP.

use crate::config::operator::{CaptureSettings, OperatorConfig, StoreSettings};
use crate::config::versions::VersionContent;
use crate::net::event_loop::{RequestSettings, Upstreams};
use crate::net::membership;
use crate::net::worker_pools::routes::{Backend, UwsgiSettings};
use pipitlever_settings::PlatformSettings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Longest time for the shutdown, in milliseconds: a day.
const MAX_STOP_MS: u64 = 86_400_000;

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
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: default_sockets(),
            memory_mb: default_memory_mb(),
        }
    }
}

fn default_sockets() -> usize {
    1024
}

fn default_memory_mb() -> usize {
    192
}

/// The configuration of a node, from both files.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address that gateways connect to.
    pub listen: SocketAddr,
    /// The control endpoint's address, if there is one.
    pub control: Option<SocketAddr>,
    /// Addresses of the processor, the ledger, the service registry and the pools of workers.
    pub upstreams: Upstreams,
    /// Seed of the random number generator; by default the process's id.
    pub seed: u64,
    /// Time from the shutdown signal until the process is killed, in milliseconds.
    pub stop_ms: u64,
    /// File descriptors that the process may open.
    pub sockets: usize,
    /// Memory that the process may use, in MB.
    pub memory_mb: usize,
    /// Settings of the request processing.
    pub request_settings: RequestSettings,
    /// The configuration file as JSON. On a reload, the new file has to have all of its keys.
    pub document: Value,
    /// Settings of the capture, if it is configured.
    pub capture: Option<CaptureSettings>,
    /// Settings of the idempotency store, if it is configured.
    pub store: Option<StoreSettings>,
    /// Settings of the membership, if the node is in a fleet.
    pub fleet: Option<membership::Settings>,
}

/// The path of the first key that the old file has and the new one lacks. A file that was truncated
/// and repaired, or written in part, may still be valid JSON; the missing keys would get their
/// defaults and so change settings unintentionally.
fn first_missing_key(new: &Value, old: &Value) -> Option<String> {
    match (new, old) {
        (Value::Object(new), Value::Object(old)) => {
            old.iter().find_map(|(key, old)| match new.get(key) {
                None | Some(Value::Null) if !old.is_null() => Some(key.clone()),
                new => first_missing_key(new?, old).map(|path| format!("{key}.{path}")),
            })
        }
        // Classes may be added and removed, but each needs the keys that all old ones have.
        (Value::Array(new), Value::Array(old)) => {
            let is_in_all = |key: &&String| old.iter().all(|o| o.get(key.as_str()).is_some());
            let mut keys = old.first()?.as_object()?.keys().filter(is_in_all);
            keys.find_map(|key| {
                let at = new
                    .iter()
                    .position(|v| v.get(key).is_none_or(Value::is_null))?;
                Some(format!("{at}.{key}"))
            })
        }
        // The old value and the new one are of different types.
        (Value::Object(_) | Value::Array(_), _) | (_, Value::Object(_) | Value::Array(_)) => {
            Some("...".into())
        }
        _ => None,
    }
}

impl Config {
    /// Checks that this configuration lacks no key of the one in force.
    pub fn check_no_key_missing(&self, current: &Value) -> Result<(), String> {
        match first_missing_key(&self.document, current) {
            Some(key) => Err(format!(
                "configuration: key {key} is missing, which the configuration in force has"
            )),
            None => Ok(()),
        }
    }

    /// Checks that every class has a backend: without a processor each needs a route to workers.
    pub fn check_backends(&self) -> Result<(), String> {
        let has_worker_route = |class: &&String| {
            self.request_settings
                .uwsgi
                .routes
                .iter()
                .any(|r| r.class == **class && r.backend == Backend::Workers)
        };
        match self
            .request_settings
            .classes
            .iter()
            .find(|c| self.upstreams.processor.is_none() && !has_worker_route(c))
        {
            Some(class) => Err(format!(
                "no processor, and no route of class {class} to workers"
            )),
            None => Ok(()),
        }
    }

    /// Reads both files. The content of a config version replaces the shared parts.
    pub fn load(
        path: Option<&str>,
        operator: Option<&str>,
        version: Option<&[u8]>,
    ) -> Result<Config, String> {
        let version = version
            .map(VersionContent::read)
            .transpose()?
            .unwrap_or_default();
        let path = path.ok_or("no configuration: give --config FILE or set EDGE_CONFIG")?;
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let mut config = Config::read(&version.merge_into_configuration(&text)?, |name| {
            std::env::var(name).ok()
        })?;
        if let Some(path) = operator {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
            let file = OperatorConfig::read(
                &version.merge_into_operator_file(&text)?,
                &config.request_settings.classes,
            )
            .map_err(|e| format!("{path}: {e}"))?;
            config.upstreams.pools = file.uwsgi.pools();
            (config.request_settings.uwsgi, config.capture, config.store) =
                (file.uwsgi, file.capture, file.store);
            config.fleet = file.fleet;
        }
        config.check_backends()?;
        Ok(config)
    }

    /// Parses the platform's configuration. Name and addresses may come from the environment
    /// instead.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let document: Value =
            serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        let file: File = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        file.settings
            .validate()
            .map_err(|e| format!("settings: {e}"))?;
        if file.stop_ms == 0 || file.stop_ms > MAX_STOP_MS {
            return Err(format!(
                "stop_ms: {} is not from 1 to {MAX_STOP_MS}",
                file.stop_ms
            ));
        }
        let address = |given: Option<SocketAddr>, name: &str| match (given, env(name)) {
            (Some(address), _) => Ok(Some(address)),
            (None, Some(text)) => text
                .parse()
                .map(Some)
                .map_err(|_| format!("{name}: not an IP address and port: {text}")),
            (None, None) => Ok(None),
        };
        let listen = address(file.listen, "EDGE_LISTEN")?;
        let listen = listen.ok_or("no 'listen' in the configuration and no EDGE_LISTEN")?;
        let control = address(file.control, "EDGE_CONTROL")?;
        let seed = match &file.seed {
            Some(hex) => u64::from_str_radix(hex, 16)
                .map_err(|_| format!("seed: not a hexadecimal number of 64 bits: {hex}"))?,
            None => u64::from(std::process::id()),
        };
        Ok(Config {
            name: file
                .name
                .or_else(|| env("EDGE_NAME"))
                .unwrap_or_else(|| "node".into()),
            listen,
            control,
            upstreams: Upstreams {
                processor: file.processor,
                ledger: file.ledger,
                registry: file.members,
                pools: UwsgiSettings::default().pools(),
            },
            seed,
            stop_ms: file.stop_ms,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            request_settings: RequestSettings {
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
            document,
            capture: None,
            store: None,
            fleet: None,
        })
    }
}
