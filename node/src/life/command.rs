//! The command line.

use super::config::Config;
use super::serve::serve;
use lexopt::prelude::*;

const HELP: &str = "\
pipitlever: a rota node

  pipitlever [serve] [--config FILE]   serve until SIGTERM (FILE: EDGE_CONFIG if not given)
  pipitlever check [--config FILE]     read the configuration, say what it holds, and end
  pipitlever version                   print the version
  pipitlever help                      print this

SIGTERM drains and ends; SIGUSR1 prints the counters.
";

/// Does what the command line says.
pub fn run() -> Result<(), String> {
    let mut parser = lexopt::Parser::from_env();
    let mut verb = None;
    let mut config = std::env::var("EDGE_CONFIG").ok();
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Long("config") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                config = Some(value.string().map_err(|e| e.to_string())?);
            }
            Long("help") | Short('h') => verb = Some("help".to_owned()),
            Long("version") | Short('V') => verb = Some("version".to_owned()),
            Value(word) if verb.is_none() => verb = Some(word.string().map_err(|e| e.to_string())?),
            other => return Err(format!("{}; see 'pipitlever help'", other.unexpected())),
        }
    }
    let read = |path: Option<String>| {
        let path = path.ok_or("no configuration: give --config FILE or set EDGE_CONFIG")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        Config::read(&text, |name| std::env::var(name).ok())
    };
    match verb.as_deref().unwrap_or("serve") {
        "serve" => serve(read(config)?),
        "check" => {
            let c = read(config)?;
            println!("name={} listen={} classes={}", c.name, c.listen, c.classes.join(","));
            Ok(())
        }
        "version" => {
            println!("pipitlever {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        "help" => {
            print!("{HELP}");
            Ok(())
        }
        word => Err(format!("no command '{word}'; see 'pipitlever help'")),
    }
}
