//! `pipitlever check`: a summary of both configuration files, with one line for each subsystem.

use crate::config::operator::{CaptureSettings, StoreSettings};
use crate::config::platform::Config;
use crate::net::membership;

/// Bytes in a MB.
const MEGABYTE: f64 = 1_048_576.0;

/// Prints the summary.
pub fn print_summary(config: &Config) {
    let uwsgi = &config.request_settings.uwsgi;
    let classes = config.request_settings.classes.join(",");
    let workers: usize = uwsgi.pools().iter().map(|pool| pool.members.len()).sum();
    println!(
        "name={} listen={} classes={classes}",
        config.name, config.listen
    );
    println!("sockets={} memory_mb={}", config.sockets, config.memory_mb);
    println!("control={}", or_off(config.control));
    println!(
        "uwsgi={} workers={workers} routes={}",
        or_off(uwsgi.listen),
        uwsgi.routes.len()
    );
    println!(
        "capture={}",
        or_off(config.capture.as_ref().map(describe_capture))
    );
    println!(
        "store={}",
        or_off(config.store.as_ref().map(describe_store))
    );
    println!(
        "fleet={}",
        or_off(config.fleet.as_ref().map(describe_fleet))
    );
}

fn or_off(value: Option<impl ToString>) -> String {
    value.map_or("off".to_owned(), |value| value.to_string())
}

fn describe_capture(capture: &CaptureSettings) -> String {
    let folder = capture.folder.display();
    let segment_mb = capture.segment_bytes as f64 / MEGABYTE;
    let keep_mb = capture.max_bytes as f64 / MEGABYTE;
    format!("{folder} segment_mb={segment_mb} keep_mb={keep_mb}")
}

fn describe_store(store: &StoreSettings) -> String {
    let folder = store.folder.display();
    let max_mb = store.capacity_bytes as f64 / MEGABYTE;
    format!(
        "{folder} max_mb={max_mb} each={} wait={}",
        store.sync_each_record, store.answer_when_durable
    )
}

fn describe_fleet(fleet: &membership::Settings) -> String {
    let mut addresses = [fleet.bind, fleet.advertise]
        .into_iter()
        .chain(fleet.seeds.clone());
    let network = if addresses.all(|address| address.ip().is_loopback()) {
        "loopback"
    } else {
        "trusted (nothing is signed or secret)"
    };
    format!(
        "{} bind={} advertise={} seeds={} network={network}",
        fleet.name,
        fleet.bind,
        fleet.advertise,
        fleet.seeds.len()
    )
}
