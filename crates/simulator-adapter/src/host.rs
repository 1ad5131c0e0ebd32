//! The servers of a simulation, and the processing of batches.

use crate::error::AdapterError;
use crate::input::{Batch, Item, ItemKind};
use crate::instance::Server;
use crate::output::Reply;
use std::collections::HashMap;

/// The servers of a simulation.
#[derive(Default)]
pub struct Host {
    servers: Vec<Server>,
    /// Indexes into `servers` by name.
    by_name: HashMap<String, usize>,
    /// Indexes into `servers` of the servers with items in the current batch, in order of their
    /// first item. An entry is cleared when the server's process ends.
    batch_servers: Vec<Option<usize>>,
}

impl Host {
    /// Parses a line of input as a batch, steps the controllers that it concerns and returns their
    /// actions.
    pub fn process(&mut self, line: &str) -> Result<Reply<'_>, AdapterError> {
        for index in self.batch_servers.drain(..).flatten() {
            self.servers[index].clear_batch();
        }
        let batch: Batch = serde_json::from_str(line)?;
        for item in batch.items {
            self.process_item(item)?;
        }
        for &index in self.batch_servers.iter().flatten() {
            self.servers[index].step(batch.now);
        }
        let stepped = self
            .batch_servers
            .iter()
            .flatten()
            .map(|&index| &self.servers[index]);
        Ok(Reply {
            actions: stepped.flat_map(Server::output).collect(),
        })
    }

    fn process_item(&mut self, item: Item) -> Result<(), AdapterError> {
        let index = self.server_index(&item)?;
        let server = &mut self.servers[index];
        match item.kind {
            ItemKind::NewInstance => server.start(item)?,
            ItemKind::Stop => {
                server.stop()?;
                if let Some(entry) = server.batch_index.take() {
                    self.batch_servers[entry] = None;
                }
                return Ok(());
            }
            _ => server.add_event(item)?,
        }
        if server.batch_index.is_none() {
            server.batch_index = Some(self.batch_servers.len());
            self.batch_servers.push(Some(index));
        }
        Ok(())
    }

    /// The index of an item's server. The first instance of a server adds the server.
    fn server_index(&mut self, item: &Item) -> Result<usize, AdapterError> {
        let name = &*item.server;
        if let Some(&index) = self.by_name.get(name) {
            return Ok(index);
        }
        if item.kind != ItemKind::NewInstance {
            return Err(AdapterError::NoRunningInstance(name.to_owned()));
        }
        let index = self.servers.len();
        self.by_name.insert(name.to_owned(), index);
        self.servers.push(Server::new(name));
        Ok(index)
    }
}
