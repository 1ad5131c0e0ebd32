//! The section `[fleet]`: valid and invalid values.

use crate::config::operator::OperatorConfig;

#[test]
fn errors_in_the_fleet_section_name_their_line() {
    let fleet = |more: &str| format!("[fleet]\nname = \"rota\"\nbind = \"127.0.0.1:7946\"\n{more}");
    let cases = [
        (fleet(""), ""),
        (
            fleet("seeds = [\"127.0.0.1:1\"]\nprobe_ms = 200\nzone = \"west\""),
            "",
        ),
        (
            "[fleet]\nbind = \"127.0.0.1:1\"".to_owned(),
            "line 1: missing field `name`",
        ),
        (
            "[fleet]\nname = \"\"\nbind = \"127.0.0.1:1\"".to_owned(),
            "line 2: name: not 1 to 64 bytes long",
        ),
        (
            "[fleet]\nname = \"a\"\nbind = \"10.0.0.1:1\"".to_owned(),
            "line 3: an address that is not loopback",
        ),
        (
            fleet("seeds = [\"10.0.0.1:1\"]"),
            "line 4: an address that is not loopback",
        ),
        (
            fleet("advertise = \"10.0.0.1:1\""),
            "line 4: an address that is not loopback",
        ),
        (
            fleet("seeds = [\"10.0.0.1:1\"]\ntrusted_network = true"),
            "",
        ),
        (
            "[fleet]\nname = \"a\"\nbind = \"0.0.0.0:1\"\ntrusted_network = true".to_owned(),
            "line 3: bind: all addresses; advertise has to name",
        ),
        (
            fleet("advertise = \"0.0.0.0:1\"\ntrusted_network = true"),
            "line 4: advertise: members cannot connect",
        ),
        (
            fleet("probe_ms = 10"),
            "line 4: probe_ms = 10: not from 50 to 60000",
        ),
        (
            fleet("most_members = 1"),
            "line 4: most_members = 1: not from 2",
        ),
        (fleet("forget_s = 5"), "line 4: forget_s = 5: not from 60"),
        (fleet("gossip = true"), "line 4: unknown field `gossip`"),
        (fleet("share_apart = \"keep\""), ""),
        (
            fleet("share_apart = \"least\""),
            "line 4: share_apart = \"least\" needs [fleet.versions]",
        ),
    ];
    for (text, expected) in cases {
        match OperatorConfig::read(&text, &[]) {
            Ok(file) => assert!(expected.is_empty() && file.fleet.is_some(), "{text}"),
            Err(error) => assert!(
                !expected.is_empty() && error.to_string().starts_with(expected),
                "{text}: {error}"
            ),
        }
    }
    // Without the section the node is in no fleet.
    assert_eq!(OperatorConfig::read("", &[]).unwrap().fleet, None);
    let read = OperatorConfig::read(&fleet("forget_s = 60"), &[])
        .unwrap()
        .fleet
        .unwrap();
    assert_eq!(
        (read.advertise, read.protocol.retention),
        (read.bind, 60_000_000)
    );
}
