//! Generator of references for requests whose protocol carries none: splitmix64 (Steele, Lea and
//! Flood 2014).

use pipitlever_core::Reference;
use std::hash::{BuildHasher, RandomState};

/// Generates references without repetition.
#[derive(Debug)]
pub struct ReferenceGenerator(u64);

impl ReferenceGenerator {
    /// Starts at a random state: the processor may still execute runs of the node's last process,
    /// whose references must not be generated again.
    pub fn new(seed: u64) -> ReferenceGenerator {
        ReferenceGenerator(RandomState::new().hash_one(seed))
    }

    /// The next reference that is not in use.
    pub fn next_unused(&mut self, is_used: impl Fn(Reference) -> bool) -> Reference {
        loop {
            let reference = self.next();
            if !is_used(reference) {
                return reference;
            }
        }
    }

    fn next(&mut self) -> Reference {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
