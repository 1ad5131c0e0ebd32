//! Start of the controller, and changes of its settings, classes and limits.

use crate::class_table::ClassAssignment;
use crate::core::{Core, MIN_CALL_INTERVAL};
use crate::gauges::GaugeSource;
use crate::idempotency_table::WindowOrigin;
use crate::memory_limits::MemoryLimits;
use pipitlever_admission::{Class, Micros, Settings};
use std::collections::HashMap;
use std::rc::Rc;

impl Core {
    /// Starts the controller of a node without a processor, which sends all runs to workers.
    pub fn start_without_processor(&mut self, now: Micros) {
        self.gauges = GaugeSource::RunCount;
        self.start(now, now, false);
    }

    /// Starts the controller, given the start time of the processor and whether it is cold. Later
    /// calls, on further connections to the processor, have no effect.
    pub fn start(&mut self, now: Micros, processor_started_at: Micros, is_cold: bool) {
        if self.admission.is_started() {
            return;
        }
        self.settings.is_cold |= is_cold;
        let mut settings = self.controller_settings();
        if let Some(notice) = self.shutdown {
            notice.adapt(now, &mut settings);
        }
        self.admission.start(settings);
        // The controller counts the warm-up time from its first step.
        self.step(processor_started_at.min(now), &[]);
        self.step(now, &[]);
        self.pass_shutdown_notice(now);
    }

    /// Replaces the settings. Returns whether the controller's settings or the active classes have
    /// changed. Where a class's window becomes longer, the windows of its keys do as well.
    ///
    /// `assignments` are the indexes of the classes from [`crate::ClassTable::assign`]. Open
    /// requests keep the class that they arrived with. `call_interval` is as in [`Core::new`].
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        call_interval: Micros,
        class_names: &[Rc<str>],
        assignments: &[ClassAssignment],
    ) -> bool {
        let previous = (self.settings.clone(), self.classes.active());
        self.classes.apply(class_names, assignments);
        let new_classes = std::mem::take(&mut settings.classes);
        let mut classes = std::mem::take(&mut self.settings.classes);
        for (class, assignment) in new_classes.into_iter().zip(assignments) {
            match classes.get_mut(assignment.index) {
                Some(existing) => *existing = class,
                None => classes.push(class),
            }
        }
        let deadlines = classes.iter().map(|class| class.deadline);
        let read_delay = deadlines.max().unwrap_or(0);
        let windows: HashMap<Rc<str>, Micros> = class_names
            .iter()
            .zip(assignments)
            .map(|(name, assignment)| {
                let class = &classes[assignment.index];
                (name.clone(), class.idempotency_window)
            })
            .collect();
        self.keys.apply_windows(&windows, read_delay);
        if let Some(store) = &mut self.store {
            let windows = windows
                .iter()
                .map(|(class, &time)| (class.to_string(), time));
            store.apply_windows(&windows.collect());
        }
        self.settings = Settings {
            classes,
            is_cold: self.settings.is_cold,
            ..settings
        };
        self.extend_lost_keys();
        self.call_interval = call_interval.max(MIN_CALL_INTERVAL);
        if (&self.settings, self.classes.active()) == (&previous.0, previous.1) {
            return false;
        }
        let active: Vec<_> = assignments
            .iter()
            .map(|assignment| (assignment.index, assignment.previous))
            .collect();
        self.reconfigure_controller(&active);
        true
    }

    /// Sets the limits of this process while another process of the node runs: `share` of the
    /// processor's memory and half of the concurrency. `None` removes the restriction. `limits`
    /// are the new limits of this process's own tables.
    pub fn set_memory_share(&mut self, share: Option<f64>, limits: MemoryLimits) {
        self.key_transfer.memory_share = share;
        self.requests.set_max_bytes(limits.requests);
        self.keys.set_max_bytes(limits.keys);
        let active: Vec<_> = self
            .classes
            .active()
            .into_iter()
            .map(|index| (index, Some(index)))
            .collect();
        self.reconfigure_controller(&active);
    }

    /// The time after the shutdown notice in which arriving requests may still be run, in
    /// microseconds.
    pub fn drain_grace(&self) -> Micros {
        self.settings.safety.drain_grace.max(0)
    }

    /// The longest deadline of the active classes, in microseconds.
    pub fn longest_deadline(&self) -> Micros {
        let deadlines = self
            .classes
            .active()
            .into_iter()
            .map(|index| self.settings.classes[index].deadline);
        deadlines.max().unwrap_or(0)
    }

    /// The definition of the class at an index.
    pub fn class(&self, index: usize) -> &Class {
        &self.settings.classes[index]
    }

    /// The idempotency window of a class in microseconds: that of its definition in force, or of the
    /// one at this index, under which a request may still be open, if that is longer.
    pub(super) fn window_in_force(&self, index: usize) -> Micros {
        let active = self.classes.index_of(self.classes.name(index));
        let window = |index: usize| self.settings.classes[index].idempotency_window;
        active.map_or(0, window).max(window(index))
    }

    /// The end of a key's window: `window_end`, or later if the window in force for its class is
    /// longer than the one that it followed from.
    pub(super) fn window_end_in_force(
        &self,
        origin: Option<&WindowOrigin>,
        window_end: Micros,
    ) -> Micros {
        let in_force = origin.and_then(|origin| {
            let class = self.classes.index_of(&origin.class)?;
            let window = self.settings.classes[class].idempotency_window;
            Some(origin.start.saturating_add(window))
        });
        in_force.map_or(window_end, |end| end.max(window_end))
    }

    /// Whether requests of the class at an index are open.
    pub fn is_class_in_use(&self, index: usize) -> bool {
        self.requests
            .iter()
            .any(|request| request.incoming.class == index)
    }

    /// Passes the settings to the controller, with the indexes of the active classes and their
    /// previous indexes.
    fn reconfigure_controller(&mut self, active: &[(usize, Option<usize>)]) {
        let settings = self.controller_settings();
        if let Some(controller) = self.admission.controller_mut() {
            controller.reconfigure(settings, active);
        }
    }

    /// The settings for the controller, with this process's share of the node's limits.
    fn controller_settings(&self) -> Settings {
        let mut settings = self.settings.clone();
        // The protocol has no command to continue a run without its call, so the controller must
        // not skip calls.
        for class in &mut settings.classes {
            class.skip_call_weight = 0.0;
        }
        if let Some(share) = self.key_transfer.memory_share {
            settings.memory_kb *= share;
            let concurrency = &mut settings.safety.max_concurrency_per_core;
            *concurrency = (*concurrency / 2.0).max(1.0);
        }
        settings
    }
}
