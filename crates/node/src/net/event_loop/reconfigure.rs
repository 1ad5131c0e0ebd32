//! Applies a new configuration, or new limits, while the node runs.

use super::classes::ClassDefinitions;
use super::connection_limits::ConnectionLimits;
use super::{NodeState, ProcessLimits, RequestSettings, Upstreams};
use pipitlever_core::{ClassAssignment, TooManyClasses};
use std::rc::Rc;

/// The classes of a new configuration and their indices in the core's class table.
struct AssignedClasses {
    definitions: ClassDefinitions,
    names: Vec<Rc<str>>,
    assignments: Vec<ClassAssignment>,
}

impl NodeState {
    /// Names of the classes, by index.
    pub fn class_names(&self) -> Vec<String> {
        self.core.classes.names()
    }

    /// Checks that the class table has a slot for each class of a new configuration.
    pub fn check_classes(&self, new: &RequestSettings) -> Result<(), TooManyClasses> {
        self.assign_classes(new).map(drop)
    }

    fn assign_classes(&self, new: &RequestSettings) -> Result<AssignedClasses, TooManyClasses> {
        let definitions = ClassDefinitions::new(new);
        let names = definitions.names();
        let core = &self.core;
        let is_unchanged = |index: usize, class: usize| {
            self.classes[index].is_same_as(&definitions[class])
                && *core.class(index) == new.admission.classes[class]
        };
        let assignments = core
            .classes
            .assign(&names, is_unchanged, |index| core.is_class_in_use(index))?;
        Ok(AssignedClasses {
            definitions,
            names,
            assignments,
        })
    }

    /// Applies the settings, classes and routes of a new configuration, and returns whether the
    /// admission controller's settings changed. On an error nothing has been applied.
    pub fn reconfigure(&mut self, new: RequestSettings) -> Result<bool, TooManyClasses> {
        let AssignedClasses {
            definitions,
            names,
            assignments,
        } = self.assign_classes(&new)?;
        self.classes.replace(definitions, &assignments);
        self.uwsgi.routes = new.uwsgi.routes;
        self.gauge_names = new.gauges;
        self.tenants = new.tenants;
        self.core.retries_are_marked = new.retries_are_marked;
        let is_changed =
            self.core
                .reconfigure(new.admission, new.min_round_interval, &names, &assignments);
        self.notify_drivers();
        Ok(is_changed)
    }

    /// Changes the addresses of the services that the node connects to. Runs and calls in flight at
    /// the old addresses may still complete.
    pub fn set_upstreams(&mut self, upstreams: Upstreams) {
        self.processor.set_address(upstreams.processor);
        self.ledger.set_address(upstreams.ledger);
        self.registry_address = upstreams.registry;
        self.pools.set_pools(upstreams.pools, self.clock.now());
    }

    /// Sets the limits, for a process that does not share them yet.
    pub fn set_limits(&mut self, limits: ProcessLimits) {
        self.limits = ConnectionLimits::new(limits);
    }

    /// Sets this process's share of the processor's memory while another process of the node runs,
    /// and halves all other limits; `None` restores the limits of a node's only process.
    pub fn set_memory_share(&mut self, share: Option<f64>) {
        let memory_limits = self.limits.set_shared(share.is_some());
        self.connections.set_limits(memory_limits);
        self.core.set_memory_share(share, memory_limits);
    }
}
