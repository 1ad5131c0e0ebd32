//! `[fleet.versions]` of the operator file, and the content of a config version.

#[cfg(test)]
mod tests;

use crate::config::operator::error::{within, FileError};
use crate::config::platform::Config;
use crate::log::log;
use crate::net::config_versions::disk::{load, ACTIVE_FILE};
use crate::net::config_versions::{default_protocol, Settings};
use pipitlever_config_versions::minimum_version::{StoredVersion, UnknownMinimum};
use pipitlever_config_versions::node::WithoutLease;
use pipitlever_config_versions::version::check_acceptors;
use serde::Deserialize;
use serde_json::Value;
use std::path::PathBuf;
use toml::Spanned;

/// Behaviour of a node without a lease.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WithoutLeaseKey {
    Serve,
    Refuse,
}

/// Behaviour after startup until a quorum of acceptors has answered.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum UnknownMinimumKey {
    Wait,
    Serve,
}

/// The section `[fleet.versions]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionsSection {
    folder: Spanned<PathBuf>,
    #[serde(rename = "electors")]
    acceptors: Spanned<Vec<String>>,
    lease_ms: Option<Spanned<u64>>,
    without_lease: Option<WithoutLeaseKey>,
    #[serde(rename = "unknown_floor")]
    unknown_minimum: Option<UnknownMinimumKey>,
}

impl VersionsSection {
    /// Checks the values.
    pub fn read(self, text: &str) -> Result<Settings, FileError> {
        if self.folder.get_ref().as_os_str().is_empty() {
            return Err(FileError::at(
                text,
                self.folder.span().start,
                "folder: the path is empty",
            ));
        }
        let at = self.acceptors.span().start;
        check_acceptors(self.acceptors.get_ref())
            .map_err(|error| FileError::at(text, at, format!("electors: {error}")))?;
        let mut protocol_config = default_protocol(self.acceptors.into_inner());
        let lease = within(
            text,
            "lease_ms",
            self.lease_ms,
            protocol_config.lease as u64 / 1000,
            [1000, 600_000],
        )?;
        protocol_config.lease = lease as i64 * 1000;
        protocol_config.without_lease = match self.without_lease {
            Some(WithoutLeaseKey::Refuse) => WithoutLease::Refuse,
            Some(WithoutLeaseKey::Serve) | None => WithoutLease::Serve,
        };
        protocol_config.unknown_minimum = match self.unknown_minimum {
            Some(UnknownMinimumKey::Serve) => UnknownMinimum::Serve,
            Some(UnknownMinimumKey::Wait) | None => UnknownMinimum::Wait,
        };
        Ok(Settings {
            folder: self.folder.into_inner(),
            protocol: protocol_config,
        })
    }
}

/// Returns the configuration that a node starts with, and the stored version that it includes. If
/// the fleet decides config versions, the version on the node's disk replaces the shared parts of
/// `config`. An unreadable version is ignored if the node waits for a quorum of acceptors, which
/// determines the version to continue with; it is an error if the node would serve without waiting.
pub fn load_stored_version(
    config: Config,
    read: &impl Fn(Option<&[u8]>) -> Result<Config, String>,
) -> Result<(Config, Option<StoredVersion>), String> {
    let Some(versions) = config.fleet.as_ref().and_then(|f| f.versions.as_ref()) else {
        return Ok((config, None));
    };
    let saved = match load::<StoredVersion>(&versions.folder, ACTIVE_FILE) {
        Err(error) if versions.protocol.unknown_minimum == UnknownMinimum::Wait => {
            log(&format!("versions: starting as on a new disk: {error}"));
            None
        }
        saved => saved.map_err(|error| error.to_string())?,
    };
    let Some(saved) = saved.filter(|s| s.version.is_some()) else {
        return Ok((config, None));
    };
    match read(Some(&saved.content)) {
        Ok(config) => Ok((config, Some(saved))),
        Err(error) => {
            log(&format!(
                "versions: could not activate the version on the disk: {error}"
            ));
            // The minimum version stays in force.
            Ok((
                config,
                Some(StoredVersion {
                    minimum_version: saved.minimum_version,
                    ..StoredVersion::default()
                }),
            ))
        }
    }
}

/// The content of a version. It replaces these parts of each node's own files, and no others.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionContent {
    /// The platform's settings: classes, tenants, limits.
    settings: Option<Value>,
    /// Sections of the operator file, as TOML: `[uwsgi]` with its routes, and `[[pool]]`.
    operator: Option<String>,
}

/// Sections of the operator file that a version may contain. The others differ between machines.
const SHARED_SECTIONS: [&str; 2] = ["uwsgi", "pool"];

impl VersionContent {
    /// Parses the content of a version.
    pub fn read(bytes: &[u8]) -> Result<VersionContent, String> {
        serde_json::from_slice(bytes).map_err(|e| format!("the version's content: {e}"))
    }

    /// A node's configuration file, with the version's settings in place of its own.
    pub fn merge_into_configuration(&self, text: &str) -> Result<String, String> {
        let Some(settings) = &self.settings else {
            return Ok(text.to_owned());
        };
        let mut local: Value =
            serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
        let fields = local
            .as_object_mut()
            .ok_or("configuration: not a JSON object")?;
        fields.insert("settings".into(), settings.clone());
        Ok(local.to_string())
    }

    /// A node's operator file, with the version's sections in place of its own.
    pub fn merge_into_operator_file(&self, text: &str) -> Result<String, String> {
        let Some(shared) = &self.operator else {
            return Ok(text.to_owned());
        };
        let table = |what: &str, text: &str| {
            text.parse::<toml::Table>()
                .map_err(|e| format!("{what}: {}", e.message()))
        };
        let shared = table("the version's content: operator", shared)?;
        if let Some(other) = shared
            .keys()
            .find(|key| !SHARED_SECTIONS.contains(&key.as_str()))
        {
            return Err(format!(
                "the version's content: operator: [{other}] is not shared, but belongs to each node"
            ));
        }
        let mut local = table("operator file", text)?;
        SHARED_SECTIONS
            .iter()
            .for_each(|key| drop(local.remove(*key)));
        local.extend(shared);
        toml::to_string(&local).map_err(|e| format!("the version's content: {e}"))
    }
}
