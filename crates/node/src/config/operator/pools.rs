//! `[[pool]]` of the operator's file, and the workers in it.

use crate::config::operator::error::{within, FileError};
use crate::net::worker_pools::routes::{
    PoolSettings, SessionSettings, SubsetSettings, WorkerLabel,
};
use pipitlever_load_balancing::pool::{Member, MemberMode};
use pipitlever_membership::record::MAX_NAME_BYTES;
use pipitlever_session_affinity::table::MAX_IDLE_SECONDS;
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// A pool with a name.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSection {
    name: Spanned<String>,
    fallback: Option<Spanned<String>>,
    /// The nodes of the fleet divide it among themselves, each with about so many of its workers.
    #[serde(default)]
    share: bool,
    subset: Option<Spanned<usize>>,
    /// What it was called before, the oldest first.
    #[serde(default)]
    was: Vec<String>,
    affinity: Option<Spanned<AffinitySection>>,
    #[serde(default)]
    member: Vec<WorkerEntry>,
}

/// `[pool.affinity]`: how sessions stay with their workers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AffinitySection {
    session: Spanned<String>,
    idle_s: Option<Spanned<u32>>,
    patience_ms: Option<Spanned<i64>>,
    linger_s: Option<Spanned<i64>>,
}

impl AffinitySection {
    fn read(self, text: &str) -> Result<SessionSettings, FileError> {
        if self.session.get_ref().is_empty() {
            return Err(FileError::at(
                text,
                self.session.span().start,
                "session: the variable that names it",
            ));
        }
        Ok(SessionSettings {
            variable: self.session.into_inner(),
            idle_s: within(
                text,
                "idle_s",
                self.idle_s,
                8 * 3600,
                [60, MAX_IDLE_SECONDS],
            )?,
            patience: within(text, "patience_ms", self.patience_ms, 5_000, [0, 3_600_000])? * 1000,
            linger: within(text, "linger_s", self.linger_s, 3600, [0, 30 * 86_400])? * 1_000_000,
        })
    }
}

/// Workers that a node uses of a pool that is shared, where the file doesn't say.
const SUBSET: usize = 20;

/// Reads pools, in the order of the file; the first place is that of `workers`.
pub fn pools(text: &str, sections: Vec<PoolSection>) -> Result<Vec<PoolSettings>, FileError> {
    let names: Vec<String> = sections.iter().map(|s| s.name.get_ref().clone()).collect();
    let mut all = Vec::new();
    for section in sections {
        let (name, at) = (section.name.get_ref().clone(), section.name.span().start);
        if name.is_empty() || names.iter().filter(|n| **n == name).count() > 1 {
            return Err(FileError::at(
                text,
                at,
                format!("a pool needs a name of its own: {name:?}"),
            ));
        }
        if section.member.is_empty() {
            return Err(FileError::at(
                text,
                at,
                format!("pool {name} has no member"),
            ));
        }
        let fallback = section.fallback.map(|fallback| {
            let at = fallback.span().start;
            let found = names
                .iter()
                .position(|n| n == fallback.get_ref() && *n != name);
            found.map(|i| i + 1).ok_or_else(|| {
                FileError::at(text, at, format!("no other pool {}", fallback.get_ref()))
            })
        });
        let subset_given = section.subset.is_some();
        let shared = match (section.share, section.subset) {
            (false, Some(subset)) => {
                let what = format!("pool {name}: subset is for a pool with share = true");
                return Err(FileError::at(text, subset.span().start, what));
            }
            (false, None) => None,
            (true, subset) => Some(SubsetSettings {
                subset: within(text, "subset", subset, SUBSET, [1, 1000])?,
            }),
        };
        let at = section.affinity.as_ref().map_or(0, |a| a.span().start);
        let sessions = section
            .affinity
            .map(|a| a.into_inner().read(text))
            .transpose()?;
        let shared = match (shared, &sessions) {
            (Some(_), Some(_)) if subset_given => {
                // A session may live with any of them, whichever node its client reaches.
                let what = format!(
                    "pool {name}: its nodes use all workers, as sessions stay with theirs: no subset"
                );
                return Err(FileError::at(text, at, what));
            }
            (Some(_), Some(_)) => Some(SubsetSettings { subset: usize::MAX }),
            (shared, _) => shared,
        };
        let labels = labels(text, &section.member)?;
        let members = members(text, &[], section.member)?;
        let (fallback, was) = (fallback.transpose()?, section.was);
        all.push(PoolSettings {
            name,
            fallback,
            members,
            labels,
            shared,
            was,
            sessions,
        });
    }
    // Whoever follows the fall-backs must come to an end.
    for start in 1..=all.len() {
        let next = |i: &usize| all[*i - 1].fallback;
        if std::iter::successors(Some(start), next)
            .nth(all.len())
            .is_some()
        {
            return Err(FileError::Pool {
                pool: all[start - 1].name.clone(),
                message: "its fall-backs go round in a circle".into(),
            });
        }
    }
    Ok(all)
}

/// What the members of a pool with a name are called, and where they stand. One that has no name
/// goes by its address.
fn labels(text: &str, entries: &[WorkerEntry]) -> Result<Vec<WorkerLabel>, FileError> {
    let mut all: Vec<WorkerLabel> = Vec::new();
    for entry in entries {
        let text_of = |s: &Option<Spanned<String>>| s.as_ref().map(|s| s.get_ref().clone());
        let name = text_of(&entry.name).unwrap_or_else(|| entry.address.get_ref().to_string());
        let at = entry
            .name
            .as_ref()
            .map_or(entry.address.span().start, |n| n.span().start);
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(FileError::at(
                text,
                at,
                format!("name: it has 1 to {MAX_NAME_BYTES} bytes"),
            ));
        }
        if all.iter().any(|l| l.name == name) {
            return Err(FileError::at(
                text,
                at,
                format!("the name {name} is given twice"),
            ));
        }
        all.push(WorkerLabel {
            name,
            zone: text_of(&entry.zone).unwrap_or_default(),
        });
    }
    Ok(all)
}

/// Whether any of them has what only members of a pool with a name may have: the place of that, in
/// bytes.
pub fn find_label(entries: &[WorkerEntry]) -> Option<usize> {
    entries
        .iter()
        .find_map(|e| e.name.as_ref().or(e.zone.as_ref()).map(|s| s.span().start))
}

/// Reads members, none of which may be among those that are known.
pub fn members(
    text: &str,
    known: &[SocketAddr],
    entries: Vec<WorkerEntry>,
) -> Result<Vec<Member<SocketAddr>>, FileError> {
    let mut all: Vec<Member<SocketAddr>> = Vec::new();
    for entry in entries {
        let address = *entry.address.get_ref();
        if known.contains(&address) || all.iter().any(|m| m.address == address) {
            return Err(FileError::at(
                text,
                entry.address.span().start,
                format!("{address} is named twice"),
            ));
        }
        let usual = Member::new(address);
        all.push(Member {
            weight: within(text, "weight", entry.weight, usual.weight, [0.01, 100.0])?,
            tier: entry.tier,
            is_standby: entry.spare,
            mode: match entry.usage {
                Usage::On => MemberMode::Active,
                Usage::Draining => MemberMode::Draining,
                Usage::Disabled => MemberMode::Disabled,
            },
            max_runs: within(
                text,
                "most_runs",
                entry.most_runs,
                usual.max_runs,
                [1, 1024],
            )?,
            ..usual
        });
    }
    Ok(all)
}

/// A worker of which more is said than where it is.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEntry {
    address: Spanned<SocketAddr>,
    /// What it is called, wherever it is; and where that is.
    name: Option<Spanned<String>>,
    zone: Option<Spanned<String>>,
    weight: Option<Spanned<f64>>,
    #[serde(default)]
    tier: u32,
    #[serde(default)]
    spare: bool,
    #[serde(default, rename = "use")]
    usage: Usage,
    most_runs: Option<Spanned<usize>>,
}

/// Whether a worker gets runs.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Usage {
    #[default]
    On,
    Draining,
    Disabled,
}
