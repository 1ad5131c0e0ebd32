//! `pipitlever fleet`: queries control endpoints about the fleet and its config versions.

pub mod client;
mod comparison;
mod table;
pub mod view;

#[cfg(test)]
mod tests;

use crate::config::versions::VersionContent;
use client::{get_view, request, Response};
use std::time::{Duration, Instant};
use view::{Versions, View};

/// How long to wait for the decision on a published version.
const DECISION_TIMEOUT: Duration = Duration::from_secs(12);
/// Time between two checks whether the version was decided.
const DECISION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two requests for a watched view.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Prints a node's view; with `watch`, again after each change.
pub fn print_status(endpoint: &str, json: bool, watch: bool) -> Result<u8, String> {
    let mut last: Option<View> = None;
    loop {
        let next = Instant::now() + WATCH_INTERVAL;
        let view = get_view(endpoint).map_err(|e| e.to_string())?;
        // Times and counters are not compared: they would change the view at every request.
        let compared = |view: &View| (view.digest.clone(), view.is_settled, view.is_cut_off);
        if last.as_ref().map(compared) != Some(compared(&view)) {
            print_view(&view, json)?;
        }
        if !watch {
            return Ok(0);
        }
        last = Some(view);
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn print_view(view: &View, json: bool) -> Result<(), String> {
    if json {
        let text = serde_json::to_string(view).map_err(|e| e.to_string())?;
        println!("{text}");
    } else {
        print!("{}", table::render(view));
    }
    Ok(())
}

/// Prints the differences between views; the exit code is 1 if there are any.
pub fn print_comparison(endpoints: &[String]) -> Result<u8, String> {
    let views: Result<Vec<View>, _> = endpoints.iter().map(|at| get_view(at)).collect();
    let views = views.map_err(|e| e.to_string())?;
    let differences = comparison::differences(&views);
    for line in &differences {
        println!("{line}");
    }
    if differences.is_empty() {
        let members = &views[0].members;
        let alive = members.iter().filter(|m| m.state == "alive").count();
        let (views, members) = (views.len(), members.len());
        println!("equal: {views} views of {members} members, {alive} alive");
    }
    Ok(u8::from(!differences.is_empty()))
}

/// Publishes the version in a file as the successor of the newest one that the node knows, and
/// waits for the decision.
pub fn publish(endpoint: &str, file: &str, why: &str) -> Result<u8, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let content: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| format!("{file}: {e}"))?;
    // An invalid version is reported here rather than by each node.
    VersionContent::read(text.as_bytes()).map_err(|e| format!("{file}: {e}"))?;
    let base = get_versions(endpoint)?.decided;
    let body = serde_json::json!({"base": base, "why": why, "content": content}).to_string();
    let response = post(endpoint, "/fleet/publish", body.as_bytes())?;
    let answer = response.text();
    if response.status != 200 {
        return Err(format!("{endpoint}: {answer}"));
    }
    let deadline = Instant::now() + DECISION_TIMEOUT;
    loop {
        let decided = get_versions(endpoint)?.decided;
        if decided > base {
            println!("decided: {decided}");
            return Ok(0);
        }
        if Instant::now() > deadline {
            return Err(format!(
                "{endpoint}: {answer}, but no quorum of acceptors answered in time: check the decided \
                 version with fleet status --json"
            ));
        }
        std::thread::sleep(DECISION_POLL_INTERVAL);
    }
}

/// Posts a command about a config version: `close` or `accept-floor`.
pub fn post_version_command(endpoint: &str, command: &str, number: u64) -> Result<u8, String> {
    let response = post(endpoint, &format!("/fleet/{command}/{number}"), b"")?;
    match response.status {
        200 => println!("{}", response.text()),
        404 => return Err(no_versions(endpoint)),
        _ => return Err(format!("{endpoint}: {}", response.text())),
    }
    Ok(0)
}

fn post(endpoint: &str, path: &str, body: &[u8]) -> Result<Response, String> {
    request(endpoint, "POST", path, body).map_err(|e| e.to_string())
}

fn get_versions(endpoint: &str) -> Result<Versions, String> {
    let view = get_view(endpoint).map_err(|e| e.to_string())?;
    view.versions.ok_or_else(|| no_versions(endpoint))
}

fn no_versions(endpoint: &str) -> String {
    format!("{endpoint}: its fleet has no config versions")
}
