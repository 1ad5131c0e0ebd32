//! Equivalent JSON encodings of one request, each split in two at every byte.

use pipitlever_wire::jsonrpc::{GatewayReader, Message};

/// The messages of a text that is fed in two pieces, split at this byte.
fn messages(text: &str, split_at: usize) -> Vec<Message> {
    let mut gateway = GatewayReader::default();
    let mut found = Vec::new();
    let (first, second) = text.as_bytes().split_at(split_at);
    for piece in [first, second] {
        gateway.feed(piece);
        found.extend(std::iter::from_fn(|| {
            gateway.next_message(|name| (name == "rota-view").then_some(0), |_| None)
        }));
    }
    assert!(
        !gateway.has_partial_message(),
        "{text:?} split at {split_at}"
    );
    found
}

#[test]
fn equivalent_encodings_of_a_request_are_parsed_to_the_same_request() {
    let plain = concat!(
        r#"{"jsonrpc":"2.0","id":7,"method":"rota-view","params":{"ref":"9b1f03aa5c7e2d41","since":1764576000123,"#,
        r#""sender":4,"allow":480,"effort":12.5,"room":24.5,"class_rank":0.625,"doc":"/+8="}}"#,
        "\n"
    );
    let encodings = [
        plain.replace('\n', "\r\n"),
        plain.replace(':', " :\t").replace(',', " , "),
        plain.replace("\"id\":7", "\"id\":7.0"),
        plain.replace("\"id\":7", "\"id\":7e0"),
        plain.replace("480", "4.8e2").replace("24.5", "2.45E+1"),
        plain.replace("rota-view", "rota\\u002dview").replace("/+8=", "\\/\\u002b8="),
        plain.replace("\"ref\"", "\"r\\u0065f\"").replace("method", "m\\u0065thod"),
        plain.replace(
            "\"sender\":4,",
            "\"sender\":4,\"lookup\":\"7f3a9c21e0b4d655\",\"unknown\":{\"a\":[1]},",
        ),
        concat!(
            r#"{"params":{"doc":"/+8=","class_rank":0.625,"room":24.5,"effort":12.5,"allow":480,"sender":4,"#,
            r#""since":1764576000123,"ref":"9b1f03aa5c7e2d41"},"method":"rota-view","id":7,"jsonrpc":"2.0"}"#,
            "\n"
        )
        .to_owned(),
    ];
    let expected = messages(plain, 0);
    assert!(
        matches!(&expected[..], [Message::Work(work)] if work.id == 7 && *work.body == [0xff, 0xef])
    );
    for encoding in &encodings {
        for split_at in 0..=encoding.len() {
            assert_eq!(
                messages(encoding, split_at),
                expected,
                "{encoding:?} split at {split_at}"
            );
        }
    }
}

#[test]
fn a_cancellation_accepts_only_whole_numbers_in_any_encoding() {
    for number in ["3", "3.0", "3e0", "30e-1"] {
        let text = format!(
            "{{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":{{\"id\":{number}}}}}\n"
        );
        assert_eq!(messages(&text, 0), [Message::Cancel(3)], "{number}");
    }
    for number in ["3.5", "-3", "\"3\"", "1e300", "null"] {
        let text = format!(
            "{{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":{{\"id\":{number}}}}}\n"
        );
        assert!(
            matches!(messages(&text, 0)[..], [Message::Invalid(None, _)]),
            "{number}"
        );
    }
}
