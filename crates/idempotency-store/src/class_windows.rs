//! The idempotency windows of a process's classes.

use crate::record::Intent;
use crate::Micros;
use std::collections::HashMap;

/// The longest window that was in force for each class, by name, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassWindows(HashMap<String, Micros>);

impl FromIterator<(String, Micros)> for ClassWindows {
    fn from_iter<I: IntoIterator<Item = (String, Micros)>>(windows: I) -> ClassWindows {
        ClassWindows(windows.into_iter().collect())
    }
}

impl ClassWindows {
    /// Applies the window in force to an intent that was written with a shorter one. Returns the
    /// difference, in microseconds.
    pub(crate) fn extend(&self, intent: &mut Intent) -> Micros {
        let in_force = self.0.get(&intent.class).copied().unwrap_or(0);
        let extension = in_force.saturating_sub(intent.window).max(0);
        intent.window += extension;
        intent.expires_at = intent.expires_at.saturating_add(extension);
        extension
    }

    /// Adds the windows of another configuration. Returns the longest time by which a window has
    /// become longer, in microseconds. Windows that become shorter stay, so that windows that
    /// change to and fro add up to no more than the longest one.
    pub fn merge(&mut self, new: &ClassWindows) -> Micros {
        let mut longest_extension = 0;
        for (class, &window) in &new.0 {
            let longest = self.0.entry(class.clone()).or_insert(window);
            longest_extension = longest_extension.max(window - *longest);
            *longest = window.max(*longest);
        }
        longest_extension
    }
}
