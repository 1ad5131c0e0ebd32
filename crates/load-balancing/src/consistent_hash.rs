//! Consistent hashing of keys to members (Karger et al., 1997): adding or removing a member moves
//! only the keys that it gains or loses.
//!
//! The pool bounds the load of each member on top of this ring (consistent hashing with bounded
//! loads; Mirrokni, Thorup and Zadimoghaddam, 2016).

/// Virtual nodes on the ring of a member of weight 1.
const VIRTUAL_NODES: f64 = 64.0;
/// A member has at most this many times [`VIRTUAL_NODES`], whatever its weight.
const MAX_WEIGHT: f64 = 64.0;

/// A member as it is placed on the ring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RingMember {
    /// Identifies the member to the caller; [`HashRing::preference_order`] returns it.
    pub id: u32,
    /// Hash of a name that is the same on all nodes and after a restart.
    pub name_hash: u64,
    /// Share of the keys relative to the other members.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VirtualNode {
    position: u64,
    member: u32,
}

/// A hash ring. Equal members give an equal ring, in whatever order they are listed.
#[derive(Clone, Debug, Default)]
pub struct HashRing(Vec<VirtualNode>);

/// The output function of the SplitMix64 generator (Steele, Lea and Flood, 2014): a bijection that
/// spreads similar inputs over all 64-bit values.
pub fn splitmix64(input: u64) -> u64 {
    let mut mixed = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl HashRing {
    /// Builds the ring of these members.
    pub fn new(members: impl Iterator<Item = RingMember>) -> HashRing {
        let mut nodes = Vec::new();
        for member in members {
            let count = (VIRTUAL_NODES * member.weight)
                .round()
                .clamp(1.0, MAX_WEIGHT * VIRTUAL_NODES) as u64;
            nodes.extend((0..count).map(|replica| VirtualNode {
                position: splitmix64(member.name_hash ^ splitmix64(replica)),
                member: member.id,
            }));
        }
        nodes.sort_unstable();
        HashRing(nodes)
    }

    /// Returns the ids of the members in the order in which `key` prefers them. An id may occur
    /// more than once.
    pub fn preference_order(&self, key: u64) -> impl Iterator<Item = u32> + '_ {
        let position = splitmix64(key);
        let start = self.0.partition_point(|node| node.position < position);
        let (before, from) = self.0.split_at(start);
        from.iter().chain(before).map(|node| node.member)
    }
}
