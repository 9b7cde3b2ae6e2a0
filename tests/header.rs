//! Headers of the platform.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use marlrun::{
    gateway::{Protocol, Reply},
    platform::Header,
    unit::Span,
};

fn parse(status: u16, headers: &[(&'static str, &'static str)]) -> Reply {
    let headers = headers.iter().map(|&(name, value)| {
        let value = HeaderValue::from_static(value);
        (HeaderName::from_static(name), value)
    });
    let headers: HeaderMap = headers.collect();
    Header.parse_response(StatusCode::from_u16(status).unwrap(), &headers)
}

#[test]
fn parse_response_leaving() {
    for status in [200, 404, 429, 500, 503] {
        assert!(parse(status, &[("server-leaving", "1")]).leaving);
        assert!(!parse(status, &[("server-leaving", "0")]).leaving);
        assert!(!parse(status, &[]).leaving);
    }
    // From another instance at the same address.
    assert!(!parse(421, &[("server-leaving", "1")]).leaving);
}

#[test]
fn parse_response_pause() {
    let pause = |status, value| parse(status, &[("retry-after", value)]).pause;
    let seconds = [
        ("0", 0),
        ("-0.0", 0),
        ("2", 2_000_000),
        (" 0.25 ", 250_000),
        ("1e18", u64::MAX),
    ];
    for (value, micros) in seconds {
        assert_eq!(pause(503, value), Some(Ok(Span(micros))), "{value:?}");
    }
    for value in ["-1", "NaN", "inf", "1e999", "soon", ""] {
        assert_eq!(pause(503, value), Some(Err(value.into())));
    }
    let long = "x".repeat(10_000).leak();
    let logged = pause(503, long).unwrap().unwrap_err();
    assert!(logged.len() < 100, "{} bytes are logged", logged.len());
    assert_eq!(pause(429, "2"), None);
    assert_eq!(pause(200, "2"), None);
    assert_eq!(parse(503, &[]).pause, None);
}
