//! Table of open requests, from arrival to completion.

use crate::request::{IncomingRequest, Origin, Reference};
use pipitlever_admission::{Micros, Outcome, RequestId};
use pipitlever_capture::record::RequestIdentity;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The state of a call that a run waits for.
#[derive(Debug)]
pub(crate) enum CallState {
    /// The run has requested the call; the controller decides when it is placed.
    Requested,
    /// The call was sent to the downstream layer.
    Placed {
        /// When the call was sent.
        placed_at: Micros,
        /// When the call is cancelled.
        expires_at: Micros,
    },
    /// The downstream layer rejected the call; the controller has not been notified yet.
    Rejected {
        /// When the call was sent.
        placed_at: Micros,
        /// How the call ended.
        outcome: Outcome,
    },
}

/// A call that a run waits for.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) body: Rc<[u8]>,
    pub(crate) state: CallState,
}

/// The run of a request, from the controller's decision to start it.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) started_at: Micros,
    /// The call that the run waits for.
    pub(crate) call: Option<Call>,
    /// Whether the reply of the last call was sent a second time.
    pub(crate) is_reply_resent: bool,
}

/// The stage of a request.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The request waits to start, or for the outcome of another attempt of its key.
    Queued,
    /// The run of the request may have been started.
    Running(Run),
}

/// An open request.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) incoming: IncomingRequest,
    /// The latest time at which an answer is sent.
    pub(crate) deadline: Micros,
    /// The destination of the answer; `None` once the request is answered or abandoned.
    pub(crate) origin: Option<Origin>,
    /// The attempt whose outcome this duplicate shares.
    pub(crate) duplicate_of: Option<RequestId>,
    pub(crate) stage: Stage,
}

impl OpenRequest {
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, Stage::Queued)
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }

    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.stage {
            Stage::Running(run) => Some(run),
            Stage::Queued => None,
        }
    }

    pub(crate) fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.stage {
            Stage::Running(run) => Some(run),
            Stage::Queued => None,
        }
    }

    /// When the outstanding call expires; `None` if no call was sent.
    pub(crate) fn call_expiry(&self) -> Option<Micros> {
        match self.run()?.call.as_ref()?.state {
            CallState::Placed { expires_at, .. } => Some(expires_at),
            _ => None,
        }
    }
}

/// All open requests, by their number and by their reference.
#[derive(Debug)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, OpenRequest>,
    ids: HashMap<Reference, RequestId>,
    last_id: RequestId,
    /// Requests with an origin.
    unanswered: usize,
    bytes: usize,
    max_bytes: usize,
}

impl RequestTable {
    /// An empty table with a limit of this many bytes.
    pub(crate) fn new(max_bytes: usize) -> RequestTable {
        RequestTable {
            requests: BTreeMap::new(),
            ids: HashMap::new(),
            last_id: 0,
            unanswered: 0,
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns a request number that has not been used before.
    pub(crate) fn allocate_id(&mut self) -> RequestId {
        self.last_id += 1;
        self.last_id
    }

    /// Adds a request under a number from [`RequestTable::allocate_id`].
    pub(crate) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.bytes += request.incoming.bytes();
        self.unanswered += usize::from(request.origin.is_some());
        self.ids.insert(request.incoming.reference, id);
        self.requests.insert(id, request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(&id)?;
        self.ids.remove(&request.incoming.reference);
        self.bytes -= request.incoming.bytes();
        self.unanswered -= usize::from(request.origin.is_some());
        Some(request)
    }

    /// Takes the origin of a request, so that the request is answered or abandoned only once.
    pub(crate) fn take_origin(&mut self, id: RequestId) -> Option<Origin> {
        let origin = self.requests.get_mut(&id)?.origin.take()?;
        self.unanswered -= 1;
        Some(origin)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// The number of the request with this reference.
    pub(crate) fn id_of(&self, reference: Reference) -> Option<RequestId> {
        self.ids.get(&reference).copied()
    }

    /// The request with this reference.
    pub(crate) fn by_reference(&self, reference: Reference) -> Option<&OpenRequest> {
        self.get(self.id_of(reference)?)
    }

    /// All requests, in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenRequest> {
        self.requests.values()
    }

    /// The records that identify all requests in a capture.
    pub(crate) fn capture_identities(&self) -> Vec<RequestIdentity> {
        self.requests
            .iter()
            .map(|(&id, request)| request.incoming.capture_identity(id))
            .collect()
    }

    /// Whether a request of this size would exceed the limit.
    pub(crate) fn is_full_for(&self, bytes: usize) -> bool {
        self.bytes + bytes > self.max_bytes
    }

    /// Replaces the limit. Open requests are kept even if they exceed the new limit.
    pub(crate) fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Memory in use, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of requests that are neither answered nor abandoned.
    pub(crate) fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// The number of requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The number of known references.
    pub(crate) fn references(&self) -> usize {
        self.ids.len()
    }

    /// The number of requests whose run may have been started.
    pub(crate) fn running(&self) -> usize {
        self.iter().filter(|request| request.is_running()).count()
    }
}
