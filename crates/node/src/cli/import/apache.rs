//! Apache's balancer sections and `ProxyPass` directives.

use super::worker::WorkerParameters;
use super::{Import, Location, ProxiedPath};

/// Port that mod_proxy_uwsgi uses if none is given.
const DEFAULT_PORT: &str = "3031";

/// An open `<Proxy balancer://...>` section.
struct Section {
    balancer: String,
    line: usize,
}

impl Import {
    /// Reads a file of Apache's configuration.
    pub(super) fn read_apache(&mut self, file: &str, text: &str) {
        let mut section: Option<Section> = None;
        let mut lines = text.lines().enumerate();
        while let Some((index, line)) = lines.next() {
            // A backslash at the end of a line continues the directive on the next line.
            let mut directive = line.trim().to_owned();
            while let Some(start) = directive.strip_suffix('\\') {
                let next = lines.next().map_or("", |(_, line)| line.trim());
                directive = format!("{} {next}", start.trim_end());
            }
            self.read_directive(Location::new(file, index + 1), &directive, &mut section);
        }
        if let Some(Section { balancer, line }) = section {
            let message = format!("the section of balancer {balancer} is not closed");
            self.note(Location::new(file, line), &message);
        }
    }

    fn read_directive(&mut self, location: Location, text: &str, section: &mut Option<Section>) {
        let tokens = tokenize(text);
        if text.matches('"').count() % 2 == 1 && !text.starts_with('#') {
            self.note(location, "a quote is not closed");
        }
        let Some((name, arguments)) = tokens.split_first() else {
            return;
        };
        if name.starts_with('#') {
            return;
        }
        let names_balancer = arguments.first().is_some_and(|token| is_balancer(token));
        let target = arguments.get(1);
        match name.to_ascii_lowercase().as_str() {
            "<proxy" if names_balancer => {
                *section = Some(Section {
                    balancer: balancer_name(&arguments[0]),
                    line: location.line,
                });
            }
            "</proxy>" if section.is_some() => *section = None,
            "balancermember" if section.is_some() || names_balancer => {
                let (balancer, member) = match section {
                    Some(section) => (section.balancer.clone(), arguments),
                    None => (balancer_name(&arguments[0]), &arguments[1..]),
                };
                self.read_member(&balancer, location, member);
            }
            "proxypass" if target.is_some_and(|token| is_balancer(token)) => {
                self.paths.push(ProxiedPath {
                    path: arguments[0].clone(),
                    balancer: balancer_name(&arguments[1]),
                });
                self.read_path_parameters(location, &arguments[2..]);
            }
            // An excluded path needs no conversion: only paths with a route are served.
            "proxypass" if target.is_some_and(|token| token == "!") => {}
            _ => self.note(location, &format!("unknown directive: {text}")),
        }
    }

    fn read_member(&mut self, balancer: &str, location: Location, tokens: &[String]) {
        let Some((url, parameters)) = tokens.split_first() else {
            return self.note(location, "a BalancerMember without an address");
        };
        let parameters = self.read_member_parameters(location, parameters);
        match url.split_once("://") {
            Some((scheme, rest)) if scheme.eq_ignore_ascii_case("uwsgi") => {
                let address = rest.split('/').next().unwrap_or_default();
                let with_port = address.rsplit_once(':').filter(|_| !address.ends_with(']'));
                let (host, port) = with_port.unwrap_or((address, DEFAULT_PORT));
                self.add_worker(balancer, location, host, port, parameters);
            }
            Some((scheme, _)) => {
                self.note(location, &format!("{url}: unsupported protocol {scheme}"));
            }
            None => self.note(location, &format!("not a URL: {url}")),
        }
    }

    fn read_member_parameters(
        &mut self,
        location: Location,
        tokens: &[String],
    ) -> WorkerParameters {
        let mut parameters = WorkerParameters::default();
        for token in tokens {
            let Some((key, value)) = key_and_value(token) else {
                self.note(location, &format!("unknown parameter: {token}"));
                continue;
            };
            if key == "timeout" {
                self.add_deadline(location, value, 1000);
            } else if let Err(message) = parameters.set(&key, value) {
                self.note(location, &message);
            }
        }
        parameters
    }

    fn read_path_parameters(&mut self, location: Location, tokens: &[String]) {
        for token in tokens {
            match key_and_value(token) {
                Some((key, value)) if key == "timeout" => self.add_deadline(location, value, 1000),
                _ => self.note(location, &format!("unknown parameter: {token}")),
            }
        }
    }
}

fn key_and_value(token: &str) -> Option<(String, &str)> {
    let (key, value) = token.split_once('=')?;
    Some((key.to_ascii_lowercase(), value))
}

fn is_balancer(token: &str) -> bool {
    let url = token.trim_end_matches('>').to_ascii_lowercase();
    url.starts_with("balancer://")
}

/// The name in a balancer's URL.
fn balancer_name(url: &str) -> String {
    let url = url.trim_end_matches('>').split_once("://");
    let rest = url.map_or("", |(_, rest)| rest);
    rest.split('/').next().unwrap_or_default().to_owned()
}

/// Splits a line into tokens at white space; quotes enclose one token. A separate `>` that closes a
/// tag is omitted.
fn tokenize(line: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    let mut rest = line.trim();
    while !rest.is_empty() {
        let (token, remaining) = match rest.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => rest.split_once(char::is_whitespace).unwrap_or((rest, "")),
        };
        if token != ">" {
            tokens.push(token.to_owned());
        }
        rest = remaining.trim_start();
    }
    tokens
}
