//! Consistent hashing of sticky keys, compared with a fixture written by the build of commit
//! 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-load-balancing --test
//! compatibility`): nodes of both builds choose the same worker.

use pipitlever_load_balancing::consistent_hash::{splitmix64, HashRing, RingMember};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/ring.txt");

#[test]
fn keys_belong_to_the_members_of_the_earlier_build() {
    let members = [(0, 901, 1.0), (1, 902, 0.5), (2, 903, 4.0), (3, 904, 1.0)];
    let members = members.map(|(id, name_hash, weight)| RingMember {
        id,
        name_hash,
        weight,
    });
    let ring = HashRing::new(members.into_iter());
    let first = |key| ring.preference_order(key).next().unwrap() as u8;
    let samples = [
        (
            "mix",
            splitmix64(0x0102_0304_0506_0708).to_be_bytes().to_vec(),
        ),
        ("first-members", (0..256).map(first).collect()),
        (
            "order",
            ring.preference_order(7)
                .take(16)
                .map(|member| member as u8)
                .collect(),
        ),
    ];
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
