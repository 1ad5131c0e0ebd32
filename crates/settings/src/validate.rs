//! Range checks of the platform's settings.

use crate::error::{ClassError, SettingsError, TimeOutOfRange};
use crate::platform::{ClassSettings, PlatformSettings};
use pipitlever_admission::Micros;
use std::ops::RangeInclusive;

const MAX_CLASSES: usize = 64;
const MAX_CLASS_NAME_BYTES: usize = 64;
/// One day in microseconds. The controller adds several of these times, which must not overflow.
const MAX_TIME: Micros = 86_400_000_000;

impl PlatformSettings {
    /// Checks that all values are in the ranges that the controller and the node can work with.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of range. Keywords are checked by
    /// [`PlatformSettings::controller_settings`].
    pub fn validate(&self) -> Result<(), SettingsError> {
        let allowed = 1..=MAX_CLASSES;
        if !allowed.contains(&self.classes.len()) {
            return Err(SettingsError::ClassCount {
                count: self.classes.len(),
                allowed,
            });
        }
        for (index, class) in self.classes.iter().enumerate() {
            validate_class(class, &self.classes[..index]).map_err(|reason| {
                SettingsError::Class {
                    name: class.name.clone(),
                    index,
                    reason,
                }
            })?;
        }
        self.validate_sizes()?;
        self.validate_times()?;
        Ok(())
    }

    fn validate_sizes(&self) -> Result<(), SettingsError> {
        let sizes = [
            ("cpus", self.server.cores),
            ("heapKb", self.server.memory_kb),
            ("blowup", self.server.run_memory_factor),
        ];
        match sizes.into_iter().find(|(_, value)| *value <= 0.0) {
            Some((key, value)) => Err(SettingsError::NotPositive { key, value }),
            None => Ok(()),
        }
    }

    fn validate_times(&self) -> Result<(), TimeOutOfRange> {
        let (server, safety) = (&self.server, &self.safety);
        let times = [
            ("answerSlack", safety.answer_slack),
            ("cold", safety.warmup_time),
            ("drainGrace", safety.drain_grace),
            ("tipAfter", safety.concurrency_window),
            ("maxRetryAfter", self.limits.max_retry_after),
            ("keepaliveMax", server.max_keepalive),
            ("callsOver", server.call_window),
            ("linger", server.call_linger),
            ("fresh", server.read_cache_ttl),
            ("round", self.decision_interval),
        ];
        times
            .into_iter()
            .try_for_each(|(key, value)| validate_time(key, value, 0..=MAX_TIME))
    }
}

fn validate_class(class: &ClassSettings, earlier: &[ClassSettings]) -> Result<(), ClassError> {
    if !is_valid_class_name(&class.name) {
        return Err(ClassError::Name {
            max_bytes: MAX_CLASS_NAME_BYTES,
        });
    }
    if earlier.iter().any(|other| other.name == class.name) {
        return Err(ClassError::DuplicateName);
    }
    validate_time("deadline", class.deadline, 1..=MAX_TIME)?;
    validate_time("target", class.latency_objective, 1..=MAX_TIME)?;
    validate_time("memorySpan", class.idempotency_window, 0..=MAX_TIME)?;
    let weights = [
        class.priority_weight,
        class.late_weight,
        class.objective_per_cost,
    ];
    if weights.iter().any(|weight| *weight < 0.0) {
        return Err(ClassError::NegativeWeight);
    }
    Ok(())
}

/// Class names occur in the processor's commands, which are split at blanks, and in lines of
/// statistics, where `:` and `|` end a name.
fn is_valid_class_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b":|".contains(&byte);
    !name.is_empty() && name.len() <= MAX_CLASS_NAME_BYTES && name.bytes().all(is_allowed)
}

fn validate_time(
    key: &'static str,
    value: Micros,
    allowed: RangeInclusive<Micros>,
) -> Result<(), TimeOutOfRange> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(TimeOutOfRange {
        key,
        value,
        allowed,
    })
}
