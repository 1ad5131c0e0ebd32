//! The parameters of an imported worker, and its table in the operator file.

use pipitlever_load_balancing::pool::{Member, MemberMode};
use std::net::SocketAddr;

/// Most concurrent runs that the operator file accepts for a worker.
const MAX_RUNS: usize = 1024;
/// Highest tier that is accepted.
const MAX_TIER: u32 = 1_000_000;
/// Range of a weight.
const WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// The parameters of a worker; those that are not given have the operator file's defaults.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerParameters {
    weight: Option<f64>,
    tier: Option<u32>,
    is_standby: bool,
    mode: MemberMode,
    max_runs: Option<usize>,
}

impl WorkerParameters {
    /// The worker at this address.
    pub fn member(self, address: SocketAddr) -> Member<SocketAddr> {
        let default = Member::new(address);
        Member {
            weight: self.weight.unwrap_or(default.weight),
            tier: self.tier.unwrap_or(default.tier),
            is_standby: self.is_standby,
            mode: self.mode,
            max_runs: self.max_runs.unwrap_or(default.max_runs),
            ..default
        }
    }

    /// Sets one parameter by its name in either kind of file. Fails if the value is invalid or
    /// cannot be converted.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        match key {
            "loadfactor" | "lbfactor" => {
                let weight = value.parse().ok().filter(|w| WEIGHT_RANGE.contains(w));
                let message = || format!("not a weight from 0.01 to 100: {value}");
                self.weight = Some(weight.ok_or_else(message)?);
            }
            // Both programs prefer the lowest number, and use the next one when no worker with it
            // is usable.
            "lbset" | "distance" => {
                let tier = value.parse().ok().filter(|tier| *tier <= MAX_TIER);
                self.tier = Some(tier.ok_or_else(|| format!("invalid {key}: {value}"))?);
            }
            "max" => {
                let runs = value
                    .parse()
                    .ok()
                    .filter(|runs| (1..=MAX_RUNS).contains(runs));
                let message = || format!("not a number of runs from 1 to {MAX_RUNS}: {value}");
                self.max_runs = Some(runs.ok_or_else(message)?);
            }
            "activation" => self.mode = activation(value)?,
            "status" => return self.set_status(value),
            _ => return Err(format!("unknown parameter: {key}={value}")),
        }
        Ok(())
    }

    /// Applies Apache's status flags. A sign applies to all flags up to the next sign.
    fn set_status(&mut self, flags: &str) -> Result<(), String> {
        let mut is_set = true;
        let mut unsupported = String::new();
        for flag in flags.chars() {
            match flag.to_ascii_uppercase() {
                '+' => is_set = true,
                '-' => is_set = false,
                'D' | 'S' => self.set_mode(MemberMode::Disabled, is_set),
                'N' => self.set_mode(MemberMode::Draining, is_set),
                'H' => self.is_standby = is_set,
                _ => unsupported.push(flag),
            }
        }
        if unsupported.is_empty() {
            return Ok(());
        }
        Err(format!("status={flags}: not converted: {unsupported}"))
    }

    /// Sets a mode, or resets it if it is the current one.
    fn set_mode(&mut self, mode: MemberMode, is_set: bool) {
        if is_set {
            self.mode = mode;
        } else if self.mode == mode {
            self.mode = MemberMode::Active;
        }
    }
}

/// Converts mod_jk's activation. Its 'disabled' still serves the worker's existing sessions.
fn activation(value: &str) -> Result<MemberMode, String> {
    match value.to_ascii_lowercase().as_str() {
        "a" | "active" => Ok(MemberMode::Active),
        "d" | "disabled" => Ok(MemberMode::Draining),
        "s" | "stopped" => Ok(MemberMode::Disabled),
        _ => Err(format!("unknown activation: {value}")),
    }
}

/// Renders a worker's table of the operator file, with the keys that differ from their defaults.
pub fn worker_table(name: &str, member: &Member<SocketAddr>) -> String {
    let default = Member::new(member.address);
    let mut text = format!("\n[[{name}]]\naddress = \"{}\"\n", member.address);
    if member.weight != default.weight {
        text += &format!("weight = {:?}\n", member.weight);
    }
    if member.tier != default.tier {
        text += &format!("tier = {}\n", member.tier);
    }
    if member.is_standby {
        text += "spare = true\n";
    }
    match member.mode {
        MemberMode::Active => {}
        MemberMode::Draining => text += "use = \"draining\"\n",
        MemberMode::Disabled => text += "use = \"disabled\"\n",
    }
    if member.max_runs != default.max_runs {
        text += &format!("most_runs = {}\n", member.max_runs);
    }
    text
}
