//! Decisions on requests with unknown keys.

use pipitlever_hot_restart::key_authority::{KeyAuthority, UnknownKeyDecision};

#[test]
fn unknown_keys_are_accepted_only_with_the_authority() {
    let mut authority = KeyAuthority::default();
    assert_eq!(authority.decide(0, true, true), UnknownKeyDecision::Accept);
    authority.set_remote(true);
    let cases = [
        (false, true, UnknownKeyDecision::Reject),
        (true, true, UnknownKeyDecision::Fail),
        (false, false, UnknownKeyDecision::Fail),
        (true, false, UnknownKeyDecision::Fail),
    ];
    for (is_retry, retries_are_marked, decision) in cases {
        assert_eq!(
            authority.decide(i64::MAX, is_retry, retries_are_marked),
            decision,
            "is_retry {is_retry} retries_are_marked {retries_are_marked}"
        );
    }
    authority.set_remote(false);
    assert_eq!(authority.decide(0, false, true), UnknownKeyDecision::Accept);
}

#[test]
fn lost_keys_are_uncertain_until_their_windows_end() {
    let mut authority = KeyAuthority::default();
    authority.set_remote(true);
    authority.handle_keys_lost(100);
    // A second loss with an earlier end does not shorten the period of the first.
    authority.handle_keys_lost(50);
    assert_eq!(
        authority.decide(100, false, true),
        UnknownKeyDecision::Reject
    );
    assert_eq!(
        authority.decide(101, false, true),
        UnknownKeyDecision::Accept
    );
}
