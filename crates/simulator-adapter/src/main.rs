//! Hosts one [`Controller`] per instance on the simulator's wire: translates, and decides nothing.

mod wire;

use pipitlever_admission::{Action, Controller, Event, RequestId};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use wire::{Batch, Kind, Reply, Step};

/// One server: its controller and the names that the wire has for what the controller numbers.
struct Instance {
    controller: Controller,
    names: wire::Names,
    ids: wire::Ids,
}

/// A place for a server's lives, one after another, with what the batch in hand brought for it.
#[derive(Default)]
struct Place {
    who: String,
    instance: Option<Instance>,
    events: Vec<Event>,
    actions: Vec<Action>,
    panicked: Option<String>,
    /// Where it stands in the order of this batch.
    turn: Option<usize>,
    /// Requests that ended in the last batch, kept until its reply was out.
    ended: Vec<RequestId>,
}

impl Place {
    fn clear(&mut self) {
        if let Some(instance) = &mut self.instance {
            self.ended.drain(..).for_each(|id| instance.ids.free(id));
        }
        self.events.clear();
        self.actions.clear();
        self.panicked = None;
        self.turn = None;
    }

    fn step(&mut self, now: i64) {
        let Some(instance) = &mut self.instance else {
            return;
        };
        let controller = &mut instance.controller;
        let (events, actions) = (&self.events, &mut self.actions);
        let stepped = catch_unwind(AssertUnwindSafe(|| controller.step(now, events, actions)));
        if let Err(cause) = stepped {
            let text = cause.downcast_ref::<String>().cloned();
            let text = text.or_else(|| cause.downcast_ref::<&str>().map(|s| s.to_string()));
            self.panicked = Some(text.unwrap_or_else(|| "panic".into()));
            return;
        }
        let read = self.events.iter().filter_map(Event::request);
        let named = self.actions.iter().filter_map(Action::request);
        self.ended
            .extend(read.chain(named).filter(|&id| !controller.is_tracked(id)));
    }

    fn steps(&self) -> impl Iterator<Item = Step<'_>> {
        let panicked = self
            .panicked
            .iter()
            .map(|text| Step::panic(&self.who, text));
        let actions = self.instance.iter().filter(|_| self.panicked.is_none());
        let actions =
            actions.flat_map(|i| self.actions.iter().map(|a| Step::new(&self.who, a, &i.ids)));
        panicked.chain(actions)
    }
}

#[derive(Default)]
struct Host {
    places: Vec<Place>,
    by_name: HashMap<String, usize>,
    /// The places that the batch in hand names, in order; those that died in it stay as gaps.
    order: Vec<Option<usize>>,
}

impl Host {
    /// Answers one batch, or says what is wrong with it.
    fn answer(&mut self, line: &str) -> Result<Reply<'_>, String> {
        for place in self.order.drain(..).flatten() {
            self.places[place].clear();
        }
        let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        for mut item in batch.items {
            let at = match self.by_name.get(&*item.who) {
                Some(&at) => at,
                None if item.kind == Kind::NewInstance => self.add(&item.who),
                None => return Err(format!("no instance {}", item.who)),
            };
            let place = &mut self.places[at];
            match item.kind {
                Kind::NewInstance => {
                    let config = item.config.take().ok_or("no config in NewInstance")?;
                    let seed = item.prng.ok_or("no prng in NewInstance")?;
                    place.events.clear();
                    place.instance = Some(Instance {
                        controller: Controller::new(
                            config.controller_settings().map_err(|e| e.to_string())?,
                            seed,
                        ),
                        names: wire::Names::new(&config),
                        ids: wire::Ids::default(),
                    });
                }
                Kind::Stop => {
                    place
                        .instance
                        .take()
                        .ok_or_else(|| format!("no instance {}", item.who))?;
                    place.events.clear();
                    if let Some(turn) = place.turn.take() {
                        self.order[turn] = None;
                    }
                    continue;
                }
                _ => {
                    let instance = place
                        .instance
                        .as_mut()
                        .ok_or_else(|| format!("no instance {}", item.who))?;
                    place
                        .events
                        .push(item.event(&instance.names, &mut instance.ids)?);
                }
            }
            if place.turn.is_none() {
                place.turn = Some(self.order.len());
                self.order.push(Some(at));
            }
        }
        for &at in self.order.iter().flatten() {
            self.places[at].step(batch.t);
        }
        let places = self.order.iter().flatten().map(|&at| &self.places[at]);
        Ok(Reply {
            steps: places.flat_map(Place::steps).collect(),
        })
    }

    fn add(&mut self, who: &str) -> usize {
        self.by_name.insert(who.to_owned(), self.places.len());
        self.places.push(Place {
            who: who.to_owned(),
            ..Place::default()
        });
        self.places.len() - 1
    }
}

fn main() {
    let mut host = Host::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut line = String::new();
    for number in 1.. {
        line.clear();
        let trouble = match input.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) => match host.answer(&line) {
                Ok(reply) => serde_json::to_writer(&mut output, &reply)
                    .map_err(|e| e.to_string())
                    .and_then(|()| {
                        output
                            .write_all(b"\n")
                            .and_then(|()| output.flush())
                            .map_err(|e| e.to_string())
                    })
                    .err(),
                Err(trouble) => Some(trouble),
            },
            Err(error) => Some(error.to_string()),
        };
        if let Some(trouble) = trouble {
            eprintln!(
                "pipitlever-adapter: line {number}: {}",
                trouble.replace('\n', " ")
            );
            std::process::exit(1);
        }
    }
}
