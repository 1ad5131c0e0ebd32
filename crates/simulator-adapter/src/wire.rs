//! The wire's messages, and their translation to and from the library's terms.

use pipitlever_admission::*;
use pipitlever_settings::PlatformSettings;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::HashMap;

/// One line of input, borrowed where possible.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The clock.
    pub t: Micros,
    /// The events.
    #[serde(borrow)]
    pub items: Vec<Item<'a>>,
}

/// What an item tells of.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub enum Kind {
    /// A server started.
    NewInstance,
    /// A request was read.
    WorkItem,
    /// The server is withdrawn.
    Leaving,
    /// A run ended.
    Finished,
    /// Nobody awaits a request.
    Lapsed,
    /// A request needs a call.
    StalledOnCall,
    /// A timer expired.
    Wakeup,
    /// The process died.
    Stop,
    /// A call ended.
    CallDone,
}

/// One event: the fields of all kinds, so that a line is read in one pass.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Item<'a> {
    /// What it tells of.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The instance that it is for.
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    /// The seed of a new instance.
    pub prng: Option<u64>,
    /// The settings of a new instance.
    pub config: Option<Box<PlatformSettings>>,
    #[serde(borrow)]
    op_id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    service: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    owner: Word<'a>,
    object: Option<u64>,
    expires_in: Option<Micros>,
    predicted: Option<f64>,
    mem_kb: Option<f64>,
    #[serde(default)]
    precedence: f64,
    #[serde(default)]
    resent: bool,
    #[serde(default)]
    write: bool,
    #[serde(default)]
    queued_for: Micros,
    #[serde(borrow, default)]
    same_as: Word<'a>,
    cost_time: Option<Micros>,
    result: Option<Code>,
    #[serde(rename = "ref")]
    tag: Option<u64>,
    #[serde(default)]
    load: Gauges,
}

/// A name, or a number or null for none.
#[derive(Default)]
pub struct Word<'a>(Option<Cow<'a, str>>);

impl<'de: 'a, 'a> Deserialize<'de> for Word<'a> {
    fn deserialize<D: serde::Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        struct Words;
        impl<'de> serde::de::Visitor<'de> for Words {
            type Value = Word<'de>;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("a name, 0 or null")
            }
            fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Word<'de>, E> {
                Ok(Word(Some(Cow::Borrowed(text))))
            }
            fn visit_str<E>(self, text: &str) -> Result<Word<'de>, E> {
                Ok(Word(Some(Cow::Owned(text.to_owned()))))
            }
            fn visit_u64<E>(self, _: u64) -> Result<Word<'de>, E> {
                Ok(Word(None))
            }
            fn visit_i64<E>(self, _: i64) -> Result<Word<'de>, E> {
                Ok(Word(None))
            }
            fn visit_unit<E>(self) -> Result<Word<'de>, E> {
                Ok(Word(None))
            }
        }
        source.deserialize_any(Words)
    }
}

/// The server's own gauges.
#[derive(Clone, Copy, Default, Deserialize)]
struct Gauges {
    core_use: Option<f64>,
    on_cores: Option<f64>,
    heap_share: Option<f64>,
    links: Option<f64>,
}

/// An outcome.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Code {
    Done,
    Err,
    Busy,
    Etimedout,
    Econnrefused,
    Econnreset,
    Ecanceled,
    Skipped,
}

impl From<Code> for Outcome {
    fn from(code: Code) -> Outcome {
        match code {
            Code::Done => Outcome::Success,
            Code::Err => Outcome::Error,
            Code::Busy => Outcome::Rejected,
            Code::Etimedout => Outcome::TimedOut,
            Code::Econnrefused => Outcome::Unreachable,
            Code::Econnreset => Outcome::Reset,
            Code::Ecanceled => Outcome::Cancelled,
            Code::Skipped => Outcome::NotStarted,
        }
    }
}

/// What the wire calls classes and tenants, by position.
pub struct Names {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    passes_deadline: bool,
}

impl Names {
    /// The names in these settings.
    pub fn new(config: &PlatformSettings) -> Names {
        let index =
            |names: Vec<String>| names.into_iter().enumerate().map(|(i, n)| (n, i)).collect();
        Names {
            classes: index(config.class_names()),
            tenants: index(config.tenant_names()),
            passes_deadline: config.passes_deadline(),
        }
    }
}

/// The numbers of the requests that the controller may still name.
#[derive(Default)]
pub struct Ids {
    numbers: HashMap<String, RequestId>,
    words: HashMap<RequestId, String>,
    next: RequestId,
}

impl Ids {
    /// Numbers a request that was just read.
    fn enter(&mut self, word: &str) -> RequestId {
        let number = self.unused();
        self.numbers.insert(word.to_owned(), number);
        self.words.insert(number, word.to_owned());
        number
    }

    /// The number of a request read before; one that has ended and been freed gets a number nothing
    /// answers to.
    fn find(&mut self, word: &str) -> RequestId {
        self.numbers
            .get(word)
            .copied()
            .unwrap_or_else(|| self.unused())
    }

    fn unused(&mut self) -> RequestId {
        self.next += 1;
        self.next
    }

    /// Frees what was kept for a request that has ended.
    pub fn free(&mut self, number: RequestId) {
        if let Some(word) = self.words.remove(&number) {
            self.numbers.remove(&word);
        }
    }
}

impl Item<'_> {
    /// The event in the library's terms.
    pub fn event(self, names: &Names, ids: &mut Ids) -> Result<Event, String> {
        let missing = |field: &str| format!("no {field} in {:?}", self.kind);
        let op_id = || self.op_id.as_deref().ok_or_else(|| missing("opId"));
        let took = || self.cost_time.ok_or_else(|| missing("costTime"));
        let outcome = || {
            self.result
                .map(Outcome::from)
                .ok_or_else(|| missing("result"))
        };
        Ok(match self.kind {
            Kind::NewInstance | Kind::Stop => {
                return Err("a life's start or end is no event".into())
            }
            Kind::WorkItem => {
                let service = self.service.as_deref().ok_or_else(|| missing("service"))?;
                Event::Arrived(Request {
                    class: *names
                        .classes
                        .get(service)
                        .ok_or_else(|| format!("no class {service}"))?,
                    tenant: self.owner.0.and_then(|o| names.tenants.get(&*o).copied()),
                    has_key: self.object.is_some(),
                    timeout: self.expires_in.filter(|_| names.passes_deadline),
                    cost: self.predicted,
                    memory_kb: self.mem_kb.ok_or_else(|| missing("memKb"))?,
                    priority: self.precedence,
                    is_retry: self.resent,
                    is_write: self.write,
                    queue_time: self.queued_for,
                    duplicate_of: self.same_as.0.map(|word| ids.find(&word)),
                    id: ids.enter(op_id()?),
                })
            }
            Kind::Leaving => {
                Event::ShutdownNotice(self.expires_in.ok_or_else(|| missing("expiresIn"))?)
            }
            Kind::Finished => Event::Finished {
                id: ids.find(op_id()?),
                elapsed: took()?,
                outcome: outcome()?,
            },
            Kind::Lapsed => Event::Abandoned(ids.find(op_id()?)),
            Kind::StalledOnCall => Event::NeedsCall(ids.find(op_id()?)),
            Kind::Wakeup => Event::Timer {
                tag: self.tag.ok_or_else(|| missing("ref"))?,
                cpu_utilization: self.load.core_use,
                runnable: self.load.on_cores,
                memory_utilization: self.load.heap_share,
                connections: self.load.links,
            },
            Kind::CallDone => Event::CallEnded {
                id: ids.find(op_id()?),
                elapsed: took()?,
                outcome: outcome()?,
            },
        })
    }
}

/// One line of output.
#[derive(Serialize)]
pub struct Reply<'a> {
    /// The actions.
    pub steps: Vec<Step<'a>>,
}

/// One action.
#[derive(Serialize)]
pub struct Step<'a> {
    who: &'a str,
    #[serde(flatten)]
    verb: Verb<'a>,
}

#[derive(Serialize)]
#[serde(
    tag = "type",
    rename_all = "camelCase",
    rename_all_fields = "camelCase"
)]
enum Verb<'a> {
    Start {
        op_id: &'a str,
    },
    Echo {
        op_id: &'a str,
    },
    Busy {
        op_id: &'a str,
        backoff: Micros,
        dont_retry: bool,
    },
    Surrender {
        op_id: &'a str,
    },
    Pin {
        op_id: &'a str,
        lifetime: Micros,
    },
    DropKey {
        op_id: &'a str,
    },
    Invoke {
        op_id: &'a str,
        within: Micros,
    },
    Skip {
        op_id: &'a str,
    },
    Interrupt {
        op_id: &'a str,
    },
    Say {
        amount: f64,
    },
    Readiness {
        enable: bool,
        cached: bool,
    },
    Idle {
        lifetime: Micros,
    },
    Defer {
        from_now: Micros,
        #[serde(rename = "ref")]
        tag: u64,
    },
    Panic {
        words: &'a str,
    },
}

impl<'a> Step<'a> {
    /// The wire's form of an action.
    pub fn new(who: &'a str, action: &Action, ids: &'a Ids) -> Self {
        let op = |id: RequestId| ids.words.get(&id).map_or("", String::as_str);
        let verb = match *action {
            Action::Run(id) => Verb::Start { op_id: op(id) },
            Action::ReuseOutcome(id) => Verb::Echo { op_id: op(id) },
            Action::Reject {
                id,
                retry_after: backoff,
                no_retry,
            } => Verb::Busy {
                op_id: op(id),
                backoff,
                dont_retry: no_retry,
            },
            Action::Fail(id) => Verb::Surrender { op_id: op(id) },
            Action::RetainKey(id, lifetime) => Verb::Pin {
                op_id: op(id),
                lifetime,
            },
            Action::ReleaseKey(id) => Verb::DropKey { op_id: op(id) },
            Action::PlaceCall(id, within) => Verb::Invoke {
                op_id: op(id),
                within,
            },
            Action::SkipCall(id) => Verb::Skip { op_id: op(id) },
            Action::Cancel(id) => Verb::Interrupt { op_id: op(id) },
            Action::Backpressure(amount) => Verb::Say { amount },
            Action::Health(enable) => Verb::Readiness {
                enable,
                cached: true,
            },
            Action::CloseIdle(lifetime) => Verb::Idle { lifetime },
            Action::Timer(from_now, tag) => Verb::Defer { from_now, tag },
        };
        Step { who, verb }
    }

    /// The report that the decision code failed.
    pub fn panic(who: &'a str, words: &'a str) -> Self {
        Step {
            who,
            verb: Verb::Panic { words },
        }
    }
}
