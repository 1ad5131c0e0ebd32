//! The settings as both programs are given them: the adapter in its first message, the node in its
//! configuration. Read here once, into the module's own terms.

#[cfg(feature = "any")]
pub mod any;

use pipitlever_admission::*;
use serde::Deserialize;

/// The most classes of a configuration.
const MOST_CLASSES: usize = 64;
/// The longest time, in microseconds: a day. Sums of some of them must stay far from the end of the
/// numbers.
const MOST_TIME: Micros = 86_400_000_000;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    target: Micros,
    deadline: Micros,
    idempotency: String,
    #[serde(default)]
    memory_span: Micros,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    aim_stretch: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantConfig {
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    below: String,
    blowup: f64,
    #[serde(default)]
    calls_over: Micros,
    #[serde(default)]
    class_calls: Vec<bool>,
    #[serde(default)]
    cold: bool,
    cpus: f64,
    #[serde(default)]
    degraded_worth: Vec<f64>,
    #[serde(default)]
    dep_share: f64,
    #[serde(default)]
    fresh: Micros,
    #[serde(default)]
    gauges: Vec<String>,
    heap_kb: f64,
    #[serde(default)]
    keepalive_max: Micros,
    #[serde(default)]
    key_kb: f64,
    #[serde(default)]
    linger: Micros,
    #[serde(default)]
    passes_deadline: bool,
    say: String,
    stop_mode: String,
    #[serde(default)]
    upstreams: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Clients {
    marks_retry: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    max_retry_after: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SafetyConfig {
    answer_slack: Micros,
    #[serde(default)]
    cold: Micros,
    cold_from: f64,
    drain_grace: Micros,
    tip_after: Micros,
    tip_multiple: f64,
}

/// The settings as the wire has them.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Config {
    categories: Vec<Category>,
    family_info: FamilyInfo,
    #[serde(default)]
    clients: Clients,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    replicas_of_me: f64,
    #[serde(default)]
    round: Micros,
    safety: SafetyConfig,
    #[serde(default)]
    tenants: Vec<TenantConfig>,
    #[serde(default)]
    worth_by: String,
}

fn unknown<T>(what: &str, word: &str) -> Result<T, String> {
    Err(format!("unknown {what} {word}"))
}

impl Config {
    /// The names of the classes, by position.
    pub fn class_names(&self) -> Vec<String> {
        self.categories.iter().map(|c| c.name.clone()).collect()
    }

    /// The names of the tenants, by position.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenants.iter().map(|t| t.name.clone()).collect()
    }

    /// The names of the gauges, in the order in which the processor lists them.
    pub fn gauge_names(&self) -> &[String] {
        &self.family_info.gauges
    }

    /// The shortest gap between two rounds of decisions.
    pub fn round(&self) -> Micros {
        self.round
    }

    /// Whether each further try is marked as one.
    pub fn marks_retry(&self) -> bool {
        self.clients.marks_retry
    }

    /// Whether requests tell how long their caller still waits.
    pub fn passes_deadline(&self) -> bool {
        self.family_info.passes_deadline
    }

    /// Whether nobody can be harmed by them: what is read as a number is also one that makes sense.
    pub fn check(&self) -> Result<(), String> {
        if self.categories.is_empty() || self.categories.len() > MOST_CLASSES {
            return Err(format!(
                "{} classes, not from 1 to {MOST_CLASSES}",
                self.categories.len()
            ));
        }
        for (i, c) in self.categories.iter().enumerate() {
            let wrong = |what: &str| Err(format!("class {} ({i}): {what}", c.name));
            // The processor's commands are lines of words, and the figures' lines end a name with a
            // colon.
            let word = |b: u8| b.is_ascii_graphic() && !b":|".contains(&b);
            if c.name.is_empty() || c.name.len() > 64 || !c.name.bytes().all(word) {
                return wrong("its name is no word of 1 to 64 letters without ':' and '|'");
            }
            if self.categories[..i]
                .iter()
                .any(|other| other.name == c.name)
            {
                return wrong("there are two of this name");
            }
            for (what, time) in [("deadline", c.deadline), ("target", c.target)] {
                if !(1..=MOST_TIME).contains(&time) {
                    return wrong(&format!("{what} {time} is not from 1 to {MOST_TIME}"));
                }
            }
            if !(0..=MOST_TIME).contains(&c.memory_span) {
                return wrong(&format!(
                    "memorySpan {} is not from 0 to {MOST_TIME}",
                    c.memory_span
                ));
            }
            if [c.worth, c.late_worth, c.aim_stretch]
                .iter()
                .any(|v| *v < 0.0)
            {
                return wrong("worth, lateWorth or aimStretch below 0");
            }
        }
        let info = &self.family_info;
        let above = [
            ("cpus", info.cpus),
            ("heapKb", info.heap_kb),
            ("blowup", info.blowup),
        ];
        if let Some((name, value)) = above.into_iter().find(|(_, v)| *v <= 0.0) {
            return Err(format!("{name} {value} is not above 0"));
        }
        let times = [
            ("answerSlack", self.safety.answer_slack),
            ("cold", self.safety.cold),
            ("drainGrace", self.safety.drain_grace),
            ("tipAfter", self.safety.tip_after),
            ("maxRetryAfter", self.limits.max_retry_after),
            ("keepaliveMax", info.keepalive_max),
            ("callsOver", info.calls_over),
            ("linger", info.linger),
            ("fresh", info.fresh),
            ("round", self.round),
        ];
        match times
            .into_iter()
            .find(|(_, time)| !(0..=MOST_TIME).contains(time))
        {
            Some((name, time)) => Err(format!("{name} {time} is not from 0 to {MOST_TIME}")),
            None => Ok(()),
        }
    }

    /// The settings in the library's terms.
    pub fn settings(&self) -> Result<Settings, String> {
        let info = &self.family_info;
        let class = |(i, c): (usize, &Category)| {
            Ok(Class {
                aim: c.target,
                deadline: c.deadline,
                idempotency: match c.idempotency.as_str() {
                    "free" => Idempotency::Free,
                    "guarded" => Idempotency::Keyed,
                    "single_shot" => Idempotency::Unsafe,
                    word => return unknown("idempotency", word),
                },
                window: c.memory_span,
                worth: c.worth,
                late_worth: c.late_worth,
                aim_stretch: c.aim_stretch,
                calls: info.class_calls.get(i).copied().unwrap_or(false),
                skip_worth: info.degraded_worth.get(i).copied().unwrap_or(0.0),
            })
        };
        Ok(Settings {
            classes: self
                .categories
                .iter()
                .enumerate()
                .map(class)
                .collect::<Result<_, String>>()?,
            tenants: self
                .tenants
                .iter()
                .map(|t| Tenant {
                    quota_rps: t.quota_rps,
                })
                .collect(),
            replicas: self.replicas_of_me,
            callers: info.upstreams,
            cores: info.cpus,
            memory_kb: info.heap_kb,
            run_factor: info.blowup,
            key_kb: info.key_kb,
            cold: info.cold,
            below: match info.below.as_str() {
                "silent" => Below::Nothing,
                "shared" => Below::Shared,
                "tier" => Below::Tier,
                word => return unknown("layer below", word),
            },
            call_share: info.dep_share,
            call_span: info.calls_over,
            linger: info.linger,
            fresh: info.fresh,
            halt: match info.stop_mode.as_str() {
                "silent" => HaltMode::Never,
                "abort" => HaltMode::Abort,
                "suspend" => HaltMode::Suspend,
                word => return unknown("stop mode", word),
            },
            level: match info.say.as_str() {
                "silent" => LevelKind::Never,
                "threshold" => LevelKind::Threshold,
                "window" => LevelKind::Window,
                "share_of" => LevelKind::Share,
                word => return unknown("level", word),
            },
            keepalive_max: info.keepalive_max,
            max_backoff: self.limits.max_retry_after,
            over_share_worth: self.over_share_worth,
            worth_by_work: self.worth_by == "work",
            safety: Safety {
                answer_slack: self.safety.answer_slack,
                cold_for: self.safety.cold,
                cold_from: self.safety.cold_from,
                drain_grace: self.safety.drain_grace,
                crowd_span: self.safety.tip_after,
                crowd: self.safety.tip_multiple,
            },
        })
    }
}
