//! HTTP client of the platform.

use super::{
    Directory, Fault, Objects, Row, Table, Verdict, Vm, Write,
    protocol::{self, ReadBody, RowsBody, ScanBody, VmsBody, WriteBody},
};
use crate::unit::Span;
use oxhttp::model::{Body, HeaderMap, Method, Request, Response, StatusCode, header};
use std::{
    io::{self, ErrorKind, Read},
    net::SocketAddr,
};

/// Maximum size of a response body; bounds the memory that one call takes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Maximum number of bytes of an error response that are kept for the error message.
const MAX_DETAIL_BYTES: usize = 512;
/// Retry delay if a 429 response has no valid `Retry-After`.
const DEFAULT_RETRY_AFTER: Span = Span::from_secs(1);

/// Settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Timeout of the connection and of each read and write.
    pub timeout: Span,
}

/// Blocking HTTP client of the platform; each call opens a connection.
pub struct Client {
    http: oxhttp::Client,
    address: SocketAddr,
}

impl Client {
    /// Returns a client without connecting.
    pub fn open(settings: Settings) -> Self {
        Self {
            http: oxhttp::Client::new().with_global_timeout(settings.timeout.into()),
            address: settings.address,
        }
    }

    /// Posts a JSON body and decodes the JSON response.
    fn post<B, A>(&self, call: &str, path: &str, body: &B) -> Result<A, Fault>
    where
        B: serde::Serialize,
        A: serde::de::DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|e| invalid_request(call, &e.to_string()))?;
        let response = self.call(call, Method::POST, path, body)?;
        decode(call, response)
    }

    /// Makes a call and returns the response body.
    fn call(
        &self,
        call: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, Fault> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::from(body))
            .map_err(|e| invalid_request(call, &e.to_string()))?;
        let response = self.http.request(request);
        let response = response.map_err(|e| connection_fault(call, &e))?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = read_body(response).map_err(|e| lost(call, &e.to_string()))?;
        check_status(call, status, &headers, body)
    }
}

impl Table for Client {
    fn read(&self, keys: &[Box<str>]) -> Result<Vec<Row>, Fault> {
        let body = ReadBody {
            keys: keys.to_vec(),
        };
        let response: RowsBody = self.post("read", protocol::READ, &body)?;
        Ok(response.rows)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Fault> {
        let body = ScanBody {
            prefix: prefix.into(),
            after: after.into(),
            limit,
        };
        let response: RowsBody = self.post("scan", protocol::SCAN, &body)?;
        Ok(response.rows)
    }

    fn write(&self, writes: &[Write]) -> Result<Verdict, Fault> {
        let body = WriteBody {
            writes: writes.to_vec(),
        };
        self.post("write", protocol::WRITE, &body)
    }
}

impl Objects for Client {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        let path = object_path("get", name)?;
        match self.call("get", Method::GET, &path, Vec::new()) {
            Ok(body) => Ok(Some(body)),
            Err(Fault::Refused { status, .. }) if status == StatusCode::NOT_FOUND.as_u16() => {
                Ok(None)
            }
            Err(fault) => Err(fault),
        }
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), Fault> {
        let path = object_path("put", name)?;
        self.call("put", Method::PUT, &path, body.to_vec())?;
        Ok(())
    }
}

impl Directory for Client {
    fn list(&self) -> Result<Vec<Vm>, Fault> {
        let response = self.call("list", Method::GET, protocol::VMS, Vec::new())?;
        let response: VmsBody = decode("list", response)?;
        Ok(response.vms)
    }
}

/// Returns the body, or a fault if the status is not a success.
fn check_status(
    call: &str,
    status: StatusCode,
    headers: &HeaderMap,
    body: Vec<u8>,
) -> Result<Vec<u8>, Fault> {
    if status.is_success() {
        return Ok(body);
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Err(Fault::Limited {
            call: call.into(),
            retry_after: retry_after(headers),
        });
    }
    let detail = String::from_utf8_lossy(&body[..body.len().min(MAX_DETAIL_BYTES)]);
    if status.is_client_error() {
        return Err(Fault::Refused {
            call: call.into(),
            status: status.as_u16(),
            detail: detail.as_ref().into(),
        });
    }
    // A 5xx may come from a proxy after the platform carried out the call.
    Err(lost(call, &format!("status {status}: {detail}")))
}

fn retry_after(headers: &HeaderMap) -> Span {
    let value = headers.get(header::RETRY_AFTER);
    let secs = value.and_then(|v| v.to_str().ok()?.parse().ok());
    secs.map_or(DEFAULT_RETRY_AFTER, Span::from_secs)
}

/// Reads a complete body. A response without a length is an error, since its end could not be told
/// from a connection that closed early.
fn read_body(response: Response<Body>) -> io::Result<Vec<u8>> {
    if response.status() == StatusCode::NO_CONTENT {
        return Ok(Vec::new());
    }
    let headers = response.headers();
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    if !has_length && !headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(invalid_data(
            "the response has neither a length nor a transfer encoding",
        ));
    }
    let mut body = response.into_body().take(MAX_RESPONSE_BYTES + 1);
    let mut bytes = Vec::new();
    body.read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_RESPONSE_BYTES {
        return Err(invalid_data("the response is too long"));
    }
    Ok(bytes)
}

fn invalid_data(cause: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, cause)
}

fn decode<A: serde::de::DeserializeOwned>(call: &str, body: Vec<u8>) -> Result<A, Fault> {
    serde_json::from_slice(&body).map_err(|e| lost(call, &format!("invalid response: {e}")))
}

fn object_path(call: &str, name: &str) -> Result<String, Fault> {
    if !protocol::is_object_name(name) {
        return Err(invalid_request(
            call,
            &format!("invalid object name {name:?}"),
        ));
    }
    Ok(format!("{}{name}", protocol::OBJECTS))
}

/// Classifies a failed connection: only a failure to connect proves that the call had no effect.
fn connection_fault(call: &str, error: &io::Error) -> Fault {
    // On a connected socket, a read that times out fails with `WouldBlock`, and a timeout in the
    // kernel's TCP has an OS error code; so `TimedOut` without a code can only come from `connect`.
    let connect_timeout = error.kind() == ErrorKind::TimedOut && error.raw_os_error().is_none();
    if error.kind() == ErrorKind::ConnectionRefused || connect_timeout {
        return Fault::Unreachable {
            call: call.into(),
            cause: error.to_string().into(),
        };
    }
    lost(call, &error.to_string())
}

fn lost(call: &str, cause: &str) -> Fault {
    Fault::Lost {
        call: call.into(),
        cause: cause.into(),
    }
}

fn invalid_request(call: &str, detail: &str) -> Fault {
    Fault::Refused {
        call: call.into(),
        status: StatusCode::BAD_REQUEST.as_u16(),
        detail: detail.into(),
    }
}
