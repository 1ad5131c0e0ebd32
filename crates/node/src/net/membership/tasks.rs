//! Tasks of the membership driver: datagrams, timer and sync connections, on which two members
//! exchange the differences of their views. The tasks run while this process is the member.

use super::settings::STATE_CHECK_MS;
use super::{MembershipDriver, MAX_SYNCS};
use crate::net::{after_ms, timeout_at};
use crate::supervision::Subsystem;
use futures_lite::future;
use pipitlever_membership::sync::SyncSession;
use pipitlever_reactor::{Async, Timer};
use std::net::TcpStream;
use std::rc::Rc;

/// Size of the datagram buffer, in bytes. The longest valid datagram is shorter, so that a
/// truncated datagram cannot be taken for a complete one.
const DATAGRAM_BUFFER_BYTES: usize = 64 << 10;
/// Number of datagrams that are read before other tasks run.
const DATAGRAMS_PER_BATCH: usize = 16;
/// Pause after a failed read of a datagram, in milliseconds.
const DATAGRAM_RETRY_MS: u64 = 1;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// Timeout of a sync, in milliseconds.
const SYNC_TIMEOUT_MS: u64 = 10_000;
/// Timeout of connecting, and of each read and write of a sync, in milliseconds.
const SYNC_IO_TIMEOUT_MS: u64 = 2_000;
/// Size of the buffer that a sync reads into, in bytes.
const SYNC_BUFFER_BYTES: usize = 16 << 10;

/// Reads datagrams and passes them to the membership.
pub(super) async fn read_datagrams(driver: Rc<MembershipDriver>) {
    let mut bytes = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        for _ in 0..DATAGRAMS_PER_BATCH {
            match driver.udp.receive(&mut bytes).await {
                Ok((length, _)) => driver.handle_datagram(&bytes[..length]),
                // An ICMP error for an earlier datagram, or out of memory.
                Err(_) => {
                    Timer::at(after_ms(DATAGRAM_RETRY_MS)).await;
                }
            }
        }
        future::yield_now().await;
    }
}

/// Updates the membership when its next wakeup is due, and at least every [`STATE_CHECK_MS`].
pub(super) async fn run_timer(driver: Rc<MembershipDriver>) {
    loop {
        driver.handle_timer();
        let wakeup = driver.clock.instant(driver.next_wakeup.get());
        let next = wakeup.min(after_ms(STATE_CHECK_MS));
        timeout_at(next, driver.wakeup_changed.wait()).await;
        future::yield_now().await;
    }
}

/// Accepts sync connections of other members.
pub(super) async fn accept_syncs(driver: Rc<MembershipDriver>) {
    loop {
        match driver.tcp.accept().await {
            Ok((stream, _)) => {
                // Closes the connection; the other member retries later.
                if driver.open_syncs.get() >= MAX_SYNCS {
                    continue;
                }
                let Ok(stream) = Async::<TcpStream>::new(stream) else {
                    continue;
                };
                driver.open_syncs.set(driver.open_syncs.get() + 1);
                let responder = driver.clone();
                let respond = async move {
                    let session = SyncSession::respond();
                    sync(&responder, "an incoming sync", stream, session).await;
                    responder.open_syncs.set(responder.open_syncs.get() - 1);
                };
                driver.supervisor.spawn(Subsystem::Fleet, respond).detach();
            }
            // Out of descriptors.
            Err(_) => {
                Timer::at(after_ms(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Connects to the members that the membership selects for syncs, one at a time.
pub(super) async fn initiate_syncs(driver: Rc<MembershipDriver>) {
    loop {
        driver.sync_requested.wait().await;
        let Some(target) = driver.update(|fleet, _| fleet.take_sync_target()) else {
            continue;
        };
        let local = driver.bind.ip();
        let source = (!local.is_unspecified()).then_some(local);
        let connecting = Async::<TcpStream>::connect_from(source, target);
        match timeout_at(after_ms(SYNC_IO_TIMEOUT_MS), connecting).await {
            Some(Ok(stream)) => {
                let session = SyncSession::initiate(&driver.fleet.borrow());
                sync(&driver, "the response to a sync", stream, session).await;
            }
            _ => driver.count(|counters| counters.failed_syncs += 1),
        }
    }
}

/// Runs a sync with a timeout, and counts the outcome. `source_name` names the received bytes in
/// log lines.
async fn sync(
    driver: &MembershipDriver,
    source_name: &str,
    stream: Async<TcpStream>,
    session: SyncSession,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let exchange = exchange(driver, source_name, &stream, session);
    let completed = timeout_at(after_ms(SYNC_TIMEOUT_MS), exchange).await;
    driver.count(|counters| match completed.flatten() {
        Some(()) => counters.synced += 1,
        None => counters.failed_syncs += 1,
    });
}

/// Exchanges views until both are equal. Returns none if that fails.
async fn exchange(
    driver: &MembershipDriver,
    source_name: &str,
    stream: &Async<TcpStream>,
    mut session: SyncSession,
) -> Option<()> {
    let mut bytes = vec![0; SYNC_BUFFER_BYTES];
    loop {
        while let Some(chunk) = driver.update(|fleet, now| session.next_chunk(fleet, now)) {
            let writing = stream.write_all(&chunk);
            timeout_at(after_ms(SYNC_IO_TIMEOUT_MS), writing)
                .await?
                .ok()?;
            future::yield_now().await;
        }
        if session.is_complete() {
            return Some(());
        }
        let reading = stream.read(&mut bytes);
        let read = timeout_at(after_ms(SYNC_IO_TIMEOUT_MS), reading).await?;
        let length = read.ok().filter(|&length| length > 0)?;
        if !driver.is_member() {
            return None;
        }
        let handled =
            driver.update(|fleet, now| session.handle_bytes(fleet, now, &bytes[..length]));
        if let Err(error) = handled {
            driver.record_malformed(source_name, &error);
            return None;
        }
        future::yield_now().await;
    }
}
