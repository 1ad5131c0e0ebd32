//! Maps the simulator's names of classes, tenants and requests to the indexes and ids that the
//! controller uses.

use pipitlever_admission::RequestId;
use pipitlever_settings::PlatformSettings;
use std::collections::HashMap;

/// The indexes of classes and tenants in the settings, by name.
pub struct SettingsNames {
    /// The classes.
    pub classes: HashMap<String, usize>,
    /// The tenants.
    pub tenants: HashMap<String, usize>,
    /// Whether requests carry the remaining time until their caller's deadline.
    pub passes_deadline: bool,
}

impl SettingsNames {
    /// The names that these settings define.
    pub fn new(settings: &PlatformSettings) -> SettingsNames {
        SettingsNames {
            classes: indexes_by_name(settings.class_names()),
            tenants: indexes_by_name(settings.tenant_names()),
            passes_deadline: settings.passes_deadline(),
        }
    }
}

fn indexes_by_name(names: Vec<String>) -> HashMap<String, usize> {
    let indexed = names.into_iter().enumerate();
    indexed.map(|(index, name)| (name, index)).collect()
}

/// The ids of the requests that the controller still tracks.
#[derive(Default)]
pub struct RequestIds {
    ids_by_name: HashMap<String, RequestId>,
    names_by_id: HashMap<RequestId, String>,
    last_id: RequestId,
}

impl RequestIds {
    /// Assigns an id to a request that was just read.
    pub fn assign(&mut self, name: &str) -> RequestId {
        let id = self.allocate();
        self.ids_by_name.insert(name.to_owned(), id);
        self.names_by_id.insert(id, name.to_owned());
        id
    }

    /// The id of a request that was read before. A request that ended and was released gets a new
    /// id, which the controller does not track.
    pub fn find_or_allocate(&mut self, name: &str) -> RequestId {
        let existing = self.ids_by_name.get(name).copied();
        existing.unwrap_or_else(|| self.allocate())
    }

    /// The name of a request; empty after it was released.
    pub fn name(&self, id: RequestId) -> &str {
        self.names_by_id.get(&id).map_or("", String::as_str)
    }

    /// Releases the id of a request that has ended.
    pub fn release(&mut self, id: RequestId) {
        if let Some(name) = self.names_by_id.remove(&id) {
            self.ids_by_name.remove(&name);
        }
    }

    fn allocate(&mut self) -> RequestId {
        self.last_id += 1;
        self.last_id
    }
}
