//! A simulated server: its running instance, and the events and actions of the current batch.

use crate::error::AdapterError;
use crate::input::{Item, ItemKind};
use crate::names::{RequestIds, SettingsNames};
use crate::output::ServerAction;
use pipitlever_admission::{Action, Controller, Event, Micros, RequestId};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A process of a server: its controller, and the simulator's names for its classes, tenants and
/// requests.
struct Instance {
    controller: Controller,
    names: SettingsNames,
    request_ids: RequestIds,
}

/// A server, run by one instance after another.
#[derive(Default)]
pub struct Server {
    name: String,
    /// The running instance, or `None` after its process ended.
    instance: Option<Instance>,
    /// The events of the current batch.
    events: Vec<Event>,
    /// The actions of the current batch.
    actions: Vec<Action>,
    /// The message of a panic in the current batch.
    panic_message: Option<String>,
    /// The index among the servers of the current batch, if it has items for this server.
    pub batch_index: Option<usize>,
    /// Requests that ended in the current batch. Their names are needed until the reply is written.
    ended: Vec<RequestId>,
}

impl Server {
    /// A server without an instance.
    pub fn new(name: &str) -> Server {
        Server {
            name: name.to_owned(),
            ..Server::default()
        }
    }

    /// Discards the events and actions of the last batch, and releases the requests that ended in
    /// it.
    pub fn clear_batch(&mut self) {
        if let Some(instance) = &mut self.instance {
            for id in self.ended.drain(..) {
                instance.request_ids.release(id);
            }
        }
        self.events.clear();
        self.actions.clear();
        self.panic_message = None;
        self.batch_index = None;
    }

    /// Starts an instance. Events of an earlier instance in the same batch are dropped.
    pub fn start(&mut self, item: Item) -> Result<(), AdapterError> {
        let missing = |field| AdapterError::MissingField {
            kind: ItemKind::NewInstance,
            field,
        };
        let settings = item.settings.ok_or_else(|| missing("config"))?;
        let seed = item.seed.ok_or_else(|| missing("prng"))?;
        self.events.clear();
        self.instance = Some(Instance {
            controller: Controller::new(settings.controller_settings()?, seed),
            names: SettingsNames::new(&settings),
            request_ids: RequestIds::default(),
        });
        Ok(())
    }

    /// Ends the instance and drops its events.
    pub fn stop(&mut self) -> Result<(), AdapterError> {
        if self.instance.take().is_none() {
            return Err(AdapterError::NoRunningInstance(self.name.clone()));
        }
        self.events.clear();
        Ok(())
    }

    /// Adds an event to the current batch.
    pub fn add_event(&mut self, item: Item) -> Result<(), AdapterError> {
        let Some(instance) = &mut self.instance else {
            return Err(AdapterError::NoRunningInstance(self.name.clone()));
        };
        let event = item.into_event(&instance.names, &mut instance.request_ids)?;
        self.events.push(event);
        Ok(())
    }

    /// Passes the events of the batch to the controller. A panic of the controller is caught and
    /// becomes the output of the batch.
    pub fn step(&mut self, now: Micros) {
        let Some(instance) = &mut self.instance else {
            return;
        };
        let controller = &mut instance.controller;
        let (events, actions) = (&self.events, &mut self.actions);
        let result = catch_unwind(AssertUnwindSafe(|| controller.step(now, events, actions)));
        if let Err(payload) = result {
            self.panic_message = Some(panic_message(payload.as_ref()));
            return;
        }
        let in_events = self.events.iter().filter_map(Event::request);
        let in_actions = self.actions.iter().filter_map(Action::request);
        let ended = in_events
            .chain(in_actions)
            .filter(|&id| !controller.is_tracked(id));
        self.ended.extend(ended);
    }

    /// The output of the batch: the actions, or the report of a panic.
    pub fn output(&self) -> impl Iterator<Item = ServerAction<'_>> {
        let panic = self
            .panic_message
            .iter()
            .map(|message| ServerAction::panic(&self.name, message));
        let instance = self
            .instance
            .iter()
            .filter(|_| self.panic_message.is_none());
        let actions = instance.flat_map(|instance| {
            let translate =
                |action| ServerAction::action(&self.name, action, &instance.request_ids);
            self.actions.iter().map(translate)
        });
        panic.chain(actions)
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> String {
    let text = payload
        .downcast_ref::<&str>()
        .map(|text| (*text).to_owned());
    payload
        .downcast_ref::<String>()
        .cloned()
        .or(text)
        .unwrap_or_else(|| "panic".into())
}
