//! The output of `pipitlever pools`.

use super::*;
use crate::config::operator::OperatorConfig;

#[test]
fn members_are_listed_with_shares_groups_and_warnings() {
    let text = "[uwsgi]\nworkers = [\"127.0.0.1:1\"]\n\
                [[uwsgi.worker]]\naddress = \"127.0.0.1:2\"\nweight = 3\n\
                [[uwsgi.worker]]\naddress = \"127.0.0.1:3\"\nspare = true\n\
                [[uwsgi.worker]]\naddress = \"127.0.0.1:4\"\nuse = \"disabled\"\n\
                [[uwsgi.route]]\npath = \"/a\"\nclass = \"c\"\nbackend = \"workers\"\n\
                [[pool]]\nname = \"alone\"\n[[pool.member]]\naddress = \"127.0.0.1:5\"\nuse = \"draining\"\n";
    let file = OperatorConfig::read(text, &["c".into()]).unwrap();
    let lines = describe_pools(&file.uwsgi);
    let expected = [
        "pool of [uwsgi]: fallback=none routes=/a",
        "  tier 0: 127.0.0.1:1 gets 25.0% of the runs, at most 1024 at once",
        "  tier 0: 127.0.0.1:2 gets 75.0% of the runs, at most 1024 at once",
        "  tier 0: 127.0.0.1:4 gets no runs: disabled, at most 1024 at once",
        "  spare: 127.0.0.1:3 gets 100.0% of the runs, at most 1024 at once",
        "pool alone: fallback=none routes=",
        "  tier 0: 127.0.0.1:5 gets no new runs: draining, at most 1024 at once",
        "  warning: no active member: every run goes to the spares or to the fallback pool",
        "  warning: unused: no route to this pool, and no pool has it as its fallback",
    ];
    assert_eq!(lines, expected);
}
