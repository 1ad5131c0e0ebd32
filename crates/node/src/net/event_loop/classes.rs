//! Definitions of the request classes, by index in the core's class table.

use super::RequestSettings;
use crate::net::worker_pools::routes::Backend;
use pipitlever_admission::Idempotency;
use pipitlever_core::ClassAssignment;
use std::ops::Index;
use std::rc::Rc;

/// The workers that serve a class.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRoute {
    /// Path under which the workers serve the class.
    pub path: String,
    /// Index of the workers' pool.
    pub pool: usize,
    /// Whether attempts with the same idempotency key go to the same worker.
    pub is_sticky: bool,
}

/// The definition of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDefinition {
    /// Name of the class.
    pub name: Rc<str>,
    /// Whether requests of the class carry an idempotency key.
    pub is_keyed: bool,
    /// Whether a request of the class may run more than once.
    pub is_idempotent: bool,
    /// The workers that serve the class; none if the processor serves it.
    pub worker_route: Option<WorkerRoute>,
    /// Priority of requests whose protocol carries none: the middle of the class's priority band.
    pub default_priority: f64,
}

impl ClassDefinition {
    /// Whether workers serve the class.
    pub fn is_on_workers(&self) -> bool {
        self.worker_route.is_some()
    }

    /// Whether two definitions are the same apart from the default priority. The priority band
    /// moves whenever another class is added, which does not redefine this class.
    pub fn is_same_as(&self, other: &ClassDefinition) -> bool {
        self.name == other.name
            && self.is_keyed == other.is_keyed
            && self.is_idempotent == other.is_idempotent
            && self.worker_route == other.worker_route
    }
}

/// All definitions. The index of a definition is the index of its class in the core.
#[derive(Debug)]
pub struct ClassDefinitions(Vec<ClassDefinition>);

impl Index<usize> for ClassDefinitions {
    type Output = ClassDefinition;

    fn index(&self, class: usize) -> &ClassDefinition {
        &self.0[class]
    }
}

impl ClassDefinitions {
    /// Defines the classes of a configuration, in the same order.
    pub fn new(settings: &RequestSettings) -> ClassDefinitions {
        let definitions = settings
            .classes
            .iter()
            .zip(&settings.admission.classes)
            .map(|(name, class)| define(name, class, settings));
        ClassDefinitions(definitions.collect())
    }

    /// Names of the classes, by index.
    pub fn names(&self) -> Vec<Rc<str>> {
        self.0.iter().map(|class| class.name.clone()).collect()
    }

    /// Whether workers serve any class.
    pub fn any_on_workers(&self) -> bool {
        self.0.iter().any(ClassDefinition::is_on_workers)
    }

    /// Replaces the definitions at the assigned indices by those of another configuration. Other
    /// definitions stay, as requests of their classes may still be open.
    pub fn replace(&mut self, new: ClassDefinitions, assignments: &[ClassAssignment]) {
        for (definition, assignment) in new.0.into_iter().zip(assignments) {
            match self.0.get_mut(assignment.index) {
                Some(slot) => *slot = definition,
                None => self.0.push(definition),
            }
        }
    }
}

/// Defines a class. Classes have equal bands of priority, in ascending order of priority weight.
fn define(
    name: &str,
    class: &pipitlever_admission::Class,
    settings: &RequestSettings,
) -> ClassDefinition {
    let all = &settings.admission.classes;
    let lower = all
        .iter()
        .filter(|other| other.priority_weight < class.priority_weight)
        .count() as f64;
    let uwsgi = &settings.uwsgi;
    let route = uwsgi
        .routes
        .iter()
        .find(|route| route.class == name && route.backend == Backend::Workers);
    ClassDefinition {
        name: name.into(),
        is_keyed: class.idempotency == Idempotency::Keyed,
        is_idempotent: class.idempotency == Idempotency::Idempotent,
        worker_route: route.map(|route| WorkerRoute {
            path: route.path.clone(),
            pool: uwsgi.pool_index(route),
            is_sticky: route.sticky,
        }),
        default_priority: (lower + 0.5) / all.len() as f64,
    }
}
