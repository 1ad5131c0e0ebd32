//! Configurations of a small deployment.

use std::net::SocketAddr;

/// A class of requests.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub idempotency: &'static str,
    pub worth: f64,
    /// How long after reaching the node a keyed request can come back, in microseconds.
    pub memory_span: u64,
}

/// The three classes of the deployment.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "rota-view",
        idempotency: "free",
        worth: 1.0,
        memory_span: 5_000_000,
    },
    Class {
        name: "cover-check",
        idempotency: "free",
        worth: 2.0,
        memory_span: 5_000_000,
    },
    Class {
        name: "swap-confirm",
        idempotency: "guarded",
        worth: 5.0,
        memory_span: 20_049_000,
    },
];

/// The platform's configuration of a node.
pub fn configuration(listen: SocketAddr, processor: SocketAddr, classes: &[Class]) -> String {
    let categories: Vec<String> = classes.iter().map(category).collect();
    let calls = vec!["true"; classes.len()].join(",");
    let weights = vec!["0.0"; classes.len()].join(",");
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"processor\":\"{processor}\",\"seed\":\"8c1f30d27a5be964\",\
         \"stop_ms\":3200,\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"settings\":{{\
         \"categories\":[{}],\"clients\":{{\"marksRetry\":true}},\"failureDomains\":[\"quimperle\"],\"family\":\"server\",\
         \"familyInfo\":{{\"below\":\"tier\",\"blowup\":8.0,\"callsOver\":5000000,\"classCalls\":[{calls}],\"cold\":false,\
         \"cpus\":6,\"degradedWorth\":[{weights}],\"depShare\":0.0,\"fresh\":0,\
         \"gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"],\"heapKb\":56166.0,\"heeded\":1000000,\
         \"keepaliveMax\":15000000,\"keyKb\":216.42,\"linger\":200000,\"passesDeadline\":true,\"readiness\":false,\
         \"realChecks\":false,\"say\":\"threshold\",\"stopMode\":\"silent\",\"tellsGone\":true,\"upstreams\":3}},\
         \"limits\":{{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":62494,\"maxRetryAfter\":1000000,\"retryAfter\":true}},\
         \"overShareWorth\":0.1,\"replicasOfMe\":10,\"round\":2000,\
         \"safety\":{{\"answerSlack\":100000,\"cold\":18000000,\"coldFrom\":0.21,\"drainGrace\":2500000,\
         \"tipAfter\":3000000,\"tipMultiple\":5.0}},\"selfIndex\":8,\"tenants\":[],\"tier\":0,\
         \"tiers\":[\"rota-front\",\"rota-core\"],\"worthBy\":\"work\",\"zone\":\"quimperle\"}}}}",
        categories.join(",")
    )
}

fn category(class: &Class) -> String {
    let Class {
        name,
        idempotency,
        worth,
        memory_span,
    } = class;
    format!(
        "{{\"name\":\"{name}\",\"idempotency\":\"{idempotency}\",\"target\":2200000,\"deadline\":6700000,\
         \"lateWorth\":0.2,\"memorySpan\":{memory_span},\"worth\":{worth:?}}}"
    )
}
