//! What each node tells with the view: its load in each pool that is shared, and which workers it
//! has left out. It is a few bytes, bounded, and whatever a stranger sends is read as something or
//! not at all.

use crate::hash;

/// The most bytes.
pub const MOST: usize = 55;
/// The most pools.
pub const MOST_POOLS: usize = 8;
/// The most workers that are named as left out: beyond it, trials are taken without turns.
pub const MOST_OUT: usize = 14;

/// What a pool or a worker is called on the way: two of one name harm nothing but the evenness of
/// turns.
pub fn short(names: &[&str]) -> u16 {
    hash(names) as u16
}

/// What a node tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Told {
    /// For each pool its load, as a level of [`crate::demand`].
    pub loads: Vec<(u16, u8)>,
    /// The workers that it has left out.
    pub out: Vec<u16>,
}

impl Told {
    /// As it travels; what is beyond the bounds is left out.
    pub fn write(&self) -> Vec<u8> {
        let loads = &self.loads[..self.loads.len().min(MOST_POOLS)];
        let out = &self.out[..self.out.len().min(MOST_OUT)];
        let mut bytes = vec![loads.len() as u8];
        for (pool, level) in loads {
            bytes.extend(pool.to_le_bytes());
            bytes.push(*level);
        }
        bytes.push(out.len() as u8);
        out.iter()
            .for_each(|worker| bytes.extend(worker.to_le_bytes()));
        bytes
    }

    /// Reads it; a node of another build, or one that shares nothing, tells nothing.
    pub fn read(bytes: &[u8]) -> Option<Told> {
        let (&pools, rest) = bytes.split_first()?;
        let (loads, rest) = rest.split_at_checked(pools as usize * 3)?;
        let (&outs, out) = rest.split_first()?;
        let fits = pools as usize <= MOST_POOLS
            && outs as usize <= MOST_OUT
            && out.len() == outs as usize * 2;
        let word = |b: &[u8]| u16::from_le_bytes([b[0], b[1]]);
        fits.then(|| Told {
            loads: loads
                .chunks_exact(3)
                .map(|c| (word(c), c[2].min(crate::demand::MOST)))
                .collect(),
            out: out.chunks_exact(2).map(word).collect(),
        })
    }

    /// Its level in a pool.
    pub fn level(&self, pool: u16) -> u8 {
        self.loads
            .iter()
            .find(|(p, _)| *p == pool)
            .map_or(0, |(_, level)| *level)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_most_that_is_told_fits() {
        let told = Told {
            loads: vec![(1, 2); 9],
            out: vec![7; 99],
        };
        let bytes = told.write();
        assert!(bytes.len() <= MOST, "{}", bytes.len());
        let read = Told::read(&bytes).unwrap();
        assert_eq!((read.loads.len(), read.out.len()), (MOST_POOLS, MOST_OUT));
    }

    proptest! {
        #[test]
        fn anything_may_come(bytes in prop::collection::vec(any::<u8>(), 0..70)) {
            if let Some(told) = Told::read(&bytes) {
                prop_assert!(told.write().len() <= MOST);
                prop_assert!(told.loads.iter().all(|(_, level)| *level <= crate::demand::MOST));
            }
        }

        #[test]
        fn what_is_written_is_read(loads in prop::collection::vec((any::<u16>(), 0u8..=60), 0..8), out in prop::collection::vec(any::<u16>(), 0..14)) {
            let told = Told { loads, out };
            prop_assert_eq!(Told::read(&told.write()), Some(told));
        }
    }
}
