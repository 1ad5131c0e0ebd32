//! Turns mod_jk's `workers.properties` and Apache's balancer sections into the operator's file's
//! section on uwsgi, and names with file and line what it can't carry over.

#[cfg(test)]
mod tests;

use crate::net::workers::routes::Uwsgi;
use pipitlever_load_balancing::pool::{Member, MemberMode};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

/// The most runs at once that the operator's file takes for a worker.
const MOST_RUNS: usize = 1024;

#[derive(Serialize)]
struct Section {
    uwsgi: Uwsgi,
}

/// What is said of a worker beside where it is.
#[derive(Clone, Copy, Debug, Default)]
struct Said {
    weight: Option<f64>,
    tier: Option<u32>,
    spare: bool,
    usage: MemberMode,
    most_runs: Option<usize>,
}

impl Said {
    fn member(self, address: SocketAddr) -> Member<SocketAddr> {
        let usual = Member::new(address);
        Member {
            weight: self.weight.unwrap_or(usual.weight),
            tier: self.tier.unwrap_or(usual.tier),
            is_standby: self.spare,
            mode: self.usage,
            max_runs: self.most_runs.unwrap_or(usual.max_runs),
            ..usual
        }
    }

    /// Takes in one thing said, by its name in either file. What is wrong with it, or can't be
    /// carried over.
    fn take(&mut self, key: &str, value: &str) -> Result<(), String> {
        match key {
            "loadfactor" | "lbfactor" => {
                let weight = value
                    .parse::<f64>()
                    .ok()
                    .filter(|w| (0.01..=100.0).contains(w));
                self.weight =
                    Some(weight.ok_or_else(|| format!("no weight from 0.01 to 100: {value}"))?);
            }
            // Both files prefer the lower number, and use the next one when nobody of it is usable.
            "lbset" | "distance" => {
                let tier = value.parse::<u32>().ok().filter(|t| *t <= 1_000_000);
                self.tier = Some(tier.ok_or_else(|| format!("no {key}: {value}"))?);
            }
            "max" => {
                let most = value
                    .parse::<usize>()
                    .ok()
                    .filter(|m| (1..=MOST_RUNS).contains(m));
                let most = most
                    .ok_or_else(|| format!("no number of runs from 1 to {MOST_RUNS}: {value}"))?;
                self.most_runs = Some(most);
            }
            "activation" => {
                // mod_jk's 'disabled' still gets the requests of sessions that it has.
                self.usage = match value.to_ascii_lowercase().as_str() {
                    "a" | "active" => MemberMode::Active,
                    "d" | "disabled" => MemberMode::Draining,
                    "s" | "stopped" => MemberMode::Disabled,
                    _ => return Err(format!("unknown activation: {value}")),
                };
            }
            "status" => return self.status(value),
            _ => return Err(format!("unknown parameter: {key}={value}")),
        }
        Ok(())
    }

    /// Apache's flags, with a sign in front that holds until the next one.
    fn status(&mut self, flags: &str) -> Result<(), String> {
        let mut on = true;
        let mut dropped = String::new();
        for flag in flags.chars() {
            let usage = |usage: MemberMode, now: MemberMode| {
                if on {
                    usage
                } else if now == usage {
                    MemberMode::Active
                } else {
                    now
                }
            };
            match flag.to_ascii_uppercase() {
                '+' => on = true,
                '-' => on = false,
                'D' | 'S' => self.usage = usage(MemberMode::Disabled, self.usage),
                'N' => self.usage = usage(MemberMode::Draining, self.usage),
                'H' => self.spare = on,
                _ => dropped.push(flag),
            }
        }
        match dropped.is_empty() {
            true => Ok(()),
            false => Err(format!("status={flags}: not carried over: {dropped}")),
        }
    }
}

/// A worker's table in the operator's file.
fn worker_text(table: &str, member: &Member<SocketAddr>) -> String {
    let usual = Member::new(member.address);
    let mut text = format!("\n[[{table}]]\naddress = \"{}\"\n", member.address);
    let mut say = |key: &str, value: String, said: bool| {
        if said {
            text += &format!("{key} = {value}\n");
        }
    };
    say(
        "weight",
        format!("{:?}", member.weight),
        member.weight != usual.weight,
    );
    say("tier", member.tier.to_string(), member.tier != usual.tier);
    say("spare", member.is_standby.to_string(), member.is_standby);
    let usage = match member.mode {
        MemberMode::Active => "on",
        MemberMode::Draining => "draining",
        MemberMode::Disabled => "disabled",
    };
    say(
        "use",
        format!("\"{usage}\""),
        member.mode != MemberMode::Active,
    );
    say(
        "most_runs",
        member.max_runs.to_string(),
        member.max_runs != usual.max_runs,
    );
    text
}

/// What came of some files.
#[derive(Debug, Default)]
pub struct Import {
    /// Workers, each with the balancer that it is in, if any.
    workers: Vec<(String, Member<SocketAddr>)>,
    /// Where each worker of a balancer is in the list, and what said so.
    known: HashMap<(String, SocketAddr), (usize, String)>,
    deadline_ms: Option<u64>,
    /// Paths that were sent to a balancer, and to which: their classes are for the operators to
    /// name.
    paths: Vec<(String, String)>,
    /// What was not carried over, each with file and line.
    pub notes: Vec<String>,
}

impl Import {
    /// Takes in one file. A name that ends in `.properties` is mod_jk's, any other Apache's.
    pub fn read(&mut self, name: &str, text: &str) {
        if name.ends_with(".properties") {
            self.mod_jk(name, text);
        } else {
            self.apache(name, text);
        }
    }

    /// The section `[uwsgi]`: routes are left as comments, as no class can be read off a path.
    pub fn file(&self) -> Result<String, String> {
        let balancers: BTreeSet<&str> = self.workers.iter().map(|(b, _)| b.as_str()).collect();
        // One balancer alone needs no name.
        let one = balancers.len() <= 1;
        let of = |balancer: &str| -> Vec<&Member<SocketAddr>> {
            self.workers
                .iter()
                .filter(|(b, _)| b == balancer)
                .map(|(_, m)| m)
                .collect()
        };
        let unnamed = if one {
            balancers.first().copied().unwrap_or_default()
        } else {
            ""
        };
        let plain = |m: &&&Member<SocketAddr>| ***m == Member::new(m.address);
        let first = of(unnamed);
        let workers = first.iter().filter(plain).map(|m| m.address).collect();
        let mut file = Uwsgi {
            workers,
            ..Uwsgi::default()
        };
        file.deadline_ms = self.deadline_ms.unwrap_or(file.deadline_ms);
        let mut text = String::from(
            "# Add 'listen', where uwsgi clients connect, and a route for each class.\n",
        );
        text += &toml::to_string(&Section { uwsgi: file }).map_err(|e| e.to_string())?;
        for member in first.iter().filter(|m| !plain(m)) {
            text += &worker_text("uwsgi.worker", member);
        }
        let quoted = |text: &str| toml::Value::String(text.to_owned());
        for balancer in balancers.into_iter().filter(|b| *b != unnamed) {
            text += &format!("\n[[pool]]\nname = {}\n", quoted(balancer));
            of(balancer)
                .iter()
                .for_each(|m| text += &worker_text("pool.member", m));
        }
        for (path, balancer) in &self.paths {
            text += &format!("\n# [[uwsgi.route]]\n# path = {}\n", quoted(path));
            text += "# class = \"\"\n# backend = \"workers\"\n";
            if balancer != unnamed {
                text += &format!("# pool = {}\n", quoted(balancer));
            }
        }
        Ok(text)
    }

    fn note(&mut self, name: &str, line: usize, what: &str) {
        self.notes.push(format!("{name}:{line}: {what}"));
    }

    /// A worker of this place, as its lines say more of it.
    fn worker(
        &mut self,
        balancer: &str,
        name: &str,
        line: usize,
        (host, port): (&str, &str),
        said: Said,
    ) {
        let host = if host == "localhost" {
            "127.0.0.1"
        } else {
            host
        };
        let ip = host.trim_matches(['[', ']']).parse::<IpAddr>();
        let (Ok(ip), Ok(port @ 1..)) = (ip, port.parse::<u16>()) else {
            return self.note(name, line, &format!("no address of numbers: {host}:{port}"));
        };
        let member = said.member(SocketAddr::new(ip, port));
        let key = (balancer.to_owned(), member.address);
        match self.known.get(&key) {
            None => {
                let place = (self.workers.len(), format!("{name}:{line}"));
                self.known.insert(key, place);
                self.workers.push((balancer.to_owned(), member));
            }
            Some((at, _)) if self.workers[*at].1 == member => {}
            Some((_, place)) => {
                let what = format!(
                    "{} was said to be otherwise at {place}, which holds",
                    member.address
                );
                self.note(name, line, &what);
            }
        }
    }

    /// Several limits become one, the shortest.
    fn deadline(&mut self, name: &str, line: usize, text: &str, unit_ms: u64) {
        match text
            .parse::<u64>()
            .ok()
            .and_then(|n| n.checked_mul(unit_ms))
        {
            Some(ms @ 1..=3_600_000) => {
                self.deadline_ms = Some(self.deadline_ms.map_or(ms, |d| d.min(ms)));
            }
            _ => self.note(name, line, &format!("no time from 1 ms to an hour: {text}")),
        }
    }

    fn mod_jk(&mut self, name: &str, text: &str) {
        // What a worker is may stand behind where it is, so its lines are gathered first.
        let mut workers: BTreeMap<&str, BTreeMap<&str, (usize, &str)>> = BTreeMap::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let pair = line
                .split_once('=')
                .map(|(key, value)| (key.trim(), value.trim()));
            match pair.map(|(key, value)| (key.splitn(3, '.').collect::<Vec<_>>(), value)) {
                // Which workers there are shows in their own lines.
                Some((words, _)) if words == ["worker", "list"] => {}
                Some((words, value)) if words.len() == 3 && words[0] == "worker" => {
                    workers
                        .entry(words[1])
                        .or_default()
                        .insert(words[2], (i + 1, value));
                }
                _ => self.note(name, i + 1, &format!("unknown directive: {line}")),
            }
        }
        // A balancer that names a worker which nobody defines would send it a share that goes
        // nowhere.
        let mut within: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (balancer, lines) in &workers {
            for key in ["balance_workers", "balanced_workers"] {
                let Some((line, names)) = lines.get(key) else {
                    continue;
                };
                for named in names.split([',', ' ', '\t']).filter(|n| !n.is_empty()) {
                    within.entry(named).or_default().push(balancer);
                    let kind = workers.get(named).and_then(|lines| lines.get("type"));
                    if kind.is_some_and(|(_, kind)| *kind == "lb") {
                        // Whether they go round in a circle or not: a pool has no pools within.
                        let what = format!(
                            "worker {balancer}: {named} is a balancer itself: not carried over"
                        );
                        self.note(name, *line, &what);
                    }
                    if !workers.contains_key(named) {
                        self.note(
                            name,
                            *line,
                            &format!("worker {balancer}: {named} is not defined"),
                        );
                    }
                }
            }
        }
        for (worker, lines) in workers {
            let first = lines.values().map(|l| l.0).min().unwrap_or(0);
            // mod_jk's own default.
            let (at, kind) = lines.get("type").copied().unwrap_or((first, "ajp13"));
            let (_, host) = lines.get("host").copied().unwrap_or((0, "localhost"));
            match (kind, lines.get("port")) {
                ("lb", _) => {}
                ("uwsgi", Some((line, port))) => {
                    let mut said = Said::default();
                    for key in ["lbfactor", "activation", "distance"] {
                        let Some((line, value)) = lines.get(key) else {
                            continue;
                        };
                        if let Err(what) = said.take(key, value) {
                            self.note(name, *line, &format!("worker {worker}: {what}"));
                        }
                    }
                    // One that no balancer names is a balancer of its own in mod_jk, and has no
                    // name here.
                    for balancer in within.get(worker).map_or(&[""][..], |b| b) {
                        self.worker(balancer, name, *line, (host, port), said);
                    }
                }
                ("uwsgi", None) => self.note(name, at, &format!("worker {worker}: no port")),
                _ => {
                    let port = lines.get("port").map_or("?", |p| p.1);
                    self.note(
                        name,
                        at,
                        &format!("worker {worker} at {host}:{port}: {kind} is not spoken here"),
                    );
                }
            }
            for (key, (line, value)) in lines {
                match key {
                    "type" | "host" | "port" | "balance_workers" | "balanced_workers" => {}
                    // Of a worker that is carried over, all of it was taken in above.
                    "lbfactor" | "activation" | "distance" if kind == "uwsgi" => {}
                    "reply_timeout" => self.deadline(name, line, value, 1),
                    _ => self.note(
                        name,
                        line,
                        &format!("worker {worker}: unknown directive: {key}={value}"),
                    ),
                }
            }
        }
    }

    fn apache(&mut self, name: &str, text: &str) {
        let mut balancer: Option<(String, usize)> = None;
        let mut lines = text.lines().enumerate();
        while let Some((i, line)) = lines.next() {
            // A backslash at the end joins the next line.
            let mut joined = line.trim().to_owned();
            while let Some(start) = joined.strip_suffix('\\') {
                let next = lines.next().map_or("", |l| l.1.trim());
                joined = format!("{} {next}", start.trim_end());
            }
            let words = words(&joined);
            if joined.matches('"').count() % 2 == 1 && !joined.starts_with('#') {
                self.note(name, i + 1, "a quote is not closed");
            }
            let Some(directive) = words.first().filter(|w| !w.starts_with('#')) else {
                continue;
            };
            let rest = &words[1..];
            let to_balancer = |w: Option<&String>| {
                w.is_some_and(|w| {
                    w.trim_end_matches('>')
                        .to_ascii_lowercase()
                        .starts_with("balancer://")
                })
            };
            match directive.to_ascii_lowercase().as_str() {
                "<proxy" if to_balancer(rest.first()) => {
                    balancer = Some((balancer_name(&rest[0]), i + 1));
                }
                "</proxy>" if balancer.is_some() => balancer = None,
                "balancermember" if balancer.is_some() || to_balancer(rest.first()) => {
                    let (of, member) = match &balancer {
                        Some((balancer, _)) => (balancer.clone(), rest),
                        None => (balancer_name(&rest[0]), &rest[1..]),
                    };
                    self.member(&of, name, i + 1, member);
                }
                "proxypass" if to_balancer(rest.get(1)) => {
                    self.paths.push((rest[0].clone(), balancer_name(&rest[1])));
                    self.parameters(name, i + 1, &rest[2..], false);
                }
                // Here each path needs a route of its own, so one that is left out needs nothing.
                "proxypass" if rest.get(1).is_some_and(|w| w == "!") => {}
                _ => self.note(name, i + 1, &format!("unknown directive: {joined}")),
            }
        }
        if let Some((open, line)) = balancer {
            self.note(
                name,
                line,
                &format!("the section of balancer {open} is not closed"),
            );
        }
    }

    fn member(&mut self, balancer: &str, name: &str, line: usize, words: &[String]) {
        let Some((url, parameters)) = words.split_first() else {
            return self.note(name, line, "a BalancerMember of no address");
        };
        let said = self.parameters(name, line, parameters, true);
        match url.split_once("://") {
            Some((scheme, place)) if scheme.eq_ignore_ascii_case("uwsgi") => {
                let place = place.split('/').next().unwrap_or_default();
                // The port that mod_proxy_uwsgi takes where none is named.
                let named = place.rsplit_once(':').filter(|_| !place.ends_with(']'));
                let (host, port) = named.unwrap_or((place, "3031"));
                self.worker(balancer, name, line, (host, port), said);
            }
            Some((scheme, _)) => {
                self.note(name, line, &format!("{url}: {scheme} is not spoken here"))
            }
            None => self.note(name, line, &format!("no address: {url}")),
        }
    }

    /// Parameters of a member, or of a path's balancer, where those of a member say nothing.
    fn parameters(&mut self, name: &str, line: usize, words: &[String], member: bool) -> Said {
        let mut said = Said::default();
        for word in words {
            match word
                .split_once('=')
                .map(|(k, v)| (k.to_ascii_lowercase(), v))
            {
                Some((key, value)) if key == "timeout" => self.deadline(name, line, value, 1000),
                Some((key, value)) if member => {
                    if let Err(what) = said.take(&key, value) {
                        self.note(name, line, &what);
                    }
                }
                _ => self.note(name, line, &format!("unknown parameter: {word}")),
            }
        }
        said
    }
}

/// The name in a balancer's address.
fn balancer_name(url: &str) -> String {
    let name = url
        .trim_end_matches('>')
        .split_once("://")
        .map_or("", |(_, rest)| rest);
    name.split('/').next().unwrap_or_default().to_owned()
}

/// Words apart by white space, with or without quotes; a tag's closing bracket is not part of its
/// last one.
fn words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut rest = line.trim();
    while !rest.is_empty() {
        let (word, left) = match rest.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => rest.split_once(char::is_whitespace).unwrap_or((rest, "")),
        };
        if word != ">" {
            words.push(word.to_owned());
        }
        rest = left.trim_start();
    }
    words
}
