//! `[fleet]`: the node's membership in a fleet.

#[cfg(test)]
mod tests;

use crate::config::operator::error::{within, FileError};
use crate::config::versions::VersionsSection;
use crate::net::membership::Settings;
use crate::net::subsetting::PartitionPolicy;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::record::MAX_NAME_BYTES;
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Most seeds: a few are enough, as each of them has the addresses of all members.
const MAX_SEEDS: usize = 64;
/// Range of the time between two probes, in milliseconds.
const PROBE_RANGE_MS: [u64; 2] = [50, 60_000];
/// Range of the time for which a member that is down is retained, in seconds: up to a week.
const RETENTION_RANGE_S: [u64; 2] = [60, 604_800];
/// Range of the number of members.
const MEMBERS_RANGE: [usize; 2] = [2, 10_000];

/// The section `[fleet]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    name: Spanned<String>,
    bind: Spanned<SocketAddr>,
    advertise: Option<Spanned<SocketAddr>>,
    #[serde(default)]
    seeds: Vec<Spanned<SocketAddr>>,
    zone: Option<Spanned<String>>,
    probe_ms: Option<Spanned<u64>>,
    most_members: Option<Spanned<usize>>,
    forget_s: Option<Spanned<u64>>,
    #[serde(default)]
    trusted_network: bool,
    versions: Option<VersionsSection>,
    share_apart: Option<Spanned<ShareApart>>,
}

/// The share of a pool that a node uses while it may be partitioned from the fleet.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ShareApart {
    /// The share that the node had before.
    Keep,
    /// The minimum share.
    Least,
}

impl FleetSection {
    /// Checks the values.
    pub fn read(self, text: &str) -> Result<Settings, FileError> {
        let advertise = self.advertised_address(text)?;
        self.check_seeds(text)?;
        self.check_network(text)?;
        let policy = self.partition_policy(text)?;
        let name = non_empty_name(text, "name", &self.name)?;
        let zone = self.zone.as_ref();
        let zone = zone.map(|zone| non_empty_name(text, "zone", zone));
        let zone = zone.transpose()?.unwrap_or_default();
        let protocol_config =
            membership_config(text, self.probe_ms, self.forget_s, self.most_members)?;
        let versions = self.versions.map(|section| section.read(text));
        Ok(Settings {
            partition_policy: policy,
            name,
            bind: self.bind.into_inner(),
            advertise,
            seeds: self.seeds.into_iter().map(Spanned::into_inner).collect(),
            zone,
            protocol: protocol_config,
            versions: versions.transpose()?,
        })
    }

    /// The address that other members use.
    fn advertised_address(&self, text: &str) -> Result<SocketAddr, FileError> {
        let Some(advertise) = &self.advertise else {
            if self.bind.get_ref().ip().is_unspecified() {
                let message =
                    "bind: all addresses; advertise has to name the one that other members use";
                return Err(FileError::at(text, self.bind.span().start, message));
            }
            return Ok(*self.bind.get_ref());
        };
        if advertise.get_ref().ip().is_unspecified() {
            let message = "advertise: members cannot connect to the unspecified address";
            return Err(FileError::at(text, advertise.span().start, message));
        }
        Ok(*advertise.get_ref())
    }

    fn check_seeds(&self, text: &str) -> Result<(), FileError> {
        match self.seeds.get(MAX_SEEDS) {
            Some(first_excess) => {
                let message = "seeds: too many addresses; a few are enough";
                Err(FileError::at(text, first_excess.span().start, message))
            }
            None => Ok(()),
        }
    }

    /// Messages are neither signed nor encrypted, so addresses beyond loopback have to be allowed
    /// explicitly.
    fn check_network(&self, text: &str) -> Result<(), FileError> {
        if self.trusted_network {
            return Ok(());
        }
        let addresses = std::iter::once(&self.bind)
            .chain(&self.advertise)
            .chain(&self.seeds);
        let mut remote = addresses.filter(|address| !address.get_ref().ip().is_loopback());
        let Some(address) = remote.next() else {
            return Ok(());
        };
        let message = "an address that is not loopback: set trusted_network = true if only the \
                       fleet can reach it";
        Err(FileError::at(text, address.span().start, message))
    }

    fn partition_policy(&self, text: &str) -> Result<PartitionPolicy, FileError> {
        let Some(policy) = &self.share_apart else {
            return Ok(PartitionPolicy::KeepShare);
        };
        match policy.get_ref() {
            ShareApart::Keep => Ok(PartitionPolicy::KeepShare),
            // The lease shows whether a node is partitioned, and since when.
            ShareApart::Least if self.versions.is_none() => {
                let message = "share_apart = \"least\" needs [fleet.versions]";
                Err(FileError::at(text, policy.span().start, message))
            }
            ShareApart::Least => Ok(PartitionPolicy::MinimumShare),
        }
    }
}

fn non_empty_name(text: &str, key: &str, name: &Spanned<String>) -> Result<String, FileError> {
    let value = name.get_ref();
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        let message = format!("{key}: not 1 to {MAX_NAME_BYTES} bytes long");
        return Err(FileError::at(text, name.span().start, message));
    }
    Ok(value.clone())
}

fn membership_config(
    text: &str,
    probe_ms: Option<Spanned<u64>>,
    forget_s: Option<Spanned<u64>>,
    most_members: Option<Spanned<usize>>,
) -> Result<MembershipConfig, FileError> {
    let default = MembershipConfig::default();
    let default_probe_ms = default.probe_interval as u64 / 1000;
    let probe_ms = within(text, "probe_ms", probe_ms, default_probe_ms, PROBE_RANGE_MS)?;
    let default_retention_s = default.retention as u64 / 1_000_000;
    let retention_s = within(
        text,
        "forget_s",
        forget_s,
        default_retention_s,
        RETENTION_RANGE_S,
    )?;
    let max_members = default.max_members;
    Ok(MembershipConfig {
        probe_interval: probe_ms as i64 * 1000,
        retention: retention_s as i64 * 1_000_000,
        max_members: within(
            text,
            "most_members",
            most_members,
            max_members,
            MEMBERS_RANGE,
        )?,
        ..default
    })
}
