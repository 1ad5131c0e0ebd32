//! The operator's file: one TOML file with a section for each subsystem, read strictly. An unknown
//! key or a bad value is an error that names its line.

use crate::config::fleet::FleetSection;
use crate::config::pools::{labelled, members, pools, PoolSection, WorkerEntry};
use crate::config::text::{line, within};
use crate::net::membership;
use crate::net::workers::routes::{Backend, PoolSettings, Route, Uwsgi};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// The most that a segment may hold, in MB: whoever reads one takes as much memory.
const MOST_SEGMENT: f64 = 64.0;
/// The most that a store may take, in MB: all of it is read at the start.
const MOST_STORED: f64 = 4096.0;
/// The most that may be kept, in MB.
const MOST_KEPT: f64 = 1e6;

/// Where captures are kept, and how much of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The folder; made if it is not there.
    pub folder: PathBuf,
    /// A segment ends once it is so long, in bytes.
    pub segment: u64,
    /// All segments of this node together, in bytes.
    pub keep: u64,
}

/// What the start does about a store that is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnDamage {
    /// Keyed requests are refused for one window; the rest is served.
    #[default]
    Refuse,
    /// The process ends.
    Stop,
}

/// Which records one sync serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Sync {
    /// All that have come by then.
    #[default]
    Group,
    /// One.
    Each,
}

/// When a keyed request with a result is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Answers {
    /// As its run ends.
    #[default]
    AtOnce,
    /// Once its outcome is on the disk.
    Durable,
}

/// What is done about a new key when there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WhenFull {
    /// It is refused.
    #[default]
    Refuse,
}

/// Where keyed requests are remembered.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// The folder; made if it is not there.
    pub folder: PathBuf,
    /// Bytes that it may take.
    pub most: u64,
    /// Each record is synced by itself.
    pub each: bool,
    /// Answers with a result wait until it is on the disk.
    pub wait: bool,
    /// What the start does about damage.
    pub on_damage: OnDamage,
}

/// What the file says.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    /// The uwsgi front, the workers and the routes; off unless the file says otherwise.
    pub uwsgi: Uwsgi,
    /// The capture, if there is to be one.
    pub capture: Option<Capture>,
    /// The store of keyed requests, if there is to be one.
    pub store: Option<Store>,
    /// The node's part in a fleet, if it is in one.
    pub fleet: Option<membership::Settings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    uwsgi: Option<UwsgiSection>,
    capture: Option<CaptureSection>,
    store: Option<StoreSection>,
    fleet: Option<FleetSection>,
    #[serde(default)]
    pool: Vec<PoolSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UwsgiSection {
    listen: Option<SocketAddr>,
    #[serde(default)]
    workers: Vec<SocketAddr>,
    #[serde(default)]
    worker: Vec<WorkerEntry>,
    deadline_ms: Option<Spanned<u64>>,
    most_body: Option<Spanned<usize>>,
    most_response: Option<Spanned<usize>>,
    room_kb: Option<Spanned<f64>>,
    #[serde(default)]
    route: Vec<RouteEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteEntry {
    path: Spanned<String>,
    class: Spanned<String>,
    backend: Spanned<Backend>,
    pool: Option<Spanned<String>>,
    #[serde(default)]
    sticky: bool,
    deadline_ms: Option<Spanned<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CaptureSection {
    folder: Spanned<PathBuf>,
    segment_mb: Spanned<f64>,
    keep_mb: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreSection {
    folder: Spanned<PathBuf>,
    max_mb: Spanned<f64>,
    #[serde(default)]
    sync: Sync,
    #[serde(default)]
    answers: Answers,
    #[serde(default, rename = "when_full")]
    _when_full: WhenFull,
    #[serde(default)]
    on_damage: OnDamage,
}

impl Operator {
    /// Reads the file's text. Routes name the classes that there are.
    pub fn read(text: &str, classes: &[String]) -> Result<Operator, String> {
        let file: File = toml::from_str(text)
            .map_err(|e| line(text, e.span().map_or(text.len(), |s| s.start), e.message()))?;
        let named = pools(text, file.pool)?;
        let among_nodes = named
            .iter()
            .find(|n| n.shared.is_some() || n.sessions.is_some());
        if let Some(pool) = among_nodes.filter(|_| file.fleet.is_none()) {
            let what = if pool.shared.is_some() {
                "share = true"
            } else {
                "[pool.affinity]"
            };
            return Err(format!(
                "pool {}: {what} is among the nodes of a [fleet], and there is none",
                pool.name
            ));
        }
        let uwsgi = file
            .uwsgi
            .map(|section| section.read(text, classes, named))
            .transpose()?
            .unwrap_or_default();
        let capture = file.capture.map(|section| section.read(text)).transpose()?;
        let store = file.store.map(|section| section.read(text)).transpose()?;
        let fleet = file.fleet.map(|section| section.read(text)).transpose()?;
        Ok(Operator {
            uwsgi,
            capture,
            store,
            fleet,
        })
    }
}

impl UwsgiSection {
    /// Holds it to what the node's memory can bear.
    fn read(
        self,
        text: &str,
        classes: &[String],
        named: Vec<PoolSettings>,
    ) -> Result<Uwsgi, String> {
        let usual = Uwsgi::default();
        if let Some(at) = labelled(&self.worker) {
            return Err(line(
                text,
                at,
                "name and zone are for members of a [[pool]]",
            ));
        }
        let special = members(text, &self.workers, self.worker)?;
        let hour = [1, 3_600_000];
        let mut routes: Vec<Route> = Vec::new();
        for entry in self.route {
            let wrong = |at: usize, what: String| Err(line(text, at, &what));
            let RouteEntry {
                path,
                class,
                backend,
                pool,
                sticky,
                deadline_ms,
            } = entry;
            if !classes.contains(class.get_ref()) {
                return wrong(class.span().start, format!("no class {}", class.get_ref()));
            }
            if path.get_ref().is_empty() {
                return wrong(path.span().start, "a route of no path".into());
            }
            // A key counts once on both fronts, so all requests of a class go one way.
            let other = |r: &Route| r.class == *class.get_ref() && r.backend != *backend.get_ref();
            if routes.iter().any(other) {
                let what = format!("class {}: its routes name two backends", class.get_ref());
                return wrong(backend.span().start, what);
            }
            let workers = *backend.get_ref() == Backend::Workers;
            match &pool {
                Some(pool) if !workers || !named.iter().any(|n| n.name == *pool.get_ref()) => {
                    let what = format!("no pool {} for this backend", pool.get_ref());
                    return wrong(pool.span().start, what);
                }
                None if workers && self.workers.is_empty() && special.is_empty() => {
                    return wrong(backend.span().start, "there are no workers".into());
                }
                _ => {}
            }
            let pool = pool.map(Spanned::into_inner);
            if routes
                .iter()
                .any(|r| r.class == *class.get_ref() && (&r.pool, r.sticky) != (&pool, sticky))
            {
                let what = format!("class {}: its routes name two pools", class.get_ref());
                return wrong(class.span().start, what);
            }
            let deadline_ms = deadline_ms
                .map(|v| within(text, "deadline_ms", Some(v), 0, hour))
                .transpose()?;
            let (path, class) = (path.into_inner(), class.into_inner());
            routes.push(Route {
                path,
                class,
                backend: backend.into_inner(),
                pool,
                sticky,
                deadline_ms,
            });
        }
        Ok(Uwsgi {
            listen: self.listen,
            workers: self.workers,
            special,
            named,
            deadline_ms: within(
                text,
                "deadline_ms",
                self.deadline_ms,
                usual.deadline_ms,
                hour,
            )?,
            most_body: within(
                text,
                "most_body",
                self.most_body,
                usual.most_body,
                [0, 32 << 10],
            )?,
            most_response: within(
                text,
                "most_response",
                self.most_response,
                usual.most_response,
                [0, 256 << 10],
            )?,
            room_kb: within(text, "room_kb", self.room_kb, usual.room_kb, [0.0, 2000.0])?,
            routes,
        })
    }
}

/// A folder that has a name.
fn named(text: &str, folder: Spanned<PathBuf>) -> Result<PathBuf, String> {
    if folder.get_ref().as_os_str().is_empty() {
        return Err(line(text, folder.span().start, "folder is empty"));
    }
    Ok(folder.into_inner())
}

impl StoreSection {
    fn read(self, text: &str) -> Result<Store, String> {
        let folder = named(text, self.folder)?;
        let most = within(text, "max_mb", Some(self.max_mb), 0.0, [0.25, MOST_STORED])?;
        Ok(Store {
            folder,
            most: (most * 1024.0 * 1024.0) as u64,
            each: self.sync == Sync::Each,
            wait: self.answers == Answers::Durable,
            on_damage: self.on_damage,
        })
    }
}

impl CaptureSection {
    fn read(self, text: &str) -> Result<Capture, String> {
        let folder = named(text, self.folder)?;
        let at = self.keep_mb.span().start;
        let segment = within(
            text,
            "segment_mb",
            Some(self.segment_mb),
            0.0,
            [0.01, MOST_SEGMENT],
        )?;
        let keep = within(text, "keep_mb", Some(self.keep_mb), 0.0, [0.02, MOST_KEPT])?;
        if keep < 2.0 * segment {
            // The oldest goes before the next begins: with room for one alone nothing would be
            // left.
            return Err(line(
                text,
                at,
                "keep_mb has to be twice segment_mb at least",
            ));
        }
        let bytes = |mb: f64| (mb * 1024.0 * 1024.0) as u64;
        Ok(Capture {
            folder,
            segment: bytes(segment),
            keep: bytes(keep),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Operator, String> {
        Operator::read(text, &["rota-view".into(), "swap-confirm".into()])
    }

    #[test]
    fn what_is_wrong_is_named_with_its_line() {
        let route = |class: &str, backend: &str| {
            format!("[[uwsgi.route]]\npath = \"/{class}\"\nclass = \"{class}\"\nbackend = \"{backend}\"\n")
        };
        let workers = "[uwsgi]\nworkers = [\"127.0.0.1:1\"]\n".to_owned();
        let capture = |more: &str| format!("[capture]\nfolder = \"x\"\n{more}");
        // The text, and what is said of it; nothing where it is right.
        let pool = |name: &str, more: &str| {
            let member = "[[pool.member]]\naddress = \"127.0.0.1:1\"\n";
            format!("[[pool]]\nname = \"{name}\"\n{more}{member}")
        };
        let affinity = |more: &str| {
            pool("a", "was = [\"old\"]\n")
                + &format!("[pool.affinity]\nsession = \"HTTP_X\"\n{more}")
        };
        let fleet = "[fleet]\nname = \"rota\"\nbind = \"127.0.0.1:7946\"\n";
        let worker =
            |more: &str| format!("[uwsgi]\n[[uwsgi.worker]]\naddress = \"127.0.0.1:1\"\n{more}");
        let cases = [
            (String::new(), ""),
            (workers.clone() + &route("rota-view", "workers"), ""),
            (
                workers.clone() + &route("rota", "workers"),
                "line 5: no class rota",
            ),
            (
                route("rota-view", "workers"),
                "line 4: there are no workers",
            ),
            (
                workers.clone() + &route("rota-view", "workers") + &route("rota-view", "processor"),
                "line 10: class rota-view: its routes name two backends",
            ),
            (
                workers.clone() + &route("rota-view", "elsewhere"),
                "line 6: unknown variant `elsewhere`",
            ),
            (
                workers.clone() + "wrokers = []\n",
                "line 3: unknown field `wrokers`",
            ),
            ("[uwsig]\n".into(), "line 1: unknown field `uwsig`"),
            (pool("a", "") + &pool("b", "fallback = \"a\"\n"), ""),
            (
                pool("a", "") + &pool("a", ""),
                "line 2: a pool needs a name of its own: \"a\"",
            ),
            (pool("a", "fallback = \"b\"\n"), "line 3: no other pool b"),
            (
                pool("a", "fallback = \"b\"\n") + &pool("b", "fallback = \"a\"\n"),
                "pool a: its fall-backs go round in a circle",
            ),
            (
                "[[pool]]\nname = \"a\"\n".into(),
                "line 2: pool a has no member",
            ),
            (
                pool("a", "")
                    + "[uwsgi]\n"
                    + &route("rota-view", "workers")
                    + "pool = \"a\"\nsticky = true\n",
                "",
            ),
            (
                pool("a", "") + "[uwsgi]\n" + &route("rota-view", "workers") + "pool = \"b\"\n",
                "line 10: no pool b for this backend",
            ),
            ("[uwsgi]\nlisten = \"nowhere\"\n".into(), "line 2: "),
            (
                worker("weight = 2.5\ntier = 1\nspare = true\nuse = \"draining\"\nmost_runs = 8\n"),
                "",
            ),
            (
                worker("weight = 0\n"),
                "line 4: weight = 0: it lies from 0.01 to 100",
            ),
            (
                worker("most_runs = 0\n"),
                "line 4: most_runs = 0: it lies from 1 to 1024",
            ),
            (worker("use = \"off\"\n"), "line 4: unknown variant `off`"),
            (worker("wieght = 1\n"), "line 4: unknown field `wieght`"),
            (
                worker("name = \"a\"\n"),
                "line 4: name and zone are for members of a [[pool]]",
            ),
            (
                pool("a", "share = true\n"),
                "pool a: share = true is among the nodes of a [fleet]",
            ),
            (pool("a", "share = true\nsubset = 4\n") + fleet, ""),
            (
                pool("a", "share = true\nsubset = 0\n") + fleet,
                "line 4: subset = 0: it lies from 1 to 1000",
            ),
            (
                pool("a", "subset = 4\n") + fleet,
                "line 3: pool a: subset is for a pool with share = true",
            ),
            (
                affinity(""),
                "pool a: [pool.affinity] is among the nodes of a [fleet]",
            ),
            (affinity("") + fleet, ""),
            (
                affinity("idle_s = 90\npatience_ms = 0\nlinger_s = 0\n") + fleet,
                "",
            ),
            (
                affinity("idle_s = 1\n") + fleet,
                "line 8: idle_s = 1: it lies from 60",
            ),
            (
                affinity("").replace("HTTP_X", "") + fleet,
                "line 7: session: the variable that names it",
            ),
            (
                affinity("").replacen("was", "subset = 3\nshare = true\nwas", 1) + fleet,
                "line 8: pool a: its nodes use all",
            ),
            (pool("a", "") + "name = \"w\"\nzone = \"west\"\n", ""),
            (
                pool("a", "") + "name = \"\"\n",
                "line 5: name: it has 1 to 64 bytes",
            ),
            (
                pool("a", "")
                    + "name = \"w\"\n[[pool.member]]\naddress = \"127.0.0.1:2\"\nname = \"w\"\n",
                "line 8: the name w is given twice",
            ),
            (
                worker("") + "[[uwsgi.worker]]\naddress = \"127.0.0.1:1\"\n",
                "line 5: 127.0.0.1:1 is named twice",
            ),
            (
                "\n[uwsgi]\nmost_body = 40000\n".into(),
                "line 3: most_body = 40000: it lies from 0 to 32768",
            ),
            (
                "[uwsgi]\ndeadline_ms = 0\n".into(),
                "line 2: deadline_ms = 0: it lies from 1 to 3600000",
            ),
            ("[uwsgi]\nroom_kb = nan\n".into(), "line 2: room_kb = NaN"),
            (capture("segment_mb = 4\nkeep_mb = 8\n"), ""),
            (
                capture("segment_mb = 4\n"),
                "line 1: missing field `keep_mb`",
            ),
            (
                capture("segment_mb = 4\nkeep_mb = 7\n"),
                "line 4: keep_mb has to be twice segment_mb",
            ),
            (
                capture("segment_mb = 0\nkeep_mb = 7\n"),
                "line 3: segment_mb = 0: it lies from 0.01 to 64",
            ),
            (
                capture("segment_mb = \"4\"\nkeep_mb = 7\n"),
                "line 3: invalid type: string",
            ),
            (
                "[capture]\nfolder = \"\"\nsegment_mb = 1\nkeep_mb = 2\n".into(),
                "line 2: folder is empty",
            ),
            ("[capture\n".into(), "line 1: "),
            ("[store]\nfolder = \"/x\"\nmax_mb = 64\n".into(), ""),
            (
                "[store]\nfolder = \"/x\"\nmax_mb = 64\nsync = \"each\"\nanswers = \"durable\"\n\
                 when_full = \"refuse\"\non_damage = \"stop\"\n"
                    .into(),
                "",
            ),
            (
                "[store]\nfolder = \"/x\"\n".into(),
                "line 1: missing field `max_mb`",
            ),
            (
                "[store]\nfolder = \"\"\nmax_mb = 64\n".into(),
                "line 2: folder is empty",
            ),
            (
                "[store]\nfolder = \"/x\"\nmax_mb = 0\n".into(),
                "line 3: max_mb = 0: it lies from 0.25 to 4096",
            ),
            (
                "[store]\nfolder = \"/x\"\nmax_mb = 64\nsync = \"never\"\n".into(),
                "line 4: unknown variant `never`",
            ),
            (
                "[store]\nfolder = \"/x\"\nmax_mb = 64\nwhen_full = \"forget\"\n".into(),
                "line 4: unknown variant `forget`",
            ),
        ];
        for (text, wanted) in cases {
            let said = read(&text).err().unwrap_or_default();
            assert!(
                said.starts_with(wanted) && said.is_empty() == wanted.is_empty(),
                "{text}\n{said}"
            );
        }
    }

    #[test]
    fn the_file_under_deploy_is_read() {
        let classes = ["rota-view", "cover-check", "swap-confirm"].map(str::to_owned);
        let file =
            Operator::read(include_str!("../../../../deploy/operator.toml"), &classes).unwrap();
        assert_eq!(
            file.uwsgi.route("/rota/swap/7").unwrap().class,
            "swap-confirm"
        );
        assert!(file.uwsgi.route("/rota/swapped").is_none());
        assert_eq!(
            file.capture.map(|c| (c.segment, c.keep)),
            Some((16 << 20, 512 << 20))
        );
        let store = file.store.unwrap();
        assert_eq!(
            (store.most, store.each, store.wait),
            (64 << 20, false, false)
        );
    }
}
