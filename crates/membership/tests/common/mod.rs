//! Generators of records for property tests.

use pipitlever_membership::message::Update;
use pipitlever_membership::record::{Details, LoadReading, Record, Rival, ServiceState, State};
use proptest::prelude::*;

fn details() -> impl Strategy<Value = Details> {
    let service_states = vec![
        ServiceState::Serving,
        ServiceState::Overloaded,
        ServiceState::Draining,
    ];
    let rival_tokens = prop::collection::vec(1u64..3, 0..2);
    (
        1u64..4,
        1u16..3,
        prop::sample::select(service_states),
        rival_tokens,
    )
        .prop_map(|(revision, port, service_state, rival_tokens)| Details {
            revision,
            address: ([127, 0, 0, 1], port).into(),
            zone: String::new(),
            service_state,
            payload: Vec::new(),
            rivals: rival_tokens
                .into_iter()
                .map(|token| Rival {
                    token,
                    address: ([127, 0, 0, 2], 9).into(),
                })
                .collect(),
        })
}

/// Generates records from few values, so that two of them often agree in part.
pub fn record() -> impl Strategy<Value = Record> {
    let state = prop::sample::select(vec![State::Alive, State::Suspect, State::Down, State::Left]);
    (1u64..3, 1u64..3, state, details(), 0u32..3, 0u8..2).prop_map(
        |(incarnation, token, state, details, sequence, priority_cutoff)| Record {
            incarnation,
            token,
            state,
            details,
            load: LoadReading {
                sequence,
                priority_cutoff,
            },
        },
    )
}

/// Returns an update with a record.
#[allow(dead_code, reason = "not every test binary uses it")]
pub fn update(record: Record) -> Update {
    Update {
        name: "n1".into(),
        record,
        suspected_by: Some("n2".into()),
        state_age_seconds: 7,
    }
}
