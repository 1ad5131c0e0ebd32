//! Turns: of the nodes that have left a worker out, one tries it at a time. Whose turn it is
//! follows from who tells that it has left it out; no word of others ever takes a worker out.

use crate::hash;

/// What a node does whose own time for a worker is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It tries it.
    Mine,
    /// Another one does; it waits as long again, in case that one has no run for it or is gone.
    Behind,
}

/// Whose turn it is to try a worker: that of the first one, in an order that is another for each
/// worker, of those who have left it out.
pub fn holder<'a>(worker: &str, out: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    out.max_by_key(|name| (hash(&[worker, name]), *name))
}

/// Whether it is this node's turn.
pub fn of<'a>(me: &'a str, worker: &str, out: impl Iterator<Item = &'a str>) -> Turn {
    match holder(worker, out.chain(std::iter::once(me))) {
        Some(name) if name != me => Turn::Behind,
        _ => Turn::Mine,
    }
}

/// Whether somebody has found a worker to be well: one that had left it out takes part as before,
/// and has it out no more. Who is gone says nothing by that.
pub fn found_well<'a>(
    before: impl Iterator<Item = &'a str>,
    now: &[&str],
    here: impl Fn(&str) -> bool,
) -> bool {
    before
        .into_iter()
        .any(|name| !now.contains(&name) && here(name))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_of_those_who_left_it_out_has_the_turn() {
        let all = ["a", "b", "c", "d"];
        for worker in ["w1", "w2", "w3", "w4", "w5"] {
            let turns = all
                .iter()
                .filter(|me| of(me, worker, all.iter().copied()) == Turn::Mine);
            assert_eq!(turns.count(), 1, "{worker}");
            // It passes on when the holder is gone, or has told that it is well.
            let first = holder(worker, all.iter().copied()).unwrap();
            let left: Vec<&str> = all.iter().copied().filter(|n| *n != first).collect();
            assert!(holder(worker, left.iter().copied()).is_some_and(|next| next != first));
        }
        assert_eq!(
            of("a", "w", std::iter::empty()),
            Turn::Mine,
            "alone it need not wait"
        );
        assert_eq!(holder("w", std::iter::empty()), None);
    }

    #[test]
    fn only_who_is_there_gives_its_word() {
        let before = ["a", "b"];
        assert!(found_well(before.into_iter(), &["b"], |_| true));
        assert!(
            !found_well(before.into_iter(), &["b"], |name| name != "a"),
            "it has died"
        );
        assert!(!found_well(before.into_iter(), &["a", "b", "c"], |_| true));
    }
}
