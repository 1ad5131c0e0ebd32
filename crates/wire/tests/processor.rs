//! Notices from the processor.

use pipitlever_wire::processor::{CommandKind, GaugeValues, Notice, NoticeReader, RunOutcome};
use pipitlever_wire::Malformed;
use std::rc::Rc;

const ID: u64 = 0x821b2d98a3d2e319;

fn run_ended(outcome: RunOutcome, duration_ms: f64, result: &[u8]) -> Notice {
    Notice::RunEnded {
        reference: ID,
        outcome,
        duration_ms,
        result: Rc::from(result),
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn notices_are_read_complete_or_in_pieces() {
    let gauges = |query, all: &[f64]| {
        let mut values = GaugeValues::default();
        all.iter().for_each(|&value| values.push(value));
        Notice::Gauges { query, values }
    };
    // Regression: times with a fraction were malformed, for example in
    // `complete 40 ... broken_off 1655.661 0`.
    let cases: [(&str, Result<Option<Notice>, Malformed>); 20] = [
        (
            "hi running 12.5\r\n",
            Ok(Some(Notice::Hello {
                is_cold: false,
                uptime_ms: 12.5,
            })),
        ),
        (
            "hi starting 0\r\n",
            Ok(Some(Notice::Hello {
                is_cold: true,
                uptime_ms: 0.0,
            })),
        ),
        (
            "complete 1 821b2d98a3d2e319 broken_off 1655.661 0\r\n\r\n",
            Ok(Some(run_ended(RunOutcome::Interrupted, 1655.661, b""))),
        ),
        (
            "complete 1 821b2d98a3d2e319 fine 7 4\r\na\r\nb\r\n",
            Ok(Some(run_ended(RunOutcome::Succeeded, 7.0, b"a\r\nb"))),
        ),
        (
            "complete 1 821b2d98a3d2e319 fault 7\r\n",
            Ok(Some(run_ended(RunOutcome::Failed, 7.0, b""))),
        ),
        (
            "complete 1 821b2d98a3d2e319 late 0 0\r\n\r\n",
            Ok(Some(run_ended(RunOutcome::NotStarted, 0.0, b""))),
        ),
        (
            "ask 2 821b2d98a3d2e319 1\r\nx\r\n",
            Ok(Some(Notice::CallRequested {
                reference: ID,
                body: Rc::from(*b"x"),
            })),
        ),
        (
            "used t 0.5 3 0.1 12\r\n",
            Ok(Some(gauges(None, &[0.5, 3.0, 0.1, 12.0]))),
        ),
        ("used 7 0.5\r\n", Ok(Some(gauges(Some(7), &[0.5])))),
        (
            "reject begin 821b2d98a3d2e319\r\n",
            Ok(Some(Notice::CommandRejected {
                command: CommandKind::Start,
                reference: ID,
            })),
        ),
        (
            "reject interrupt 821b2d98a3d2e319\r\n",
            Ok(Some(Notice::CommandRejected {
                command: CommandKind::Interrupt,
                reference: ID,
            })),
        ),
        ("remark 3 hello there 4\r\n", Ok(None)),
        ("complete 1 821b2d98a3d2e319 fine 7 4\r\nabc", Ok(None)),
        (
            "complete 1 821b2d98a3d2e319 fine 7 1\r\nabcd",
            Err(Malformed),
        ),
        (
            "complete 1 821b2d98a3d2e319 fine -7 0\r\n\r\n",
            Err(Malformed),
        ),
        (
            "complete 1 821b2d98a3d2e319 well 7 0\r\n\r\n",
            Err(Malformed),
        ),
        (
            "complete x 821b2d98a3d2e319 fine 7 0\r\n\r\n",
            Err(Malformed),
        ),
        ("ask 2 821B2D98A3D2E319 0\r\n\r\n", Err(Malformed)),
        ("ask 2 821b2d98a3d2e319 99999999\r\n", Err(Malformed)),
        ("hi running 1\n", Err(Malformed)),
    ];
    for (text, expected) in cases {
        let mut whole = NoticeReader::default();
        whole.feed(text.as_bytes());
        assert_eq!(whole.next_notice(), expected, "{text:?}");
        let mut pieces = NoticeReader::default();
        let found = text.bytes().map(|b| {
            pieces.feed(&[b]);
            pieces.next_notice()
        });
        let found = found
            .into_iter()
            .find(|f| *f != Ok(None))
            .unwrap_or(Ok(None));
        assert_eq!(found, expected, "{text:?} in pieces");
    }
}

#[test]
fn an_unterminated_line_is_malformed() {
    let mut processor = NoticeReader::default();
    processor.feed(&[b'x'; 2000]);
    assert_eq!(processor.next_notice(), Err(Malformed));
}

#[test]
fn a_new_connection_repeats_notices_and_each_is_returned_once() {
    let mut processor = NoticeReader::default();
    assert_eq!(processor.hello(), b"hello 0\r\n");
    processor.feed(b"complete 1 821b2d98a3d2e319 fine 7 1\r\na\r\nask 2 821b");
    assert_eq!(
        processor.next_notice(),
        Ok(Some(run_ended(RunOutcome::Succeeded, 7.0, b"a")))
    );
    assert_eq!(processor.next_notice(), Ok(None));
    // The incomplete notice of the old connection is discarded; the complete one is not returned
    // again.
    assert_eq!(processor.hello(), b"hello 1\r\n");
    processor
        .feed(b"complete 1 821b2d98a3d2e319 fine 7 1\r\na\r\nask 2 821b2d98a3d2e319 0\r\n\r\n");
    assert_eq!(
        processor.next_notice(),
        Ok(Some(Notice::CallRequested {
            reference: ID,
            body: Rc::from([])
        }))
    );
    assert_eq!(processor.next_notice(), Ok(None));
}
