//! Rendering and comparing views.

use super::comparison::differences;
use super::table::render;
use super::view::{Member, View};

fn view(node: &str, states: &[(&str, &str)]) -> View {
    let member = |(name, state): &(&str, &str)| Member {
        name: (*name).into(),
        address: "127.0.0.1:1".into(),
        zone: String::new(),
        state: (*state).into(),
        incarnation: 1,
        service_state: "serving".into(),
        since_ms: 150_000,
        reported_by: "n1".into(),
        conflict: Vec::new(),
        active_version: None,
    };
    View {
        versions: None,
        sessions: None,
        node: node.into(),
        fleet: "rota".into(),
        is_settled: true,
        is_cut_off: false,
        health: 0,
        digest: format!("{states:?}"),
        members: states.iter().map(member).collect(),
    }
}

#[test]
fn differences_name_the_nodes_that_report_them() {
    let one = view("n1", &[("n1", "alive"), ("n2", "alive"), ("n3", "down")]);
    let two = view("n2", &[("n1", "alive"), ("n2", "alive")]);
    assert_eq!(differences(&[one.clone(), one.clone()]), [""; 0]);
    assert_eq!(
        differences(&[one.clone(), two, one.clone()]),
        ["n3: down serving incarnation 1 at 127.0.0.1:1 (n1, n1); not known (n2)"]
    );
    let other = View {
        fleet: "x".into(),
        digest: "y".into(),
        ..one.clone()
    };
    assert_eq!(
        differences(&[one.clone(), other]),
        ["the nodes are in different fleets: rota, x"]
    );
    let different_digest = View {
        digest: "y".into(),
        ..one.clone()
    };
    assert_eq!(differences(&[one, different_digest]).len(), 1);
}

#[test]
fn the_table_marks_its_node_and_conflicts() {
    let mut seen = view("n1", &[("n1", "alive"), ("n22", "down")]);
    seen.members[1].conflict = vec!["127.0.0.1:9".into()];
    seen.is_cut_off = true;
    let text = render(&seen);
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].contains("settled, CUT OFF"), "{text}");
    assert!(
        lines[2].starts_with("n1*") && lines[2].contains("2m"),
        "{text}"
    );
    assert!(
        lines[3].contains("down CONFLICT") && lines[3].contains("127.0.0.1:1 and 127.0.0.1:9"),
        "{text}"
    );
}
