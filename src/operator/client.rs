//! Client of the operator API.

use super::{Request, Router, Status, Target, Workspace};
use crate::unit::Span;
use oxhttp::model::{Body, Method, Request as HttpRequest, StatusCode, header};
use std::{
    io::{self, Read},
    net::SocketAddr,
};

/// Largest response body that is read, in bytes; 49,000 workspaces of 25 models fit.
const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// Client of one router's operator API. Calls block.
pub struct Client {
    http: oxhttp::Client,
    address: SocketAddr,
    key: Box<str>,
}

/// Error of a call to a router's operator API.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The router cannot be reached, or its response is incomplete or invalid.
    #[error("router at {address}: {cause}")]
    Unreachable {
        /// Address that was called.
        address: SocketAddr,
        /// Error of the transport or the decoder.
        cause: io::Error,
    },
    /// The router answered with an error status.
    #[error("router at {address}: status {status}: {detail}")]
    Refused {
        /// Address that was called.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Error message in the response.
        detail: Box<str>,
    },
}

/// Body of an error response.
#[derive(serde::Deserialize)]
struct ErrorBody {
    error: Box<str>,
}

impl Client {
    /// Returns a client without connecting.
    pub fn open(address: SocketAddr, key: impl Into<Box<str>>, timeout: Span) -> Self {
        Self {
            http: oxhttp::Client::new().with_global_timeout(timeout.into()),
            address,
            key: key.into(),
        }
    }

    /// Returns the address of the router.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state of the router.
    ///
    /// # Errors
    ///
    /// Fails if the router cannot be reached or refuses.
    pub fn status(&self) -> Result<Status, Error> {
        self.call(Method::GET, "/status")
    }

    /// Returns the routers that it knows.
    ///
    /// # Errors
    ///
    /// Fails if the router cannot be reached or refuses.
    pub fn routers(&self) -> Result<Vec<Router>, Error> {
        self.call(Method::GET, "/routers")
    }

    /// Returns the workspaces that have or had requests at it.
    ///
    /// # Errors
    ///
    /// Fails if the router cannot be reached or refuses.
    pub fn workspaces(&self) -> Result<Vec<Workspace>, Error> {
        self.call(Method::GET, "/workspaces")
    }

    /// Returns the targets that it knows.
    ///
    /// # Errors
    ///
    /// Fails if the router cannot be reached or refuses.
    pub fn targets(&self) -> Result<Vec<Target>, Error> {
        self.call(Method::GET, "/targets")
    }

    /// Returns a request, `None` if the router knows none with this identifier.
    ///
    /// # Errors
    ///
    /// Fails if the router cannot be reached or refuses.
    pub fn request(&self, id: &str) -> Result<Option<Request>, Error> {
        match self.call(Method::GET, &format!("/requests/{id}")) {
            Ok(request) => Ok(Some(request)),
            Err(Error::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Starts the router's graceful shutdown and returns its state.
    ///
    /// # Errors
    ///
    /// Fails if the router cannot be reached or refuses.
    pub fn drain(&self) -> Result<Status, Error> {
        self.call(Method::POST, "/drain")
    }

    fn call<T: serde::de::DeserializeOwned>(&self, method: Method, path: &str) -> Result<T, Error> {
        let (status, body) = self
            .send(method, path)
            .map_err(|cause| self.unreachable(cause))?;
        if !status.is_success() {
            let error_body: Option<ErrorBody> = serde_json::from_slice(&body).ok();
            return Err(Error::Refused {
                address: self.address,
                status: status.as_u16(),
                detail: error_body
                    .map_or_else(|| "no error message".into(), |error_body| error_body.error),
            });
        }
        serde_json::from_slice(&body).map_err(|cause| self.unreachable(cause.into()))
    }

    fn send(&self, method: Method, path: &str) -> io::Result<(StatusCode, Vec<u8>)> {
        let request = HttpRequest::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Body::empty())
            .map_err(io::Error::other)?;
        let response = self.http.request(request)?;
        let status = response.status();
        let mut body = Vec::new();
        let mut limited = response.into_body().take(MAX_ANSWER_BYTES);
        limited.read_to_end(&mut body)?;
        Ok((status, body))
    }

    fn unreachable(&self, cause: io::Error) -> Error {
        Error::Unreachable {
            address: self.address,
            cause,
        }
    }
}
