//! Runs one node from startup to shutdown.

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
use crate::supervision::{in_main, Subsystem, Supervisor};
use async_channel::Receiver;
use futures_lite::future;
use pipitlever_reactor::block_on;
use std::rc::Rc;
use thiserror::Error;

/// Why a node ended other than by a signal.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The node could not start, or could not take over from its predecessor.
    #[error("{0}")]
    Failed(String),
    /// A subsystem panicked. The panic was logged when it happened.
    #[error("{0} panicked")]
    Panicked(Subsystem),
}

impl From<String> for ServeError {
    fn from(message: String) -> ServeError {
        ServeError::Failed(message)
    }
}

/// Runs one node until SIGTERM or SIGINT. `read` reads the configuration; the content of a config
/// version, if given, replaces the parts of the node's own files that the fleet shares.
pub fn serve(
    config: Config,
    read: impl Fn(Option<&[u8]>) -> Result<Config, String> + 'static,
) -> Result<(), ServeError> {
    let supervisor = Supervisor::new();
    // The node is a task like all others: as the executor's own future it would be polled whenever
    // any task wakes, and would read the signals' sockets each time.
    let node = in_main(run(supervisor.clone(), config, read));
    let node = supervisor.executor().spawn(node);
    block_on(supervisor.executor().run(node))
}

async fn run(
    supervisor: Rc<Supervisor>,
    config: Config,
    read: impl Fn(Option<&[u8]>) -> Result<Config, String>,
) -> Result<(), ServeError> {
    let (config, stored_version) = crate::config::versions::load_stored_version(config, &read)?;
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    // A node with a store is not hot restarted: two processes cannot share a store.
    let restart_socket_path =
        hot_restart::socket_path(config.listen).filter(|_| config.store.is_none());
    let opened = async { Some(OpenedSockets::open(&config, restart_socket_path.as_deref()).await) };
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
    let mut services = startup::start(supervisor.clone(), config, stored_version, sockets, store)?;
    let end = event_loop(&supervisor, &signals, &mut services, &mut reload).await?;
    if let LoopEnd::Failed(subsystem) = end {
        shutdown::prepare_after_failure(&services, subsystem);
    }
    shut_down(&supervisor, &services).await;
    log_counters(&services.state);
    services.capture.stop(&services.state);
    match supervisor.status().failed_subsystem() {
        Some(subsystem) => Err(ServeError::Panicked(subsystem)),
        None => Ok(()),
    }
}

/// Shuts down gracefully, unless the core has panicked: its state is then inconsistent, and answers
/// from it would be unreliable.
async fn shut_down(supervisor: &Supervisor, services: &Services) {
    let status = supervisor.status();
    let has_core_panicked = || {
        status.failed_subsystem() == Some(Subsystem::Core)
            || !services.state.borrow().is_core_consistent()
    };
    let core_failure = async {
        while !has_core_panicked() {
            supervisor.next_failure().await;
        }
        log("ending: the core panicked in an update, nothing is drained");
    };
    future::or(core_failure, shutdown::shut_down(services)).await;
}

/// Something that the event loop reacts to.
enum LoopEvent {
    Signal(Signal),
    /// A config version that the fleet has decided is to be applied.
    ApplyVersion(DecidedVersion),
    /// A task or thread of the subsystem panicked.
    Panicked(Subsystem),
}

/// Why the event loop ends.
enum LoopEnd {
    /// A signal requested the shutdown.
    Signal,
    /// A subsystem that the process can't go on without panicked.
    Failed(Subsystem),
}

/// Handles signals, decided config versions and failures until the process has to end.
async fn event_loop<R: Fn(Option<&[u8]>) -> Result<Config, String>>(
    supervisor: &Supervisor,
    signals: &Signals,
    services: &mut Services,
    reload: &mut Reload<R>,
) -> Result<LoopEnd, String> {
    loop {
        let signal = async { Ok(LoopEvent::Signal(signals.next().await)) };
        let failure = async { Err(services.failure.wait().await.to_string()) };
        let panic = async { Ok(LoopEvent::Panicked(supervisor.next_failure().await)) };
        let version = async {
            Ok(LoopEvent::ApplyVersion(
                next_version(&services.versions).await,
            ))
        };
        let failed = future::or(panic, failure);
        let event = future::or(failed, future::or(signal, version)).await?;
        let (state, capture) = (&services.state, &mut services.capture);
        match event {
            LoopEvent::ApplyVersion(version) => reload.activate(state, capture, version).await,
            LoopEvent::Signal(Signal::LogCounters) => log_counters(state),
            LoopEvent::Signal(Signal::Reload) => reload.reload(state, capture),
            LoopEvent::Signal(Signal::Shutdown) => return Ok(LoopEnd::Signal),
            LoopEvent::Panicked(Subsystem::Capture) => capture.handle_failure(state),
            LoopEvent::Panicked(subsystem) => return Ok(LoopEnd::Failed(subsystem)),
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
