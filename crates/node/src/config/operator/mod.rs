//! The operator file: one TOML file with a section for each subsystem. An unknown key or an invalid
//! value is an error that names its line.

mod capture;
pub mod error;
pub mod fleet;
mod pools;
mod store;
mod uwsgi;

#[cfg(test)]
mod tests;

pub use capture::CaptureSettings;
pub use store::{OnDamage, StoreSettings};

use crate::net::membership;
use crate::net::worker_pools::routes::UwsgiSettings;
use capture::CaptureSection;
use error::FileError;
use fleet::FleetSection;
use pools::{read_pools, PoolSection};
use serde::Deserialize;
use store::StoreSection;
use uwsgi::UwsgiSection;

/// The settings of all sections.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The uwsgi front end, the workers and the routes; off without the section.
    pub uwsgi: UwsgiSettings,
    /// The capture.
    pub capture: Option<CaptureSettings>,
    /// The idempotency store.
    pub store: Option<StoreSettings>,
    /// The node's membership in a fleet.
    pub fleet: Option<membership::Settings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    uwsgi: Option<UwsgiSection>,
    capture: Option<CaptureSection>,
    store: Option<StoreSection>,
    fleet: Option<FleetSection>,
    #[serde(default)]
    pool: Vec<PoolSection>,
}

impl OperatorConfig {
    /// Parses the file's text. Routes name the classes of the platform's settings.
    pub fn read(text: &str, classes: &[String]) -> Result<OperatorConfig, FileError> {
        let file: File = toml::from_str(text).map_err(|e| {
            let offset = e.span().map_or(text.len(), |span| span.start);
            FileError::at(text, offset, e.message())
        })?;
        let pools = read_pools(text, file.pool)?;
        let fleet_pool = pools
            .iter()
            .find(|p| p.subsetting.is_some() || p.sessions.is_some());
        if let Some(pool) = fleet_pool.filter(|_| file.fleet.is_none()) {
            let key = match pool.subsetting {
                Some(_) => "share = true",
                None => "[pool.affinity]",
            };
            return Err(FileError::Pool {
                pool: pool.name.clone(),
                message: format!("{key} needs a [fleet]"),
            });
        }
        let uwsgi = file.uwsgi.map(|section| section.read(text, classes, pools));
        let capture = file.capture.map(|section| section.read(text));
        let store = file.store.map(|section| section.read(text));
        let fleet = file.fleet.map(|section| section.read(text));
        Ok(OperatorConfig {
            uwsgi: uwsgi.transpose()?.unwrap_or_default(),
            capture: capture.transpose()?,
            store: store.transpose()?,
            fleet: fleet.transpose()?,
        })
    }
}
