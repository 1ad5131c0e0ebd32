//! Unit tests of the commit queue that use its private intervals.

use super::config::{EXPIRY_INTERVAL, FULL_RETRY_INTERVAL};
use super::{CommitEvent, CommitQueue, CommitQueueConfig, RejectionReason, Usage, SYNC_TIMEOUT};
use crate::log::Batch;
use crate::record::{Intent, Outcome};
use crate::Micros;
use std::io;

const CONFIG: CommitQueueConfig = CommitQueueConfig {
    capacity: 100_000,
    compaction_reserve: 16_000,
    max_result_bytes: 4096,
    sync_each_record: false,
};

fn queue() -> CommitQueue {
    CommitQueue::new(CONFIG, 1000, None, 0)
}

fn intent(reference: u64) -> Intent {
    Intent {
        id: 0,
        reference,
        key: format!("key {reference}"),
        class: "swap".to_owned(),
        payload_digest: 1,
        arrived_at: 0,
        window: 20_000_000,
        expires_at: 30_000_000,
        read_grace: 0,
    }
}

fn enqueue_intents(queue: &mut CommitQueue, now: Micros, references: &[u64]) -> Vec<CommitEvent> {
    let mut events = Vec::new();
    for &reference in references {
        queue.enqueue_intent(now, intent(reference), &mut events);
    }
    events
}

fn complete(queue: &mut CommitQueue, now: Micros, result: io::Result<u64>) -> Vec<CommitEvent> {
    let mut events = Vec::new();
    queue.complete_batch(now, result, &mut events);
    events
}

fn fail(queue: &mut CommitQueue, now: Micros) -> Vec<CommitEvent> {
    complete(queue, now, Err(io::Error::other("no space")))
}

fn tick(queue: &mut CommitQueue, now: Micros, since_boot: Micros) -> Vec<CommitEvent> {
    let mut events = Vec::new();
    queue.tick(now, since_boot, &mut events);
    events
}

fn batch_records(queue: &mut CommitQueue, now: Micros) -> usize {
    queue.next_batch(now).unwrap().expiries.len()
}

fn usage(used_bytes: u64, reserved_bytes: u64) -> Usage {
    Usage {
        used_bytes,
        reserved_bytes,
    }
}

#[test]
fn one_sync_commits_all_queued_records() {
    let mut queue = queue();
    assert_eq!(enqueue_intents(&mut queue, 0, &[1]), []);
    assert_eq!(batch_records(&mut queue, 0), 1);
    // Records that arrive while the first one is written form the next batch.
    enqueue_intents(&mut queue, 10, &[2, 3]);
    assert_eq!((queue.next_batch(10), queue.pending_records()), (None, 3));
    assert_eq!(
        complete(&mut queue, 20, Ok(2000)),
        [CommitEvent::IntentDurable(1)]
    );
    queue.enqueue_outcome(1, Outcome::Served(vec![7; 100]));
    assert_eq!(batch_records(&mut queue, 20), 3);
    assert_eq!(
        complete(&mut queue, 30, Ok(3000)),
        [
            CommitEvent::IntentDurable(2),
            CommitEvent::IntentDurable(3),
            CommitEvent::OutcomeDurable(1)
        ]
    );
    queue.enqueue_void(2);
    queue.enqueue_outcome(3, Outcome::Failed);
    // A second outcome of a run is ignored.
    queue.enqueue_outcome(3, Outcome::Failed);
    queue.enqueue_outcome(1, Outcome::Failed);
    assert_eq!(batch_records(&mut queue, 30), 2);
    complete(&mut queue, 40, Ok(3500));
    assert!(queue.is_idle() && queue.next_batch(40).is_none());
    assert_eq!(queue.usage(), usage(3500, 0));
    assert_eq!(queue.next_wakeup(40), None);
}

#[test]
fn each_record_is_a_batch_of_its_own_if_configured() {
    let config = CommitQueueConfig {
        sync_each_record: true,
        ..CONFIG
    };
    let mut queue = CommitQueue::new(config, 0, None, 0);
    enqueue_intents(&mut queue, 0, &[1, 2]);
    for reference in [1, 2] {
        assert_eq!(batch_records(&mut queue, 0), 1);
        assert_eq!(
            complete(&mut queue, 0, Ok(0)),
            [CommitEvent::IntentDurable(reference)]
        );
    }
}

#[test]
fn a_failure_abandons_intents_and_retains_outcomes() {
    let mut queue = queue();
    enqueue_intents(&mut queue, 0, &[1]);
    queue.next_batch(0);
    complete(&mut queue, 1, Ok(0));
    queue.enqueue_outcome(1, Outcome::Served(vec![7; 10]));
    enqueue_intents(&mut queue, 2, &[2]);
    queue.next_batch(2);
    enqueue_intents(&mut queue, 3, &[3]);
    assert_eq!(
        fail(&mut queue, 4),
        [
            CommitEvent::IntentAbandoned(2),
            CommitEvent::IntentAbandoned(3)
        ]
    );
    assert_eq!(queue.rejection_reason(4), Some(RejectionReason::Failing));
    assert_eq!(
        queue.status_change(4).unwrap().to_string(),
        "store: keyed requests rejected reason=failing error=\"no space\""
    );
    assert_eq!(queue.status_change(5), None);
    // An intent that is enqueued while the writer fails is abandoned immediately.
    assert_eq!(
        enqueue_intents(&mut queue, 5, &[4]),
        [CommitEvent::IntentAbandoned(4)]
    );
    assert_eq!(queue.next_batch(5), None);
    let retry = queue.next_wakeup(5).unwrap();
    assert!(retry > 5);
    // The batch contains the outcome of the first run and the void of the second, whose intent may
    // be durable.
    assert_eq!(batch_records(&mut queue, retry), 2);
    assert_eq!(fail(&mut queue, retry), []);
    let second_retry = queue.next_wakeup(retry).unwrap();
    assert!(second_retry - retry > retry - 4, "{retry} {second_retry}");
    assert_eq!(batch_records(&mut queue, second_retry), 2);
    assert_eq!(
        complete(&mut queue, second_retry, Ok(500)),
        [CommitEvent::OutcomeDurable(1)]
    );
    assert_eq!(
        queue.status_change(second_retry).unwrap().to_string(),
        "store: keyed requests accepted"
    );
    assert_eq!(queue.rejection_reason(second_retry), None);
    assert_eq!(queue.usage(), usage(500, 0));
}

/// Without records to write, only an empty batch can show that the writer works again.
#[test]
fn an_idle_queue_recovers_from_a_failure() {
    let mut queue = queue();
    enqueue_intents(&mut queue, 0, &[1]);
    queue.next_batch(0);
    fail(&mut queue, 0);
    let retry = queue.next_wakeup(0).unwrap();
    // This batch contains the void of the intent.
    queue.next_batch(retry).unwrap();
    fail(&mut queue, retry);
    let second_retry = queue.next_wakeup(retry).unwrap();
    queue.next_batch(second_retry).unwrap();
    complete(&mut queue, second_retry, Ok(0));
    assert_eq!(queue.rejection_reason(second_retry), None);
}

#[test]
fn a_slow_writer_abandons_intents() {
    let mut queue = queue();
    enqueue_intents(&mut queue, 0, &[1]);
    queue.next_batch(0);
    enqueue_intents(&mut queue, 1, &[2]);
    assert_eq!(queue.next_wakeup(1), Some(SYNC_TIMEOUT));
    assert_eq!(tick(&mut queue, SYNC_TIMEOUT - 1, 0), []);
    assert_eq!(
        tick(&mut queue, SYNC_TIMEOUT, 0),
        [
            CommitEvent::IntentAbandoned(1),
            CommitEvent::IntentAbandoned(2)
        ]
    );
    assert_eq!(
        queue.rejection_reason(SYNC_TIMEOUT),
        Some(RejectionReason::Slow)
    );
    assert_eq!(tick(&mut queue, SYNC_TIMEOUT + 1, 0), []);
    // The abandoned intent becomes durable nevertheless: its void follows.
    let done = 2 * SYNC_TIMEOUT;
    assert_eq!(complete(&mut queue, done, Ok(100)), []);
    assert_eq!(queue.rejection_reason(done), None);
    assert_eq!(batch_records(&mut queue, done), 1);
    complete(&mut queue, done, Ok(100));
    assert_eq!(queue.usage(), usage(100, 0));
}

/// The outcome of every admitted run fits, and a full log is made to reclaim space until it is not
/// full any more.
#[test]
fn a_full_queue_rejects_keys_and_retains_all_outcomes() {
    let mut queue = queue();
    let mut admitted = 0;
    while queue.rejection_reason(0).is_none() {
        admitted += 1;
        enqueue_intents(&mut queue, 0, &[admitted]);
    }
    assert!(admitted > 10, "{admitted}");
    let mut used = 1000;
    let mut write = |queue: &mut CommitQueue, now| {
        let batch = queue.next_batch(now).unwrap();
        used += batch.bytes.len() as u64 + 16;
        complete(queue, now, Ok(used));
        used
    };
    write(&mut queue, 0);
    for reference in 1..=admitted {
        assert!(queue.enqueue_outcome(reference, Outcome::Served(vec![7; 4096])));
    }
    let used = write(&mut queue, FULL_RETRY_INTERVAL);
    assert!(
        used + CONFIG.compaction_reserve <= CONFIG.capacity,
        "{used}"
    );
    assert_eq!(
        queue.rejection_reason(FULL_RETRY_INTERVAL),
        Some(RejectionReason::Full)
    );
    let retry = queue.next_wakeup(FULL_RETRY_INTERVAL).unwrap();
    assert_eq!(queue.next_batch(retry), Some(Batch::default()));
    assert_eq!(queue.next_wakeup(retry), Some(retry + SYNC_TIMEOUT));
    complete(&mut queue, retry, Ok(2000));
    assert_eq!(queue.rejection_reason(retry), None);
}

#[test]
fn expired_intents_release_their_space() {
    let mut queue = queue();
    enqueue_intents(&mut queue, 0, &[1]);
    queue.next_batch(0);
    complete(&mut queue, 0, Ok(500));
    assert!(
        queue.adopt_intent(2, 77, 40_000_000)
            && !queue.adopt_intent(2, 78, 50_000_000)
            && queue.has_open_intent(2)
    );
    tick(&mut queue, EXPIRY_INTERVAL, 30_000_001);
    assert!(!queue.enqueue_outcome(1, Outcome::Failed));
    assert!(queue.usage().reserved_bytes > 0);
    tick(&mut queue, 2 * EXPIRY_INTERVAL, 40_000_001);
    assert_eq!(queue.usage(), usage(500, 0));
}

#[test]
fn damage_rejects_keys_until_its_end() {
    let queue = CommitQueue::new(CONFIG, 0, Some(100), 0);
    assert_eq!(
        (queue.rejection_reason(99), queue.rejection_reason(100)),
        (Some(RejectionReason::Damaged), None)
    );
}
