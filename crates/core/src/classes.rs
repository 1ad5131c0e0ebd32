//! The classes of requests: those in force, and those that open requests came under.
//!
//! A class keeps its place for as long as a request in it is open, whatever a new configuration
//! says. What became of its requests is counted by its name and outlasts it.

use super::counters::ByClass;
use std::rc::Rc;

/// Classes at most, in force or with requests still open, and names that counts are kept of:
/// nothing grows with the number of configurations.
pub const MOST: usize = 256;

#[derive(Clone, Debug)]
struct Slot {
    name: Rc<str>,
    /// In force: new requests may come under it.
    live: bool,
    /// Where its name's counts are.
    count: usize,
}

/// Where a class of a new configuration goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Its place.
    pub at: usize,
    /// The place of the class that it was before, itself if nothing about it has changed; none if
    /// it is new.
    pub was: Option<usize>,
}

/// All classes, by place.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    slots: Vec<Slot>,
    counts: Vec<(Rc<str>, ByClass)>,
}

impl Classes {
    /// Seats the classes of a configuration, by their names in its order, without changing anything
    /// yet. `same` says whether the class at a place is defined like one of the new ones, `used`
    /// whether requests in it are open.
    pub fn seat(
        &self,
        names: &[Rc<str>],
        same: impl Fn(usize, usize) -> bool,
        used: impl Fn(usize) -> bool,
    ) -> Result<Vec<Seat>, String> {
        let (mut seats, mut taken) = (Vec::new(), vec![false; self.slots.len()]);
        for (new, name) in names.iter().enumerate() {
            let named = |s: &&usize| self.slots[**s].name == *name;
            let all: Vec<usize> = (0..self.slots.len()).collect();
            let was = all
                .iter()
                .filter(named)
                .max_by_key(|s| self.slots[**s].live)
                .copied();
            let kept = was.filter(|&s| same(s, new));
            let empty = |s: &usize| !self.slots[*s].live && !used(*s) && !taken[*s];
            let at = kept
                .or_else(|| all.iter().copied().find(empty))
                .unwrap_or_else(|| {
                    taken.push(false);
                    taken.len() - 1
                });
            taken[at] = true;
            seats.push(Seat { at, was });
        }
        let known = |name: &Rc<str>| self.counts.iter().any(|c| c.0 == *name);
        let counts = self.counts.len() + names.iter().filter(|n| !known(n)).count();
        if taken.len() > MOST || counts > MOST {
            return Err(format!(
                "more than {MOST} classes since the start, or with requests still open"
            ));
        }
        Ok(seats)
    }

    /// These classes are in force from now on, where they were seated.
    pub fn take(&mut self, names: &[Rc<str>], seats: &[Seat]) {
        self.slots.iter_mut().for_each(|s| s.live = false);
        for (name, seat) in names.iter().zip(seats) {
            let count = self
                .counts
                .iter()
                .position(|c| c.0 == *name)
                .unwrap_or_else(|| {
                    self.counts.push((name.clone(), ByClass::default()));
                    self.counts.len() - 1
                });
            let slot = Slot {
                name: name.clone(),
                live: true,
                count,
            };
            match self.slots.get_mut(seat.at) {
                Some(place) => *place = slot,
                None => self.slots.push(slot),
            }
        }
    }

    /// The place of the class of this name that is in force.
    pub fn named(&self, name: &str) -> Option<usize> {
        self.slots.iter().position(|s| s.live && &*s.name == name)
    }

    /// The name of the class at this place.
    pub fn name(&self, at: usize) -> &str {
        &self.slots[at].name
    }

    /// The places of the classes in force.
    pub fn in_force(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|&at| self.slots[at].live)
            .collect()
    }

    /// The names by place, of classes that are no longer in force too.
    pub fn names(&self) -> Vec<String> {
        self.slots.iter().map(|s| s.name.to_string()).collect()
    }

    /// What became of the requests of the class at this place.
    pub fn count(&mut self, at: usize) -> &mut ByClass {
        &mut self.counts[self.slots[at].count].1
    }

    /// What became of the requests of each class there ever was, by name.
    pub fn counts(&self) -> impl Iterator<Item = (&str, ByClass)> {
        self.counts.iter().map(|(name, count)| (&**name, *count))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(words: &str) -> Vec<Rc<str>> {
        words.split(' ').map(Rc::from).collect()
    }

    fn at(seats: &[Seat]) -> Vec<(usize, Option<usize>)> {
        seats.iter().map(|s| (s.at, s.was)).collect()
    }

    #[test]
    fn classes_keep_their_places_while_requests_are_open() {
        let mut classes = Classes::default();
        let mut change = |words: &str, same: &dyn Fn(usize, usize) -> bool, used: &[usize]| {
            let names = names(words);
            let seats = classes.seat(&names, same, |s| used.contains(&s)).unwrap();
            classes.take(&names, &seats);
            let live: Vec<_> = names.iter().map(|n| classes.named(n)).collect();
            assert_eq!(live, seats.iter().map(|s| Some(s.at)).collect::<Vec<_>>());
            at(&seats)
        };
        let (all, none) = (&|_, _| true, &|_, _| false);
        assert_eq!(change("a b", none, &[]), [(0, None), (1, None)]);
        // Another order changes nothing; what is new comes behind.
        assert_eq!(
            change("b c a", all, &[0, 1]),
            [(1, Some(1)), (2, None), (0, Some(0))]
        );
        // b is defined anew while requests in the old b are open.
        assert_eq!(
            change("a b c", &|s, _| s != 1, &[1]),
            [(0, Some(0)), (3, Some(1)), (2, Some(2))]
        );
        // a goes and d comes: the old b's place is free by now, a's is not.
        assert_eq!(change("b d", all, &[0]), [(3, Some(3)), (1, None)]);
        // a comes back as it was, and finds itself.
        assert_eq!(change("a b", all, &[0]), [(0, Some(0)), (3, Some(3))]);
        assert_eq!(classes.named("d"), None);
    }

    #[test]
    fn counts_belong_to_names_and_outlast_classes() {
        let mut classes = Classes::default();
        for (words, class) in [("a", "a"), ("b", "b"), ("a b", "a")] {
            let names = names(words);
            let seats = classes.seat(&names, |_, _| false, |_| false).unwrap();
            classes.take(&names, &seats);
            let place = classes.named(class).unwrap();
            classes.count(place).fulfilled += 1;
        }
        let counts: Vec<_> = classes
            .counts()
            .map(|(name, c)| (name.to_owned(), c.fulfilled))
            .collect();
        assert_eq!(counts, [("a".to_owned(), 2), ("b".to_owned(), 1)]);
    }

    #[test]
    fn nothing_grows_with_the_number_of_configurations() {
        let mut classes = Classes::default();
        let turned_down = (0..1000).filter(|i| {
            let names = names(&format!("a{i}"));
            match classes.seat(&names, |_, _| false, |_| false) {
                Ok(seats) => classes.take(&names, &seats),
                Err(_) => return true,
            }
            false
        });
        assert_eq!(turned_down.count(), 1000 - MOST);
        assert!(classes.slots.len() <= 2 && classes.counts.len() == MOST);
    }
}
