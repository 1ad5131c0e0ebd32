//! The content of config versions.

use super::*;

#[test]
fn a_version_replaces_shared_settings_and_no_others() {
    let content =
        VersionContent::read(br#"{"settings": {"a": 1}, "operator": "[uwsgi]\nworkers = []"}"#)
            .unwrap();
    let text = content
        .merge_into_configuration(r#"{"name": "n1", "settings": {"b": 2}}"#)
        .unwrap();
    assert_eq!(
        serde_json::from_str::<Value>(&text).unwrap()["settings"]["a"],
        1
    );
    assert!(text.contains("n1") && !text.contains("\"b\""), "{text}");
    let text = content.merge_into_operator_file(
        "[fleet]\nname = \"x\"\n[uwsgi]\nmost_body = 1\n[[pool]]\nname = \"old\"",
    );
    let text = text.unwrap();
    assert!(
        text.contains("[fleet]") && !text.contains("most_body") && !text.contains("old"),
        "{text}"
    );
    // A section that belongs to one machine cannot be published.
    let own = VersionContent::read(br#"{"operator": "[store]\nfolder = \"x\""}"#).unwrap();
    assert!(own
        .merge_into_operator_file("")
        .unwrap_err()
        .contains("[store] is not shared, but belongs to each node"));
    assert!(VersionContent::read(br#"{"listen": "x"}"#)
        .unwrap_err()
        .contains("unknown field"));
}
