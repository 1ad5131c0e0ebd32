//! Driver of runs on uwsgi workers: one connection per attempt, closed at its end.

mod session_route;

use crate::net::event_loop::SharedState;
use crate::net::timeout_at;
use crate::net::worker_pools::{AssignedRun, AttemptedWorker, FailedAttempt, WorkerRun};
use crate::supervision::{Subsystem, Supervisor};
use pipitlever_admission::Micros;
use pipitlever_capture::record::digest_bytes;
use pipitlever_core::RunOutcome;
use pipitlever_load_balancing::pool;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::uwsgi::{find_variable, ResponseReader};
use session_route::SessionRoute;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The timeout of connecting to a worker is the remaining time of the run divided by this.
const CONNECT_DIVISOR: u32 = 4;
/// Size of the buffer that a response is read into, in bytes.
const READ_BUFFER_BYTES: usize = 8192;
/// The variable of a packet that carries the idempotency key.
const IDEMPOTENCY_KEY: &str = "HTTP_IDEMPOTENCY_KEY";

/// Spawns a driver for each queued run. The admission controller limits their number.
pub async fn run(supervisor: Rc<Supervisor>, state: SharedState) {
    let run_queued = state.borrow().pools.run_queued.clone();
    loop {
        let next = state.borrow_mut().pools.next_run();
        match next {
            Some(run) => {
                let driver = drive(state.clone(), run);
                supervisor.spawn(Subsystem::Workers, driver).detach();
            }
            None => run_queued.wait().await,
        }
    }
}

/// Drives a run with all its attempts, and passes its outcome to the core.
async fn drive(state: SharedState, run: WorkerRun) {
    let started = Instant::now();
    let mut driver = RunDriver::new(&state, &run).await;
    let response = driver.run_attempts().await;
    let (outcome, result) = match response {
        Some(response) => (RunOutcome::Completed, response),
        // No byte was sent to any worker, so that the run has certainly not started.
        None if !driver.may_have_run => (RunOutcome::NotStarted, Vec::new()),
        None => (RunOutcome::Failed, Vec::new()),
    };
    let duration = started.elapsed().as_micros() as Micros;
    state.borrow_mut().with_core(|core, now| {
        core.handle_run_finished(now, run.reference, outcome, duration, Rc::from(result));
    });
}

/// The digest of a packet's idempotency key. It is the same for all retries of a request, whichever
/// front end they arrive on.
fn idempotency_key_digest(run: &WorkerRun) -> Option<u64> {
    find_variable(&run.packet, IDEMPOTENCY_KEY).map(digest_bytes)
}

/// The step after a failed attempt.
enum NextStep {
    /// Another attempt.
    Retry,
    /// The run has failed.
    Fail,
}

/// The attempts of one run.
struct RunDriver<'a> {
    state: &'a SharedState,
    run: &'a WorkerRun,
    deadline: Instant,
    max_response_bytes: usize,
    /// Hash of the idempotency key of a sticky run.
    hash_key: Option<u64>,
    /// The worker of the run's session, if it has one.
    session: Option<SessionRoute>,
    attempted: Vec<AttemptedWorker>,
    /// Whether any worker may have started the run.
    may_have_run: bool,
}

impl<'a> RunDriver<'a> {
    /// Prepares a run, and looks up the worker of its session.
    async fn new(state: &'a SharedState, run: &'a WorkerRun) -> RunDriver<'a> {
        let (deadline, max_response_bytes) = {
            let state = state.borrow();
            (
                state.clock.instant(run.deadline),
                state.uwsgi.max_response_bytes,
            )
        };
        RunDriver {
            state,
            run,
            deadline,
            max_response_bytes,
            hash_key: idempotency_key_digest(run).filter(|_| run.is_sticky),
            session: SessionRoute::look_up(state, run).await,
            attempted: Vec::new(),
            may_have_run: false,
        }
    }

    /// Makes attempts until a worker responds; none if the run has failed.
    async fn run_attempts(&mut self) -> Option<Vec<u8>> {
        loop {
            let assigned = self.assign()?;
            self.attempted.push(AttemptedWorker {
                pool: assigned.pool,
                member: assigned.member,
            });
            let (outcome, response) = self.attempt(assigned).await;
            let retry_after = self.complete_attempt(assigned, outcome);
            if response.is_some() {
                return response;
            }
            match self.prepare_retry(assigned, retry_after).await {
                NextStep::Retry => {}
                NextStep::Fail => return None,
            }
        }
    }

    /// Assigns the run to the worker of its session, or to a selected worker if it has no session.
    fn assign(&self) -> Option<AssignedRun> {
        let mut state = self.state.borrow_mut();
        match &self.session {
            None => state.select_worker(self.run, self.hash_key, &self.attempted),
            Some(session) => state.assign_worker(self.run, session.worker?, &self.attempted),
        }
    }

    /// Sends the run to its worker and reads the response.
    async fn attempt(&mut self, assigned: AssignedRun) -> (pool::RunOutcome, Option<Vec<u8>>) {
        let mut is_sent = false;
        let exchange = exchange(
            assigned.address,
            &self.run.packet,
            self.deadline,
            self.max_response_bytes,
            &mut is_sent,
        );
        let response = timeout_at(self.deadline, exchange).await;
        self.may_have_run |= is_sent;
        let outcome = match &response {
            Some(Some(_)) => pool::RunOutcome::Succeeded,
            Some(None) if is_sent => pool::RunOutcome::Failed,
            Some(None) => pool::RunOutcome::Unreachable,
            None => pool::RunOutcome::TimedOut,
        };
        (outcome, response.flatten())
    }

    /// Records an attempt's outcome, and decides on a retry. Returns the backoff before the retry,
    /// in microseconds.
    fn complete_attempt(&self, assigned: AssignedRun, outcome: pool::RunOutcome) -> Option<Micros> {
        let state = &mut *self.state.borrow_mut();
        let now = state.clock.now();
        state.pools.complete_run(now, assigned, outcome);
        if matches!(outcome, pool::RunOutcome::Succeeded) {
            return None;
        }
        let attempt = FailedAttempt {
            pool: assigned.pool,
            may_have_run: self.may_have_run,
            attempts: self.attempted.len() as u32,
        };
        state.pools.acquire_retry(now, self.run, attempt)
    }

    /// Waits for the backoff of a retry, if there is one, and moves the session away from a worker
    /// that could not be reached.
    async fn prepare_retry(
        &mut self,
        assigned: AssignedRun,
        retry_after: Option<Micros>,
    ) -> NextStep {
        let Some(retry_after) = retry_after else {
            return NextStep::Fail;
        };
        if let Some(session) = &mut self.session {
            // The run may have started and changed the session's state on that worker.
            if self.may_have_run {
                return NextStep::Fail;
            }
            session.move_from(self.run.pool, assigned.address);
        }
        Timer::at(Instant::now() + Duration::from_micros(retry_after as u64)).await;
        NextStep::Retry
    }
}

/// Sends a packet to a worker and reads the response; none if no complete response arrives.
/// `is_sent` is set once the worker may have received part of the packet.
async fn exchange(
    worker: SocketAddr,
    packet: &[u8],
    deadline: Instant,
    max_response_bytes: usize,
    is_sent: &mut bool,
) -> Option<Vec<u8>> {
    let now = Instant::now();
    let connect_deadline = now + deadline.saturating_duration_since(now) / CONNECT_DIVISOR;
    let connecting = Async::<TcpStream>::connect(worker);
    let stream = timeout_at(connect_deadline, connecting).await?.ok()?;
    // Only a failure of the first write proves that the worker received nothing. The worker may act
    // on an incomplete packet.
    let written = stream.write(packet).await.ok()?;
    *is_sent = true;
    stream.write_all(&packet[written..]).await.ok()?;
    let method = find_variable(packet, "REQUEST_METHOD");
    let mut response = ResponseReader::new(method, max_response_bytes);
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = stream.read(&mut bytes).await.ok()?;
        if length == 0 || response.feed(&bytes[..length]).ok()? {
            return response.finish();
        }
    }
}
