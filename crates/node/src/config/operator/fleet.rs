//! `[fleet]` of the operator's file.

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

/// The most seeds: a few are enough, as each of them knows all others.
const MOST_SEEDS: usize = 64;

/// The section.
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

/// What a node keeps to of a shared pool while it may be cut off.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ShareApart {
    Keep,
    Least,
}

impl FleetSection {
    /// Holds it to what a fleet can bear.
    pub fn read(self, text: &str) -> Result<Settings, FileError> {
        let wrong = |at: usize, what: &str| Err(FileError::at(text, at, what));
        let name = |key: &str, name: &Spanned<String>| match name.get_ref() {
            n if n.is_empty() || n.len() > MAX_NAME_BYTES => Err(FileError::at(
                text,
                name.span().start,
                format!("{key}: it has 1 to {MAX_NAME_BYTES} bytes"),
            )),
            n => Ok(n.clone()),
        };
        let bind = *self.bind.get_ref();
        let advertise = match &self.advertise {
            None if bind.ip().is_unspecified() => {
                return wrong(
                    self.bind.span().start,
                    "bind: all addresses; advertise has to say which one others use",
                );
            }
            None => bind,
            Some(at) if at.get_ref().ip().is_unspecified() => {
                return wrong(
                    at.span().start,
                    "advertise: nobody can be reached at that address",
                );
            }
            Some(at) => *at.get_ref(),
        };
        if self.seeds.len() > MOST_SEEDS {
            return wrong(
                self.seeds[MOST_SEEDS].span().start,
                "seeds: too many, some are enough",
            );
        }
        // Whoever reaches the fleet's port can say anything: nothing of it is signed or secret yet.
        let local = |at: &SocketAddr| at.ip().is_loopback();
        let named = std::iter::once(&self.bind)
            .chain(&self.advertise)
            .chain(&self.seeds);
        if let Some(far) = named
            .into_iter()
            .find(|at| !self.trusted_network && !local(at.get_ref()))
        {
            let what = "an address that is not loopback: say trusted_network = true if nobody but the fleet reaches it";
            return wrong(far.span().start, what);
        }
        let usual = MembershipConfig::default();
        let probe = within(
            text,
            "probe_ms",
            self.probe_ms,
            usual.probe_interval as u64 / 1000,
            [50, 60_000],
        )?;
        let forget = within(
            text,
            "forget_s",
            self.forget_s,
            usual.retention as u64 / 1_000_000,
            [60, 604_800],
        )?;
        let rules = MembershipConfig {
            probe_interval: probe as i64 * 1000,
            retention: forget as i64 * 1_000_000,
            max_members: within(
                text,
                "most_members",
                self.most_members,
                usual.max_members,
                [2, 10_000],
            )?,
            ..usual
        };
        let apart = match &self.share_apart {
            Some(apart) if matches!(apart.get_ref(), ShareApart::Least) => {
                if self.versions.is_none() {
                    // Whether it is cut off, and since when, is known by its lease.
                    return wrong(
                        apart.span().start,
                        "share_apart = \"least\" needs [fleet.versions]",
                    );
                }
                PartitionPolicy::MinimumShare
            }
            _ => PartitionPolicy::KeepShare,
        };
        Ok(Settings {
            apart,
            name: name("name", &self.name)?,
            bind,
            advertise,
            seeds: self.seeds.into_iter().map(Spanned::into_inner).collect(),
            zone: self
                .zone
                .map(|zone| name("zone", &zone))
                .transpose()?
                .unwrap_or_default(),
            rules,
            versions: self
                .versions
                .map(|section| section.read(text))
                .transpose()?,
        })
    }
}
