//! Health probes of targets that may be cold.

use super::{Driver, Protocol, record::Record};
use crate::{
    catalog, clock,
    dispatch::{Event, Probe},
    metric,
    unit::Span,
    upstream,
};
use http::{HeaderMap, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use std::{io, sync::Arc, time::Duration};

/// Time for which the response to a probe is awaited: less than the interval of probes.
const TIMEOUT: Span = Span::from_millis(400);
/// Maximum time from the decision on a probe until it is written: it counts as a request to a target that may be cold, at
/// the time of the decision.
const MAX_SEND_DELAY: Span = Span::from_millis(50);
/// Maximum size of the body of a health response.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Sends health probes to targets that may be cold, and reports what they say.
pub(super) struct Prober {
    pub(super) driver: Arc<Driver>,
    pub(super) protocol: Arc<dyn Protocol>,
    pub(super) pool: upstream::Pool,
    pub(super) log: slog::Logger,
}

impl Prober {
    /// Sends the probes that are due, and logs which targets turned cold or warm; to be called regularly, in a running
    /// runtime.
    pub(super) fn step(&self) {
        let (probes, changes) = self.driver.take_warm_ups();
        for change in &changes {
            Record::TargetWarmUp(change).write(&self.log);
        }
        for probe in probes {
            metrics::counter!(metric::PROBES).increment(1);
            tokio::spawn(run(
                probe,
                self.driver.clone(),
                self.protocol.clone(),
                self.pool.clone(),
                self.log.clone(),
            ));
        }
    }
}

/// Sends a probe and reports its result.
async fn run(
    probe: Probe,
    driver: Arc<Driver>,
    protocol: Arc<dyn Protocol>,
    pool: upstream::Pool,
    log: slog::Logger,
) {
    let target = &probe.target;
    let fetched = tokio::time::timeout(Duration::from(TIMEOUT), fetch(&probe, &pool)).await;
    let headers = match fetched {
        Ok(Ok(Some(headers))) => Some(headers),
        // This router is late, which says nothing about the target.
        Ok(Ok(None)) => return,
        Ok(Err(_)) | Err(_) => None,
    };
    let left = headers.as_ref();
    let left = left.and_then(|headers| protocol.parse_warm_up(&target.name, headers));
    let left = match left {
        Some(Ok(left)) => Some(left),
        Some(Err(value)) => {
            let target = &target.name;
            let value = &value;
            Record::InvalidWarmUp { target, value }.write(&log);
            None
        }
        None => None,
    };
    let record = Record::TargetProbed {
        target: &target.name,
        left,
    };
    record.write(&log);
    driver.step(Event::Probed {
        run: catalog::Run::from(target),
        sent: probe.sent,
        reached: headers.is_some(),
        left,
    });
}

/// Returns the headers of the health response; `None` if the probe was not sent, since that took too long.
async fn fetch(probe: &Probe, pool: &upstream::Pool) -> io::Result<Option<HeaderMap>> {
    let address = probe.target.address;
    let request = Request::get(&*probe.path)
        .header(header::HOST, address.to_string())
        .body(upstream::Body::Left(Full::default()))
        .map_err(io::Error::other)?;
    let mut lease = pool.lease(address, true).await?;
    if clock::now().since(probe.sent) > MAX_SEND_DELAY {
        lease.release();
        return Ok(None);
    }
    let response = lease.send(request).await;
    let (head, body) = response.map_err(io::Error::other)?.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    if body.is_ok() {
        lease.release();
    }
    Ok(Some(head.headers))
}
