//! Which member a key belongs to: consistent hashing, so that few keys move when one comes or goes
//! (Karger et al., 1997; with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2016).

/// Places of a member of weight 1 on the ring.
const PLACES: f64 = 64.0;

/// The ring.
#[derive(Clone, Debug, Default)]
pub struct HashRing(Vec<(u64, u32)>);

/// splitmix64's last step: spreads what is handed in.
pub fn splitmix64(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl HashRing {
    /// A ring of these members: the number of each in its pool, what names it wherever it is, and
    /// its weight.
    pub fn new(members: impl Iterator<Item = (u32, u64, f64)>) -> HashRing {
        let mut places = Vec::new();
        for (number, name, weight) in members {
            let count = (PLACES * weight).round().clamp(1.0, 64.0 * PLACES) as u64;
            places.extend((0..count).map(|i| (splitmix64(name ^ splitmix64(i)), number)));
        }
        places.sort_unstable();
        HashRing(places)
    }

    /// Members in the order in which a key prefers them. One may come more than once.
    pub fn preference_order(&self, key: u64) -> impl Iterator<Item = u32> + '_ {
        let at = splitmix64(key);
        let start = self.0.partition_point(|(place, _)| *place < at);
        self.0[start..]
            .iter()
            .chain(&self.0[..start])
            .map(|(_, number)| *number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ring(names: impl Iterator<Item = u64>) -> HashRing {
        HashRing::new(names.enumerate().map(|(i, name)| (i as u32, name, 1.0)))
    }

    #[test]
    fn few_keys_move_when_one_leaves() {
        let (all, fewer) = (ring(0..64), ring((0..64).filter(|n| *n != 17)));
        let name = |i: u32| if i < 17 { i } else { i + 1 };
        let moved = (0..10_000).filter(|key| {
            let before = all.preference_order(*key).next().unwrap();
            before != 17 && before != name(fewer.preference_order(*key).next().unwrap())
        });
        assert_eq!(moved.count(), 0);
    }

    #[test]
    fn keys_spread_by_weight() {
        let ring =
            HashRing::new((0..4).map(|i| (i, u64::from(i), [1.0, 1.0, 2.0, 4.0][i as usize])));
        let mut counts = [0; 4];
        (0..40_000)
            .for_each(|key| counts[ring.preference_order(key).next().unwrap() as usize] += 1);
        for (count, share) in counts.into_iter().zip([5_000, 5_000, 10_000, 20_000]) {
            assert!(
                (share * 7 / 10..share * 13 / 10).contains(&count),
                "{counts:?}"
            );
        }
    }
}
