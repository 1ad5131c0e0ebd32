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
        "  tier 0: 127.0.0.1:1 gets 25.0% of its runs, 1024 at once",
        "  tier 0: 127.0.0.1:2 gets 75.0% of its runs, 1024 at once",
        "  tier 0: 127.0.0.1:4 gets nothing: disabled, 1024 at once",
        "  spare: 127.0.0.1:3 gets 100.0% of its runs, 1024 at once",
        "pool alone: fallback=none routes=",
        "  tier 0: 127.0.0.1:5 gets nothing new: draining, 1024 at once",
        "  odd: no member is on: every run goes to its spares or its fall-back",
        "  odd: no route and no other pool leads here",
    ];
    assert_eq!(lines, expected);
}
