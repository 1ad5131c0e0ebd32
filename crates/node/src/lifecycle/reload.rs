//! Applies another configuration, as a whole or not at all: on SIGHUP, or a decided config version.

use crate::config::operator::StoreSettings;
use crate::config::platform::Config;
use crate::lifecycle::capture::CaptureController;
use crate::log::log;
use crate::net::config_versions::DecidedVersion;
use crate::net::event_loop::SharedState;
use crate::net::worker_pools::routes::PoolSettings;
use serde_json::Value;

/// Whether the fleet decides this node's configuration.
fn uses_config_versions(state: &SharedState) -> bool {
    state
        .borrow()
        .membership
        .as_ref()
        .is_some_and(|membership| membership.versions.is_some())
}

/// Reads configurations, and checks each against the one in force.
pub struct Reload<R> {
    read_config: R,
    /// The configuration file in force, as JSON: the next one may not lack any of its keys.
    document: Value,
    /// The store's settings at the start, which stay in force until the process ends.
    store: Option<StoreSettings>,
}

impl<R: Fn(Option<&[u8]>) -> Result<Config, String>> Reload<R> {
    /// Starts from the configuration that the node starts with.
    pub fn new(read_config: R, config: &Config) -> Reload<R> {
        Reload {
            read_config,
            document: config.document.clone(),
            store: config.store.clone(),
        }
    }

    /// Reads the files, and applies settings, classes, upstream addresses and the capture. If the
    /// files are invalid, nothing changes.
    pub fn reload(&mut self, state: &SharedState, capture: &mut CaptureController) {
        let result = match uses_config_versions(state) {
            // The node's file may be older than the decided version, and would undo it.
            true => Err(
                "the fleet decides versions: pipitlever fleet publish FILE --why WHY --at CONTROL"
                    .into(),
            ),
            false => (self.read_config)(None).and_then(|new| self.apply(new, state, capture)),
        };
        match result {
            Ok(()) => {
                state.borrow_mut().config_files.accepted += 1;
                log("reload: done");
            }
            Err(error) => {
                state.borrow_mut().config_files.rejected += 1;
                log(&format!(
                    "reload: not done, the old configuration stays: {error}"
                ));
            }
        }
    }

    /// Activates a version that the fleet has decided, as a whole. The version is first written to
    /// the disk, so that no later process of this node activates an older one. An incompatible
    /// version is rejected before that, and the previous one stays active.
    pub async fn activate(
        &mut self,
        state: &SharedState,
        capture: &mut CaptureController,
        version: DecidedVersion,
    ) {
        let DecidedVersion { number, content } = version;
        let Some(membership) = state.borrow().membership.clone() else {
            return;
        };
        // Once a successor is the member, this process keeps its active version until it ends. A
        // version that it has just written to the disk is activated by the successor.
        if !membership.is_member() {
            return;
        }
        let checked = (self.read_config)(Some(&content))
            .and_then(|new| self.check_compatible(&new, state).map(|()| new));
        let result = match checked {
            Ok(new) => match membership.write_active_version(number, &content).await {
                Ok(()) if !membership.is_member() => return,
                Ok(()) => self.apply(new, state, capture),
                Err(error) => Err(format!("cannot write the version to the disk: {error}")),
            },
            Err(error) => Err(error),
        };
        if let Some(versions) = &membership.versions {
            versions.activation_finished(number, result);
        }
        membership.notify();
    }

    /// Checks that a configuration can be applied without a restart.
    fn check_compatible(&self, new: &Config, state: &SharedState) -> Result<(), String> {
        new.check_no_key_missing(&self.document)?;
        if new.upstreams.processor.is_some() != state.borrow().processor.address.is_some() {
            return Err("a processor can be neither added nor removed while the node runs".into());
        }
        let is_same = |(new, old): (&PoolSettings, &String)| {
            new.name == *old || new.previous_names.contains(old)
        };
        let names = state.borrow().pools.names();
        if new.upstreams.pools.len() != names.len()
            || !new.upstreams.pools.iter().zip(&names).all(is_same)
        {
            return Err(
                "pools can be neither added nor removed while the node runs, their members can"
                    .into(),
            );
        }
        let features = |p: &PoolSettings| (p.subsetting.is_some(), p.sessions.is_some());
        if new.upstreams.pools.iter().map(features).ne(state
            .borrow()
            .pools
            .settings()
            .map(features))
        {
            return Err(
                "share = true and [pool.affinity] can be neither added nor removed while the node runs"
                    .into(),
            );
        }
        state
            .borrow()
            .check_classes(&new.request_settings)
            .map_err(|error| error.to_string())
    }

    fn apply(
        &mut self,
        new: Config,
        state: &SharedState,
        capture: &mut CaptureController,
    ) -> Result<(), String> {
        self.check_compatible(&new, state)?;
        // The last step that may fail; nothing has changed before it.
        let changed = state
            .borrow_mut()
            .reconfigure(new.request_settings)
            .map_err(|error| error.to_string())?;
        state.borrow_mut().set_upstreams(new.upstreams);
        if changed {
            // A capture records the settings that it began with, so a new one has to begin.
            capture.stop(state);
        }
        capture.configure(state, new.capture);
        match (&state.borrow().membership, &new.fleet) {
            (Some(membership), Some(settings)) => membership.set_settings(settings),
            (None, None) => {}
            _ => log("reload: [fleet] was added or removed: this takes effect at the next start"),
        }
        if new.store != self.store {
            log("reload: [store] has changed: this takes effect at the next start");
        }
        self.document = new.document;
        Ok(())
    }
}
