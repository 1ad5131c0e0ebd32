//! The operator file: valid and invalid files, and the lines that errors name.

use super::OperatorConfig;

fn read(text: &str) -> Result<OperatorConfig, String> {
    let classes = ["rota-view".into(), "swap-confirm".into()];
    OperatorConfig::read(text, &classes).map_err(|error| error.to_string())
}

#[test]
fn errors_name_their_line() {
    let route = |class: &str, backend: &str| {
        format!(
            "[[uwsgi.route]]\npath = \"/{class}\"\nclass = \"{class}\"\nbackend = \"{backend}\"\n"
        )
    };
    let workers = "[uwsgi]\nworkers = [\"127.0.0.1:1\"]\n".to_owned();
    let capture = |more: &str| format!("[capture]\nfolder = \"x\"\n{more}");
    let pool = |name: &str, more: &str| {
        let member = "[[pool.member]]\naddress = \"127.0.0.1:1\"\n";
        format!("[[pool]]\nname = \"{name}\"\n{more}{member}")
    };
    let shared_pools = |count: usize| {
        (0..count)
            .map(|i| pool(&format!("p{i}"), "share = true\n"))
            .collect::<String>()
    };
    let affinity = |more: &str| {
        pool("a", "was = [\"old\"]\n") + &format!("[pool.affinity]\nsession = \"HTTP_X\"\n{more}")
    };
    let fleet = "[fleet]\nname = \"rota\"\nbind = \"127.0.0.1:7946\"\n";
    let worker =
        |more: &str| format!("[uwsgi]\n[[uwsgi.worker]]\naddress = \"127.0.0.1:1\"\n{more}");
    // The text, and the start of its error; empty if the text is valid.
    let cases = [
        (String::new(), ""),
        (workers.clone() + &route("rota-view", "workers"), ""),
        (
            workers.clone() + &route("rota", "workers"),
            "line 5: no class rota",
        ),
        (
            route("rota-view", "workers"),
            "line 4: there are no workers",
        ),
        (
            workers.clone() + &route("rota-view", "workers") + &route("rota-view", "processor"),
            "line 10: class rota-view: its routes name two backends",
        ),
        (
            workers.clone() + &route("rota-view", "elsewhere"),
            "line 6: unknown variant `elsewhere`",
        ),
        (
            workers.clone() + "wrokers = []\n",
            "line 3: unknown field `wrokers`",
        ),
        ("[uwsig]\n".into(), "line 1: unknown field `uwsig`"),
        (pool("a", "") + &pool("b", "fallback = \"a\"\n"), ""),
        (
            pool("a", "") + &pool("a", ""),
            "line 2: pool name is empty or used twice: \"a\"",
        ),
        (pool("a", "fallback = \"b\"\n"), "line 3: no other pool b"),
        (
            pool("a", "fallback = \"b\"\n") + &pool("b", "fallback = \"a\"\n"),
            "pool a: its fallback pools form a cycle",
        ),
        (
            "[[pool]]\nname = \"a\"\n".into(),
            "line 2: pool a has no member",
        ),
        (
            pool("a", "")
                + "[uwsgi]\n"
                + &route("rota-view", "workers")
                + "pool = \"a\"\nsticky = true\n",
            "",
        ),
        (
            pool("a", "") + "[uwsgi]\n" + &route("rota-view", "workers") + "pool = \"b\"\n",
            "line 10: pool b: there is no such pool, or the backend is not \"workers\"",
        ),
        ("[uwsgi]\nlisten = \"nowhere\"\n".into(), "line 2: "),
        (
            worker("weight = 2.5\ntier = 1\nspare = true\nuse = \"draining\"\nmost_runs = 8\n"),
            "",
        ),
        (
            worker("weight = 0\n"),
            "line 4: weight = 0: not from 0.01 to 100",
        ),
        (
            worker("most_runs = 0\n"),
            "line 4: most_runs = 0: not from 1 to 1024",
        ),
        (worker("use = \"off\"\n"), "line 4: unknown variant `off`"),
        (worker("wieght = 1\n"), "line 4: unknown field `wieght`"),
        (
            worker("name = \"a\"\n"),
            "line 4: name and zone are for members of a [[pool]]",
        ),
        (
            pool("a", "share = true\n"),
            "pool a: share = true needs a [fleet]",
        ),
        (pool("a", "share = true\nsubset = 4\n") + fleet, ""),
        (shared_pools(8) + fleet, ""),
        // A ninth shared pool had no subset, and an ejection in it made the node panic.
        (
            shared_pools(9) + fleet,
            "line 42: pool p8: share = true is possible for at most 8 pools",
        ),
        (
            pool("a", "share = true\nsubset = 0\n") + fleet,
            "line 4: subset = 0: not from 1 to 1000",
        ),
        (
            pool("a", "subset = 4\n") + fleet,
            "line 3: pool a: subset is for a pool with share = true",
        ),
        (affinity(""), "pool a: [pool.affinity] needs a [fleet]"),
        (affinity("") + fleet, ""),
        (
            affinity("idle_s = 90\npatience_ms = 0\nlinger_s = 0\n") + fleet,
            "",
        ),
        (
            affinity("idle_s = 1\n") + fleet,
            "line 8: idle_s = 1: not from 60",
        ),
        (
            affinity("").replace("HTTP_X", "") + fleet,
            "line 7: session: the name of the variable is empty",
        ),
        (
            affinity("").replacen("was", "subset = 3\nshare = true\nwas", 1) + fleet,
            "line 8: pool a: subset is not possible with [pool.affinity]",
        ),
        (pool("a", "") + "name = \"w\"\nzone = \"west\"\n", ""),
        (
            pool("a", "") + "name = \"\"\n",
            "line 5: name: not 1 to 64 bytes long",
        ),
        (
            pool("a", "")
                + "name = \"w\"\n[[pool.member]]\naddress = \"127.0.0.1:2\"\nname = \"w\"\n",
            "line 8: two members are named w",
        ),
        (
            worker("") + "[[uwsgi.worker]]\naddress = \"127.0.0.1:1\"\n",
            "line 5: 127.0.0.1:1 occurs twice",
        ),
        (
            "\n[uwsgi]\nmost_body = 40000\n".into(),
            "line 3: most_body = 40000: not from 0 to 32768",
        ),
        (
            "[uwsgi]\ndeadline_ms = 0\n".into(),
            "line 2: deadline_ms = 0: not from 1 to 3600000",
        ),
        ("[uwsgi]\nroom_kb = nan\n".into(), "line 2: room_kb = NaN"),
        (capture("segment_mb = 4\nkeep_mb = 8\n"), ""),
        (
            capture("segment_mb = 4\n"),
            "line 1: missing field `keep_mb`",
        ),
        (
            capture("segment_mb = 4\nkeep_mb = 7\n"),
            "line 4: keep_mb has to be at least twice segment_mb",
        ),
        (
            capture("segment_mb = 0\nkeep_mb = 7\n"),
            "line 3: segment_mb = 0: not from 0.01 to 64",
        ),
        (
            capture("segment_mb = \"4\"\nkeep_mb = 7\n"),
            "line 3: invalid type: string",
        ),
        (
            "[capture]\nfolder = \"\"\nsegment_mb = 1\nkeep_mb = 2\n".into(),
            "line 2: folder is empty",
        ),
        ("[capture\n".into(), "line 1: "),
        ("[store]\nfolder = \"/x\"\nmax_mb = 64\n".into(), ""),
        (
            "[store]\nfolder = \"/x\"\nmax_mb = 64\nsync = \"each\"\nanswers = \"durable\"\n\
             when_full = \"refuse\"\non_damage = \"stop\"\n"
                .into(),
            "",
        ),
        (
            "[store]\nfolder = \"/x\"\n".into(),
            "line 1: missing field `max_mb`",
        ),
        (
            "[store]\nfolder = \"\"\nmax_mb = 64\n".into(),
            "line 2: folder is empty",
        ),
        (
            "[store]\nfolder = \"/x\"\nmax_mb = 0\n".into(),
            "line 3: max_mb = 0: not from 0.25 to 4096",
        ),
        (
            "[store]\nfolder = \"/x\"\nmax_mb = 64\nsync = \"never\"\n".into(),
            "line 4: unknown variant `never`",
        ),
        (
            "[store]\nfolder = \"/x\"\nmax_mb = 64\nwhen_full = \"forget\"\n".into(),
            "line 4: unknown variant `forget`",
        ),
    ];
    for (text, expected) in cases {
        let error = read(&text).err().unwrap_or_default();
        assert!(
            error.starts_with(expected) && error.is_empty() == expected.is_empty(),
            "{text}\n{error}"
        );
    }
}

#[test]
fn the_sample_file_under_deploy_is_valid() {
    let classes = ["rota-view", "cover-check", "swap-confirm"].map(str::to_owned);
    let file = OperatorConfig::read(
        include_str!("../../../../../deploy/operator.toml"),
        &classes,
    )
    .unwrap();
    assert_eq!(
        file.uwsgi.route("/rota/swap/7").unwrap().class,
        "swap-confirm"
    );
    assert!(file.uwsgi.route("/rota/swapped").is_none());
    assert_eq!(
        file.capture.map(|c| (c.segment_bytes, c.max_bytes)),
        Some((16 << 20, 512 << 20))
    );
    let store = file.store.unwrap();
    assert_eq!(
        (
            store.capacity_bytes,
            store.sync_each_record,
            store.answer_when_durable
        ),
        (64 << 20, false, false)
    );
}
