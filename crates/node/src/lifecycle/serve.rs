//! One node from its start to its end.

use crate::config::platform::Config;
use crate::lifecycle::reload::Reload;
use crate::lifecycle::report::log_counters;
use crate::lifecycle::signals::{Signal, Signals};
use crate::lifecycle::sockets::OpenedSockets;
use crate::lifecycle::startup::{self, Services};
use crate::lifecycle::{shutdown, store};
use crate::log::log;
use crate::net::config_versions::DecidedVersion;
use crate::net::hot_restart;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_reactor::block_on;
use std::rc::Rc;

/// Runs one node until SIGTERM or SIGINT. `read` reads the configuration, with the content of a
/// config version in place of the node's own if one is given.
pub fn serve(
    config: Config,
    read: impl Fn(Option<&[u8]>) -> Result<Config, String> + 'static,
) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    // The node is a task like all others: as the executor's own future it would be polled whenever
    // any task wakes, and would read the signals' sockets each time.
    let node = executor.spawn(run(executor.clone(), config, read));
    block_on(executor.run(node))
}

async fn run(
    executor: Rc<LocalExecutor<'static>>,
    config: Config,
    read: impl Fn(Option<&[u8]>) -> Result<Config, String>,
) -> Result<(), String> {
    let (config, stored_version) = crate::config::versions::begin(config, &read)?;
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    // Two processes cannot share a store, and a port that the system picks is used by no other one.
    let meeting_place = hot_restart::socket_path(config.listen).filter(|_| config.store.is_none());
    let opened = async { Some(OpenedSockets::open(&config, meeting_place.as_deref()).await) };
    let interrupted = async {
        signals.wait_for_shutdown().await;
        None
    };
    // An address may still be in use by a process that shuts down; a signal ends the wait for it.
    let Some(opened) = future::or(opened, interrupted).await else {
        log("ending: told to leave before it served");
        return Ok(());
    };
    let sockets = opened?;
    let mut reload = Reload::new(read, &config);
    let store = store::open_configured(&config)?;
    let mut services = startup::start(executor, config, stored_version, sockets, store)?;
    event_loop(&signals, &mut services, &mut reload).await?;
    shutdown::shut_down(&services).await;
    log_counters(&services.state);
    services.capturing.end(&services.state);
    Ok(())
}

/// Something that the event loop reacts to.
enum LoopEvent {
    Signal(Signal),
    /// A config version that the fleet has decided is to be applied.
    ApplyVersion(DecidedVersion),
}

/// Handles signals and decided config versions until a signal asks for the shutdown.
async fn event_loop<R: Fn(Option<&[u8]>) -> Result<Config, String>>(
    signals: &Signals,
    services: &mut Services,
    reload: &mut Reload<R>,
) -> Result<(), String> {
    loop {
        let signal = async { Ok(LoopEvent::Signal(signals.next().await)) };
        let failure = async { Err(services.failure.wait().await.to_string()) };
        let version = async {
            Ok(LoopEvent::ApplyVersion(
                next_version(&services.versions).await,
            ))
        };
        let event = future::or(future::or(signal, failure), version).await?;
        let (state, capturing) = (&services.state, &mut services.capturing);
        match event {
            LoopEvent::ApplyVersion(version) => reload.act(state, capturing, version).await,
            LoopEvent::Signal(Signal::LogCounters) => log_counters(state),
            LoopEvent::Signal(Signal::Reload) => reload.reload(state, capturing),
            LoopEvent::Signal(Signal::Shutdown) => return Ok(()),
        }
    }
}

/// The next config version to apply; waits for ever if this node's fleet does not decide versions.
async fn next_version(versions: &Receiver<DecidedVersion>) -> DecidedVersion {
    match versions.recv().await {
        Ok(version) => version,
        Err(_) => future::pending().await,
    }
}
