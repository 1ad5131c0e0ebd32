//! The simulator's input: batches of items, and their conversion to the controller's events.

use crate::error::AdapterError;
use crate::names::{RequestIds, SettingsNames};
use pipitlever_admission::{Event, Micros, Outcome, Request, RequestId};
use pipitlever_settings::PlatformSettings;
use serde::de::Visitor;
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use std::fmt;

/// A line of input. Text is borrowed from the line where possible.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The time on the simulator's clock.
    #[serde(rename = "t")]
    pub now: Micros,
    /// The items, in order of occurrence.
    #[serde(borrow)]
    pub items: Vec<Item<'a>>,
}

/// The kind of an item.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub enum ItemKind {
    /// An instance of a server started.
    NewInstance,
    /// A request was read.
    WorkItem,
    /// The instance received its shutdown notice.
    Leaving,
    /// The run of a request ended.
    Finished,
    /// The caller of a request no longer waits for the answer.
    Lapsed,
    /// A running request needs a downstream call in order to continue.
    StalledOnCall,
    /// A timer expired.
    Wakeup,
    /// The process of the instance ended.
    Stop,
    /// A downstream call ended.
    CallDone,
}

/// An item. One type has the fields of all kinds, so that a line is parsed in one pass. The
/// serialized names are those of the simulator's protocol.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Item<'a> {
    /// The kind, which determines the other fields that are present.
    #[serde(rename = "type")]
    pub kind: ItemKind,
    /// The name of the server.
    #[serde(borrow, rename = "who")]
    pub server: Cow<'a, str>,
    /// The seed of a new instance.
    #[serde(rename = "prng")]
    pub seed: Option<u64>,
    /// The settings of a new instance.
    #[serde(rename = "config")]
    pub settings: Option<Box<PlatformSettings>>,
    #[serde(borrow, rename = "opId")]
    request: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "service")]
    class: Option<Cow<'a, str>>,
    #[serde(borrow, default, rename = "owner")]
    tenant: OptionalName<'a>,
    /// The object that the request reads or writes.
    #[serde(rename = "object")]
    key: Option<u64>,
    expires_in: Option<Micros>,
    #[serde(rename = "predicted")]
    cost: Option<f64>,
    #[serde(rename = "memKb")]
    memory_kb: Option<f64>,
    #[serde(default, rename = "precedence")]
    priority: f64,
    #[serde(default, rename = "resent")]
    is_retry: bool,
    #[serde(default, rename = "write")]
    is_write: bool,
    #[serde(default, rename = "queuedFor")]
    queue_time: Micros,
    #[serde(borrow, default, rename = "sameAs")]
    duplicate_of: OptionalName<'a>,
    #[serde(rename = "costTime")]
    elapsed: Option<Micros>,
    result: Option<ResultCode>,
    #[serde(rename = "ref")]
    timer_tag: Option<u64>,
    #[serde(default, rename = "load")]
    gauges: Gauges,
}

/// An optional name. The simulator writes a number or null in place of a missing name.
#[derive(Default)]
struct OptionalName<'a>(Option<Cow<'a, str>>);

impl<'de: 'a, 'a> Deserialize<'de> for OptionalName<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(OptionalNameVisitor)
    }
}

struct OptionalNameVisitor;

impl<'de> Visitor<'de> for OptionalNameVisitor {
    type Value = OptionalName<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a name, 0 or null")
    }

    fn visit_borrowed_str<E>(self, name: &'de str) -> Result<OptionalName<'de>, E> {
        Ok(OptionalName(Some(Cow::Borrowed(name))))
    }

    fn visit_str<E>(self, name: &str) -> Result<OptionalName<'de>, E> {
        Ok(OptionalName(Some(Cow::Owned(name.to_owned()))))
    }

    fn visit_u64<E>(self, _: u64) -> Result<OptionalName<'de>, E> {
        Ok(OptionalName(None))
    }

    fn visit_i64<E>(self, _: i64) -> Result<OptionalName<'de>, E> {
        Ok(OptionalName(None))
    }

    fn visit_unit<E>(self) -> Result<OptionalName<'de>, E> {
        Ok(OptionalName(None))
    }
}

/// The gauges of the server.
#[derive(Clone, Copy, Default, Deserialize)]
struct Gauges {
    #[serde(rename = "core_use")]
    cpu_utilization: Option<f64>,
    #[serde(rename = "on_cores")]
    runnable: Option<f64>,
    #[serde(rename = "heap_share")]
    memory_utilization: Option<f64>,
    #[serde(rename = "links")]
    connections: Option<f64>,
}

/// The simulator's code for the outcome of a run or a downstream call.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ResultCode {
    Done,
    Err,
    Busy,
    Etimedout,
    Econnrefused,
    Econnreset,
    Ecanceled,
    Skipped,
}

impl From<ResultCode> for Outcome {
    fn from(code: ResultCode) -> Outcome {
        match code {
            ResultCode::Done => Outcome::Success,
            ResultCode::Err => Outcome::Error,
            ResultCode::Busy => Outcome::Rejected,
            ResultCode::Etimedout => Outcome::TimedOut,
            ResultCode::Econnrefused => Outcome::Unreachable,
            ResultCode::Econnreset => Outcome::Reset,
            ResultCode::Ecanceled => Outcome::Cancelled,
            ResultCode::Skipped => Outcome::NotStarted,
        }
    }
}

impl Item<'_> {
    /// Converts the item to an event of a running instance.
    pub fn into_event(
        self,
        names: &SettingsNames,
        request_ids: &mut RequestIds,
    ) -> Result<Event, AdapterError> {
        Ok(match self.kind {
            ItemKind::NewInstance | ItemKind::Stop => {
                return Err(AdapterError::NotAnEvent(self.kind))
            }
            ItemKind::WorkItem => Event::Arrived(self.into_request(names, request_ids)?),
            ItemKind::Leaving => {
                Event::ShutdownNotice(self.required(self.expires_in, "expiresIn")?)
            }
            ItemKind::Finished => Event::Finished {
                id: self.request_id(request_ids)?,
                elapsed: self.elapsed()?,
                outcome: self.outcome()?,
            },
            ItemKind::Lapsed => Event::Abandoned(self.request_id(request_ids)?),
            ItemKind::StalledOnCall => Event::NeedsCall(self.request_id(request_ids)?),
            ItemKind::Wakeup => Event::Timer {
                tag: self.required(self.timer_tag, "ref")?,
                cpu_utilization: self.gauges.cpu_utilization,
                runnable: self.gauges.runnable,
                memory_utilization: self.gauges.memory_utilization,
                connections: self.gauges.connections,
            },
            ItemKind::CallDone => Event::CallEnded {
                id: self.request_id(request_ids)?,
                elapsed: self.elapsed()?,
                outcome: self.outcome()?,
            },
        })
    }

    fn into_request(
        self,
        names: &SettingsNames,
        request_ids: &mut RequestIds,
    ) -> Result<Request, AdapterError> {
        let class_name = self.required(self.class.as_deref(), "service")?;
        let class = *names
            .classes
            .get(class_name)
            .ok_or_else(|| AdapterError::UnknownClass(class_name.to_owned()))?;
        let tenant = self.tenant.0.as_deref();
        let memory_kb = self.required(self.memory_kb, "memKb")?;
        let original = self.duplicate_of.0.as_deref();
        let duplicate_of = original.map(|name| request_ids.find_or_allocate(name));
        Ok(Request {
            id: request_ids.assign(self.request_name()?),
            class,
            tenant: tenant.and_then(|name| names.tenants.get(name).copied()),
            has_key: self.key.is_some(),
            timeout: self.expires_in.filter(|_| names.passes_deadline),
            cost: self.cost,
            memory_kb,
            priority: self.priority,
            is_retry: self.is_retry,
            is_write: self.is_write,
            queue_time: self.queue_time,
            duplicate_of,
        })
    }

    fn required<T>(&self, value: Option<T>, field: &'static str) -> Result<T, AdapterError> {
        let kind = self.kind;
        value.ok_or(AdapterError::MissingField { kind, field })
    }

    fn request_name(&self) -> Result<&str, AdapterError> {
        self.required(self.request.as_deref(), "opId")
    }

    fn request_id(&self, request_ids: &mut RequestIds) -> Result<RequestId, AdapterError> {
        Ok(request_ids.find_or_allocate(self.request_name()?))
    }

    fn elapsed(&self) -> Result<Micros, AdapterError> {
        self.required(self.elapsed, "costTime")
    }

    fn outcome(&self) -> Result<Outcome, AdapterError> {
        Ok(self.required(self.result, "result")?.into())
    }
}
