//! Answers, as each front writes them.

use super::*;

impl Hub {
    /// Gives a request its one answer, on the connection that it came on.
    pub(super) fn answer(&mut self, origin: Origin, answer: Answer) {
        let (level, now) = (self.core.load_level(), self.clock.now());
        let Some((front, class)) = self.places.answered(origin, now) else {
            self.core.counters.undelivered += 1;
            return;
        };
        let worked = self.classes[class].workers_path.is_some();
        let Origin {
            connection,
            request_number: number,
        } = origin;
        let sent = self.places.send(connection, |out| match front {
            Front::Gateway => to_gateway(out, number, answer, worked, level),
            Front::Uwsgi => to_uwsgi_client(out, answer, worked),
        });
        self.core.counters.undelivered += u64::from(!sent);
        if front == Front::Uwsgi {
            self.places.finish(connection);
        }
    }
}

/// An answer on the platform's front. A worker's result is the body of its response there.
fn to_gateway(out: &mut Vec<u8>, number: u64, answer: Answer, worked: bool, level: Option<f64>) {
    match answer {
        Answer::Served(result) => {
            let result = if worked {
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
        // On this wire only a refusal has a field for when to come back.
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

/// An answer on the uwsgi front. A worker's response passes unchanged.
fn to_uwsgi_client(out: &mut Vec<u8>, answer: Answer, worked: bool) {
    match answer {
        Answer::Served(result) if worked => {
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
            uwsgi::write_response(out, Status::GatewayTimeout, None, b"")
        }
        Answer::Failed { timed_out: false } => {
            uwsgi::write_response(out, Status::BadGateway, None, b"")
        }
    }
}

/// A time in whole seconds, rounded up.
fn whole_seconds(time: Micros) -> u64 {
    (time as u64).div_ceil(1_000_000)
}
