//! All servers of a simulation, and the processing of a batch.

use crate::error::AdapterError;
use crate::input::{Batch, Item, ItemKind};
use crate::instance::Server;
use crate::output::Reply;
use std::collections::HashMap;

/// The servers of a simulation.
#[derive(Default)]
pub struct Host {
    servers: Vec<Server>,
    /// The positions of the servers by name.
    by_name: HashMap<String, usize>,
    /// The positions of the servers of the present batch, in order of their first item. An entry is
    /// cleared when the server's process ends.
    batch: Vec<Option<usize>>,
}

impl Host {
    /// Processes a line of input.
    pub fn process(&mut self, line: &str) -> Result<Reply<'_>, AdapterError> {
        for position in self.batch.drain(..).flatten() {
            self.servers[position].clear_batch();
        }
        let batch: Batch = serde_json::from_str(line)?;
        for item in batch.items {
            self.process_item(item)?;
        }
        for &position in self.batch.iter().flatten() {
            self.servers[position].step(batch.now);
        }
        let stepped = self.batch.iter().flatten().map(|&at| &self.servers[at]);
        Ok(Reply {
            steps: stepped.flat_map(Server::output).collect(),
        })
    }

    fn process_item(&mut self, item: Item) -> Result<(), AdapterError> {
        let position = self.position(&item)?;
        let server = &mut self.servers[position];
        match item.kind {
            ItemKind::NewInstance => server.start(item)?,
            ItemKind::Stop => {
                server.stop()?;
                if let Some(entry) = server.batch_position.take() {
                    self.batch[entry] = None;
                }
                return Ok(());
            }
            _ => server.add_event(item)?,
        }
        if server.batch_position.is_none() {
            server.batch_position = Some(self.batch.len());
            self.batch.push(Some(position));
        }
        Ok(())
    }

    /// The position of an item's server, which a first instance creates.
    fn position(&mut self, item: &Item) -> Result<usize, AdapterError> {
        let name = &*item.instance;
        if let Some(&position) = self.by_name.get(name) {
            return Ok(position);
        }
        if item.kind != ItemKind::NewInstance {
            return Err(AdapterError::UnknownInstance(name.to_owned()));
        }
        let position = self.servers.len();
        self.by_name.insert(name.to_owned(), position);
        self.servers.push(Server::new(name));
        Ok(position)
    }
}
