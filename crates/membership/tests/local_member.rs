//! This process's own record: refutation, restarts, and conflicts of member names.

use pipitlever_membership::local_member::{LocalMember, SelfUpdateOutcome};
use pipitlever_membership::record::State;

fn local_member(token: u64) -> LocalMember {
    LocalMember::new(token, format!("127.0.0.1:{token}").parse().unwrap(), "")
}

#[test]
fn each_incarnation_is_refuted_once_and_old_updates_are_ignored() {
    let mut local = local_member(1);
    let mut claim = local.record.clone();
    claim.state = State::Suspect;
    assert_eq!(
        local.handle_update(0, &claim),
        SelfUpdateOutcome::Refuted(State::Suspect)
    );
    assert_eq!(
        (local.record.incarnation, local.record.state),
        (2, State::Alive)
    );
    claim.state = State::Down;
    assert_eq!(
        local.handle_update(0, &claim),
        SelfUpdateOutcome::Unchanged,
        "the claim is about the previous incarnation"
    );
    claim.incarnation = 2;
    assert_eq!(
        local.handle_update(0, &claim),
        SelfUpdateOutcome::Refuted(State::Down)
    );
    local.leave();
    claim.incarnation = 3;
    assert_eq!(
        local.handle_update(0, &claim),
        SelfUpdateOutcome::Unchanged,
        "a leaving member refutes nothing"
    );
}

#[test]
fn a_restarted_process_overrides_its_predecessor_without_a_conflict() {
    let (mut successor, mut predecessor) = (local_member(2), local_member(1));
    predecessor.record.incarnation = 9;
    assert_eq!(
        successor.handle_update(0, &predecessor.record),
        SelfUpdateOutcome::Overridden
    );
    assert_eq!(
        (successor.record.incarnation, successor.is_contested()),
        (10, false)
    );
    // Late updates about the predecessor, and about its failure, change nothing.
    assert_eq!(
        successor.handle_update(0, &predecessor.record),
        SelfUpdateOutcome::Unchanged
    );
    predecessor.record.state = State::Down;
    assert_eq!(
        successor.handle_update(0, &predecessor.record),
        SelfUpdateOutcome::Unchanged
    );
}

/// Exchanges all records until none changes; returns how often an incarnation was raised.
fn exchange_until_stable(processes: &mut [LocalMember]) -> usize {
    let mut raises = 0;
    loop {
        let mut is_changed = false;
        for i in 0..processes.len() {
            let record = processes[i].effective_record().clone();
            for (j, other) in processes.iter_mut().enumerate() {
                if i != j {
                    let outcome = other.handle_update(0, &record);
                    raises += usize::from(matches!(
                        outcome,
                        SelfUpdateOutcome::Overridden | SelfUpdateOutcome::Contested
                    ));
                    is_changed |= outcome != SelfUpdateOutcome::Unchanged;
                }
            }
        }
        assert!(
            raises < 50,
            "incarnations keep rising: {raises} overrides without a stable record"
        );
        if !is_changed {
            return raises;
        }
    }
}

#[test]
fn all_live_processes_of_one_name_become_rivals_and_their_records_converge() {
    for count in 2..=5 {
        let mut processes: Vec<LocalMember> = (1..=count).map(local_member).collect();
        exchange_until_stable(&mut processes);
        let record = processes[0].effective_record().clone();
        assert!(
            processes.iter().all(|p| *p.effective_record() == record),
            "{count}: {processes:#?}"
        );
        let mut tokens: Vec<u64> = record.details.rivals.iter().map(|r| r.token).collect();
        tokens.push(record.token);
        tokens.sort();
        assert_eq!(
            tokens,
            (1..=count).collect::<Vec<_>>(),
            "the record names all processes"
        );
        assert!(processes.iter().all(LocalMember::is_contested));
        // When the process whose record is in effect fails, the record of another takes effect.
        let failed = processes
            .iter()
            .position(|p| p.record.token == record.token)
            .unwrap();
        processes.remove(failed);
        let mut down = record.clone();
        down.state = State::Down;
        for process in &mut processes {
            process.handle_update(0, &down);
        }
        exchange_until_stable(&mut processes);
        let record = processes[0].effective_record().clone();
        assert!(
            record.state == State::Alive
                && processes.iter().all(|p| *p.effective_record() == record),
            "{count}"
        );
        assert!(
            !record.details.rivals.iter().any(|r| r.token == down.token),
            "{count}: {record:?}"
        );
    }
}

#[test]
fn a_rival_without_contact_expires() {
    let mut processes = [local_member(1), local_member(2)];
    exchange_until_stable(&mut processes);
    let winner = processes
        .iter_mut()
        .find(|p| !p.record.details.rivals.is_empty())
        .unwrap();
    let rival = winner.record.details.rivals[0].token;
    winner.record_rival_contact(rival, 50);
    assert!(!winner.expire_rivals(50) && winner.is_contested());
    assert!(winner.expire_rivals(51) && !winner.is_contested());
}
