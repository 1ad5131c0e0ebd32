//! SIGHUP: another configuration takes over, as a whole or not at all.

use crate::config::operator::StoreSettings;
use crate::config::platform::Config;
use crate::lifecycle::capture::CaptureController;
use crate::log::log;
use crate::net::config_versions::DecidedVersion;
use crate::net::event_loop::SharedState;
use crate::net::worker_pools::routes::PoolSettings;
use serde_json::Value;

/// Whether the fleet decides what this node acts on.
fn uses_config_versions(state: &SharedState) -> bool {
    state
        .borrow()
        .membership
        .as_ref()
        .is_some_and(|membership| membership.versions.is_some())
}

/// What of a configuration the next one is held against, and how it is read.
pub struct Reload<R> {
    read_config: R,
    /// The keys of the file in force.
    document: Value,
    /// The store, which stays as it was at the start.
    store: Option<StoreSettings>,
}

impl<R: Fn(Option<&[u8]>) -> Result<Config, String>> Reload<R> {
    /// Follows the configuration that the node starts with.
    pub fn new(read_config: R, config: &Config) -> Reload<R> {
        Reload {
            read_config,
            document: config.document.clone(),
            store: config.store.clone(),
        }
    }

    /// Reads the files, and takes over settings, classes, addresses of the other parties and the
    /// capture. With files that can't be used the node goes on as it is, in every respect.
    pub fn reload(&mut self, state: &SharedState, capture: &mut CaptureController) {
        let result = match uses_config_versions(state) {
            // Each node's own file may be any day's: what the fleet decided would be gone with it.
            true => Err(
                "the fleet decides versions: pipitlever fleet publish FILE --why WHY --at DOOR"
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

    /// Acts on a version that the fleet has decided: as a whole, once it is on the disk that no
    /// process of this node goes back behind it. One that can't be taken is turned down before
    /// that, and the node goes on under the one before.
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
        // Once another process of the node is the member, this one ends under the version that it
        // has: what it wrote down meanwhile is that one's to act on.
        if !membership.is_member() {
            return;
        }
        let checked = (self.read_config)(Some(&content))
            .and_then(|new| self.check_compatible(&new, state).map(|()| new));
        let result = match checked {
            Ok(new) => match membership.write_active_version(number, &content).await {
                Ok(()) if !membership.is_member() => return,
                Ok(()) => self.apply(new, state, capture),
                Err(why) => Err(format!("it can't be written down: {why}")),
            },
            Err(why) => Err(why),
        };
        if let Some(versions) = &membership.versions {
            versions.activation_finished(number, result);
        }
        membership.notify();
    }

    /// Whether another configuration can be taken.
    fn check_compatible(&self, new: &Config, state: &SharedState) -> Result<(), String> {
        new.check_no_key_missing(&self.document)?;
        if new.upstreams.processor.is_some() != state.borrow().processor.address.is_some() {
            return Err("a processor can be neither added nor removed while the node runs".into());
        }
        let is_same =
            |(new, old): (&PoolSettings, &String)| new.name == *old || new.was.contains(old);
        let names = state.borrow().pools.names();
        if new.upstreams.pools.len() != names.len()
            || !new.upstreams.pools.iter().zip(&names).all(is_same)
        {
            return Err(
                "pools can be neither added nor removed while the node runs, their members can"
                    .into(),
            );
        }
        let features = |p: &PoolSettings| (p.shared.is_some(), p.sessions.is_some());
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
        // The last that may fail, and nothing has changed before it.
        let changed = state
            .borrow_mut()
            .reconfigure(new.request_settings)
            .map_err(|error| error.to_string())?;
        state.borrow_mut().set_upstreams(new.upstreams);
        if changed {
            // A capture's settings are those it began with: another one begins.
            capture.stop(state);
        }
        capture.configure(state, new.capture);
        match (&state.borrow().membership, &new.fleet) {
            (Some(membership), Some(settings)) => membership.set_settings(settings),
            (None, None) => {}
            _ => {
                log("reload: [fleet] was added or removed: it stays as it was until the next start")
            }
        }
        if new.store != self.store {
            log("reload: [store] has changed: it stays as it was until the next start");
        }
        self.document = new.document;
        Ok(())
    }
}
