//! Errors in settings that are valid JSON but have invalid values.

use pipitlever_admission::Micros;
use std::ops::RangeInclusive;

/// An invalid value in the settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The number of classes is outside the supported range.
    #[error("{count} classes, not from {} to {}", .allowed.start(), .allowed.end())]
    ClassCount {
        /// The number of classes given.
        count: usize,
        /// The supported numbers of classes.
        allowed: RangeInclusive<usize>,
    },
    /// A class is invalid.
    #[error("class {name} ({index}): {reason}")]
    Class {
        /// The name of the class.
        name: String,
        /// The position of the class.
        index: usize,
        /// Why the class is invalid.
        reason: ClassError,
    },
    /// A number is not positive.
    #[error("{key} {value} is not above 0")]
    NotPositive {
        /// The platform's key.
        key: &'static str,
        /// The value given.
        value: f64,
    },
    /// A time is outside the supported range.
    #[error(transparent)]
    Time(#[from] TimeOutOfRange),
    /// A keyword is not one that the platform defines.
    #[error("unknown {setting} {keyword}")]
    UnknownKeyword {
        /// The setting that the keyword is for.
        setting: &'static str,
        /// The keyword given.
        keyword: String,
    },
}

/// Why a class is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ClassError {
    /// The name is not valid in the processor's commands or in statistics.
    #[error("the name has to be 1 to {max_bytes} printable characters without ':' and '|'")]
    Name {
        /// The greatest length of a name in bytes.
        max_bytes: usize,
    },
    /// An earlier class has the same name.
    #[error("another class has the same name")]
    DuplicateName,
    /// A time is outside the supported range.
    #[error(transparent)]
    Time(#[from] TimeOutOfRange),
    /// A weight or factor is negative.
    #[error("worth, lateWorth or aimStretch below 0")]
    NegativeWeight,
}

/// A time outside the supported range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key} {value} is not from {} to {}", .allowed.start(), .allowed.end())]
pub struct TimeOutOfRange {
    /// The platform's key.
    pub key: &'static str,
    /// The time given.
    pub value: Micros,
    /// The supported times.
    pub allowed: RangeInclusive<Micros>,
}
