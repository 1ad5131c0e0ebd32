//! `[[pool]]`: named pools of workers.

use crate::config::operator::error::{within, FileError};
use crate::net::worker_pools::routes::{
    PoolSettings, SessionSettings, SubsetSettings, WorkerLabel,
};
use pipitlever_load_balancing::pool::{Member, MemberMode};
use pipitlever_membership::record::MAX_NAME_BYTES;
use pipitlever_session_affinity::table::MAX_IDLE_SECONDS;
use pipitlever_subsetting::load_report::MAX_POOLS;
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// One `[[pool]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSection {
    name: Spanned<String>,
    fallback: Option<Spanned<String>>,
    /// Whether each node of the fleet uses a subset of the pool's workers.
    #[serde(default)]
    share: bool,
    /// Approximate number of workers that each node uses.
    subset: Option<Spanned<usize>>,
    /// The pool's earlier names, the oldest first.
    #[serde(default)]
    was: Vec<String>,
    affinity: Option<Spanned<AffinitySection>>,
    #[serde(default)]
    member: Vec<WorkerEntry>,
}

/// `[pool.affinity]`: session affinity.
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
                "session: the name of the variable is empty",
            ));
        }
        Ok(SessionSettings {
            variable: self.session.into_inner(),
            idle_timeout_seconds: within(
                text,
                "idle_s",
                self.idle_s,
                8 * 3600,
                [60, MAX_IDLE_SECONDS],
            )?,
            failure_grace: within(text, "patience_ms", self.patience_ms, 5_000, [0, 3_600_000])?
                * 1000,
            drain_grace: within(text, "linger_s", self.linger_s, 3600, [0, 30 * 86_400])?
                * 1_000_000,
        })
    }
}

/// Default number of workers that each node uses of a shared pool.
const DEFAULT_SUBSET: usize = 20;

/// Range of the number of workers that each node uses of a shared pool.
const SUBSET_RANGE: [usize; 2] = [1, 1000];

/// Reads all pools, in the order of the file. Their positions start at 1: position 0 is the unnamed
/// pool.
pub fn read_pools(text: &str, sections: Vec<PoolSection>) -> Result<Vec<PoolSettings>, FileError> {
    let names: Vec<String> = sections.iter().map(|s| s.name.get_ref().clone()).collect();
    let offsets: Vec<usize> = sections.iter().map(|s| s.name.span().start).collect();
    let read = |section: PoolSection| section.read(text, &names);
    let pools = sections
        .into_iter()
        .map(read)
        .collect::<Result<Vec<_>, _>>()?;
    check_fallbacks(&pools)?;
    check_shared_count(text, &pools, &offsets)?;
    Ok(pools)
}

/// Checks the number of shared pools, which the size of a node's load report limits.
fn check_shared_count(
    text: &str,
    pools: &[PoolSettings],
    offsets: &[usize],
) -> Result<(), FileError> {
    let mut shared = pools
        .iter()
        .zip(offsets)
        .filter(|(p, _)| p.subsetting.is_some());
    match shared.nth(MAX_POOLS) {
        Some((pool, offset)) => {
            let message = format!(
                "pool {}: share = true is possible for at most {MAX_POOLS} pools",
                pool.name
            );
            Err(FileError::at(text, *offset, message))
        }
        None => Ok(()),
    }
}

impl PoolSection {
    fn read(self, text: &str, names: &[String]) -> Result<PoolSettings, FileError> {
        let (name, offset) = (self.name.get_ref().clone(), self.name.span().start);
        if name.is_empty() || names.iter().filter(|n| **n == name).count() > 1 {
            let message = format!("pool name is empty or used twice: {name:?}");
            return Err(FileError::at(text, offset, message));
        }
        if self.member.is_empty() {
            let message = format!("pool {name} has no member");
            return Err(FileError::at(text, offset, message));
        }
        let fallback = find_fallback(text, &name, self.fallback.as_ref(), names);
        let shared = read_subset(text, &name, self.share, self.subset.as_ref())?;
        let affinity_offset = self.affinity.as_ref().map_or(0, |a| a.span().start);
        let sessions = self.affinity.map(|section| section.into_inner().read(text));
        let sessions = sessions.transpose()?;
        if shared.is_some() && sessions.is_some() && self.subset.is_some() {
            // A session may be assigned to any worker, whichever node its client reaches.
            let message = format!(
                "pool {name}: subset is not possible with [pool.affinity], which needs all workers"
            );
            return Err(FileError::at(text, affinity_offset, message));
        }
        let all_workers = SubsetSettings {
            subset_size: usize::MAX,
        };
        let shared = match sessions {
            Some(_) => shared.map(|_| all_workers),
            None => shared,
        };
        let labels = read_labels(text, &self.member)?;
        let members = read_members(text, &[], self.member)?;
        Ok(PoolSettings {
            name,
            fallback: fallback?,
            members,
            labels,
            subsetting: shared,
            previous_names: self.was,
            sessions,
        })
    }
}

/// The position of the fallback pool, if one is named.
fn find_fallback(
    text: &str,
    pool: &str,
    fallback: Option<&Spanned<String>>,
    names: &[String],
) -> Result<Option<usize>, FileError> {
    let Some(fallback) = fallback else {
        return Ok(None);
    };
    let wanted = fallback.get_ref();
    let found = names.iter().position(|name| name == wanted && name != pool);
    let Some(position) = found else {
        let message = format!("no other pool {wanted}");
        return Err(FileError::at(text, fallback.span().start, message));
    };
    Ok(Some(position + 1))
}

/// The settings of subsetting, if the pool is shared.
fn read_subset(
    text: &str,
    pool: &str,
    is_shared: bool,
    subset: Option<&Spanned<usize>>,
) -> Result<Option<SubsetSettings>, FileError> {
    if is_shared {
        let subset = within(
            text,
            "subset",
            subset.cloned(),
            DEFAULT_SUBSET,
            SUBSET_RANGE,
        )?;
        return Ok(Some(SubsetSettings {
            subset_size: subset,
        }));
    }
    match subset {
        Some(subset) => {
            let message = format!("pool {pool}: subset is for a pool with share = true");
            Err(FileError::at(text, subset.span().start, message))
        }
        None => Ok(None),
    }
}

/// Checks that every chain of fallbacks ends.
fn check_fallbacks(pools: &[PoolSettings]) -> Result<(), FileError> {
    for (start, pool) in pools.iter().enumerate() {
        let next = |position: &usize| pools[*position - 1].fallback;
        let mut chain = std::iter::successors(Some(start + 1), next);
        if chain.nth(pools.len()).is_some() {
            return Err(FileError::Pool {
                pool: pool.name.clone(),
                message: "its fallback pools form a cycle".into(),
            });
        }
    }
    Ok(())
}

/// Names and zones of a named pool's members. The default name of a member is its address.
fn read_labels(text: &str, entries: &[WorkerEntry]) -> Result<Vec<WorkerLabel>, FileError> {
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
                format!("name: not 1 to {MAX_NAME_BYTES} bytes long"),
            ));
        }
        if all.iter().any(|l| l.name == name) {
            return Err(FileError::at(
                text,
                at,
                format!("two members are named {name}"),
            ));
        }
        all.push(WorkerLabel {
            name,
            zone: text_of(&entry.zone).unwrap_or_default(),
        });
    }
    Ok(all)
}

/// The offset in the text of the first `name` or `zone`, which only members of a named pool may
/// have.
pub fn find_label_offset(entries: &[WorkerEntry]) -> Option<usize> {
    entries
        .iter()
        .find_map(|e| e.name.as_ref().or(e.zone.as_ref()).map(|s| s.span().start))
}

/// Reads members. Each address may occur once, and not among the `known` ones.
pub fn read_members(
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
                format!("{address} occurs twice"),
            ));
        }
        let default = Member::new(address);
        all.push(Member {
            weight: within(text, "weight", entry.weight, default.weight, [0.01, 100.0])?,
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
                default.max_runs,
                [1, 1024],
            )?,
            ..default
        });
    }
    Ok(all)
}

/// A worker with settings of its own: `[[uwsgi.worker]]` or `[[pool.member]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEntry {
    address: Spanned<SocketAddr>,
    /// The worker's name, independent of its address.
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

/// Whether a worker receives runs.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Usage {
    #[default]
    On,
    Draining,
    Disabled,
}
