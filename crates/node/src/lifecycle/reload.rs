//! SIGHUP: another configuration takes over, as a whole or not at all.

use crate::config::operator::Store;
use crate::config::platform::Config;
use crate::lifecycle::capture::Capturing;
use crate::log::log;
use crate::net::config_versions::DecidedVersion;
use crate::net::event_loop::SharedState;
use crate::net::worker_pools::routes::PoolSettings;
use serde_json::Value;

/// Whether the fleet decides what this node acts on.
fn versioned(state: &SharedState) -> bool {
    state
        .borrow()
        .membership
        .as_ref()
        .is_some_and(|membership| membership.versions.is_some())
}

/// What of a configuration the next one is held against, and how it is read.
pub struct Reload<R> {
    read: R,
    /// The keys of the file in force.
    shape: Value,
    /// The store, which stays as it was at the start.
    store: Option<Store>,
}

impl<R: Fn(Option<&[u8]>) -> Result<Config, String>> Reload<R> {
    /// Follows the configuration that the node starts with.
    pub fn new(read: R, config: &Config) -> Reload<R> {
        Reload {
            read,
            shape: config.shape.clone(),
            store: config.store.clone(),
        }
    }

    /// Reads the files, and takes over settings, classes, addresses of the other parties and the
    /// capture. With files that can't be used the node goes on as it is, in every respect.
    pub fn reload(&mut self, state: &SharedState, capturing: &mut Capturing) {
        let taken = match versioned(state) {
            // Each node's own file may be any day's: what the fleet decided would be gone with it.
            true => Err(
                "the fleet decides versions: pipitlever fleet publish FILE --why WHY --at DOOR"
                    .into(),
            ),
            false => (self.read)(None).and_then(|new| self.take(new, state, capturing)),
        };
        match taken {
            Ok(()) => {
                state.borrow_mut().config_files.accepted += 1;
                log("reload: done");
            }
            Err(trouble) => {
                state.borrow_mut().config_files.rejected += 1;
                log(&format!(
                    "reload: not done, the old configuration stays: {trouble}"
                ));
            }
        }
    }

    /// Acts on a version that the fleet has decided: as a whole, once it is on the disk that no
    /// process of this node goes back behind it. One that can't be taken is turned down before
    /// that, and the node goes on under the one before.
    pub async fn act(
        &mut self,
        state: &SharedState,
        capturing: &mut Capturing,
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
        let fits = (self.read)(Some(&content)).and_then(|new| self.fits(&new, state).map(|()| new));
        let taken = match fits {
            Ok(new) => match membership.write_active_version(number, &content).await {
                Ok(()) if !membership.is_member() => return,
                Ok(()) => self.take(new, state, capturing),
                Err(why) => Err(format!("it can't be written down: {why}")),
            },
            Err(why) => Err(why),
        };
        if let Some(versions) = &membership.versions {
            versions.activation_finished(number, taken);
        }
        membership.notify();
    }

    /// Whether another configuration can be taken.
    fn fits(&self, new: &Config, state: &SharedState) -> Result<(), String> {
        new.follows(&self.shape)?;
        if new.parties.processor.is_some() != state.borrow().processor.address.is_some() {
            return Err("a processor can be neither added nor removed while the node runs".into());
        }
        let same = |(new, old): (&PoolSettings, &String)| {
            new.name == *old || new.previous_names.contains(old)
        };
        let names = state.borrow().pools.names();
        if new.parties.pools.len() != names.len() || !new.parties.pools.iter().zip(&names).all(same)
        {
            return Err(
                "pools can be neither added nor removed while the node runs, their members can"
                    .into(),
            );
        }
        let parts = |p: &PoolSettings| (p.subsetting.is_some(), p.sessions.is_some());
        if new
            .parties
            .pools
            .iter()
            .map(parts)
            .ne(state.borrow().pools.settings().map(parts))
        {
            return Err(
                "share = true and [pool.affinity] can be neither added nor removed while the node runs"
                    .into(),
            );
        }
        state
            .borrow()
            .check_classes(&new.tuning)
            .map_err(|error| error.to_string())
    }

    fn take(
        &mut self,
        new: Config,
        state: &SharedState,
        capturing: &mut Capturing,
    ) -> Result<(), String> {
        self.fits(&new, state)?;
        // The last that may fail, and nothing has changed before it.
        let changed = state
            .borrow_mut()
            .reconfigure(new.tuning)
            .map_err(|error| error.to_string())?;
        state.borrow_mut().set_upstreams(new.parties);
        if changed {
            // A capture's settings are those it began with: another one begins.
            capturing.end(state);
        }
        capturing.set(state, new.capture);
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
        self.shape = new.shape;
        Ok(())
    }
}
