//! What a configuration says of requests, other parties and limits, and how another one takes its
//! place while the node runs.

use super::*;
use pipitlever_core::ClassAssignment;

/// A class of work, by its place in the core.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: Rc<str>,
    /// Whether its requests carry a key.
    pub keyed: bool,
    /// The path under which workers serve it; without one it is the processor's.
    pub workers_path: Option<String>,
    /// Their pool, by position, and whether tries with one key go to the same of them.
    pub(super) pool: (usize, bool),
    /// The rank of its requests where the wire has none: the middle of its band.
    pub(super) rank: f64,
}

/// Where the other parties are: what a new configuration may change while the node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Parties {
    /// The processor, if there is one.
    pub processor: Option<SocketAddr>,
    /// The ledger; the last tier has none.
    pub ledger: Option<SocketAddr>,
    /// The membership service, if there is one.
    pub members: Option<SocketAddr>,
    /// The pools of uwsgi workers.
    pub pools: Vec<Named>,
}

/// What the process may take of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of memory.
    pub memory: usize,
    /// Descriptors.
    pub sockets: usize,
    /// Of these, those that the fronts leave to all else.
    pub kept_back: usize,
}

impl Limits {
    /// Connections that there may be, of the fronts and to the workers together. Beside another
    /// process a half of the descriptors is this one's, and what it keeps back is of that.
    pub fn connections(&self, shared: bool) -> usize {
        let sockets = self.sockets / if shared { 2 } else { 1 };
        sockets.saturating_sub(self.kept_back).max(8)
    }

    /// The shares of the memory.
    pub fn bounds(&self, shared: bool) -> MemoryLimits {
        MemoryLimits::for_process(
            self.memory / if shared { 2 } else { 1 },
            self.connections(shared),
        )
    }
}

/// What decides about requests and may change while the node runs.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The module's settings.
    pub settings: Settings,
    /// The names of the classes, in their order there.
    pub classes: Vec<String>,
    /// The names of the tenants, in their order there.
    pub tenants: Vec<String>,
    /// The names of the gauges, as the processor lists them.
    pub gauges: Vec<String>,
    /// The shortest gap between two rounds of decisions.
    pub round: Micros,
    /// Callers mark each further try.
    pub marked: bool,
    /// The uwsgi front, the workers and the routes; off unless a file says otherwise.
    pub uwsgi: Uwsgi,
}

/// Classes of a configuration, their names, and their places.
type Seated = (Vec<Class>, Vec<Rc<str>>, Vec<ClassAssignment>);

/// The classes of a configuration, in its order.
pub(super) fn classes(tuning: &Tuning) -> Vec<Class> {
    let Tuning {
        settings,
        classes: names,
        uwsgi,
        ..
    } = tuning;
    let all = &settings.classes;
    let class = |(name, class): (&String, &pipitlever_admission::Class)| {
        // Classes have equal bands of rank, in ascending order of worth.
        let below = all
            .iter()
            .filter(|c| c.priority_weight < class.priority_weight)
            .count() as f64;
        let route = uwsgi
            .routes
            .iter()
            .find(|r| r.class == *name && r.backend == Backend::Workers);
        Class {
            keyed: class.idempotency == Idempotency::Keyed,
            workers_path: route.map(|r| r.path.clone()),
            pool: route.map_or((0, false), |r| (uwsgi.pool(r), r.sticky)),
            rank: (below + 0.5) / all.len() as f64,
            name: name.as_str().into(),
        }
    };
    names.iter().zip(all).map(class).collect()
}

impl Hub {
    /// The names of the classes, by position.
    pub fn class_names(&self) -> Vec<String> {
        self.core.classes.names()
    }

    /// Whether another configuration's classes find their places.
    pub fn fits(&self, new: &Tuning) -> Result<(), String> {
        self.seated(new).map(drop)
    }

    fn seated(&self, new: &Tuning) -> Result<Seated, String> {
        let wanted = classes(new);
        let names: Vec<Rc<str>> = wanted.iter().map(|c| c.name.clone()).collect();
        let core = &self.core;
        let same = |at: usize, class: usize| {
            // A band of ranks that moves is no reason to begin a class anew.
            let old = Class {
                rank: wanted[class].rank,
                ..self.classes[at].clone()
            };
            old == wanted[class] && *core.class(at) == new.settings.classes[class]
        };
        let seats = core
            .classes
            .assign(&names, same, |at| core.is_class_in_use(at))
            .map_err(|e| e.to_string())?;
        Ok((wanted, names, seats))
    }

    /// Takes over the settings, classes and routes of another configuration, and says whether the
    /// module was told anything; or nothing of it, and says why not.
    pub fn retune(&mut self, new: Tuning) -> Result<bool, String> {
        let (wanted, names, seats) = self.seated(&new)?;
        for (class, seat) in wanted.into_iter().zip(&seats) {
            match self.classes.get_mut(seat.index) {
                Some(place) => *place = class,
                None => self.classes.push(class),
            }
        }
        self.uwsgi.routes = new.uwsgi.routes;
        self.gauge_names = new.gauges;
        self.tenants = new.tenants;
        self.core.retries_are_marked = new.marked;
        Ok(self
            .core
            .reconfigure(new.settings, new.round, &names, &seats))
    }

    /// The parties are where this says from now on. What is out with the old ones may still come
    /// home.
    pub fn moved(&mut self, parties: Parties) {
        self.link.moved(parties.processor);
        self.calls.moved(parties.ledger);
        self.members = parties.members;
        self.pools.moved(parties.pools, self.clock.now());
    }

    /// What the process may take; so many connections there may be, of the fronts and to the
    /// workers together.
    pub fn bound(&mut self, limits: Limits) {
        self.limits = limits;
        self.sockets = limits.connections(false);
    }

    /// Another process of this node is there, and this one may take so much of the processor's
    /// memory, and half of all else; or it is alone.
    pub fn share(&mut self, share: Option<f64>) {
        let bounds = self.limits.bounds(share.is_some());
        self.sockets = self.limits.connections(share.is_some());
        self.places.bound(bounds.answers);
        self.core.set_memory_share(share, bounds);
    }
}
