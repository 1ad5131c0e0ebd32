//! Table of request classes: the active ones, and those that open requests still belong to.
//!
//! A class keeps its index while one of its requests is open, even if a new configuration removes
//! or redefines the class. Counters are kept by class name, also after the class is removed.

use crate::counters::ClassCounters;
use std::rc::Rc;
use thiserror::Error;

/// Limit on classes, active or with open requests, and on class names with counters. It bounds the
/// size of the table over any number of reconfigurations.
pub const MAX_CLASSES: usize = 256;

/// The classes of a new configuration do not fit into the table.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("more than {MAX_CLASSES} classes since the start, or with requests still open")]
pub struct TooManyClasses;

#[derive(Clone, Debug)]
struct Slot {
    name: Rc<str>,
    /// Whether the current configuration defines the class, so that it accepts new requests.
    is_active: bool,
    /// Index of the counters for this class name.
    counters: usize,
}

#[derive(Clone, Debug)]
struct NamedCounters {
    name: Rc<str>,
    counters: ClassCounters,
}

/// The index assigned to a class of a new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassAssignment {
    /// The assigned index in the class table.
    pub index: usize,
    /// The previous index of the class of this name; equal to `index` if the definition has not
    /// changed, `None` if the class is new.
    pub previous: Option<usize>,
}

/// All classes, by index.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    slots: Vec<Slot>,
    counters: Vec<NamedCounters>,
}

impl ClassTable {
    /// A table of the classes of these names, in this order.
    pub fn new(names: &[Rc<str>]) -> ClassTable {
        let mut table = ClassTable::default();
        let assignments: Vec<ClassAssignment> = (0..names.len())
            .map(|index| ClassAssignment {
                index,
                previous: None,
            })
            .collect();
        table.apply(names, &assignments);
        table
    }

    /// Computes the indexes of the classes of a configuration, given their names in its order. The
    /// table itself does not change.
    ///
    /// `is_same(index, class)` returns whether the existing class at `index` has the same
    /// definition as the class at position `class` of the configuration; `is_in_use(index)` returns
    /// whether the existing class has open requests.
    ///
    /// # Errors
    ///
    /// [`TooManyClasses`] if the table would exceed [`MAX_CLASSES`].
    pub fn assign(
        &self,
        names: &[Rc<str>],
        is_same: impl Fn(usize, usize) -> bool,
        is_in_use: impl Fn(usize) -> bool,
    ) -> Result<Vec<ClassAssignment>, TooManyClasses> {
        let previous: Vec<Option<usize>> = names
            .iter()
            .map(|name| self.latest_index_of(name))
            .collect();
        let unchanged: Vec<Option<usize>> = previous
            .iter()
            .enumerate()
            .map(|(class, previous)| previous.filter(|&index| is_same(index, class)))
            .collect();
        // Unchanged classes keep their indexes, so these are reserved before any other class takes
        // a free one: an unchanged class that was inactive may come later in the configuration.
        let mut assigned = vec![false; self.slots.len()];
        for &index in unchanged.iter().flatten() {
            assigned[index] = true;
        }
        let mut assignments = Vec::with_capacity(names.len());
        for (previous, unchanged) in previous.into_iter().zip(unchanged) {
            let is_free = |&index: &usize| {
                !self.slots[index].is_active && !is_in_use(index) && !assigned[index]
            };
            let reusable = || (0..self.slots.len()).find(is_free);
            let index = unchanged.or_else(reusable).unwrap_or(assigned.len());
            if index == assigned.len() {
                assigned.push(false);
            }
            assigned[index] = true;
            assignments.push(ClassAssignment { index, previous });
        }
        let new_names = names.iter().filter(|name| !self.has_counters(name)).count();
        if assigned.len().max(self.counters.len() + new_names) > MAX_CLASSES {
            return Err(TooManyClasses);
        }
        Ok(assignments)
    }

    /// Activates these classes at the indexes from [`ClassTable::assign`] and deactivates all
    /// others.
    pub fn apply(&mut self, names: &[Rc<str>], assignments: &[ClassAssignment]) {
        for slot in &mut self.slots {
            slot.is_active = false;
        }
        for (name, assignment) in names.iter().zip(assignments) {
            let slot = Slot {
                name: name.clone(),
                is_active: true,
                counters: self.counters_index(name),
            };
            match self.slots.get_mut(assignment.index) {
                Some(existing) => *existing = slot,
                None => self.slots.push(slot),
            }
        }
    }

    /// The index of the active class with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.slots
            .iter()
            .position(|slot| slot.is_active && &*slot.name == name)
    }

    /// The name of the class at an index.
    pub fn name(&self, index: usize) -> &str {
        &self.slots[index].name
    }

    /// Like [`ClassTable::name`], without a copy of the text.
    pub(crate) fn shared_name(&self, index: usize) -> Rc<str> {
        self.slots[index].name.clone()
    }

    /// The indexes of the active classes, in ascending order.
    pub fn active(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|&index| self.slots[index].is_active)
            .collect()
    }

    /// The names of all classes by index, inactive ones included.
    pub fn names(&self) -> Vec<String> {
        self.slots
            .iter()
            .map(|slot| slot.name.to_string())
            .collect()
    }

    /// The counters of the class at an index.
    pub fn counters_mut(&mut self, index: usize) -> &mut ClassCounters {
        &mut self.counters[self.slots[index].counters].counters
    }

    /// The counters of every class since the start, by name.
    pub fn counters(&self) -> impl Iterator<Item = (&str, ClassCounters)> {
        self.counters
            .iter()
            .map(|named| (&*named.name, named.counters))
    }

    /// The number of indexes in use, inactive classes included.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the table has no class.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The index of the active class with this name, or else of the last inactive one.
    fn latest_index_of(&self, name: &str) -> Option<usize> {
        (0..self.slots.len())
            .filter(|&index| &*self.slots[index].name == name)
            .max_by_key(|&index| self.slots[index].is_active)
    }

    fn has_counters(&self, name: &str) -> bool {
        self.counters.iter().any(|named| &*named.name == name)
    }

    fn counters_index(&mut self, name: &Rc<str>) -> usize {
        let existing = self.counters.iter().position(|named| named.name == *name);
        existing.unwrap_or_else(|| {
            self.counters.push(NamedCounters {
                name: name.clone(),
                counters: ClassCounters::default(),
            });
            self.counters.len() - 1
        })
    }
}
