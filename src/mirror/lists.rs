//! Serves copies of lists to other routers.

use super::{Shelf, page::Wire};
use crate::{
    front::{Body, Limits, Problem, Responder, whole},
    unit::Span,
};
use futures::{FutureExt, future::BoxFuture};
use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use std::{collections::BTreeMap, sync::Arc};

/// Longest wait for changes that another router may ask for.
const MAX_WAIT: Span = Span::from_secs(30);
/// Connections of other routers at once.
const MAX_CONNECTIONS: usize = 200;
/// Time after which an idle connection of another router is closed; above any wait for changes.
const IDLE: Span = Span::from_secs(40);

/// Serves copies of lists to other routers: `GET /lists/NAME` for a whole one, with
/// `?after=VERSION&wait-ms=TIME` for its changes.
///
/// Answers 503 while the copy is too old, and 410 for changes that are not told apart.
pub struct Lists {
    /// Copies by the name of their list.
    pub shelves: BTreeMap<&'static str, Arc<Shelf>>,
}

impl Lists {
    async fn answer(&self, uri: &Uri) -> Response<Body> {
        let name = uri.path().strip_prefix("/lists/").unwrap_or_default();
        let Some(shelf) = self.shelves.get(name) else {
            let detail = format!("there is no list {name:?}");
            return Problem::invalid(StatusCode::NOT_FOUND, detail).response();
        };
        let query = uri.query().unwrap_or_default();
        let page = match number(query, "after") {
            None => shelf.whole().map(Some),
            Some(after) => {
                let wait = number(query, "wait-ms").map_or(Span(0), Span::from_millis);
                shelf.changes(after, wait.min(MAX_WAIT)).await
            }
        };
        match page {
            Some(Some(page)) => {
                let wire = serde_json::to_vec(&Wire::from(page));
                Response::new(whole(wire.unwrap_or_default()))
            }
            Some(None) => Problem::invalid(StatusCode::GONE, "the changes are not kept").response(),
            None => Problem::not_run("the copy is too old", Span::from_secs(1)).response(),
        }
    }
}

impl Responder for Lists {
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        async move { self.answer(request.uri()).await }.boxed()
    }

    fn limits(&self) -> Limits {
        Limits {
            connections: MAX_CONNECTIONS,
            idle: IDLE,
            notice: Span(0),
            ..Limits::default()
        }
    }
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| *field == name)?;
    value.parse().ok()
}
