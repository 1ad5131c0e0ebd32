//! The class table: stable indexes across reconfigurations, counters by name, bounded size.

use pipitlever_core::{ClassAssignment, ClassTable, MAX_CLASSES};
use std::rc::Rc;

fn names(list: &str) -> Vec<Rc<str>> {
    list.split(' ').map(Rc::from).collect()
}

fn indexes(assignments: &[ClassAssignment]) -> Vec<(usize, Option<usize>)> {
    assignments.iter().map(|a| (a.index, a.previous)).collect()
}

#[test]
fn classes_keep_their_indexes_while_requests_are_open() {
    let mut table = ClassTable::default();
    let mut reconfigure = |list: &str, is_same: &dyn Fn(usize, usize) -> bool, used: &[usize]| {
        let names = names(list);
        let assignments = table
            .assign(&names, is_same, |index| used.contains(&index))
            .unwrap();
        table.apply(&names, &assignments);
        let active: Vec<_> = names.iter().map(|name| table.index_of(name)).collect();
        assert_eq!(
            active,
            assignments
                .iter()
                .map(|a| Some(a.index))
                .collect::<Vec<_>>()
        );
        indexes(&assignments)
    };
    let (all, none) = (&|_, _| true, &|_, _| false);
    assert_eq!(reconfigure("a b", none, &[]), [(0, None), (1, None)]);
    // Another order changes nothing; a new class gets the next index.
    assert_eq!(
        reconfigure("b c a", all, &[0, 1]),
        [(1, Some(1)), (2, None), (0, Some(0))]
    );
    // The definition of b changes while requests of the old b are open.
    assert_eq!(
        reconfigure("a b c", &|index, _| index != 1, &[1]),
        [(0, Some(0)), (3, Some(1)), (2, Some(2))]
    );
    // a is removed and d is added: the index of the old b is free, that of a is not.
    assert_eq!(reconfigure("b d", all, &[0]), [(3, Some(3)), (1, None)]);
    // a returns with the same definition and gets its index back.
    assert_eq!(reconfigure("a b", all, &[0]), [(0, Some(0)), (3, Some(3))]);
    assert_eq!(table.index_of("d"), None);
}

#[test]
fn counters_belong_to_names_and_outlast_classes() {
    let mut table = ClassTable::default();
    for (list, class) in [("a", "a"), ("b", "b"), ("a b", "a")] {
        let names = names(list);
        let assignments = table.assign(&names, |_, _| false, |_| false).unwrap();
        table.apply(&names, &assignments);
        let index = table.index_of(class).unwrap();
        table.counters_mut(index).served += 1;
    }
    let counters: Vec<_> = table
        .counters()
        .map(|(name, counters)| (name.to_owned(), counters.served))
        .collect();
    assert_eq!(counters, [("a".to_owned(), 2), ("b".to_owned(), 1)]);
}

#[test]
fn table_size_is_bounded_over_many_configurations() {
    let mut table = ClassTable::default();
    let rejected = (0..1000).filter(|i| {
        let names = names(&format!("a{i}"));
        match table.assign(&names, |_, _| false, |_| false) {
            Ok(assignments) => table.apply(&names, &assignments),
            Err(_) => return true,
        }
        false
    });
    assert_eq!(rejected.count(), 1000 - MAX_CLASSES);
    assert!(table.len() <= 2 && table.counters().count() == MAX_CLASSES);
}

/// Guards against one index for two classes: a changed class took the index of an inactive class
/// that came back unchanged later in the same configuration, and was then no longer known.
#[test]
fn changed_class_does_not_take_the_index_of_a_class_that_returns() {
    let mut table = ClassTable::new(&names("a b c"));
    let without_c = names("a b");
    let assignments = table.assign(&without_c, |_, _| true, |_| false).unwrap();
    table.apply(&without_c, &assignments);
    // b comes before c, has changed, and looks for a free index.
    let all = names("a b c");
    let assignments = table
        .assign(&all, |index, _| index != 1, |_| false)
        .unwrap();
    assert_eq!(
        indexes(&assignments),
        [(0, Some(0)), (3, Some(1)), (2, Some(2))]
    );
    table.apply(&all, &assignments);
    for name in ["a", "b", "c"] {
        assert!(table.index_of(name).is_some(), "{name} is not known");
    }
}

/// A class of a small model: its name, and which of two definitions it has.
type ModelClass = (&'static str, bool);

/// All ordered lists of distinct classes, each with either definition.
fn all_configurations() -> Vec<Vec<ModelClass>> {
    let mut lists: Vec<Vec<ModelClass>> = vec![vec![]];
    let mut start = 0;
    for _ in 0..3 {
        let end = lists.len();
        for list in start..end {
            for name in ["a", "b", "c"] {
                if lists[list].iter().any(|class| class.0 == name) {
                    continue;
                }
                for definition in [false, true] {
                    let mut longer = lists[list].clone();
                    longer.push((name, definition));
                    lists.push(longer);
                }
            }
        }
        start = end;
    }
    lists.retain(|list| !list.is_empty());
    lists
}

/// Applies a configuration to a table and checks its assignments. `definitions` are the classes at
/// each index, `in_use` the index that has open requests.
fn reconfigure_model(
    table: &mut ClassTable,
    definitions: &mut Vec<ModelClass>,
    configuration: &[ModelClass],
    in_use: Option<usize>,
) {
    let names: Vec<Rc<str>> = configuration.iter().map(|class| class.0.into()).collect();
    let is_same = |index: usize, class: usize| definitions[index] == configuration[class];
    let assignments = table
        .assign(&names, is_same, |index| in_use == Some(index))
        .unwrap();
    table.apply(&names, &assignments);
    for (class, assignment) in configuration.iter().zip(&assignments) {
        let index = assignment.index;
        assert_eq!(table.index_of(class.0), Some(index), "{configuration:?}");
        if index == definitions.len() {
            definitions.push(*class);
        }
        assert!(
            in_use != Some(index) || definitions[index] == *class,
            "{configuration:?} redefines {index}, which has open requests"
        );
        definitions[index] = *class;
    }
    assert_eq!(table.active().len(), configuration.len());
}

#[test]
fn every_class_has_an_index_of_its_own_after_any_two_configurations() {
    let configurations = all_configurations();
    let initial: Vec<ModelClass> = vec![("a", false), ("b", false), ("c", false)];
    let names: Vec<Rc<str>> = initial.iter().map(|class| class.0.into()).collect();
    for first in &configurations {
        for second in &configurations {
            for in_use in [None, Some(0), Some(1), Some(2)] {
                let mut table = ClassTable::new(&names);
                let mut definitions = initial.clone();
                reconfigure_model(&mut table, &mut definitions, first, in_use);
                reconfigure_model(&mut table, &mut definitions, second, in_use);
            }
        }
    }
}
