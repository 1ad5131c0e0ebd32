//! The platform's settings: the JSON that the adapter receives in its first message and the node in
//! its configuration file.
//!
//! [`PlatformSettings`] mirrors that JSON and is the only place where the platform's key names
//! occur. [`PlatformSettings::validate`] checks ranges, and
//! [`PlatformSettings::controller_settings`] converts the values to the admission controller's
//! settings. All times are microseconds, all memory sizes kilobytes.

#[cfg(feature = "arbitrary")]
pub mod arbitrary;
mod controller;
mod error;
mod platform;
mod validate;

pub use error::{ClassError, SettingsError, TimeOutOfRange};
pub use platform::PlatformSettings;
