use pomelohitch_route::head::{self, Error, Limits};

fn limits() -> Limits {
    Limits {
        head_bytes: 256,
        body_bytes: 64,
    }
}

/// For any input, parsing does not panic and claims no more bytes than arrived, and a parsed head
/// stays the same when more bytes follow it.
#[test]
fn any_bytes_are_read_or_refused() {
    pomelohitch_property::check(|bytes: &Vec<u8>| {
        let parsed = head::parse(bytes, &limits());
        if let Ok(Some(head)) = &parsed {
            assert!(head.length <= bytes.len() && head.length <= 256);
            assert!(head.body_length <= 64);
            let longer = [bytes, &b"GET / HTTP/1.1\r\n\r\n"[..]].concat();
            assert_eq!(head::parse(&longer, &limits()), parsed);
        }
        if parsed == Ok(None) {
            assert!(
                bytes.len() < 256,
                "an unterminated head over the limit is refused"
            );
        }
    });
}

/// Input that resembles a request reaches the checks after parsing: an accepted head has no
/// `Transfer-Encoding` and at most one `Content-Length`, equal to its body length.
#[test]
fn requests_with_any_headers_are_read_or_refused() {
    pomelohitch_property::check(|(picks, ends): &(Vec<(u8, u8, u8)>, bool)| {
        let names = [
            "Host",
            "Content-Length",
            "Transfer-Encoding",
            "Connection",
            "Expect",
            "X",
        ];
        let values = [
            "e",
            "5",
            "05",
            "-1",
            "65",
            "chunked",
            "close",
            "100-continue",
            "",
            "5,5",
        ];
        let mut bytes = b"POST /s/x HTTP/1.1\r\n".to_vec();
        for (name, value, _) in picks.iter().take(8) {
            let name = names[usize::from(*name) % names.len()];
            let value = values[usize::from(*value) % values.len()];
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        if *ends {
            bytes.extend(b"\r\n");
        }
        if let Ok(Some(head)) = head::parse(&bytes, &limits()) {
            assert_eq!(head.headers.get("Transfer-Encoding"), None);
            let lengths: Vec<_> = head.headers.all("Content-Length").collect();
            assert!(lengths.len() <= 1, "two lengths: {lengths:?}");
            let stated = lengths.first().map_or(0, |text| text.parse().unwrap());
            assert_eq!(head.body_length, stated);
        }
    });
}

#[test]
fn a_length_that_is_not_a_plain_number_is_ambiguous() {
    for value in ["+5", "5 5", "0x5", "5,5", ""] {
        let bytes = format!("POST / HTTP/1.1\r\nHost: e\r\nContent-Length: {value}\r\n\r\n");
        let parsed = head::parse(bytes.as_bytes(), &limits());
        assert_eq!(parsed, Err(Error::AmbiguousLength), "{value:?}");
    }
}
