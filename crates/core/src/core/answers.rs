//! Final answers, and the release of a request's entries in all tables.

use crate::core::Core;
use crate::effect::{Answer, Effect};
use crate::request_table::OpenRequest;
use crate::timers::Timer;
use pipitlever_admission::RequestId;
use pipitlever_capture::record::AnswerSource;

impl Core {
    /// Sends the final answer of a request, unless it is already answered or abandoned.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer, source: AnswerSource) {
        let Some(origin) = self.requests.take_origin(id) else {
            return;
        };
        let Some(request) = self.requests.get(id) else {
            return;
        };
        self.admission
            .capture_answer(self.now, &request.incoming, &answer, source);
        let class = request.incoming.class;
        self.count_answer(class, &answer);
        self.effects.push(Effect::Answer { origin, answer });
    }

    /// Counts an answer, for the node and for its class.
    pub(super) fn count_answer(&mut self, class: usize, answer: &Answer) {
        let class = self.classes.counters_mut(class);
        let (total, of_class) = match answer {
            Answer::Served(_) => (&mut self.counters.served, &mut class.served),
            Answer::Rejected { .. } => (&mut self.counters.rejected, &mut class.rejected),
            Answer::Failed { .. } | Answer::Unknown { .. } => {
                (&mut self.counters.failed, &mut class.failed)
            }
        };
        *total += 1;
        *of_class += 1;
    }

    /// Removes a request from the request table, its timers and the waiting list of its key. No
    /// other function removes a request.
    pub(super) fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(id)?;
        self.timers.cancel(request.deadline, Timer::Deadline(id));
        if let Some(expires_at) = request.call_expiry() {
            self.timers.cancel(expires_at, Timer::CallTimeout(id));
        }
        let key = &request.incoming.idempotency_key;
        if let (Some(key), Some(original)) = (key, request.duplicate_of) {
            if let Some(entry) = self.keys.owned_entry(key, original) {
                entry.waiting.retain(|&waiting| waiting != id);
            }
        }
        Some(request)
    }
}
