//! Writes the core's answers in the protocol of each front end.

use super::NodeState;
use crate::net::connections::Front;
use pipitlever_admission::Micros;
use pipitlever_core::{Answer, Origin};
use pipitlever_wire::jsonrpc::{self, ErrorCode};
use pipitlever_wire::uwsgi::{self, ResponseReader, Status};

impl NodeState {
    /// Writes the answer to a request to the connection on which the request arrived.
    pub(super) fn respond(&mut self, origin: Origin, answer: Answer) {
        let (level, now) = (self.core.load_level(), self.clock.now());
        let Some((front, class)) = self.connections.close_request(origin, now) else {
            self.core.counters.undelivered += 1;
            return;
        };
        let from_worker = self.classes[class].is_on_workers();
        let Origin {
            connection,
            request_number: number,
        } = origin;
        let sent = self.connections.send(connection, |out| match front {
            Front::Gateway => write_to_gateway(out, number, answer, from_worker, level),
            Front::Uwsgi => write_to_uwsgi_client(out, answer, from_worker),
        });
        self.core.counters.undelivered += u64::from(!sent);
        if front == Front::Uwsgi {
            self.connections.close_outbox(connection);
        }
    }
}

/// Writes an answer to a gateway. The result of a worker is the body of its response.
fn write_to_gateway(
    out: &mut Vec<u8>,
    number: u64,
    answer: Answer,
    from_worker: bool,
    level: Option<f64>,
) {
    match answer {
        Answer::Served(result) => {
            let result = if from_worker {
                ResponseReader::successful_body(&result)
            } else {
                Some(&*result)
            };
            match result.filter(|r| r.len() <= jsonrpc::MAX_RESULT) {
                Some(result) => jsonrpc::write_result(out, number, result, level),
                None => jsonrpc::write_error(out, Some(number), ErrorCode::Failed, level),
            }
        }
        Answer::Rejected {
            retry_after,
            no_retry,
        } => {
            jsonrpc::write_rejection(
                out,
                number,
                (retry_after as u64).div_ceil(1000),
                no_retry,
                level,
            );
        }
        // In this protocol only a rejection carries a retry time.
        Answer::Unknown { .. } => jsonrpc::write_error(out, Some(number), ErrorCode::Failed, level),
        Answer::Failed { timed_out } => {
            let code = if timed_out {
                ErrorCode::DeadlineExceeded
            } else {
                ErrorCode::Failed
            };
            jsonrpc::write_error(out, Some(number), code, level);
        }
    }
}

/// Writes an answer to a uwsgi client. A worker's response passes unchanged.
fn write_to_uwsgi_client(out: &mut Vec<u8>, answer: Answer, from_worker: bool) {
    match answer {
        Answer::Served(result) if from_worker => {
            pipitlever_wire::count_copied(result.len());
            out.extend_from_slice(&result);
        }
        Answer::Served(result) => uwsgi::write_response(out, Status::Ok, None, &result),
        Answer::Rejected { retry_after, .. } => {
            uwsgi::write_response(
                out,
                Status::Unavailable,
                Some(whole_seconds(retry_after)),
                b"",
            );
        }
        Answer::Unknown { retry_after } => uwsgi::write_response(
            out,
            Status::BadGateway,
            Some(whole_seconds(retry_after)),
            b"",
        ),
        Answer::Failed { timed_out: true } => {
            uwsgi::write_response(out, Status::GatewayTimeout, None, b"");
        }
        Answer::Failed { timed_out: false } => {
            uwsgi::write_response(out, Status::BadGateway, None, b"");
        }
    }
}

/// Converts microseconds to seconds, rounded up.
fn whole_seconds(time: Micros) -> u64 {
    (time as u64).div_ceil(1_000_000)
}
