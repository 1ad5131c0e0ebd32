//! Runs on uwsgi workers: a connection a run, closed by its end. The pool says which worker, and
//! whether a run may be tried on another one.

pub mod pools;
pub mod routes;

use crate::net::by;
use crate::net::hub::Shared;
use crate::net::session_affinity::Looked;
use crate::net::workers::pools::Job;
use async_executor::LocalExecutor;
use pipitlever_capture::record::digest_bytes as digest;
use pipitlever_core::RunOutcome;
use pipitlever_load_balancing::pool;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::uwsgi::{find_variable, ResponseReader};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A worker accepts within this part of the time that is left, or is passed over.
const CONNECT: u32 = 4;

/// Starts each run that the module has decided on, at once: how many there are is its affair.
pub async fn runs(executor: Rc<LocalExecutor<'static>>, hub: Shared) {
    let nudge = hub.borrow().pools.jobs.1.clone();
    loop {
        let Some(job) = hub.borrow_mut().pools.jobs.0.pop_front() else {
            nudge.wait().await;
            continue;
        };
        executor.spawn(run(hub.clone(), job)).detach();
    }
}

async fn run(hub: Shared, job: Job) {
    let started = Instant::now();
    let (until, most) = {
        let hub = hub.borrow();
        (hub.clock.instant(job.until), hub.uwsgi.most_response)
    };
    // A key in the packet is the same in all tries of a request, whichever front they came by.
    let key = find_variable(&job.packet, "HTTP_IDEMPOTENCY_KEY")
        .filter(|_| job.sticky)
        .map(digest);
    // Where sessions stay with their workers there is one place for it, and no other.
    let session = hub.borrow().pools.session(&job).map(Looked::Session);
    let part = hub
        .borrow()
        .callers
        .fleet
        .clone()
        .filter(|_| session.is_some());
    let mut looked = Vec::from_iter(session);
    let mut home = match (session, &part) {
        (Some(session), Some(part)) => Some(part.session(job.pool, session).await),
        _ => None,
    };
    // A repeat goes where the first try went, though its session has moved since.
    let repeats = find_variable(&job.packet, "HTTP_IDEMPOTENCY_KEY")
        .filter(|_| !job.safe)
        .map(digest);
    if let (Some(Some(at)), Some(part), Some(shown)) = (home, &part, repeats) {
        looked.push(Looked::Key(shown, at));
        home = Some(part.session(job.pool, Looked::Key(shown, at)).await);
    }
    let mut tried = Vec::new();
    // Whether any worker may have acted on it.
    let mut ran = false;
    let response = loop {
        let put = match home {
            None => hub.borrow_mut().place(&job, key, &tried),
            Some(at) => at.and_then(|at| hub.borrow_mut().place_at(&job, at, &tried)),
        };
        let Some(put) = put else { break None };
        tried.push((put.pool, put.member));
        let mut sent = false;
        let outcome = by(
            until,
            attempt(put.address, &job.packet, until, most, &mut sent),
        )
        .await;
        ran |= sent;
        let end = match &outcome {
            Some(Some(_)) => pool::RunOutcome::Succeeded,
            Some(None) if sent => pool::RunOutcome::Failed,
            Some(None) => pool::RunOutcome::Unreachable,
            None => pool::RunOutcome::TimedOut,
        };
        let again = {
            let hub = &mut *hub.borrow_mut();
            let now = hub.clock.now();
            hub.pools.ended(now, put, end);
            let failed = !matches!(end, pool::RunOutcome::Succeeded);
            failed
                .then(|| hub.pools.again(now, put, &job, ran, tried.len() as u32))
                .flatten()
        };
        match (outcome.flatten(), again) {
            (Some(response), _) => break Some(response),
            // What may have run there is of that worker alone.
            (None, Some(_)) if home.is_some() && ran => break None,
            (None, Some(pause)) => {
                if let (Some(part), Some(_)) = (&part, home) {
                    // The session and the key leave it together.
                    for looked in &looked {
                        home = Some(part.unreachable(job.pool, *looked, put.address));
                    }
                }
                Timer::at(Instant::now() + Duration::from_micros(pause as u64)).await;
            }
            (None, None) => break None,
        }
    };
    let (end, result) = match response {
        Some(response) => (RunOutcome::Completed, response),
        // Not a byte of it went out to anybody, so it cannot have run.
        None if !ran => (RunOutcome::NotStarted, Vec::new()),
        None => (RunOutcome::Failed, Vec::new()),
    };
    let took = started.elapsed().as_micros() as i64;
    hub.borrow_mut().tell(|core, now| {
        core.handle_run_finished(now, job.reference, end, took, Rc::from(result))
    });
}

/// The response, if a whole one came. `sent` tells whether the worker may have seen the packet.
async fn attempt(
    worker: SocketAddr,
    packet: &[u8],
    until: Instant,
    most: usize,
    sent: &mut bool,
) -> Option<Vec<u8>> {
    let now = Instant::now();
    let patience = now + until.saturating_duration_since(now) / CONNECT;
    let stream = by(patience, Async::<TcpStream>::connect(worker))
        .await?
        .ok()?;
    // Only the first write proves anything: from its first byte on the worker may act on what it
    // has.
    let first = stream.write(packet).await.ok()?;
    *sent = true;
    stream.write_all(&packet[first..]).await.ok()?;
    let mut response = ResponseReader::new(method(packet), most);
    let mut bytes = vec![0; 8192];
    loop {
        let n = stream.read(&mut bytes).await.ok()?;
        if n == 0 || response.feed(&bytes[..n]).ok()? {
            return response.finish();
        }
    }
}

fn method(packet: &[u8]) -> Option<&[u8]> {
    find_variable(packet, "REQUEST_METHOD")
}
