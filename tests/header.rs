//! Headers of the platform.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use marlrun::{
    gateway::{Protocol, Reply},
    platform::Header,
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
