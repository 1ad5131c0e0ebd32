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
