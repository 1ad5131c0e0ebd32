//! Conversion of single directives; whole files are in tests/import.

use super::Import;
use super::ImportedWorker;
use crate::config::operator::OperatorConfig;
use pipitlever_load_balancing::pool::{Member, MemberMode};
use std::net::SocketAddr;

fn import(name: &str, text: &str) -> (Vec<String>, Option<u64>, Vec<String>, Vec<String>) {
    let mut import = Import::default();
    import.read(name, text);
    let workers = import
        .workers
        .iter()
        .map(|worker| worker.member.address.to_string())
        .collect();
    let paths = import
        .paths
        .into_iter()
        .map(|proxied| proxied.path)
        .collect();
    (workers, import.deadline_ms, paths, import.notes)
}

#[test]
fn mod_jk_files_are_converted_and_unsupported_lines_are_noted() {
    let text = "# two nodes\nworker.list=lb\nworker.lb.type=lb\nworker.lb.balance_workers=a,b,c\n\
                worker.a.type=uwsgi\nworker.a.host=localhost\nworker.a.port = 3032\nworker.a.lbfactor=1\n\
                worker.a.reply_timeout=4000\nworker.b.port=8009\nworker.b.host=127.0.0.2\n\
                worker.c.type=uwsgi\nworker.c.host=node.example\nworker.c.port=1\n\
                worker.lb.sticky_session=1\nworker.maintain=60\nnonsense\n";
    let (workers, deadline, _, notes) = import("workers.properties", text);
    assert_eq!(
        (workers, deadline),
        (vec!["127.0.0.1:3032".into()], Some(4000))
    );
    let expected = [
        "workers.properties:16: unknown directive: worker.maintain=60",
        "workers.properties:17: unknown directive: nonsense",
        "workers.properties:10: worker b at 127.0.0.2:8009: unsupported protocol ajp13",
        "workers.properties:14: not an IP address and port: node.example:1",
        "workers.properties:15: worker lb: unknown directive: sticky_session=1",
    ];
    assert_eq!(notes, expected);
}

#[test]
fn apache_sections_are_converted_and_unsupported_lines_are_noted() {
    let text = "<Proxy \"balancer://rota\">\n  BalancerMember uwsgi://127.0.0.1:3032/ loadfactor=1 timeout=5\n\
                \tBalancerMember \"uwsgi://[::1]\" \\\n    route=n2\n  BalancerMember ajp://127.0.0.1:8009\n\
                ProxySet lbmethod=byrequests\n</Proxy>\nBalancerMember balancer://rota uwsgi://127.0.0.3:9\n\
                ProxyPass /rota balancer://rota timeout=3\nProxyPass /x http://127.0.0.1/\n# end\n";
    let (workers, deadline, paths, notes) = import("site.conf", text);
    assert_eq!(workers, ["127.0.0.1:3032", "[::1]:3031", "127.0.0.3:9"]);
    assert_eq!((deadline, paths), (Some(3000), vec!["/rota".into()]));
    let expected = [
        "site.conf:3: unknown parameter: route=n2",
        "site.conf:5: ajp://127.0.0.1:8009: unsupported protocol ajp",
        "site.conf:6: unknown directive: ProxySet lbmethod=byrequests",
        "site.conf:10: unknown directive: ProxyPass /x http://127.0.0.1/",
    ];
    assert_eq!(notes, expected);
}

/// The parameters of each `BalancerMember`, the converted member, and the note if there is one.
#[test]
fn apache_member_parameters_are_converted_or_noted() {
    let at = |m: &str| Member::new(m.parse::<SocketAddr>().unwrap());
    let default = at("127.0.0.1:1");
    let cases = [
        ("", default.clone(), ""),
        ("loadfactor=1", default.clone(), ""),
        (
            "loadfactor=2.5 lbset=1 max=8",
            Member {
                weight: 2.5,
                tier: 1,
                max_runs: 8,
                ..default.clone()
            },
            "",
        ),
        (
            "status=+H",
            Member {
                is_standby: true,
                ..default.clone()
            },
            "",
        ),
        (
            "status=D",
            Member {
                mode: MemberMode::Disabled,
                ..default.clone()
            },
            "",
        ),
        ("status=+D-D", default.clone(), ""),
        (
            "status=+S",
            Member {
                mode: MemberMode::Disabled,
                ..default.clone()
            },
            "",
        ),
        (
            "status=+N+H",
            Member {
                mode: MemberMode::Draining,
                is_standby: true,
                ..default.clone()
            },
            "",
        ),
        ("status=-H", default.clone(), ""),
        (
            "status=+RH",
            Member {
                is_standby: true,
                ..default.clone()
            },
            "status=+RH: not converted: R",
        ),
        (
            "status=+IE",
            default.clone(),
            "status=+IE: not converted: IE",
        ),
        (
            "loadfactor=0",
            default.clone(),
            "not a weight from 0.01 to 100: 0",
        ),
        (
            "loadfactor=many",
            default.clone(),
            "not a weight from 0.01 to 100: many",
        ),
        ("lbset=-1", default.clone(), "invalid lbset: -1"),
        (
            "max=0",
            default.clone(),
            "not a number of runs from 1 to 1024: 0",
        ),
        (
            "max=99999",
            default.clone(),
            "not a number of runs from 1 to 1024: 99999",
        ),
        ("route=n1", default.clone(), "unknown parameter: route=n1"),
        ("retry", default.clone(), "unknown parameter: retry"),
    ];
    for (parameters, expected, note) in cases {
        let mut import = Import::default();
        import.read(
            "a.conf",
            &format!("BalancerMember balancer://b uwsgi://127.0.0.1:1 {parameters}"),
        );
        assert_eq!(
            import.workers,
            [ImportedWorker {
                balancer: "b".to_owned(),
                member: expected
            }],
            "{parameters}"
        );
        let notes: Vec<&str> = import
            .notes
            .iter()
            .map(|n| n.trim_start_matches("a.conf:1: "))
            .collect();
        assert_eq!(notes.concat(), note, "{parameters}");
        let text = import.render().unwrap();
        let file = OperatorConfig::read(&text, &[])
            .unwrap_or_else(|e| panic!("{e} in {text}"))
            .uwsgi;
        assert_eq!(file.members(), [import.workers[0].member.clone()], "{text}");
    }
}

#[test]
fn mod_jk_worker_properties_are_converted_or_noted() {
    let cases = [
        ("lbfactor=3", 3.0, 0, MemberMode::Active, ""),
        ("activation=Disabled", 1.0, 0, MemberMode::Draining, ""),
        ("activation=S", 1.0, 0, MemberMode::Disabled, ""),
        ("distance=2", 1.0, 2, MemberMode::Active, ""),
        (
            "activation=perhaps",
            1.0,
            0,
            MemberMode::Active,
            "worker a: unknown activation: perhaps",
        ),
        (
            "lbfactor=",
            1.0,
            0,
            MemberMode::Active,
            "worker a: not a weight from 0.01 to 100: ",
        ),
        (
            "redirect=b",
            1.0,
            0,
            MemberMode::Active,
            "worker a: unknown directive: redirect=b",
        ),
    ];
    for (line, weight, tier, usage, note) in cases {
        let mut import = Import::default();
        let text = format!("worker.a.type=uwsgi\nworker.a.port=1\nworker.a.{line}\n");
        import.read("w.properties", &text);
        let default = Member::new("127.0.0.1:1".parse().unwrap());
        assert_eq!(
            import.workers,
            [ImportedWorker {
                balancer: String::new(),
                member: Member {
                    weight,
                    tier,
                    mode: usage,
                    ..default
                }
            }],
            "{line}"
        );
        let notes: Vec<&str> = import
            .notes
            .iter()
            .map(|n| n.trim_start_matches("w.properties:3: "))
            .collect();
        assert_eq!(notes.concat(), note, "{line}");
    }
}

#[test]
fn contradictions_and_undefined_workers_are_noted() {
    let mut import = Import::default();
    import.read(
        "w.properties",
        "worker.lb.type=lb\nworker.lb.balance_workers=a, ghost\nworker.a.type=uwsgi\nworker.a.port=1\n",
    );
    import.read(
        "a.conf",
        "BalancerMember balancer://b uwsgi://127.0.0.1:1 loadfactor=4",
    );
    import.read("b.conf", "BalancerMember balancer://b uwsgi://127.0.0.1:1");
    assert_eq!(
        import.notes,
        [
            "w.properties:2: worker lb: ghost is not defined",
            "b.conf:1: 127.0.0.1:1 has other parameters at a.conf:1, which take precedence",
        ]
    );
    // The worker is in two balancers, once in each.
    assert_eq!(import.workers.len(), 2);
}

/// Several balancers become named pools, and each path names its pool.
#[test]
fn balancers_become_pools() {
    let apache = "<Proxy balancer://views>\nBalancerMember uwsgi://127.0.0.1:1 loadfactor=2\n\
                  BalancerMember uwsgi://127.0.0.1:2 status=+H\n</Proxy>\n\
                  <Proxy \"balancer://swaps/\">\nBalancerMember uwsgi://127.0.0.1:1\n</Proxy>\n\
                  ProxyPass /view/old !\nProxyPass /view balancer://views/\nProxyPass /swap balancer://swaps\n";
    let mod_jk = "worker.views.type=lb\nworker.views.balance_workers=a,b\nworker.swaps.type=lb\n\
                  worker.swaps.balance_workers=a\nworker.a.type=uwsgi\nworker.a.port=1\n\
                  worker.b.type=uwsgi\nworker.b.port=2\n";
    for (name, text) in [("a.conf", apache), ("w.properties", mod_jk)] {
        let mut import = Import::default();
        import.read(name, text);
        assert!(import.notes.is_empty(), "{:?}", import.notes);
        let text = import.render().unwrap();
        let file = OperatorConfig::read(&text, &[])
            .unwrap_or_else(|e| panic!("{e} in {text}"))
            .uwsgi;
        let pools: Vec<_> = file
            .named_pools
            .iter()
            .map(|p| (p.name.as_str(), p.members.len()))
            .collect();
        assert_eq!(pools, [("swaps", 1), ("views", 2)], "{text}");
        assert!(file.members().is_empty());
        if name == "a.conf" {
            assert_eq!(
                (
                    file.named_pools[1].members[0].weight,
                    file.named_pools[1].members[1].is_standby
                ),
                (2.0, true)
            );
            assert!(
                text.contains("path = \"/view\"") && text.contains("pool = \"views\""),
                "{text}"
            );
            assert!(!text.contains("/view/old"));
        }
    }
}

/// Guards against a quadratic search for duplicates: with 200,000 members (10 MB) the test would
/// not end in reasonable time.
#[test]
fn a_large_file_is_read_in_time() {
    let mut text = String::new();
    for i in 0..200_000u32 {
        let [_, a, b, c] = i.to_be_bytes();
        text += &format!("BalancerMember balancer://b uwsgi://10.{a}.{b}.{c}:3031 loadfactor=2\n");
    }
    let mut import = Import::default();
    import.read("a.conf", &text);
    assert_eq!((import.workers.len(), import.notes.len()), (200_000, 0));
}

#[test]
fn the_output_is_a_valid_operator_file() {
    let mut import = Import::default();
    import.read(
        "a.conf",
        "BalancerMember balancer://b uwsgi://127.0.0.1:1 timeout=1\nProxyPass /a\"b balancer://b",
    );
    let text = import.render().unwrap();
    let file = OperatorConfig::read(&text, &[])
        .unwrap_or_else(|e| panic!("{e} in {text}"))
        .uwsgi;
    assert_eq!(
        (file.members(), file.deadline_ms),
        (vec![import.workers[0].member.clone()], 1000)
    );
    // A route is enabled by removing the comment marks and naming its class.
    let named = text
        .replace("class = \"\"", "class = \"c\"")
        .replace("\n# ", "\n");
    let file = OperatorConfig::read(&named, &["c".into()])
        .unwrap_or_else(|e| panic!("{e} in {named}"))
        .uwsgi;
    assert_eq!(file.routes[0].path, "/a\"b");
}
