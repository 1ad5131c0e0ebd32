//! What a pool says of its members.

use super::*;

impl<A: Clone + PartialEq + Hash> Pool<A> {
    /// A line for each member: its state and why, since when, its runs and limit, its latency.
    pub fn report(&self, now: Micros) -> Vec<String>
    where
        A: fmt::Display,
    {
        let line = |s: &Server<A>| {
            let state = match (s.gone, s.settings.usage, s.health.state()) {
                (true, ..) => "leaving".to_owned(),
                (_, Use::Disabled, _) => "disabled".to_owned(),
                (_, Use::Draining, _) => "draining".to_owned(),
                (_, _, State::Up) => "up".to_owned(),
                (_, _, State::Out { why, .. }) => format!("out({why})"),
                (_, _, State::Trial { .. }) => "trial".to_owned(),
                (_, _, State::Warming { .. }) => "warming".to_owned(),
            };
            let latency = s.latency(now, self.rules.fade, self.typical) / 1000.0;
            let since = (now - s.health.since).max(0) / SECOND;
            format!(
                "member={} state={state} since_s={since} runs={} limit={} latency_ms={latency:.1} weight={}{}",
                s.settings.address,
                s.runs.len(),
                s.limit.runs(),
                s.settings.weight,
                if s.settings.spare { " spare" } else { "" }
            )
        };
        self.servers.iter().map(line).collect()
    }
}
