//! The node's configuration, read at the start, and for its parties' addresses on SIGHUP.

use super::operator::{Capture, Operator, Store};
use crate::net::hub::Parties;
use crate::net::routes::{Backend, Uwsgi};
use pipitlever::{Micros, Settings};
use pipitlever_settings::Config as SettingsConfig;
use serde::Deserialize;
use std::net::SocketAddr;

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
    settings: SettingsConfig,
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
        Limits { sockets: sockets(), memory_mb: memory_mb() }
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
    pub parties: Parties,
    /// For random numbers.
    pub seed: u64,
    /// From the notice to leave to the end of the process.
    pub stop_ms: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Megabytes that the process may take.
    pub memory_mb: usize,
    /// The module's settings.
    pub settings: Settings,
    /// The names of the classes, by position.
    pub classes: Vec<String>,
    /// The names of the gauges, by position.
    pub gauges: Vec<String>,
    /// The shortest gap between two rounds of decisions.
    pub round: Micros,
    /// The uwsgi front, the workers and the routes; off unless a file says otherwise.
    pub uwsgi: Uwsgi,
    /// The capture, if there is to be one.
    pub capture: Option<Capture>,
    /// The store of keyed requests, if there is to be one.
    pub store: Option<Store>,
}

impl Config {
    /// Whether somebody does the work of every class: without a processor only workers can.
    pub fn complete(&self) -> Result<(), String> {
        let worked = |class: &&String| {
            self.uwsgi.routes.iter().any(|r| r.class == **class && r.backend == Backend::Workers)
        };
        match self.classes.iter().find(|c| self.parties.processor.is_none() && !worked(c)) {
            Some(class) => Err(format!("no processor, and no route of class {class} to workers")),
            None => Ok(()),
        }
    }

    /// Reads both files, as they are named on the command line.
    pub fn load(path: Option<&str>, operator: Option<&str>) -> Result<Config, String> {
        let path = path.ok_or("no configuration: give --config FILE or set EDGE_CONFIG")?;
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let mut config = Config::read(&text, |name| std::env::var(name).ok())?;
        if let Some(path) = operator {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
            let file = Operator::read(&text, &config.classes).map_err(|e| format!("{path}: {e}"))?;
            config.parties.pools = file.uwsgi.pools();
            (config.uwsgi, config.capture, config.store) = (file.uwsgi, file.capture, file.store);
        }
        config.complete()?;
        Ok(config)
    }

    /// Reads the configuration's text. The name and the address may come from the environment instead.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        let address = |given: Option<SocketAddr>, name: &str| match (given, env(name)) {
            (Some(address), _) => Ok(Some(address)),
            (None, Some(text)) => text.parse().map(Some).map_err(|_| format!("{name}: no address: {text}")),
            (None, None) => Ok(None),
        };
        let listen = address(file.listen, "EDGE_LISTEN")?;
        let listen = listen.ok_or("no 'listen' in the configuration and no EDGE_LISTEN")?;
        let control = address(file.control, "EDGE_CONTROL")?;
        let seed = match &file.seed {
            Some(hex) => u64::from_str_radix(hex, 16).map_err(|_| format!("seed: not hex: {hex}"))?,
            None => u64::from(std::process::id()),
        };
        Ok(Config {
            name: file.name.or_else(|| env("EDGE_NAME")).unwrap_or_else(|| "node".into()),
            listen,
            control,
            parties: Parties {
                processor: file.processor,
                ledger: file.ledger,
                members: file.members,
                pools: Uwsgi::default().pools(),
            },
            seed,
            stop_ms: file.stop_ms,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            classes: file.settings.class_names(),
            gauges: file.settings.gauge_names().to_vec(),
            round: file.settings.round(),
            uwsgi: Uwsgi::default(),
            capture: None,
            store: None,
            settings: file.settings.settings().map_err(|e| format!("settings: {e}"))?,
        })
    }
}
