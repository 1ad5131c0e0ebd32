//! Commands to the processor.

use pipitlever_core::{Core, Reference};
use pipitlever_wire::processor;
use std::rc::Rc;

/// A command to the processor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessorCommand {
    /// Starts a run.
    Start {
        /// Reference of the request.
        reference: Reference,
        /// Whether the run may happen twice.
        is_idempotent: bool,
        /// Name of the request's class.
        class: Rc<str>,
    },
    /// The reply to a request's ledger call.
    CallReply(Reference),
    /// Stops a run.
    Interrupt(Reference),
}

/// A command with its body.
#[derive(Clone, Debug)]
pub(super) struct QueuedCommand {
    pub(super) command: ProcessorCommand,
    pub(super) body: Rc<[u8]>,
}

impl QueuedCommand {
    pub(super) fn write(&self, out: &mut Vec<u8>) {
        match &self.command {
            ProcessorCommand::Start {
                reference, class, ..
            } => processor::write_start(out, *reference, class, &self.body),
            ProcessorCommand::CallReply(reference) => {
                processor::write_call_reply(out, *reference, &self.body);
            }
            ProcessorCommand::Interrupt(reference) => processor::write_interrupt(out, *reference),
        }
    }

    /// The run that works once the processor has read this command; none for an interrupt.
    pub(super) fn working_run(&self) -> Option<Reference> {
        match &self.command {
            ProcessorCommand::Start { reference, .. } | ProcessorCommand::CallReply(reference) => {
                Some(*reference)
            }
            ProcessorCommand::Interrupt(_) => None,
        }
    }

    /// Whether this is the reply to a call.
    pub(super) fn is_reply(&self) -> bool {
        matches!(self.command, ProcessorCommand::CallReply(_))
    }

    /// Whether a start or an interrupt may be sent again if the processor may have read it already.
    /// The start of a run that is not idempotent may not be sent again: the run may have ended.
    pub(super) fn may_resend(&self, core: &Core) -> bool {
        match &self.command {
            ProcessorCommand::Start {
                reference,
                is_idempotent,
                ..
            } => *is_idempotent && core.may_resend_start(*reference),
            ProcessorCommand::Interrupt(reference) => core.may_resend_stop(*reference),
            // Decided with `RunsInDoubt`, as a second reply is not idempotent.
            ProcessorCommand::CallReply(_) => false,
        }
    }
}
