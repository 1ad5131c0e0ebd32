//! Executes the core's effects: responses to clients, and work for the drivers' queues.

use super::NodeState;
use crate::net::ledger_calls::LedgerCall;
use crate::net::processor_connection::ProcessorCommand;
use crate::net::worker_pools::WorkerRun;
use pipitlever_admission::{Micros, Outcome};
use pipitlever_core::{Effect, Reference};
use std::rc::Rc;

impl NodeState {
    /// Executes one effect: writes a response, or queues work for a driver.
    pub(super) fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { origin, answer } => self.respond(origin, answer),
            Effect::StartRun {
                reference,
                class,
                result_deadline,
                body,
            } => self.start_run(reference, class, result_deadline, body),
            Effect::SendReply { reference, body } => self
                .processor
                .send(ProcessorCommand::CallReply(reference), body),
            // Not supported for workers: closing the connection would not prove that the run has
            // stopped.
            Effect::StopRun { class, .. } if self.classes[class].is_on_workers() => {}
            Effect::StopRun { reference, .. } => self
                .processor
                .send(ProcessorCommand::Interrupt(reference), Rc::from([])),
            Effect::QueryGauges => self.processor.query_gauges(),
            Effect::PlaceCall {
                reference,
                deadline,
                body,
            } => self.queue_call(LedgerCall {
                reference,
                deadline,
                body,
            }),
            Effect::CancelCall { reference } => self.ledger.cancel(reference),
        }
    }

    /// Queues a run for the class's workers, or for the processor.
    fn start_run(&mut self, reference: Reference, class: usize, deadline: Micros, body: Rc<[u8]>) {
        let class = &self.classes[class];
        match &class.worker_route {
            Some(route) => self.pools.queue_run(WorkerRun {
                reference,
                is_idempotent: class.is_idempotent,
                pool: route.pool,
                is_sticky: route.is_sticky,
                packet: body,
                deadline,
            }),
            None => self.processor.send(
                ProcessorCommand::Start {
                    reference,
                    is_idempotent: class.is_idempotent,
                    class: class.name.clone(),
                },
                body,
            ),
        }
    }

    /// Queues a ledger call; fails it if there is no ledger.
    fn queue_call(&mut self, call: LedgerCall) {
        if self.ledger.address.is_some() {
            self.ledger.enqueue(call);
            return;
        }
        // Not `Outcome::Unreachable`, which means that the call never ran: the admission controller
        // would retry without end.
        self.core.handle_call_finished(
            self.clock.now(),
            call.reference,
            Outcome::Error,
            Rc::from([]),
        );
    }

    /// Records the outcome of a ledger call and passes it to the core.
    pub fn finish_call(&mut self, reference: Reference, outcome: Outcome, reply: Vec<u8>) {
        self.ledger.remove(reference);
        self.with_core(|core, now| {
            core.handle_call_finished(now, reference, outcome, Rc::from(reply));
        });
    }
}
