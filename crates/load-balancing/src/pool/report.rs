//! What a pool says of its members.

use super::*;

impl<A: Clone + PartialEq + Hash> Pool<A> {
    /// A line for each member: its state and why, since when, its runs and limit, its latency.
    pub fn report(&self, now: Micros) -> Vec<String>
    where
        A: fmt::Display,
    {
        let line = |s: &Server<A>| {
            let state = match (s.gone, s.settings.mode, s.health.state()) {
                (true, ..) => "leaving".to_owned(),
                (_, MemberMode::Disabled, _) => "disabled".to_owned(),
                (_, MemberMode::Draining, _) => "draining".to_owned(),
                (_, _, MemberState::Healthy) => "up".to_owned(),
                (_, _, MemberState::Ejected { reason: why, .. }) => format!("out({why})"),
                (_, _, MemberState::Probation { .. }) => "trial".to_owned(),
                (_, _, MemberState::SlowStart { .. }) => "warming".to_owned(),
            };
            let latency = s.latency(now, self.rules.latency_decay, self.typical) / 1000.0;
            let since = (now - s.health.entered_at).max(0) / SECOND;
            format!(
                "member={} state={state} since_s={since} runs={} limit={} latency_ms={latency:.1} weight={}{}",
                s.settings.address,
                s.runs.len(),
                s.limit.allowed_runs(),
                s.settings.weight,
                if s.settings.is_standby { " spare" } else { "" }
            )
        };
        self.servers.iter().map(line).collect()
    }
}
