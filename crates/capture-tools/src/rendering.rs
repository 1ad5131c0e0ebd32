//! Renders events, actions, causes and statuses of the admission controller as text. Operators read
//! these sentences and scripts compare them: the wording is part of the tools' output format.

use pipitlever_admission::{Action, Cause, ControllerStatus, Event, Micros, Mode, Outcome, Stage};
use pipitlever_capture::record::{AnswerSource, RecordedAnswer};

/// A duration, in milliseconds.
pub fn ms(duration: Micros) -> String {
    format!("{:.1} ms", duration as f64 / 1e3)
}

/// A node's clock, in Unix seconds.
pub fn clock(now: Micros) -> String {
    format!(
        "{}.{:06}",
        now.div_euclid(1_000_000),
        now.rem_euclid(1_000_000)
    )
}

/// The mode of a queue.
pub fn mode(mode: Mode) -> &'static str {
    match mode {
        Mode::Normal => "normal",
        Mode::Overload => "overload",
        Mode::Discard => "discard",
    }
}

/// The outcome of a run or a call.
pub fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "well",
        Outcome::Error => "in an error",
        Outcome::Rejected => "turned away unseen",
        Outcome::TimedOut => "given up",
        Outcome::Unreachable => "nobody there",
        Outcome::Reset => "broken off",
        Outcome::Cancelled => "stopped",
        Outcome::NotStarted => "never started",
    }
}

/// The stage of a request.
pub fn stage(stage: Stage) -> &'static str {
    match stage {
        Stage::Queued => "held",
        Stage::AwaitingOriginal => "waiting for the try that it repeats",
        Stage::Running => "running",
        Stage::AwaitingCall => "waiting for its call to be placed",
        Stage::InCall => "waiting for its call's reply",
    }
}

/// Why a request was rejected or failed, with the controller's status values.
pub fn cause(cause: &Cause, status: &ControllerStatus) -> String {
    match cause {
        Cause::AfterGrace => "it arrived too long after the notice to leave to be run".into(),
        Cause::Shed {
            is_call_queue,
            mode: queue_mode,
            priority,
            cutoff,
        } => {
            let queue = &status.queues[usize::from(*is_call_queue)];
            let queue_name = if *is_call_queue {
                "the line for calls"
            } else {
                "the line to start"
            };
            let [low, high, discard] = queue.thresholds;
            let details = format!(
                "{} waiting, L {low:.0} H {high:.0} R {discard:.0}",
                queue.length
            );
            match queue_mode {
                Mode::Discard => format!("{queue_name} was in discard and takes none ({details})"),
                _ => format!(
                    "{queue_name} was in {} and takes a worth of {cutoff:.3} and more; \
                     its own is {priority:.3} ({details})",
                    mode(*queue_mode)
                ),
            }
        }
        Cause::OutOfMemory { used, requested } => {
            format!(
                "memory: {used:.0} KB in use and {requested:.0} KB wanted; a tenth has to stay free"
            )
        }
        Cause::ObjectiveMissed(at_stage) => {
            format!(
                "its aim passed while it was {}, and a later answer earns nothing",
                stage(*at_stage)
            )
        }
        Cause::DeadlineExceeded(at_stage) => {
            format!("its due time came while it was {}", stage(*at_stage))
        }
        Cause::CannotFinishInTime {
            expected,
            remaining,
        } => {
            format!(
                "it could not have ended in time: {} expected, {} left",
                ms(*expected),
                ms(*remaining)
            )
        }
        Cause::ExceedsMemory { requested } => {
            format!("memory: it needs {requested:.0} KB more, and nothing runs")
        }
        Cause::Stalled => "the cores stood still: all were taken, and nothing ended".into(),
        Cause::CallFailed(failure) => format!("its call ended: {}", outcome(*failure)),
    }
}

/// The label of a cause in tables.
pub fn cause_label(cause: &Cause) -> &'static str {
    match cause {
        Cause::AfterGrace => "after-grace",
        Cause::Shed {
            is_call_queue: false,
            mode: Mode::Discard,
            ..
        } => "line-discard",
        Cause::Shed {
            is_call_queue: false,
            ..
        } => "line-overload",
        Cause::Shed {
            is_call_queue: true,
            mode: Mode::Discard,
            ..
        } => "calls-discard",
        Cause::Shed {
            is_call_queue: true,
            ..
        } => "calls-overload",
        Cause::OutOfMemory { .. } => "memory",
        Cause::ObjectiveMissed(_) => "past-aim",
        Cause::DeadlineExceeded(_) => "due",
        Cause::CannotFinishInTime { .. } => "too-late",
        Cause::ExceedsMemory { .. } => "never-fits",
        Cause::Stalled => "still",
        Cause::CallFailed(_) => "call",
    }
}

/// The queues, counts and limits of the controller.
pub fn controller_status(status: &ControllerStatus) -> String {
    let [start, calls] = &status.queues;
    let queue_text = |queue: &pipitlever_admission::QueueStatus| {
        let [low, high, discard] = queue.thresholds;
        let length = queue.length;
        format!(
            "{} with {length:.0} (L {low:.0} H {high:.0} R {discard:.0}, cut {:.3})",
            mode(queue.mode),
            queue.priority_cutoff
        )
    };
    format!(
        "line to start {}; line for calls {}; {} running of {:.1} allowed, {:.1} being read, \
         {} at calls, {:.1} calls out of {:.1}; {:.0} KB{}",
        queue_text(start),
        queue_text(calls),
        status.running,
        status.concurrency_limit,
        status.reading.max(0.0),
        status.waiting_for_call,
        status.calls_in_flight,
        status.call_limit,
        status.memory_kb,
        if status.is_shutting_down {
            "; leaving"
        } else {
            ""
        }
    )
}

/// An event, with the name of its class.
pub fn event(event: &Event, classes: &[String]) -> String {
    let gauge = |value: Option<f64>| value.map_or("?".to_owned(), |value| format!("{value:.2}"));
    match event {
        Event::Arrived(request) => {
            let class = classes.get(request.class).map_or("?", String::as_str);
            let mut text = format!(
                "arrived #{} {class}, rank {:.3}",
                request.id, request.priority
            );
            text += &request
                .timeout
                .map_or(String::new(), |timeout| format!(", {} left", ms(timeout)));
            text += &request.cost.map_or(String::new(), |cost| {
                format!(", cost hint {}", ms(cost as Micros))
            });
            let queue_time = ms(request.queue_time);
            text += &format!(", {:.1} KB, unread for {queue_time}", request.memory_kb);
            text += if request.is_retry { ", a retry" } else { "" };
            text + &request
                .duplicate_of
                .map_or(String::new(), |id| format!(", repeats #{id}"))
        }
        Event::ShutdownNotice(left) => format!("notice to leave, {} left", ms(*left)),
        Event::Finished {
            id,
            elapsed,
            outcome: run_outcome,
        } => {
            format!(
                "run of #{id} ended {} after {}",
                outcome(*run_outcome),
                ms(*elapsed)
            )
        }
        Event::Abandoned(id) => format!("nobody awaits #{id}"),
        Event::NeedsCall(id) => format!("#{id} needs a call"),
        Event::CallEnded {
            id,
            elapsed,
            outcome: call_outcome,
        } => {
            format!(
                "call of #{id} ended {} after {}",
                outcome(*call_outcome),
                ms(*elapsed)
            )
        }
        Event::Timer {
            cpu_utilization: cpu,
            runnable,
            connections,
            ..
        } => {
            let (cpu, runnable, connections) = (gauge(*cpu), gauge(*runnable), gauge(*connections));
            format!("timer: core use {cpu}, {runnable} on the cores, {connections} connections")
        }
    }
}

/// An action of the controller.
pub fn action(action: &Action) -> String {
    match action {
        Action::Run(id) => format!("run #{id}"),
        Action::ReuseOutcome(id) => format!("answer #{id} from the one it repeats"),
        Action::Reject {
            id,
            retry_after,
            no_retry,
        } => {
            let delay = if *retry_after > 0 {
                format!(", keep away {}", ms(*retry_after))
            } else {
                String::new()
            };
            format!(
                "refuse #{id}{delay}{}",
                if *no_retry { ", try nowhere" } else { "" }
            )
        }
        Action::Fail(id) => format!("fail #{id}"),
        Action::RetainKey(id, lifetime) => format!("keep #{id}'s key for {}", ms(*lifetime)),
        Action::ReleaseKey(id) => format!("forget #{id}'s key"),
        Action::PlaceCall(id, timeout) => match *timeout {
            Micros::MAX => format!("place #{id}'s call"),
            timeout => format!("place #{id}'s call, {} at most", ms(timeout)),
        },
        Action::SkipCall(id) => format!("#{id} goes on without its call"),
        Action::Cancel(id) => format!("halt #{id}"),
        Action::Backpressure(level) => format!("level {level:.4}"),
        Action::Health(is_healthy) => format!("health checks hear {is_healthy}"),
        Action::CloseIdle(idle_time) => {
            format!("close connections idle for {}", ms(*idle_time))
        }
        Action::Timer(delay, tag) => format!("timer {tag} after {}", ms(*delay)),
    }
}

/// A final answer and what decided it, separated by `; `.
pub fn answer(answer: &RecordedAnswer, source: AnswerSource) -> String {
    let answer_text = match answer {
        RecordedAnswer::Served(bytes) => format!("served, {bytes} bytes"),
        RecordedAnswer::Rejected {
            retry_after,
            no_retry,
        } => {
            let delay = if *retry_after > 0 {
                format!(", keep away {}", ms(*retry_after))
            } else {
                String::new()
            };
            format!(
                "refused{delay}{}",
                if *no_retry { ", try nowhere" } else { "" }
            )
        }
        RecordedAnswer::Failed { timed_out: true } => "failed: out of time".into(),
        RecordedAnswer::Failed { timed_out: false } => "failed".into(),
    };
    let source_text = match source {
        AnswerSource::AdmissionController => "the module's decision",
        AnswerSource::Run => "its run's end",
        AnswerSource::Duplicate => "the outcome of the try that it repeats",
        AnswerSource::ProcessorRejected => "the processor rejected it",
        AnswerSource::StaleSettings => {
            "the node's own: its version of the settings may have been stale"
        }
        AnswerSource::ProcessorNotReady => "the node's own: its processor was not up yet",
        AnswerSource::MemoryFull => {
            "the node's own: its requests take all the memory that they may"
        }
        AnswerSource::KeysFull => "the node's own: keys take all the memory that they may",
        AnswerSource::KeyEntryMissing => "the node's own: it no longer held its key's entry",
        AnswerSource::DeadlineExceeded => {
            "the node's own: the module had not answered by the due time"
        }
        AnswerSource::StoreUnavailable => {
            "the node's own: its store of keys did not work, was slow, or may have lost keys"
        }
        AnswerSource::StoreFull => "the node's own: its store of keys had no room",
        AnswerSource::OtherProcess => "the node's own: another process of it may have run the key",
    };
    format!("{answer_text}; {source_text}")
}

/// The label of an answer in tables.
pub fn answer_label(answer: &RecordedAnswer) -> &'static str {
    match answer {
        RecordedAnswer::Served(_) => "served",
        RecordedAnswer::Rejected { .. } => "refused",
        RecordedAnswer::Failed { .. } => "failed",
    }
}

/// The label of what decided an answer in tables.
pub fn answer_source_label(source: AnswerSource) -> &'static str {
    match source {
        AnswerSource::AdmissionController => "module",
        AnswerSource::Run => "run",
        AnswerSource::Duplicate => "repeat",
        AnswerSource::ProcessorRejected => "rejected",
        AnswerSource::StaleSettings => "floor",
        AnswerSource::ProcessorNotReady => "not-up",
        AnswerSource::MemoryFull => "full",
        AnswerSource::KeysFull => "keys-full",
        AnswerSource::KeyEntryMissing => "no-key",
        AnswerSource::DeadlineExceeded => "overdue",
        AnswerSource::StoreUnavailable => "store",
        AnswerSource::StoreFull => "store-full",
        AnswerSource::OtherProcess => "elsewhere",
    }
}
